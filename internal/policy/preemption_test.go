package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

func TestMayPreempt(t *testing.T) {
	victim := RunningAttempt{Tier: 2, Idempotent: true, Preemptible: true}
	cases := []struct {
		name    string
		change  func(r *RunningAttempt)
		waiting domain.Tier
		want    bool
	}{
		{"for a higher tier", func(*RunningAttempt) {}, 1, true},
		{"never for the same tier", func(*RunningAttempt) {}, 2, false},
		{"never for a lower tier", func(*RunningAttempt) {}, 3, false},
		{"never a non-idempotent attempt", func(r *RunningAttempt) { r.Idempotent = false }, 0, false},
		{"only if the class allows it", func(r *RunningAttempt) { r.Preemptible = false }, 0, false},
		{"never a slot granted by the guard", func(r *RunningAttempt) { r.GrantedByGuard = true }, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := victim
			tc.change(&r)
			assert.Equal(t, MayPreempt(r, tc.waiting), tc.want)
		})
	}
}

func TestPreemptionHelps(t *testing.T) {
	const ms = time.Millisecond
	assert.Assert(t, PreemptionHelps(200*ms, 100*ms, 500*ms))
	assert.Assert(t, !PreemptionHelps(99*ms, 100*ms, 500*ms), "preemption although the target is out of reach")
	assert.Assert(t, !PreemptionHelps(700*ms, 100*ms, 500*ms), "safe")
}
