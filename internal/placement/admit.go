package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Admission limits. In a burst of long prompts, requests that are sent at once
// queue at the engines, are prefilled in order of arrival and end after their
// callers have left, while every stream on those engines stalls. An endpoint
// therefore gets only the requests that it can start in time. The others stay
// queued in this process, where they can be ordered, placed on the first
// endpoint with capacity, or rejected.

const (
	// backlogTargetShare is the share of a request's latency target that may be
	// spent waiting for the prefill of earlier prompts.
	backlogTargetShare = 0.5
	// maxBacklogTime bounds the wait for the prefill of earlier prompts if a request
	// has a long target or none.
	maxBacklogTime = 900 * time.Millisecond
	// prefillChunkTokens is the number of prompt tokens that an engine prefills
	// between two decode steps.
	prefillChunkTokens = 4096
	// longPromptChunks is the number of prefill chunks above which a prompt is long.
	longPromptChunks = 2
	// decodeBacklogChunks is the largest backlog, in prefill chunks, at which an
	// engine of the decode pool takes a decode-heavy request. A larger backlog
	// would pause its output.
	decodeBacklogChunks = 2
	// longPromptDecodeLimit is the least number of decode-heavy requests in progress
	// at which an engine of either pool takes no long prompts. For engines that have
	// left the decode pool it is 1.
	longPromptDecodeLimit = 4
	// maxPrefillUtilization is the prefill utilization above which an engine takes
	// no long prompts. An engine that prefills without pause generates only one
	// token of each answer per chunk, and most answers then end after their
	// callers have left.
	maxPrefillUtilization = 0.75
	// maxSecondaryUtilization is the prefill utilization above which an engine
	// prefills no shared parts of long prompts as the secondary engine of sessions
	// whose primary engine is healthy. They would evict the cached prompts of its own
	// sessions.
	maxSecondaryUtilization = 0.3
	// maxPlainDemandPerSlot bounds the running and waiting requests for each slot
	// of a plain service's endpoint: one request runs and at most two wait.
	maxPlainDemandPerSlot = 3.0
	// maxMemoryShare is the largest share of an engine's memory that requests may need.
	maxMemoryShare = 0.85
)

// admitsPlain reports whether an endpoint of a plain service can start a request soon.
func (s *endpointState) admitsPlain(now domain.Instant) bool {
	return float64(s.demand(now)) < maxPlainDemandPerSlot*float64(s.slots())
}

// roomObstacle returns whether an engine lacks slots or memory for a request.
func (s *endpointState) roomObstacle(now domain.Instant, svc *service, q Query) Obstacle {
	if s.demand(now) >= s.slots() {
		return ObstacleSlots
	}
	if !s.hasMemory(svc, q) {
		return ObstacleMemory
	}
	return ObstacleNone
}

// obstacle returns why an engine that has slots and memory can't start a request in time, or ObstacleNone if it can.
func (s *endpointState) obstacle(now domain.Instant, svc *service, q Query, c candidate) Obstacle {
	if c.yield == yieldStop || (c.yield == yieldSlow || isLongPrompt(q)) && !s.admitsLongPrompt(now, svc, q, c) {
		return ObstacleLongPrompt
	}
	if s.protectsStreams(now, svc, q, c) {
		return ObstaclePool
	}
	if c.inPool && c.outsideAffinity && q.staysInAffinity() {
		// Shared parts of more than one chunk are neither prefilled nor fetched elsewhere.
		// In a burst a prefill costs more than waiting for an endpoint that has them in
		// its cache, and copies of all sessions everywhere would evict each other.
		return ObstacleAffinity
	}
	if !s.admitsBacklog(now, svc, q, c) {
		return ObstacleBacklog
	}
	if !s.meetsDeadline(now, svc, q, c) {
		return ObstacleDeadline
	}
	return ObstacleNone
}

// admitsBacklog reports whether the prompts that an engine prefills before a request are
// few enough.
func (s *endpointState) admitsBacklog(now domain.Instant, svc *service, q Query, c candidate) bool {
	switch {
	case !c.inPool && isDecodeHeavy(q):
		// Outside the decode pool, at most one chunk may be prefilled before the request.
		return s.backlog() <= prefillChunkTokens
	case isDecodeHeavy(q):
		// In the decode pool, a larger backlog is accepted.
		return s.backlog() <= decodeBacklogChunks*prefillChunkTokens
	case !c.inPool:
		// In the decode pool, other requests have to be prefilled at once.
		return s.backlog() == 0
	default:
		// The wait for earlier prompts, which is longer at a slow engine, is limited.
		return s.backlogAhead(q)*s.slowdown(now, svc) <= q.backlogLimit(svc.prefillSpeed.tokens())
	}
}

// hasMemory reports whether an engine has memory for a request. An idle engine
// and one of unknown memory size always have.
func (s *endpointState) hasMemory(svc *service, q Query) bool {
	if svc.engine.MemoryTokens <= 0 || s.memoryInUse() == 0 {
		return true
	}
	return float64(s.memoryInUse()+q.memoryTokens()) <= maxMemoryShare*float64(svc.engine.MemoryTokens)
}

// admitsLongPrompt reports whether an engine has few enough decode-heavy requests
// and a low enough prefill utilization to prefill a long prompt. The limits protect
// the streams that run there and the cached prompts of its own sessions.
func (s *endpointState) admitsLongPrompt(now domain.Instant, svc *service, q Query, c candidate) bool {
	crowded := s.decodeHeavyRequests() >= longPromptDecodeLimit || c.formerDecodePool && s.decodeHeavyRequests() > 0
	if crowded && !svc.busyGap.streamsToleratePrefill() {
		return false
	}
	maxUtilization := c.prefillLimit
	if c.secondary && c.sharedPrefillTokens(q) > 0 {
		maxUtilization = min(maxUtilization, maxSecondaryUtilization)
	}
	// An engine that has less urgent prompts in its backlog is utilized by them: a more
	// urgent one must not be rejected for that.
	return s.prefillUtilization(now, svc) <= maxUtilization || s.backlogBehind(q) > 0
}

// backlogBehind is the number of prompt tokens that are less urgent than a request.
func (s *endpointState) backlogBehind(q Query) int {
	return s.backlog() - s.local.backlog.upTo(q.Rank) - s.peers.backlog.upTo(q.Rank)
}

// prefillUtilization estimates the share of an engine's time that prefill takes,
// from the rate of prompt tokens that all processes place there.
func (s *endpointState) prefillUtilization(now domain.Instant, svc *service) float64 {
	return (s.prefillRate.value(now) + float64(s.peers.prefillRate)) / (svc.prefillSpeed.tokens() * 1000)
}

// backlogAhead estimates the prompt tokens that an engine prefills before those
// of a request: those of requests that are as urgent or more urgent, and the chunk
// of a less urgent one that it has started.
func (s *endpointState) backlogAhead(q Query) float64 {
	behind := s.backlogBehind(q)
	return float64(s.backlog() - behind + min(behind, prefillChunkTokens))
}

// memoryInUse is the part of the key-value cache, in tokens, that requests of all
// processes need.
func (s *endpointState) memoryInUse() int { return s.local.memoryTokens + s.peers.memoryTokens }

// decodeHeavyRequests is the number of decode-heavy requests of all processes in progress.
func (s *endpointState) decodeHeavyRequests() int { return s.local.decodeHeavy + s.peers.decodeHeavy }

// backlog is the number of prompt tokens of all processes not yet prefilled.
func (s *endpointState) backlog() int { return s.local.backlog.Total() + s.peers.backlog.Total() }

// backlogLimit is the largest backlog, in prompt tokens, that a request may wait
// for at an engine that prefills prefillSpeed tokens per millisecond.
func (q Query) backlogLimit(prefillSpeed float64) float64 {
	wait := maxBacklogTime
	if q.Target > 0 {
		wait = min(wait, time.Duration(float64(q.Target)*backlogTargetShare))
	}
	return float64(wait.Milliseconds()) * prefillSpeed
}
