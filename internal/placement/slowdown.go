package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Slow endpoints. An endpoint can take several times as long as the others of its
// service without reporting it. Its queue looks as short as theirs, so that it
// would get an equal share of the requests and answer them late. Slow endpoints
// are avoided in favour of others and tried again after a while.

const (
	// endpointSlowdownWeight is the weight of one answer in an endpoint's average:
	// about three answers identify a slow endpoint.
	endpointSlowdownWeight = 0.3
	// slowdownTimeConstant is the time in which a slowdown decays to about a third
	// without further answers, so that the endpoint is tried again.
	slowdownTimeConstant = 8 * time.Second
	// maxSlowdownSample bounds the effect of one answer.
	maxSlowdownSample = 10.0
	// slowdownCost is the cost of an endpoint per unit of slowdown above 1.
	slowdownCost = 0.3
	// serviceSlowdownWeight is the weight of one answer in the average of all
	// endpoints, low enough that a single slow endpoint has little effect.
	serviceSlowdownWeight = 0.02
	// slowdownLimit is the least slowdown at which sessions leave an affinity endpoint.
	slowdownLimit = 1.5
	// minExpectedLatency keeps small delays of short answers from counting as a slowdown.
	minExpectedLatency = 50 * time.Millisecond
)

// slowdown is the average ratio of actual to expected time to the first bytes of
// an answer.
// The zero value is a ratio of 1.
type slowdown struct {
	// excess is the ratio minus 1.
	excess    float64
	updatedAt domain.Instant
}

// observe adds the actual and the expected time to the first bytes of an answer.
func (s *slowdown) observe(now domain.Instant, latency, expectedLatency time.Duration, weight float64) {
	sample := float64(latency) / float64(max(expectedLatency, minExpectedLatency))
	s.excess = s.value(now) - 1
	s.excess += (min(sample, maxSlowdownSample) - 1 - s.excess) * weight
	s.updatedAt = now
}

// value returns the ratio, at least 1. It decays towards 1 without new answers.
func (s *slowdown) value(now domain.Instant) float64 {
	return 1 + max(s.excess, 0)*math.Exp(-float64(now.Sub(s.updatedAt))/float64(slowdownTimeConstant))
}

// slowdown is the endpoint's ratio divided by that of its service, at least 1. In
// overload all endpoints take longer than expected and none of them is slow.
func (s *endpointState) slowdown(now domain.Instant, svc *service) float64 {
	return max(s.measuredSlowdown.value(now)/svc.measuredSlowdown.value(now), 1)
}
