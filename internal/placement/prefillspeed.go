package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// initialPrefillSpeed is the assumed speed, in prompt tokens per millisecond,
	// before the first sample.
	initialPrefillSpeed = 60.0
	// minPrefillSpeed and maxPrefillSpeed bound the samples, because answers are
	// also delayed for other reasons than prefill.
	minPrefillSpeed, maxPrefillSpeed = 20.0, 400.0
	// prefillSpeedWeight is the least weight of one sample in the average speed. The
	// first samples weigh more: the assumed speed counts as priorSamples samples.
	prefillSpeedWeight = 0.02
	priorSamples       = 5
	// minSampleTokens is the least number of prefilled tokens for a sample of the speed.
	minSampleTokens = 15_000
	// initialBaseLatency is the assumed time to the first bytes of an answer with
	// nothing to prefill.
	initialBaseLatency = 100 * time.Millisecond
	// baseLatencyRiseWeight is the weight of one answer in a rise of the base
	// latency. A fall takes effect at once.
	baseLatencyRiseWeight = 0.002
	// rateTimeConstant is the time constant of the averages of type rate.
	rateTimeConstant = time.Second
)

// prefillSpeed is the prefill speed of a service's engines in prompt tokens per
// millisecond, learned from the times to the first bytes of answers to long
// prompts. The zero value has no samples yet.
type prefillSpeed struct {
	tokensPerMs float64 // 0 before the first sample
	samples     int
	// baseLatency is the time to the first bytes with nothing to prefill.
	baseLatency time.Duration
}

// observe adds the time to the first bytes of an answer and the number of tokens
// prefilled in it.
func (p *prefillSpeed) observe(latency time.Duration, tokens int) {
	if p.tokensPerMs == 0 {
		p.tokensPerMs, p.baseLatency = initialPrefillSpeed, initialBaseLatency
	}
	switch {
	case latency < p.baseLatency:
		p.baseLatency = latency
	case tokens < minSampleTokens:
		// With more to prefill, a rise of the base latency can't be told from a
		// lower speed.
		p.baseLatency += time.Duration(float64(latency-p.baseLatency) * baseLatencyRiseWeight)
	}
	if tokens < minSampleTokens || latency <= p.baseLatency {
		return
	}
	sample := float64(tokens) / float64((latency-p.baseLatency).Milliseconds()+1)
	p.samples++
	weight := max(prefillSpeedWeight, 1/float64(priorSamples+p.samples))
	p.tokensPerMs += (min(max(sample, minPrefillSpeed), maxPrefillSpeed) - p.tokensPerMs) * weight
}

// tokens returns the speed in prompt tokens per millisecond.
func (p *prefillSpeed) tokens() float64 {
	if p.tokensPerMs == 0 {
		return initialPrefillSpeed
	}
	return p.tokensPerMs
}

// expectedLatency returns the expected time to the first bytes of an answer if a
// number of prompt tokens has to be prefilled before them.
func (p *prefillSpeed) expectedLatency(tokens int) time.Duration {
	return p.baseLatency + time.Duration(float64(tokens)/p.tokens()*float64(time.Millisecond))
}

// rate is an exponentially decaying average of an amount per second.
type rate struct {
	sum       float64
	updatedAt domain.Instant
}

func (r *rate) add(now domain.Instant, amount float64) {
	r.sum = r.value(now)*rateTimeConstant.Seconds() + amount
	r.updatedAt = now
}

func (r *rate) value(now domain.Instant) float64 {
	return r.sum * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateTimeConstant)) / rateTimeConstant.Seconds()
}
