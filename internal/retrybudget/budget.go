// Package retrybudget bounds the requests that are sent to a second endpoint,
// in any window of time, by a share of the requests and a small extra that all
// processes share.
package retrybudget

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// buckets is the number of parts that a window is counted in.
const buckets = 20

// margin is the share of the allowance that is used; the rest covers the
// difference between this process's windows and anyone else's.
const margin = 0.8

// Budget counts the requests and repeats of one service in this process.
type Budget struct {
	window time.Duration
	ratio  float64
	extra  float64

	last     int64
	requests [buckets]int
	repeats  [buckets]int
}

// New returns a budget that allows, in a window, ratio repeats a request and a
// share of extra repeats besides.
func New(window time.Duration, ratio, extra float64) *Budget {
	return &Budget{window: window, ratio: ratio, extra: extra}
}

// Request counts a request.
func (b *Budget) Request(now domain.Instant) { b.requests[b.advance(now)]++ }

// Take takes one repeat and reports whether there was one. The extra is divided
// between a number of processes; at least one.
func (b *Budget) Take(now domain.Instant, processes int) bool {
	at := b.advance(now)
	requests, repeats := 0, 0
	for i := range buckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	if float64(repeats+1) > margin*(b.ratio*float64(requests)+b.extra/float64(max(processes, 1))) {
		return false
	}
	b.repeats[at]++
	return true
}

// advance empties the buckets that have left the window and returns the current one.
func (b *Budget) advance(now domain.Instant) int {
	current := int64(now) / (int64(b.window) / buckets)
	for i := max(b.last+1, current-buckets+1); i <= current; i++ {
		b.requests[i%buckets], b.repeats[i%buckets] = 0, 0
	}
	b.last = max(b.last, current)
	return int(b.last % buckets)
}
