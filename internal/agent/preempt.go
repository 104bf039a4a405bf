package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// tickPreempt cancels a running attempt where the reservation that is next
// would otherwise miss its target. One preemption is in progress at a time, so
// that the slot it frees is seen before more work is wasted.
func (c *Core) tickPreempt(now domain.Instant) {
	if c.draining() || c.load.backoff > 0 || c.preempting() {
		return
	}
	const highest domain.Tier = 0
	if c.preemptionVictim(highest) == nil {
		return // spares the look at the queue
	}
	next := c.commonOrder(now)
	if next == nil || c.held != c.slotsFor(now, next.Tier) {
		return // a slot is free, or one more would not be enough
	}
	slack := next.Deadline.Sub(now)
	wait := policy.ExpectedWait(0, c.slots(), c.expectedService())
	if !policy.PreemptionMeetsTarget(slack, c.load.limit.MeanFirstToken(), wait) {
		return
	}
	if victim := c.preemptionVictim(next.Tier); victim != nil {
		c.cancelRun(victim, cancelByPreemption)
	}
}

// preempting reports whether a preempted run still holds its slot.
func (c *Core) preempting() bool {
	for _, run := range c.runs.all {
		if run.state == runActive && run.cancel == cancelByPreemption {
			return true
		}
	}
	return false
}

// preemptionVictim returns the run to cancel for a tier, or nil.
func (c *Core) preemptionVictim(tier domain.Tier) *runRow {
	var victim *runRow
	for _, run := range c.runs.all {
		if run.state != runActive || run.cancel != cancelNone {
			continue
		}
		if !policy.MayPreempt(run.running(), tier) {
			continue
		}
		if victim == nil || policy.PreemptedBefore(run.running(), victim.running()) {
			victim = run
		}
	}
	return victim
}

func (r *runRow) running() policy.RunningAttempt {
	return policy.RunningAttempt{
		Tier:           r.tier,
		StartedAt:      r.startedAt,
		Idempotent:     r.idempotent,
		Preemptible:    r.preemptible,
		GrantedByGuard: r.guarded,
	}
}
