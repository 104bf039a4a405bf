// Package retrybudget limits how many requests of a service are retried at
// another endpoint. Within any window of time, retries are bounded by a ratio of
// the requests and a fixed extra that is divided between all processes. Each
// gateway keeps one Budget per service.
package retrybudget

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// bucketCount is the number of buckets into which a window is divided to count its
// requests and retries.
const bucketCount = 20

// usableShare is the share of the allowance that is used. The limit has to hold in
// every window, wherever it begins, and the windows of other processes begin at other
// times. A window can therefore hold retries that were allowed for requests outside
// it; the rest of the allowance covers these.
const usableShare = 0.8

// Budget counts the requests and retries of one service in this process. It is not
// safe for concurrent use.
type Budget struct {
	window time.Duration
	ratio  float64
	extra  float64

	lastBucket int64
	requests   [bucketCount]int
	retries    [bucketCount]int
}

// New returns a budget that allows, per window, ratio retries for each request and
// in addition extra retries, which are divided between all processes.
func New(window time.Duration, ratio, extra float64) *Budget {
	return &Budget{window: window, ratio: ratio, extra: extra}
}

// RecordRequest counts a request.
func (b *Budget) RecordRequest(now domain.Instant) { b.requests[b.advance(now)]++ }

// TakeRetry counts a retry and reports true if the budget allows one. The extra
// retries are divided by the number of processes, or by 1 if that is lower.
func (b *Budget) TakeRetry(now domain.Instant, processes int) bool {
	bucket := b.advance(now)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > usableShare*(b.ratio*float64(requests)+b.extra/float64(max(processes, 1))) {
		return false
	}
	b.retries[bucket]++
	return true
}

// advance empties the buckets that have left the window and returns the index of
// the current one.
func (b *Budget) advance(now domain.Instant) int {
	current := int64(now) / (int64(b.window) / bucketCount)
	for i := max(b.lastBucket+1, current-bucketCount+1); i <= current; i++ {
		b.requests[i%bucketCount], b.retries[i%bucketCount] = 0, 0
	}
	b.lastBucket = max(b.lastBucket, current)
	return int(b.lastBucket % bucketCount)
}
