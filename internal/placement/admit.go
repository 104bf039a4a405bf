package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern that these limits answer: a burst of long prompts. Whatever
// is sent at once waits at the engines, is read there in the order of arrival,
// and ends after its callers have left; meanwhile every stream on the same
// engines pauses. An endpoint therefore gets only what it can start in time.
// The rest waits here, where it can be put in order, served by whichever
// endpoint is free first, or turned away.

const (
	// backlogShare is the share of a request's target that may be spent waiting
	// for the prompts before it.
	backlogShare = 0.5
	// maxBacklog bounds that wait for requests with long targets or none.
	maxBacklog = 900 * time.Millisecond
	// chunkTokens is the prompt that an engine reads between two tokens of its streams.
	chunkTokens = 4096
	// longChunks is the number of chunks from which on a prompt is long.
	longChunks = 2
	// longAhead is the share of the long prompts at an engine that a shorter one
	// waits for: engines take urgent requests first, but end a chunk that they began.
	longAhead = 0.1
	// pauseChunks is the reading, in chunks, that may wait at an engine where a
	// long output goes to: more would pause it.
	pauseChunks = 2
	// sparedStreams is the number of long outputs from which on an engine is
	// spared long prompts, whatever its side. Engines that have just left the
	// side of long outputs are spared as long as they run any.
	sparedStreams = 4
	// dutyShare is the share of an engine's time that long prompts may take.
	// An engine that reads all the time makes a token of each of its answers
	// only once a chunk, and most answers then end after their callers have left.
	dutyShare = 0.75
	// spillShare is the share of its time from which on an engine takes no
	// sessions of a first home that is busy: it would read their shared parts
	// again, and they would take the place of what it keeps of its own.
	spillShare = 0.3
	// plainQueueShare is the share of a plain service's slots that may be
	// taken by waiting requests: at most two rounds wait.
	plainQueueShare = 3.0
	// memoryLimit is the share of an engine's memory that requests may need.
	memoryLimit = 0.85
)

// admitsPlain reports whether a plain service's endpoint can start a request soon.
func (s *state) admitsPlain(now domain.Instant) bool {
	return float64(s.demand(now)) < plainQueueShare*float64(s.slots())
}

// admits reports whether an engine can start a request in time.
func (s *state) admits(now domain.Instant, of *service, q Query, p position) bool {
	if s.demand(now) >= s.slots() {
		return false
	}
	if !s.hasMemory(of, q) || isLong(q) && !s.admitsLong(now, of, p) {
		return false
	}
	switch {
	case !p.ownSide && decodeHeavy(q):
		return s.backlog() <= chunkTokens
	case decodeHeavy(q):
		return s.backlog() <= pauseChunks*chunkTokens
	case !p.ownSide:
		return !isLong(q) && s.streams() == 0 && s.backlog() == 0
	case p.away && sharedTokens(q.Parts) > chunkTokens:
		// Reading the shared parts again costs more than the request itself, so
		// that in a burst it would feed on itself.
		return false
	default:
		return s.ahead(q)*s.slowness(now, of) <= q.backlogLimit(of.pace.tokens())
	}
}

// hasMemory reports whether an engine has memory for a request; one without
// others takes any.
func (s *state) hasMemory(of *service, q Query) bool {
	if of.memory <= 0 || s.memoryInUse() == 0 {
		return true
	}
	return float64(s.memoryInUse()+q.memory()) <= memoryLimit*float64(of.memory)
}

// admitsLong reports whether an engine can read a long prompt without harm to
// what runs there and to the sessions that belong there.
func (s *state) admitsLong(now domain.Instant, of *service, p position) bool {
	if s.streams() >= sparedStreams || p.leaving && s.streams() > 0 {
		return false
	}
	most := dutyShare
	if p.spill {
		most = spillShare
	}
	return s.duty(now, of) <= most
}

// duty is the share of an engine's time that the prompts take that it was given lately.
func (s *state) duty(now domain.Instant, of *service) float64 {
	return (s.given.value(now) + float64(s.peers.given)) / (of.pace.tokens() * 1000)
}

// ahead estimates the prompt tokens that an engine reads before a request's.
func (s *state) ahead(q Query) float64 {
	if isLong(q) {
		return float64(s.backlog())
	}
	long := float64(s.own.long + s.peers.long)
	return float64(s.backlog()) - long*(1-longAhead)
}

func (s *state) memoryInUse() int { return s.own.memory + s.peers.memory }

// streams is the number of long outputs in progress.
func (s *state) streams() int { return s.own.decoding + s.peers.decoding }

// backlog is the prompt tokens that an engine has not read yet.
func (s *state) backlog() int { return s.own.unread + s.peers.unread }

// backlogLimit is the most prompt tokens that may wait before a request, at an
// engine that reads pace tokens in a millisecond.
func (q Query) backlogLimit(pace float64) float64 {
	wait := maxBacklog
	if q.Target > 0 {
		wait = min(wait, time.Duration(float64(q.Target)*backlogShare))
	}
	return float64(wait.Milliseconds()) * pace
}
