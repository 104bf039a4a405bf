// Package retrybudget limits how many requests of a service are sent again to
// another endpoint. Each gateway keeps one Budget per service.
//
// Invariant: in any window, all processes together take at most the extra and a ratio of
// the requests of the window or of the one before it, whichever has more. It holds
// whenever processes start, end or lose contact, as a process begins with nothing and
// earns what it may take, and as the shares of the extra add up to one at most (package peers).
package retrybudget

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// bucketCount is the number of buckets into which a window is divided to count its
	// requests.
	bucketCount = 20
	// usableShare is the share of the allowance that is used. The rest covers retries that
	// arrive at endpoints later than they were taken here.
	usableShare = 0.8
	// earnedShare is the share of the ratio that a request adds to the balance when it
	// arrives. The rest of the ratio is what the balance may hold for the requests of the
	// last window. The invariant needs at least 0.5.
	earnedShare = 0.8
	// refilledShare is the share of the extra that is added over a window. The rest is what
	// the balance may hold without requests, at least one retry if the extra has one.
	refilledShare = 0.75
)

// Budget is the balance of retries of one service in this process. It is not safe for
// concurrent use.
type Budget struct {
	window time.Duration
	ratio  float64
	extra  float64

	balance    float64 // retries
	refilledAt domain.Instant
	lastBucket int64
	requests   [bucketCount]int
}

// New returns the budget of a process that has started at a time, and is empty then. It
// allows, per window, ratio retries for each request and in addition extra retries, which
// are divided between all processes.
func New(started domain.Instant, window time.Duration, ratio, extra float64) *Budget {
	return &Budget{window: window, ratio: ratio, extra: extra, refilledAt: started}
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now domain.Instant) {
	b.requests[b.advance(now)]++
	b.balance += usableShare * earnedShare * b.ratio
}

// TakeRetry takes a retry from the balance, and reports whether it held one. The
// extra retries are divided by the number of processes. With 0 this one has no share of them.
func (b *Budget) TakeRetry(now domain.Instant, processes int) bool {
	b.advance(now)
	extraShare := 0.0
	if processes > 0 {
		extraShare = b.extra / float64(processes)
	}
	b.refill(now, extraShare)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill adds what has come in since the last call from a share of the extra, and limits the balance.
func (b *Budget) refill(now domain.Instant, extraShare float64) {
	usable := usableShare * extraShare
	held := max((1-refilledShare)*usable, min(usable, 1))
	b.balance += (usable - held) * float64(now.Sub(b.refilledAt)) / float64(b.window)
	b.refilledAt = now
	requests := 0
	for _, n := range b.requests {
		requests += n
	}
	b.balance = min(b.balance, usableShare*(1-earnedShare)*b.ratio*float64(requests)+held)
}

// advance empties the buckets that have left the window and returns the index of
// the current one.
func (b *Budget) advance(now domain.Instant) int {
	current := int64(now) / (int64(b.window) / bucketCount)
	for i := max(b.lastBucket+1, current-bucketCount+1); i <= current; i++ {
		b.requests[i%bucketCount] = 0
	}
	b.lastBucket = max(b.lastBucket, current)
	return int(b.lastBucket % bucketCount)
}
