package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Starvation. In overload that lasts, engines without work still take prompts of any urgency, while more urgent
// requests get no answer, as the engines of their sessions are busy. No less urgent request starts then, unless it is smaller than theirs, at any
// engine, until only a small share of the more urgent requests is lost. Those that have waited start slowly afterwards, at engines
// that prefill little: all at once, they would take the engines from the urgent ones again.

const (
	// promisedLostShare is the share of the requests of a level of which users are promised that no more is lost while less urgent ones
	// start (TIER).
	promisedLostShare = 1.0 / 12
	// maxLostShare is the share of the requests of a level that may be lost before less urgent ones stop: three quarters of what is
	// promised, as those that have started by then go on.
	maxLostShare = 0.75 * promisedLostShare
	// minLost is the least number of lost requests that counts as starvation.
	minLost = 5.0
	// smallerShare is the share of the mean size of the starving requests below which a request counts as smaller: single ones
	// vary around the mean.
	smallerShare = 0.6
	// outputTokenSize is the size of a token of an answer, in prompt tokens, by which the promise compares requests.
	outputTokenSize = 10
	// sizeWeight is the weight of one request in the mean size of those of its level.
	sizeWeight = 0.1
	// starvationTimeConstant is the time constant in which lost requests are forgotten.
	starvationTimeConstant = 3 * time.Second
	// restartTime is how long after the last starvation less urgent requests start slowly.
	restartTime = 4 * time.Second
)

// yield is how a request yields to more urgent ones that starve or did lately.
type yield uint8

const (
	// yieldNone means that it does not yield.
	yieldNone yield = iota
	// yieldSlow means that it starts only where long prompts may start.
	yieldSlow
	// yieldStop means that it does not start.
	yieldStop
)

// starvation is the requests of one priority level that arrived and that were lost lately, at all processes.
type starvation struct {
	requests, lost float64
	updatedAt      domain.Instant
	size           float64 // mean size of the requests that arrived at this process; 0 before the first
	starvedAt      domain.Instant
}

// size is the work of a request, in prompt tokens.
func (q Query) size() float64 {
	output := q.ExpectedTokens
	if q.MaxTokens > 0 && (output == 0 || q.MaxTokens < output) {
		output = q.MaxTokens
	}
	return float64(promptTokens(q.Parts) + outputTokenSize*output)
}

// observeArrival adds a request that has arrived here.
func (s *starvation) observeArrival(q Query) {
	if s.size == 0 {
		s.size = q.size()
		return
	}
	s.size += (q.size() - s.size) * sizeWeight
}

// add adds counts.
func (s *starvation) add(now domain.Instant, counts levelCounts) {
	remaining := s.remaining(now)
	s.requests, s.lost = s.requests*remaining+float64(counts.requests), s.lost*remaining+float64(counts.lost)
	s.updatedAt = now
}

// starves reports whether too many requests are lost.
func (s *starvation) starves(now domain.Instant) bool {
	return s.lost*s.remaining(now) >= minLost && s.lost > maxLostShare*s.requests
}

// remaining is the part of the counts that is left since the last ones were added.
func (s *starvation) remaining(now domain.Instant) float64 {
	return math.Exp(-float64(now.Sub(s.updatedAt)) / float64(starvationTimeConstant))
}

// yieldOf returns how a request yields to more urgent ones that starve, as this process or a peer sees it, and are not larger.
func (svc *service) yieldOf(now domain.Instant, q Query) yield {
	result := yieldNone
	for level := range priorityLevel(q.Rank) {
		s := &svc.prefillCeiling.starvation[level]
		starving := svc.starvingPeers[level] > 0 || s.starves(now)
		if starving {
			s.starvedAt = now
		}
		if s.starvedAt == 0 || now.Sub(s.starvedAt) >= restartTime || !s.yields(q) {
			continue
		}
		if starving {
			return yieldStop
		}
		result = yieldSlow
	}
	return result
}

// yields reports whether a less urgent request is not smaller than those of the level.
func (s *starvation) yields(q Query) bool {
	if s.size == 0 {
		return isLongPrompt(q)
	}
	return q.size() > smallerShare*s.size
}

// starvingPeers is the number of peers that see requests of a service starve, by priority level.
type starvingPeers [PriorityLevels]int

// starvingPeersOf returns the numbers for a service with a hash, which need not be known yet.
func (t *Table) starvingPeersOf(service uint32) *starvingPeers {
	n := t.starvingPeers[service]
	if n == nil {
		n = &starvingPeers{}
		t.starvingPeers[service] = n
	}
	return n
}

// setPeerStarving replaces the levels of which a peer says that their requests starve.
func (t *Table) setPeerStarving(peer string, list []PeerLevel) {
	for _, l := range t.peerStarving[peer] {
		t.starvingPeersOf(l.Service)[l.Level]--
	}
	delete(t.peerStarving, peer)
	for _, l := range list {
		if l.Starving && l.Level >= 0 && l.Level < PriorityLevels {
			t.peerStarving[peer] = append(t.peerStarving[peer], l)
			t.starvingPeersOf(l.Service)[l.Level]++
		}
	}
}

// RecordBlocked records that a queued request that has arrived here does not meet its target unless less urgent ones yield to it.
func (t *Table) RecordBlocked(now domain.Instant, q Query) {
	if len(q.Parts) > 0 && t.Obstacles(now, q).load() {
		t.service(q.Service).prefillCeiling.observeBlocked(now, q.Rank)
	}
}

// RecordAtRisk records that a queued request gets no answer unless less urgent ones yield to it: they have to before its caller has left.
func (t *Table) RecordAtRisk(now domain.Instant, q Query) {
	t.RecordRejected(now, q, t.Obstacles(now, q))
}

// RecordRejected records that a request has been rejected after it found no endpoint, with what kept the endpoints from it.
func (t *Table) RecordRejected(now domain.Instant, q Query, obstacles Obstacles) {
	if len(q.Parts) > 0 && obstacles.load() {
		t.service(q.Service).prefillCeiling.observeLost(now, q.Rank)
	}
}

// neverBegan reports whether the caller of a request left because its answer did not begin, although the endpoint works: it
// has sent something to others.
func (ticket *Ticket) neverBegan(now domain.Instant, result Result) bool {
	left := result == ResultCancelled || result == ResultTimedOut
	return left && ticket.hasPrompt && !ticket.byteReceived && ticket.target > 0 && now.Sub(ticket.placedAt) > ticket.target &&
		now.Sub(ticket.endpointState.lastReceived) < responseTimeout
}
