package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Deadline check. In a burst an engine prefills without pause and generates only
// one token of each answer per prefill chunk. A long answer that starts there in
// time can still end after its caller has left, and its prefill is wasted work.
// At busy engines a request is therefore placed only if its answer is expected to
// be complete by its deadline.

const (
	// eventGapTimeConstant is the time constant of the average gap between events.
	// It is longer than a wave of prompts, which lasts a fraction of a second, and
	// not longer than the answers that the wave delays, which last some seconds.
	eventGapTimeConstant = 2 * time.Second
	// eventGapMaxAge is how long an average gap stays valid, about the length of an answer.
	eventGapMaxAge = 3 * time.Second
	// deadlineCheckUtilization is the least prefill utilization at which an engine
	// takes only requests that are expected to meet their deadline: a late answer
	// takes capacity that another request could use in time. The estimate misses
	// shared parts that were evicted and are prefilled again, so that an engine may
	// prefill a chunk between any two decode steps at an estimate of 0.4.
	deadlineCheckUtilization = 0.25
	// answerSizeWeight is the weight of one answer in the average answer sizes.
	answerSizeWeight = 0.02
)

// eventGap is the average time between two events of an engine's streams.
type eventGap struct {
	mean      time.Duration
	updatedAt domain.Instant
}

// observe adds a number of consecutive gaps that took elapsed in total and ended now.
func (g *eventGap) observe(now domain.Instant, elapsed time.Duration, events int) {
	gap := float64(elapsed) / float64(events)
	weight := 1.0
	if g.updatedAt > 0 && now.Sub(g.updatedAt) < eventGapMaxAge {
		weight = 1 - math.Exp(-float64(now.Sub(g.updatedAt))/float64(eventGapTimeConstant))
	}
	g.mean += time.Duration((gap - float64(g.mean)) * weight)
	g.updatedAt = now
}

// current returns the mean gap, or 0 if it is older than eventGapMaxAge.
func (g *eventGap) current(now domain.Instant) time.Duration {
	if g.updatedAt == 0 || now.Sub(g.updatedAt) >= eventGapMaxAge {
		return 0
	}
	return g.mean
}

// peerEventGap is the sum and number of the gaps that peers report for an engine.
type peerEventGap struct {
	sum   time.Duration
	count int
}

// add adds the gap that one peer reports, or subtracts it if sign is -1. Zero
// means that the peer reports none.
func (p *peerEventGap) add(gap time.Duration, sign int) {
	if gap > 0 {
		p.sum += gap * time.Duration(sign)
		p.count += sign
	}
}

// meanEventGap is the mean gap of an engine's streams over all processes that
// report one, or 0 if none does.
func (s *endpointState) meanEventGap(now domain.Instant) time.Duration {
	combined := s.peerEventGap
	combined.add(s.eventGap.current(now), 1)
	if combined.count == 0 {
		return 0
	}
	return combined.sum / time.Duration(combined.count)
}

// answerSizes compares the expected tokens of a service's answers with their
// events. The ratio converts the expected tokens of a request into events.
type answerSizes struct {
	tokens, events float64 // moving averages; 0 before the first answer
}

// observe adds the expected tokens and the events of a complete answer.
func (a *answerSizes) observe(tokens, events int) {
	if a.events == 0 {
		a.tokens, a.events = float64(tokens), float64(events)
		return
	}
	a.tokens += (float64(tokens) - a.tokens) * answerSizeWeight
	a.events += (float64(events) - a.events) * answerSizeWeight
}

// estimatedTokens is the expected length of the answer. Where callers declare only
// a maximum, answerSizes accounts for the part of it that is used on average.
func (q Query) estimatedTokens() int {
	switch {
	case q.ExpectedTokens <= 0:
		return q.MaxTokens
	case q.MaxTokens <= 0:
		return q.ExpectedTokens
	default:
		return min(q.ExpectedTokens, q.MaxTokens)
	}
}

// meetsDeadline reports whether an engine is expected to complete a request by
// its deadline. While an estimate is missing, it reports true.
func (s *endpointState) meetsDeadline(now domain.Instant, svc *service, q Query, c candidate) bool {
	eventGap := s.expectedEventGap(now, svc, q)
	if q.Deadline == 0 || svc.answerSizes.events == 0 || eventGap == 0 || s.prefillUtilization(now, svc) < deadlineCheckUtilization {
		return true
	}
	prefillTime := (s.backlogAhead(q) + c.prefillTokens) / svc.prefillSpeed.tokens() * float64(time.Millisecond)
	decodeTime := float64(eventGap) * float64(q.estimatedTokens()) * svc.answerSizes.events / svc.answerSizes.tokens
	return now.Add(svc.prefillSpeed.baseLatency+time.Duration(prefillTime+decodeTime)) <= q.Deadline
}
