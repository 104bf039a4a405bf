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

// In any window, wherever it begins, the repeats stay within the ratio of the
// most requests that a window around it may count, and the extra.
func TestRepeatsWithinAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(window, ratio, extra)
		var now domain.Instant
		var requests, repeats []domain.Instant
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				requests = append(requests, now)
			}
			if b.Take(now, 1) {
				repeats = append(repeats, now)
			}
			// A window of the budget is a whole number of buckets, so it may be one bucket short.
			from := now.Add(-window + window/buckets)
			counted := count(requests, now.Add(-window))
			assert.Assert(t, float64(count(repeats, from)) <= ratio*float64(counted)+extra)
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

func TestEmptyBudget(t *testing.T) {
	b := New(window, 0, 0)
	assert.Assert(t, !b.Take(0, 1))
}

func TestRepeatsComeBackAfterAWindow(t *testing.T) {
	b := New(window, 0, 2.5)
	assert.Assert(t, b.Take(0, 1))
	assert.Assert(t, b.Take(1, 1))
	assert.Assert(t, !b.Take(2, 1))
	assert.Assert(t, b.Take(domain.Instant(0).Add(window+time.Second), 1))
}

// The extra is there once, however many processes there are.
func TestExtraIsSharedByProcesses(t *testing.T) {
	const processes = 23
	taken := 0
	for range processes {
		b := New(window, 0, 80)
		for b.Take(0, processes) {
			taken++
		}
	}
	assert.Assert(t, taken > 0 && taken <= 80, "%d repeats", taken)
}
