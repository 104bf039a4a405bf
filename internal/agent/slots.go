package agent

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// serviceTimeDivisor is the inverse weight of a new sample in the mean service time.
const serviceTimeDivisor = 8

// probeSlots is the slot limit while the endpoint is in backoff: one attempt tests whether
// it is reachable again.
const probeSlots = 1

// loadState is the measured load and health of the endpoint.
type loadState struct {
	limit *policy.AdaptiveLimit
	// serviceTime is the moving average of the time that a slot is held, 0 before the
	// first sample.
	serviceTime time.Duration
	// backoff is the current backoff. It is above 0 from when the endpoint was
	// unreachable until it answers.
	backoff time.Duration
	// retryAt is the end of the current backoff.
	retryAt domain.Instant
}

// newLoadState returns the initial state with a limit according to cfg.
func newLoadState(cfg Config) loadState {
	limit := policy.DefaultAdaptiveLimitConfig()
	limit.Initial = cfg.Slots
	limit.Min = cfg.MinSlots
	limit.Max = cfg.MaxSlots
	return loadState{limit: policy.NewAdaptiveLimit(limit)}
}

// slotLimit returns the current limit of concurrent attempts.
func (c *Core) slotLimit() int {
	if c.load.backoff > 0 {
		return probeSlots
	}
	return c.load.limit.Limit()
}

// slotsFor returns the number of slots that a tier may fill. Headroom is kept if a higher
// tier had a reservation within HeadroomTTL.
func (c *Core) slotsFor(now domain.Instant, tier domain.Tier) int {
	slotLimit := c.slotLimit()
	for higher := range tier {
		recent := c.queue.reserved[higher] && now.Sub(c.queue.lastReservedAt[higher]) < c.cfg.HeadroomTTL
		if recent {
			return slotLimit - policy.HeadroomSlots(slotLimit)
		}
	}
	return slotLimit
}

// freeSlots returns the number of slots that can be granted now.
func (c *Core) freeSlots() int {
	if c.draining() || !c.desired.configured || c.now.Before(c.load.retryAt) {
		return 0
	}
	return max(0, c.slotLimit()-c.heldSlots)
}

// expectedServiceTime returns the mean service time, or AssumedServiceTime before the
// first sample.
func (c *Core) expectedServiceTime() time.Duration {
	if c.load.serviceTime == 0 {
		return c.cfg.AssumedServiceTime
	}
	return c.load.serviceTime
}

// acquireSlot takes a slot for a reservation and charges the expected slot time to the
// client account.
func (c *Core) acquireSlot(now domain.Instant, res *reservation, byGuard bool) heldSlot {
	slot := heldSlot{
		tier:           res.Tier,
		flow:           res.Flow,
		charged:        c.expectedServiceTime(),
		grantedByGuard: byGuard,
		grantedAt:      now,
	}
	slot.flow.Acquire(slot.charged)
	c.heldSlots++
	if byGuard {
		c.guardHeldSlots++
	}
	return slot
}

// releaseSlot frees a slot and corrects the charge to the time that it was used.
func (c *Core) releaseSlot(slot heldSlot, used time.Duration) {
	slot.flow.Release(slot.charged, used)
	c.heldSlots--
	if slot.grantedByGuard {
		c.guardHeldSlots--
	}
}

// tickSlots frees the slots of expired grants and adjusts the limit at the end of a window.
func (c *Core) tickSlots(now domain.Instant) {
	for key, grant := range c.grants.all {
		if !now.Before(grant.expiresAt) {
			c.removeGrant(key)
		}
	}
	limit := c.load.limit
	limit.RecordUsedSlots(c.heldSlots)
	if !limit.WindowOver(now) {
		return
	}
	for _, run := range c.runs.all {
		if run.state == runActive && !c.paused(now) {
			c.recordPending(now, run)
		}
	}
	limit.EndWindow(now)
}

// recordPending records the time for which a run has sent no data, so that a stalled
// endpoint is detected before its runs end.
func (c *Core) recordPending(now domain.Instant, run *runRecord) {
	if !run.dataReceived {
		c.load.limit.RecordPendingFirstToken(now.Sub(run.startedAt))
		return
	}
	c.load.limit.RecordPendingTokenGap(now.Sub(run.lastDataAt))
}

// recordData records the latency of a part of an answer. The latency target of a plain
// service covers the whole answer, so its parts are not sampled.
func (c *Core) recordData(now domain.Instant, run *runRecord, tokens int) {
	c.load.backoff = 0
	if c.desired.kind == domain.ServiceModel {
		if run.dataReceived {
			c.load.limit.RecordTokenGap(now.Sub(run.lastDataAt), tokens)
		} else {
			c.load.limit.RecordFirstToken(now.Sub(run.startedAt))
		}
	}
	run.dataReceived = true
	run.lastDataAt = now
}

// recordEnd updates the load state with the result of a run. The endpoint did not execute
// an attempt that was not sent, was refused or was invalid, so the time that it held its
// slot is not a sample of the service time. An invalid request is the caller's error and
// not a failure of the endpoint.
func (c *Core) recordEnd(now domain.Instant, run *runRecord, reason pb.EndReason) {
	switch reason {
	case pb.EndReason_END_NOT_SENT:
		c.load.limit.RecordFailure()
		c.startBackoff(now)
		c.resetOrders()
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
	c.recordServiceTime(now.Sub(run.grantedAt))
}

// startBackoff suspends grants after the endpoint was unreachable. Each backoff is twice
// as long as the previous one, within bounds. Attempts that fail during a backoff do not
// extend it.
func (c *Core) startBackoff(now domain.Instant) {
	load := &c.load
	if load.backoff > 0 && now.Before(load.retryAt) {
		return
	}
	load.backoff = max(c.cfg.MinBackoff, min(c.cfg.MaxBackoff, 2*load.backoff))
	load.retryAt = now.Add(load.backoff)
}

// recordServiceTime adds a sample, the time that a slot was held, to the mean service time.
func (c *Core) recordServiceTime(held time.Duration) {
	if c.load.serviceTime == 0 {
		c.load.serviceTime = held
		return
	}
	c.load.serviceTime += (held - c.load.serviceTime) / serviceTimeDivisor
}
