package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Pauses of streams. While an engine prefills without pause, each decode step also
// prefills a chunk, so that the events of its streams are as far apart as its
// chunks and steps take. Where that is within what callers of decode-heavy
// requests accept, long prompts need not keep away from their engines.

const (
	// busyGapMargin is the least ratio of the accepted gap to the mean gap of streams
	// on prefilling engines at which the streams tolerate prefill. Single gaps are
	// longer than the mean.
	busyGapMargin = 1.3
	// minBusyGaps is the least number of gaps in the mean for it to count.
	minBusyGaps = 50
	// gapTargetMaxAge is how long the shortest gap target applies if no further request
	// has it.
	gapTargetMaxAge = 10 * time.Second
)

// busyGap is the mean gap between the events of a service's streams on engines that
// prefill, and the gap that callers accept.
type busyGap struct {
	gap  eventGap
	gaps int // number of gaps observed
	// tolerated is the shortest gap target of decode-heavy requests lately, at
	// toleratedAt; 0 if none was seen.
	tolerated   time.Duration
	toleratedAt domain.Instant
}

// observe adds a number of gaps that took elapsed in total and ended now.
func (g *busyGap) observe(now domain.Instant, elapsed time.Duration, events int) {
	g.gap.observe(now, elapsed, events)
	g.gaps += events
}

// accept records the gap target of a decode-heavy request; 0 if it has none.
func (g *busyGap) accept(now domain.Instant, target time.Duration) {
	if target <= 0 {
		return
	}
	if g.tolerated == 0 || target <= g.tolerated || now.Sub(g.toleratedAt) > gapTargetMaxAge {
		g.tolerated, g.toleratedAt = target, now
	}
}

// streamsToleratePrefill reports whether the streams of decode-heavy requests are
// expected to stay within their gap targets on an engine that prefills without pause.
func (g *busyGap) streamsToleratePrefill() bool {
	return g.gaps >= minBusyGaps && float64(g.gap.mean)*busyGapMargin <= float64(g.tolerated)
}
