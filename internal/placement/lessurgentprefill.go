package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Less urgent prompts yield. Prefill lengthens all answers of an engine, also the more
// urgent ones, whose prompts go first but whose tokens are decoded between the
// chunks of any prompt. If engines are too busy for more than a small share of the
// requests of some urgency, long prompts of a lower urgency are placed only at engines
// with a lower prefill utilization, until the share is small again. Every process
// observes its own requests; since all processes see the same engines, their limits agree
// on average.

const (
	// maxBlockedShare is the share of the requests of some urgency that may find no
	// engine on arrival without any effect on less urgent ones.
	maxBlockedShare = 0.04
	// ceilingStep is by how much one such request lowers the limit of the less urgent
	// ones, as a share of the range between minPrefillUtilization and
	// maxPrefillUtilization.
	ceilingStep = 0.25
	// ceilingTimeConstant is the time constant of the return to maxPrefillUtilization.
	ceilingTimeConstant = 10 * time.Second
	// minPrefillUtilization is the lowest limit. It lets less urgent prompts start at
	// engines without work.
	minPrefillUtilization = 0.1
)

// prefillCeiling limits the prefill utilization of engines that take long prompts of a
// service, by the priority level of the prompts. The zero value is
// maxPrefillUtilization for all.
type prefillCeiling struct {
	// pressure is what the requests of each level lower the limit of all less urgent
	// levels by, as a share of the range, 0 to 1.
	pressure  [PriorityLevels]float64
	updatedAt domain.Instant
}

// observe records whether a request of a rank found no engine on arrival because they
// were too busy.
func (p *prefillCeiling) observe(now domain.Instant, rank int, blocked bool) {
	remaining := p.remaining(now)
	for level := range p.pressure {
		p.pressure[level] *= remaining
	}
	p.updatedAt = now
	step := -maxBlockedShare * ceilingStep
	if blocked {
		step += ceilingStep
	}
	pressure := &p.pressure[priorityLevel(rank)]
	*pressure = min(max(*pressure+step, 0), 1)
}

// limit returns the highest prefill utilization at which an engine takes a long prompt
// of a rank.
func (p *prefillCeiling) limit(now domain.Instant, rank int) float64 {
	highest := 0.0
	for _, pressure := range p.pressure[:priorityLevel(rank)] {
		highest = max(highest, pressure)
	}
	return maxPrefillUtilization - highest*p.remaining(now)*(maxPrefillUtilization-minPrefillUtilization)
}

// remaining is the part of the pressure that is left since the last observation.
func (p *prefillCeiling) remaining(now domain.Instant) float64 {
	return math.Exp(-float64(now.Sub(p.updatedAt)) / float64(ceilingTimeConstant))
}
