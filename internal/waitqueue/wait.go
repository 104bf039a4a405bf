package waitqueue

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// How long a request waits follows from the time that its caller has and the work that is left: until the latest start
// at which the answer still comes in time. A request that the queue is not expected to reach by then is rejected on its arrival, so
// that its caller can use the time.

// startRateTimeConstant is the time constant of the rate at which requests of a class start. Within it several do, and some answers end.
const startRateTimeConstant = 2 * time.Second

// CallerTime is the time that the caller of a request has.
type CallerTime struct {
	// Arrived is when the request arrived, and Target the time from then within which the answer, or the first event of a stream, is
	// fully useful; 0 if there is none.
	Arrived domain.Instant
	Target  time.Duration
	// FirstBy is until when the caller waits for the first event of a stream; 0 if there is no such limit.
	FirstBy domain.Instant
	// Deadline is until when it waits for the whole answer.
	Deadline domain.Instant
}

// LatestOnTimeStart returns the latest start at which the answer can still meet its target, or be of use if it has none.
func (c CallerTime) LatestOnTimeStart(work placement.Work) domain.Instant {
	latest := c.LatestStart(work)
	if c.Target > 0 {
		latest = min(latest, c.Arrived.Add(c.Target-work.First))
	}
	return latest
}

// LatestStart returns the latest start at which the caller is still there for the first event and the whole answer. If the
// answer is expected to take more than all of its time, the estimate of the length is taken to be wrong, as callers know what they ask for.
func (c CallerTime) LatestStart(work placement.Work) domain.Instant {
	latest := c.Deadline.Add(-work.Whole)
	if latest < c.Arrived {
		latest = c.Deadline.Add(-work.First)
	}
	if c.FirstBy > 0 {
		latest = min(latest, c.FirstBy.Add(-work.First))
	}
	return latest
}

// startRate is the rate at which the requests of a class start.
type startRate struct {
	count     float64 // decays with startRateTimeConstant
	updatedAt domain.Instant
}

func (r *startRate) value(now domain.Instant) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.updatedAt))/float64(startRateTimeConstant))
}

// Started records that a request of a class has been placed, from the queue or on its arrival.
func (q *Queue) Started(now domain.Instant, class string) {
	if q.starts == nil {
		q.starts = make(map[string]*startRate)
	}
	r := q.starts[class]
	if r == nil {
		r = &startRate{}
		q.starts[class] = r
	}
	r.count, r.updatedAt = r.value(now)+1, now
}

// IsHopeless reports whether a request is not expected to be reached while a start is of use to its caller.
func (q *Queue) IsHopeless(now domain.Instant, w *Waiter) bool {
	return now.Add(q.ExpectedWait(now, w)) > w.ExpiresAt
}

// ExpectedWait estimates how long a request would wait: until those of its class that go before it have started, at the rate at which its
// class started lately. It is 0 if none goes before it.
func (q *Queue) ExpectedWait(now domain.Instant, w *Waiter) time.Duration {
	ahead := 0
	for _, other := range q.waiters {
		if other.Class == w.Class && compare(now, other, w) <= 0 {
			ahead++
		}
	}
	started := 1.0 // at least one, so that a class that has not started for long is not given up
	if r := q.starts[w.Class]; r != nil {
		started += r.value(now)
	}
	return time.Duration(float64(ahead) / started * float64(startRateTimeConstant))
}
