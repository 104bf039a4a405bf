package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// tickPreempt cancels a run if the next queued reservation would otherwise miss its
// target. Only one preemption is in progress at a time, so that the freed slot is used
// before more work is wasted.
func (c *Core) tickPreempt(now domain.Instant) {
	if c.draining() || c.load.backoff > 0 || c.preempting() {
		return
	}
	const highest domain.Tier = 0
	if c.preemptionVictim(highest) == nil {
		return // no run can be preempted for any tier; skip the queue
	}
	next := c.nextByPriority(now)
	if next == nil || c.heldSlots != c.slotsFor(now, next.Tier) {
		return // a slot is free, or one more slot would not be enough
	}
	slack := next.Deadline.Sub(now)
	wait := policy.ExpectedWait(0, c.slotLimit(), c.expectedServiceTime())
	if !policy.PreemptionHelps(slack, c.load.limit.MeanFirstToken(), wait) {
		return
	}
	if victim := c.preemptionVictim(next.Tier); victim != nil {
		c.cancelRun(victim, cancelByPreemption)
	}
}

// preempting reports whether a run that is being preempted still holds its slot.
func (c *Core) preempting() bool {
	for _, run := range c.runs.all {
		if run.state == runActive && run.cancel == cancelByPreemption {
			return true
		}
	}
	return false
}

// preemptionVictim returns the run to preempt for a request of a tier, or nil.
func (c *Core) preemptionVictim(tier domain.Tier) *runRecord {
	var victim *runRecord
	for _, run := range c.runs.all {
		if run.state != runActive || run.cancel != cancelNone {
			continue
		}
		if !policy.MayPreempt(run.preemptionCandidate(), tier) {
			continue
		}
		if victim == nil || policy.PreemptedBefore(run.preemptionCandidate(), victim.preemptionCandidate()) {
			victim = run
		}
	}
	return victim
}

// preemptionCandidate returns the properties of the run that preemption depends on.
func (r *runRecord) preemptionCandidate() policy.RunningAttempt {
	return policy.RunningAttempt{
		Tier:           r.tier,
		StartedAt:      r.startedAt,
		Idempotent:     r.idempotent,
		Preemptible:    r.preemptible,
		GrantedByGuard: r.grantedByGuard,
	}
}
