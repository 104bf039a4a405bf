package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern that slowness answers: single endpoints work several times as
// long as the others of their service, and say nothing of it. Their queues look
// as short as others', so that they get their share and all of it is late. They
// are left for endpoints that are as fast as usual, and tried again after a while.

const (
	// slowWeight is the weight of one answer in an endpoint's slowness: some three
	// answers tell that it is slow.
	slowWeight = 0.3
	// slowLife is the time in which a slowness that no answer confirms falls to a
	// third: the endpoint is tried again.
	slowLife = 8 * time.Second
	// maxSlow bounds what one answer tells.
	maxSlow = 10.0
	// slowCost is the cost of an endpoint for each time that it is slower than
	// usual, in shares of a full one.
	slowCost = 0.3
	// generalWeight is the weight of one answer in the slowness of all endpoints,
	// low enough that a slow one doesn't pass for the general state.
	generalWeight = 0.02
	// slowFrom is the slowness from which on sessions leave their first home.
	slowFrom = 1.5
	// leastExpected keeps small delays of short answers from counting as slowness.
	leastExpected = 50 * time.Millisecond
)

// slowness is how many times as long as expected an endpoint's answers take; the
// zero value is as long as expected.
type slowness struct {
	excess float64
	at     domain.Instant
}

// learn takes the time to an answer's first event and the one that was expected.
func (s *slowness) learn(now domain.Instant, took, expected time.Duration, weight float64) {
	sample := float64(took) / float64(max(expected, leastExpected))
	s.excess = s.value(now) - 1
	s.excess += (min(sample, maxSlow) - 1 - s.excess) * weight
	s.at = now
}

// value is at least 1.
func (s *slowness) value(now domain.Instant) float64 {
	return 1 + max(s.excess, 0)*math.Exp(-float64(now.Sub(s.at))/float64(slowLife))
}

// slowness is how many times slower than its service's endpoints in general an
// endpoint is, at least 1: in overload all take longer than expected.
func (s *state) slowness(now domain.Instant, of *service) float64 {
	return max(s.slow.value(now)/of.slow.value(now), 1)
}
