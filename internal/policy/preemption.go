package policy

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// RunningAttempt describes a running attempt as a candidate for preemption.
type RunningAttempt struct {
	Tier        domain.Tier
	StartedAt   domain.Instant
	Idempotent  bool
	Preemptible bool
	// GrantedByGuard reports whether the starvation guard granted the slot.
	GrantedByGuard bool
}

// MayPreempt reports whether a running attempt may be cancelled in favour of a
// waiting request of the given tier.
//
// Invariant: a preempted attempt is of a strictly lower tier, is idempotent, and
// its class allows preemption. An attempt that the starvation guard granted is
// never preempted, because its class might otherwise never be served.
func MayPreempt(r RunningAttempt, waiting domain.Tier) bool {
	return waiting.Higher(r.Tier) && r.Idempotent && r.Preemptible && !r.GrantedByGuard
}

// PreemptedBefore reports whether a is preempted in preference to b: the lower
// tier first, then the attempt that started later, which wastes less work.
func PreemptedBefore(a, b RunningAttempt) bool {
	if a.Tier != b.Tier {
		return b.Tier.Higher(a.Tier)
	}
	return b.StartedAt.Before(a.StartedAt)
}

// PreemptionHelps reports whether a request meets its deadline if it gets a slot now
// and misses it if it waits for one. Otherwise preemption would waste work without
// changing the result. slack is the time to the deadline, needed the expected time
// from a grant to the first token, or to the whole answer of a plain service, and
// wait the expected wait for a slot.
func PreemptionHelps(slack, needed, wait time.Duration) bool {
	spare := slack - needed
	return spare >= 0 && spare < wait
}
