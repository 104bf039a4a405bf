package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// nextGrant returns the reservation to grant a free slot to, or nil, and whether the
// starvation guard selected it. In priority order, lower tiers leave the headroom free.
func (c *Core) nextGrant(now domain.Instant) (*reservation, bool) {
	if res := c.nextByGuard(now); res != nil {
		return res, true
	}
	res := c.nextByPriority(now)
	if res == nil || c.heldSlots >= c.slotsFor(now, res.Tier) {
		return nil, false
	}
	return res, false
}

// nextByGuard returns the reservation that the starvation guard selects, or nil if no
// class is starved or the guard holds all its slots.
func (c *Core) nextByGuard(now domain.Instant) *reservation {
	if c.guardHeldSlots >= policy.GuardSlots(c.slotLimit()) {
		return nil
	}
	servable := func(class uint32) bool { return c.nextInClass(now, class) != nil }
	class, ok := c.queue.guard.NextStarved(servable)
	if !ok {
		return nil
	}
	return c.nextInClass(now, class)
}

// nextInClass returns the next queued reservation of a class. If none is queued, it
// returns the remembered refused reservation, or nil.
func (c *Core) nextInClass(now domain.Instant, class uint32) *reservation {
	request, _ := c.scheduler(now).Pick(c.connectedRequests(func(res *reservation) bool { return res.Class == class }))
	if request != nil {
		return c.reservationOf(request)
	}
	refused := c.refused.get(class)
	if refused == nil || !c.peerConnected(refused.reservation.key.peer) {
		return nil
	}
	return refused.reservation
}

// rememberRefused records the last refused reservation of a class, so that the starvation
// guard can serve the class even while higher tiers fill the whole queue. A remembered
// reservation takes no place in the queue. Its entry accepts the grant if the call is
// still waiting and declines it otherwise.
func (c *Core) rememberRefused(now domain.Instant, res *reservation) {
	c.forgetRefused(res.Class)
	c.queue.guard.Enqueue(res.Class)
	c.refused.put(res.Class, &refusedReservation{reservation: res, refusedAt: now})
}

// forgetRefused drops the remembered refused reservation of a class, if there is one.
func (c *Core) forgetRefused(class uint32) {
	if c.refused.get(class) == nil {
		return
	}
	c.refused.remove(class)
	c.queue.guard.Dequeue(class)
}

// forgetRefusedAttempt drops the remembered refused reservation of an attempt that has
// since been queued or granted.
func (c *Core) forgetRefusedAttempt(key attemptKey, class uint32) {
	remembered := c.refused.get(class)
	if remembered != nil && remembered.reservation.key == key {
		c.forgetRefused(class)
	}
}
