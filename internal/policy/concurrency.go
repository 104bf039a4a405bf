package policy

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// AdaptiveLimitConfig configures an AdaptiveLimit.
type AdaptiveLimitConfig struct {
	// Initial, Min and Max are numbers of concurrent attempts.
	Initial int
	Min     int
	Max     int
	// Window is the length of the sampling window between two adjustments.
	Window time.Duration
	// IncreaseBelow is the multiple of the baseline latency below which the limit
	// is increased.
	IncreaseBelow float64
	// DecreaseAbove is the multiple of the baseline latency above which the limit
	// is decreased. The gap between IncreaseBelow and DecreaseAbove is the hysteresis.
	DecreaseAbove float64
	// DecreaseFactor is the factor of a multiplicative decrease.
	DecreaseFactor float64
	// BaselineDrift is the fraction by which the baseline grows in each window, so
	// that a permanent latency change of the endpoint becomes the new baseline.
	BaselineDrift float64
}

// DefaultAdaptiveLimitConfig returns the production defaults.
func DefaultAdaptiveLimitConfig() AdaptiveLimitConfig {
	return AdaptiveLimitConfig{
		Initial:        8,
		Min:            1,
		Max:            64,
		Window:         500 * time.Millisecond,
		IncreaseBelow:  2,
		DecreaseAbove:  3,
		DecreaseFactor: 0.7,
		BaselineDrift:  0.002,
	}
}

// windowWeight is the weight of the newest window in the moving average.
const windowWeight = 0.5

// latencyTracker compares the moving average of one latency with its baseline.
type latencyTracker struct {
	sum      time.Duration // over the current window
	samples  int           // in the current window
	mean     float64       // moving average over windows, ns; 0 before the first sample
	baseline float64       // minimum of the mean with a slow upward drift, ns
}

// add adds samples with the total latency d.
func (t *latencyTracker) add(d time.Duration, samples int) {
	t.sum += d
	t.samples += samples
}

// endWindow updates the mean and the baseline from the current window. It returns
// false if the window had no samples.
func (t *latencyTracker) endWindow(drift float64) bool {
	if t.samples == 0 {
		return false
	}
	windowMean := float64(t.sum) / float64(t.samples)
	t.sum, t.samples = 0, 0
	if t.mean == 0 {
		t.mean = windowMean
	}
	t.mean += (windowMean - t.mean) * windowWeight
	t.baseline *= 1 + drift
	if t.baseline == 0 || t.mean < t.baseline {
		t.baseline = t.mean
	}
	return true
}

// ratio returns the mean as a multiple of the baseline, or 0 before the first sample.
func (t *latencyTracker) ratio() float64 {
	if t.baseline == 0 {
		return 0
	}
	return t.mean / t.baseline
}

// reportValidWindows is the number of windows for which a reported queue stays valid.
const reportValidWindows = 4

// AdaptiveLimit is the adaptive concurrency limit of one endpoint. After each
// window it increases by one if the limit was fully used, latency is near the
// baseline and the endpoint reports no queue. It decreases by a factor if latency
// is far above the baseline or the endpoint failed. Load reports lag, so a
// reported queue only prevents an increase and never causes a decrease.
type AdaptiveLimit struct {
	cfg           AdaptiveLimitConfig
	limit         float64
	firstToken    latencyTracker
	tokenGap      latencyTracker
	windowEnd     domain.Instant
	peakUsed      int  // maximum of slots in use during the window
	failed        bool // the endpoint failed or refused an attempt during the window
	mayDecrease   bool // false in the window after a decrease
	reportedQueue int  // remaining windows for which the last reported queue is valid, 0 for none
}

// NewAdaptiveLimit returns a limit at the configured initial value.
func NewAdaptiveLimit(cfg AdaptiveLimitConfig) *AdaptiveLimit {
	return &AdaptiveLimit{cfg: cfg, limit: float64(cfg.Initial), mayDecrease: true}
}

// Limit returns the maximum number of concurrent attempts, between Min and Max.
func (l *AdaptiveLimit) Limit() int {
	return max(l.cfg.Min, min(l.cfg.Max, int(l.limit)))
}

// RecordFirstToken adds a sample of the time from the start of an attempt to its
// first token, or to the end of the answer for a plain service.
func (l *AdaptiveLimit) RecordFirstToken(d time.Duration) { l.firstToken.add(d, 1) }

// RecordTokenGap adds a sample for each of the tokens in a part of an answer. They
// share d, the time since the previous part, equally. 0 tokens count as 1.
func (l *AdaptiveLimit) RecordTokenGap(d time.Duration, tokens int) {
	l.tokenGap.add(d, max(1, tokens))
}

// RecordPendingFirstToken adds the elapsed time of an attempt that has no first
// token yet. The final latency is unknown, so the sample is only used if it
// already exceeds DecreaseAbove times the baseline.
func (l *AdaptiveLimit) RecordPendingFirstToken(d time.Duration) { l.recordPending(&l.firstToken, d) }

// RecordPendingTokenGap adds the elapsed time since the last token of a running
// attempt, under the same condition as RecordPendingFirstToken.
func (l *AdaptiveLimit) RecordPendingTokenGap(d time.Duration) { l.recordPending(&l.tokenGap, d) }

// recordPending adds an unfinished sample if it is already far above the baseline.
func (l *AdaptiveLimit) recordPending(tracker *latencyTracker, d time.Duration) {
	if tracker.baseline > 0 && float64(d) > tracker.baseline*l.cfg.DecreaseAbove {
		tracker.add(d, 1)
	}
}

// RecordReportedQueue records the queue length from the endpoint's load report.
func (l *AdaptiveLimit) RecordReportedQueue(reportedQueue uint32) {
	l.reportedQueue = 0
	if reportedQueue > 0 {
		l.reportedQueue = reportValidWindows
	}
}

// RecordFailure records that the endpoint failed or refused an attempt.
func (l *AdaptiveLimit) RecordFailure() { l.failed = true }

// MeanFirstToken returns the moving average of the time to the first token, 0
// before the first sample.
func (l *AdaptiveLimit) MeanFirstToken() time.Duration { return time.Duration(l.firstToken.mean) }

// RecordUsedSlots records the number of slots in use now.
func (l *AdaptiveLimit) RecordUsedSlots(slots int) { l.peakUsed = max(l.peakUsed, slots) }

// WindowOver reports whether the window has elapsed. The caller then records the
// pending attempts (RecordPendingFirstToken, RecordPendingTokenGap) and calls EndWindow.
func (l *AdaptiveLimit) WindowOver(now domain.Instant) bool { return !now.Before(l.windowEnd) }

// EndWindow ends the window, adjusts the limit and starts the next window.
func (l *AdaptiveLimit) EndWindow(now domain.Instant) {
	l.windowEnd = now.Add(l.cfg.Window)
	sampled := l.firstToken.endWindow(l.cfg.BaselineDrift)
	sampled = l.tokenGap.endWindow(l.cfg.BaselineDrift) || sampled
	l.adapt(sampled)
	l.peakUsed = 0
	l.failed = false
	l.reportedQueue = max(0, l.reportedQueue-1)
}

// adapt adjusts the limit after a window. It skips a decrease in the window after
// a decrease, because that window still holds samples from before it.
func (l *AdaptiveLimit) adapt(sampled bool) {
	ratio := max(l.firstToken.ratio(), l.tokenGap.ratio())
	mayIncrease := l.peakUsed >= l.Limit() && l.reportedQueue == 0
	switch {
	case l.failed || (sampled && ratio > l.cfg.DecreaseAbove):
		if l.mayDecrease {
			l.limit = max(float64(l.cfg.Min), l.limit*l.cfg.DecreaseFactor)
		}
		l.mayDecrease = !l.mayDecrease
	case sampled && ratio < l.cfg.IncreaseBelow && mayIncrease:
		l.limit = min(float64(l.cfg.Max), l.limit+1)
		l.mayDecrease = true
	default:
		l.mayDecrease = true
	}
}

// The slot limit is divided by headroomDivisor to get the headroom, and by guardDivisor
// to get the maximum number of slots granted by the starvation guard.
const (
	headroomDivisor = 8
	guardDivisor    = 8
)

// HeadroomSlots returns the number of slots that lower tiers leave free for higher
// tiers. It is 0 for small limits, of which even one slot is a large share.
func HeadroomSlots(limit int) int { return limit / headroomDivisor }

// GuardSlots returns the maximum number of slots granted by the starvation guard
// that may be held at once.
func GuardSlots(limit int) int { return max(1, limit/guardDivisor) }
