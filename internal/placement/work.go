package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

// The work that is left for a request decides how long it can wait. It follows from earlier answers of its service.

const (
	// answerTimeWeight and answerDeviationWeight are the weights of one answer in the mean answer time of a plain service and in its mean
	// deviation, and answerDeviations the number of deviations that an answer may take longer: those of RFC 6298 for round-trip times.
	answerTimeWeight, answerDeviationWeight, answerDeviations = 0.125, 0.25, 4
)

// Work is the expected time of a request at an endpoint that starts it now. Zero means that it is not known.
type Work struct {
	First time.Duration // until the first event of a stream, or the answer of a plain service
	Whole time.Duration // until the end of the answer
}

// answerTime is the time that answers of a plain service take.
type answerTime struct {
	mean, deviation time.Duration // moving averages; 0 before the first answer
}

// observe adds the time of one answer.
func (a *answerTime) observe(d time.Duration) {
	if a.mean == 0 {
		a.mean, a.deviation = d, d/2
		return
	}
	a.deviation += time.Duration(answerDeviationWeight * (math.Abs(float64(d-a.mean)) - float64(a.deviation)))
	a.mean += time.Duration(answerTimeWeight * float64(d-a.mean))
}

// most returns the time within which nearly all answers come.
func (a *answerTime) most() time.Duration { return a.mean + answerDeviations*a.deviation }

// WorkOf estimates the work of a request at the endpoint of its service that has most of its prompt in its cache.
func (t *Table) WorkOf(now domain.Instant, q Query) Work {
	svc := t.services[q.Service]
	if svc == nil {
		return Work{}
	}
	if len(q.Parts) == 0 {
		most := svc.answerTime.most()
		return Work{First: most, Whole: most}
	}
	cached, gaps, gapSum := 0, 0, time.Duration(0)
	for _, s := range svc.endpoints {
		cached = max(cached, prefixTokens(q.Parts, func(key prefixindex.Key) bool { return s.parts.Expects(now, key, t.settings.CacheTTL) }))
		if gap := s.meanEventGap(now); gap > 0 {
			gaps, gapSum = gaps+1, gapSum+gap
		}
	}
	latency := svc.prefillSpeed.expectedLatency(promptTokens(q.Parts) - cached)
	first := time.Duration(float64(latency) * svc.measuredSlowdown.value(now))
	if gaps == 0 || svc.answerSizes.tokens == 0 {
		return Work{First: first, Whole: first}
	}
	events := float64(q.estimatedTokens()) * svc.answerSizes.events / svc.answerSizes.tokens
	return Work{First: first, Whole: first + time.Duration(events*float64(gapSum)/float64(gaps))}
}
