package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// engine simulates an endpoint whose tokens slow down above its capacity.
type engine struct {
	limit *AdaptiveLimit
	now   domain.Instant
}

// run uses all slots of the limit during each window. With up to capacity attempts the
// time between tokens is base.
func (e *engine) run(windows, capacity int, base time.Duration) {
	for range windows {
		slots := e.limit.Limit()
		tokenGap := base * time.Duration(max(capacity, slots*slots/capacity)) / time.Duration(capacity)
		e.limit.RecordUsedSlots(slots)
		e.limit.RecordFirstToken(10 * tokenGap)
		e.limit.RecordTokenGap(tokenGap*100, 100)
		e.now = e.now.Add(500 * time.Millisecond)
		e.limit.EndWindow(e.now)
	}
}

func TestAdaptiveLimitFollowsCapacity(t *testing.T) {
	e := &engine{limit: NewAdaptiveLimit(DefaultAdaptiveLimitConfig())}
	e.run(100, 16, 20*time.Millisecond)
	converged := e.limit.Limit()
	assert.Assert(t, converged >= 16 && converged <= 32, "limit %d for a capacity of 16", converged)

	e.run(20, 16, 200*time.Millisecond)
	assert.Assert(t, e.limit.Limit() <= converged/4, "limit %d of a slow endpoint", e.limit.Limit())

	e.run(100, 16, 20*time.Millisecond)
	assert.Assert(t, e.limit.Limit() >= 16, "limit %d after recovery", e.limit.Limit())
}

func TestAdaptiveLimitHysteresis(t *testing.T) {
	cases := []struct {
		name      string
		tokenGap  time.Duration
		usedSlots int
		failed    bool
		queued    uint32
		want      int
	}{
		{"near the baseline", 15 * time.Millisecond, 8, false, 0, 9},
		{"near the baseline, limit not in use", 15 * time.Millisecond, 7, false, 0, 8},
		{"near the baseline, queue reported", 15 * time.Millisecond, 8, false, 1, 8},
		{"between the thresholds", 40 * time.Millisecond, 8, false, 0, 8},
		{"far above the baseline", 90 * time.Millisecond, 8, false, 0, 5},
		{"failed", 15 * time.Millisecond, 8, true, 0, 5},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			l := NewAdaptiveLimit(DefaultAdaptiveLimitConfig())
			l.RecordTokenGap(10*time.Millisecond, 1)
			l.EndWindow(0) // sets the baseline
			l.RecordTokenGap(tc.tokenGap, 1)
			l.RecordUsedSlots(tc.usedSlots)
			l.RecordReportedQueue(tc.queued)
			if tc.failed {
				l.RecordFailure()
			}
			l.EndWindow(1)
			assert.Equal(t, l.Limit(), tc.want)
		})
	}
}

func TestAdaptiveLimitDetectsStalledAttempt(t *testing.T) {
	l := NewAdaptiveLimit(DefaultAdaptiveLimitConfig())
	l.RecordFirstToken(100 * time.Millisecond)
	l.EndWindow(0)
	l.RecordPendingFirstToken(200 * time.Millisecond) // below the decrease threshold
	l.EndWindow(1)
	assert.Equal(t, l.Limit(), 8)
	assert.Equal(t, l.MeanFirstToken(), 100*time.Millisecond)
	l.RecordPendingFirstToken(10 * time.Second)
	l.EndWindow(2)
	assert.Equal(t, l.Limit(), 5)
}

// A baseline that was measured under load is lowered when the load falls.
func TestAdaptiveLimitBaselineFalls(t *testing.T) {
	l := NewAdaptiveLimit(DefaultAdaptiveLimitConfig())
	for now := range domain.Instant(20) {
		tokenGap := 10 * time.Millisecond
		if now < 5 || now >= 10 {
			tokenGap = 80 * time.Millisecond
		}
		l.RecordTokenGap(tokenGap, 1)
		l.EndWindow(now)
	}
	assert.Assert(t, l.Limit() < 4, "limit %d", l.Limit())
}
