package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Momentary work time. Endpoints share their machines with others, which makes the same work take several times as
// long for moments. An endpoint that reports it is avoided while the report is fresh; what lasts longer is in the
// measured slowdown.

const (
	// usualWorkTime is the reported work time of an undisturbed machine, in percent.
	usualWorkTime = 100.0
	// minWorkTime and maxWorkTime bound the factor, so that a wrong report neither
	// attracts all requests nor excludes an endpoint.
	minWorkTime, maxWorkTime = 0.5, 4.0
	// workTimeTimeConstant is the time in which a report loses about two thirds of
	// its effect, because the work time changes many times a second.
	workTimeTimeConstant = 100 * time.Millisecond
)

// workTimeFactor is how many times as long as usual work takes at an endpoint now, from its last report: 1 if it
// reported no work time, and closer to 1 the older the report is.
func (s *endpointState) workTimeFactor(now domain.Instant) float64 {
	if !s.hasReport || s.reported.WorkTime <= 0 {
		return 1
	}
	factor := min(max(float64(s.reported.WorkTime)/usualWorkTime, minWorkTime), maxWorkTime)
	return 1 + (factor-1)*math.Exp(-float64(now.Sub(s.reportedAt))/float64(workTimeTimeConstant))
}

// workTimeScore is the cost of an endpoint's momentary work time, or a gain if it is shorter than usual.
func (s *endpointState) workTimeScore(now domain.Instant) float64 {
	return (s.workTimeFactor(now) - 1) * slowdownCost
}
