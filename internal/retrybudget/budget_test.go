package retrybudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	window = 10 * time.Second
	ratio  = 0.2
	extra  = 7.0
)

// In any window, wherever it begins, the number of retries is at most the ratio
// of the requests in the window plus the extra.
func TestRetriesWithinAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(window, ratio, extra)
		var now domain.Instant
		var requests, retries []domain.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			}
			if b.TakeRetry(now, 1) {
				retries = append(retries, now)
			}
			// The budget's window is a whole number of buckets and can be one bucket short.
			from := now.Add(-window + window/bucketCount)
			windowRequests := count(requests, now.Add(-window))
			assert.Assert(t, float64(count(retries, from)) <= ratio*float64(windowRequests)+extra)
		}
	})
}

func count(times []domain.Instant, after domain.Instant) int {
	n := 0
	for _, at := range times {
		if at > after {
			n++
		}
	}
	return n
}

func TestZeroBudgetAllowsNoRetries(t *testing.T) {
	b := New(window, 0, 0)
	assert.Assert(t, !b.TakeRetry(0, 1))
}

func TestRetriesReturnAfterWindow(t *testing.T) {
	b := New(window, 0, 2.5)
	assert.Assert(t, b.TakeRetry(0, 1))
	assert.Assert(t, b.TakeRetry(1, 1))
	assert.Assert(t, !b.TakeRetry(2, 1))
	assert.Assert(t, b.TakeRetry(domain.Instant(0).Add(window+time.Second), 1))
}

// All processes together have the extra only once.
func TestExtraIsDividedBetweenProcesses(t *testing.T) {
	const processes = 23
	taken := 0
	for range processes {
		b := New(window, 0, 80)
		for b.TakeRetry(0, processes) {
			taken++
		}
	}
	assert.Assert(t, taken > 0 && taken <= 80, "%d retries", taken)
}
