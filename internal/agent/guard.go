package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// nextGrant returns the reservation that gets the free slot, and whether the
// starvation guard chose it. A lower tier leaves the headroom to higher ones.
func (c *Core) nextGrant(now domain.Instant) (*reservation, bool) {
	if row := c.guardChoice(now); row != nil {
		return row, true
	}
	row := c.commonOrder(now)
	if row == nil || c.held >= c.slotsFor(now, row.Tier) {
		return nil, false
	}
	return row, false
}

// guardChoice returns the reservation whose turn it is by the starvation guard,
// or nil.
func (c *Core) guardChoice(now domain.Instant) *reservation {
	if c.guardHeld >= policy.GuardSlots(c.slots()) {
		return nil
	}
	servable := func(class uint32) bool { return c.nextOfClass(now, class) != nil }
	class, due := c.queue.guard.NextStarved(servable)
	if !due {
		return nil
	}
	return c.nextOfClass(now, class)
}

// nextOfClass returns the next reservation of a class, the refused one where none
// is queued, or nil.
func (c *Core) nextOfClass(now domain.Instant, class uint32) *reservation {
	w, _ := c.service(now).Pick(c.connected(func(row *reservation) bool { return row.Class == class }))
	if w != nil {
		return c.reservationOf(w)
	}
	refused := c.refused.get(class)
	if refused == nil || !c.peerUp(refused.reservation.key.peer) {
		return nil
	}
	return refused.reservation
}

// rememberRefused keeps the newest reservation of a class that was refused, so
// that a class is served in the end although higher tiers fill the whole queue.
// It has no place in the queue. Its entry takes the grant if the call still
// waits, and declines it otherwise.
func (c *Core) rememberRefused(now domain.Instant, row *reservation) {
	c.forgetRefused(row.Class)
	c.queue.guard.Enqueue(row.Class)
	c.refused.put(row.Class, &refusedRow{reservation: row, refusedAt: now})
}

func (c *Core) forgetRefused(class uint32) {
	if c.refused.get(class) == nil {
		return
	}
	c.refused.remove(class)
	c.queue.guard.Dequeue(class)
}

// forgetRefusedOf forgets a refused reservation that has been queued or granted after all.
func (c *Core) forgetRefusedOf(key attemptKey, class uint32) {
	row := c.refused.get(class)
	if row != nil && row.reservation.key == key {
		c.forgetRefused(class)
	}
}
