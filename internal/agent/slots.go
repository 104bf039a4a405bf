package agent

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// serviceTimeWeight is the divisor of a new sample in the mean service time.
const serviceTimeWeight = 8

// probeSlots is the number of slots while it is not known whether the endpoint
// can be reached again.
const probeSlots = 1

// loadState is what the agent has measured of its endpoint.
type loadState struct {
	limit *policy.AdaptiveLimit
	// serviceTime is the moving mean of the time that a slot is held, 0 at first.
	serviceTime time.Duration
	// backoff is above zero from when the endpoint could not be reached until it answers.
	backoff time.Duration
	// retryAt is when the endpoint may be tried again during a backoff.
	retryAt domain.Instant
}

func newLoadState(cfg Config) loadState {
	limit := policy.DefaultAdaptiveLimitConfig()
	limit.Initial = cfg.Slots
	limit.Min = cfg.MinSlots
	limit.Max = cfg.MaxSlots
	return loadState{limit: policy.NewAdaptiveLimit(limit)}
}

// slots returns the number of slots.
func (c *Core) slots() int {
	if c.load.backoff > 0 {
		return probeSlots
	}
	return c.load.limit.Limit()
}

// slotsFor returns the number of slots that a tier may fill. Headroom is kept
// for the higher tiers that have asked for slots lately.
func (c *Core) slotsFor(now domain.Instant, tier domain.Tier) int {
	slots := c.slots()
	for higher := range tier {
		wanted := c.queue.seen[higher] && now.Sub(c.queue.seenAt[higher]) < c.cfg.HeadroomTTL
		if wanted {
			return slots - policy.HeadroomSlots(slots)
		}
	}
	return slots
}

// freeSlots returns the number of slots that could be granted now.
func (c *Core) freeSlots() int {
	if c.draining() || !c.desired.configured || c.now.Before(c.load.retryAt) {
		return 0
	}
	return max(0, c.slots()-c.held)
}

// expectedService returns the mean service time, or an assumed one at first.
func (c *Core) expectedService() time.Duration {
	if c.load.serviceTime == 0 {
		return c.cfg.AssumedServiceTime
	}
	return c.load.serviceTime
}

// takeSlot holds a slot and charges its expected time to the client account.
func (c *Core) takeSlot(now domain.Instant, row *reservation, byGuard bool) slotHold {
	hold := slotHold{
		tier:      row.Tier,
		flow:      row.Flow,
		charge:    c.expectedService(),
		guarded:   byGuard,
		grantedAt: now,
	}
	hold.flow.Acquire(hold.charge)
	c.held++
	if byGuard {
		c.guardHeld++
	}
	return hold
}

// releaseSlot frees a slot and charges the time for which it was used.
func (c *Core) releaseSlot(hold slotHold, used time.Duration) {
	hold.flow.Release(hold.charge, used)
	c.held--
	if hold.guarded {
		c.guardHeld--
	}
}

// tickSlots frees the slots of expired grants and adapts the limit.
func (c *Core) tickSlots(now domain.Instant) {
	for key, grant := range c.grants.all {
		if !now.Before(grant.expires) {
			c.removeGrant(key)
		}
	}
	limit := c.load.limit
	limit.RecordUsedSlots(c.held)
	if !limit.WindowOver(now) {
		return
	}
	for _, run := range c.runs.all {
		if run.state == runActive && !c.paused(now) {
			c.learnPending(now, run)
		}
	}
	limit.EndWindow(now)
}

// learnPending reports a run that has been silent for long, so that an endpoint
// that has stopped answering is seen before its answers end.
func (c *Core) learnPending(now domain.Instant, run *runRow) {
	if !run.answering {
		c.load.limit.RecordPendingFirstToken(now.Sub(run.startedAt))
		return
	}
	c.load.limit.RecordPendingTokenGap(now.Sub(run.tokenAt))
}

// learnToken takes the time of a part of an answer. A plain service's target
// counts to the whole answer, so its parts say nothing.
func (c *Core) learnToken(now domain.Instant, run *runRow, tokens int) {
	c.load.backoff = 0
	if c.desired.kind == domain.ServiceModel {
		if run.answering {
			c.load.limit.RecordTokenGap(now.Sub(run.tokenAt), tokens)
		} else {
			c.load.limit.RecordFirstToken(now.Sub(run.startedAt))
		}
	}
	run.answering = true
	run.tokenAt = now
}

// learnEnd takes the end of a run.
func (c *Core) learnEnd(now domain.Instant, run *runRow, reason pb.EndReason) {
	switch reason {
	case pb.EndReason_END_NOT_SENT:
		c.load.limit.RecordFailure()
		c.backOff(now)
		c.repeatOrders()
		return
	case pb.EndReason_END_REFUSED:
		c.load.limit.RecordFailure()
		return
	case pb.EndReason_END_INVALID:
		return
	case pb.EndReason_END_BROKEN, pb.EndReason_END_UNSPECIFIED:
		c.load.limit.RecordFailure()
	case pb.EndReason_END_COMPLETE:
		c.load.backoff = 0
		if c.desired.kind == domain.ServicePlain {
			c.load.limit.RecordFirstToken(now.Sub(run.startedAt))
		}
	}
	c.served(now.Sub(run.grantedAt))
}

// backOff stops the grants for a while after the endpoint could not be reached.
// Attempts that fail during the backoff do not lengthen it.
func (c *Core) backOff(now domain.Instant) {
	load := &c.load
	if load.backoff > 0 && now.Before(load.retryAt) {
		return
	}
	load.backoff = max(c.cfg.MinBackoff, min(c.cfg.MaxBackoff, 2*load.backoff))
	load.retryAt = now.Add(load.backoff)
}

// served adds a sample to the mean service time.
func (c *Core) served(held time.Duration) {
	if c.load.serviceTime == 0 {
		c.load.serviceTime = held
		return
	}
	c.load.serviceTime += (held - c.load.serviceTime) / serviceTimeWeight
}
