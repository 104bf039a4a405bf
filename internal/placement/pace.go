package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// initialPace is the prompt tokens that an engine is expected to read in a
	// millisecond until its own pace is known.
	initialPace = 60.0
	// minPace and maxPace bound what is learned, against answers that were delayed
	// for other reasons.
	minPace, maxPace = 20.0, 400.0
	// paceWeight is the weight of one answer in the pace.
	paceWeight = 0.02
	// minSample is the prompt tokens from which on an answer tells of the pace.
	minSample = 15_000
	// initialBase is the time to a first event with nothing to read.
	initialBase = 100 * time.Millisecond
	// baseRise is the weight of one answer by which the base may rise.
	baseRise = 0.002
	// rateTime is the time over which a rate is averaged.
	rateTime = time.Second
)

// pace is how fast the engines of a service read, learned from the times to
// first events. The zero value knows nothing yet.
type pace struct {
	learned float64 // tokens a millisecond
	base    time.Duration
}

// learn takes the time to a first event and the tokens that were read in it.
func (p *pace) learn(took time.Duration, tokens int) {
	if p.learned == 0 {
		p.learned, p.base = initialPace, initialBase
	}
	switch {
	case took < p.base:
		p.base = took
	case tokens < minSample:
		// Only requests with little to read tell that the base has risen.
		p.base += time.Duration(float64(took-p.base) * baseRise)
	}
	if tokens < minSample || took <= p.base {
		return
	}
	sample := float64(tokens) / float64((took-p.base).Milliseconds()+1)
	p.learned += (min(max(sample, minPace), maxPace) - p.learned) * paceWeight
}

// tokens returns the prompt tokens read in a millisecond.
func (p *pace) tokens() float64 {
	if p.learned == 0 {
		return initialPace
	}
	return p.learned
}

// expected returns the time to a first event behind a number of prompt tokens.
func (p *pace) expected(tokens int) time.Duration {
	return p.base + time.Duration(float64(tokens)/p.tokens()*float64(time.Millisecond))
}

// rate is an average of what comes in a second, newer amounts weighing more.
type rate struct {
	sum float64
	at  domain.Instant
}

func (r *rate) add(now domain.Instant, amount float64) {
	r.sum = r.value(now)*rateTime.Seconds() + amount
	r.at = now
}

func (r *rate) value(now domain.Instant) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.at))/float64(rateTime)) / rateTime.Seconds()
}
