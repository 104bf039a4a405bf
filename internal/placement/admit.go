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
	// readRate is the prompt tokens that an engine is expected to read in a
	// millisecond until its own pace is known.
	readRate = 80.0
	// backlogShare is the share of a request's target that may be spent waiting
	// for the prompts before it.
	backlogShare = 0.5
	// maxBacklog bounds that wait for requests with long targets or none.
	maxBacklog = 900 * time.Millisecond
	// chunkTokens is the prompt that an engine reads between two tokens of its
	// streams. A prompt that fits into one chunk makes no pause that a stream
	// would notice, so it may go where long outputs are made.
	chunkTokens = 4096
	// awayBacklog is the prompt tokens that may wait at an endpoint which is not
	// a home of the request's session. Reading shared parts again costs as much
	// as the request itself, so that in a burst it would feed on itself.
	awayBacklog = 6000
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
	if of.memory > 0 && float64(s.memoryInUse()+q.memory()) > memoryLimit*float64(of.memory) && s.memoryInUse() > 0 {
		return false
	}
	switch {
	case !p.ownSide:
		return s.backlog() <= chunkTokens && promptTokens(q.Parts) <= chunkTokens
	case p.home == 0 && sharedTokens(q.Parts) > chunkTokens:
		return s.backlog() <= awayBacklog
	default:
		return float64(s.backlog()) <= q.backlogLimit()
	}
}

func (s *state) memoryInUse() int { return s.own.memory + s.peers.memory }

// backlog is the prompt tokens that an engine has not read yet.
func (s *state) backlog() int { return s.own.unread + s.peers.unread }

// backlogLimit is the most prompt tokens that may wait before a request.
func (q Query) backlogLimit() float64 {
	wait := maxBacklog
	if q.Target > 0 {
		wait = min(wait, time.Duration(float64(q.Target)*backlogShare))
	}
	return float64(wait.Milliseconds()) * readRate
}
