package agent

import (
	"iter"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// maxSlack bounds the slack of a reservation in both directions.
const maxSlack = 24 * time.Hour

// reservationBytes is the memory of one reservation besides the entry's name.
const reservationBytes = 192

// lagServices is how many mean service times a client account may run ahead of its fair share.
const lagServices = 4

// queueState is what the queue keeps besides its rows.
type queueState struct {
	guard   *policy.StarvationGuard
	bytes   int
	tiers   [domain.Tiers]int            // queued reservations
	virtual [domain.Tiers]time.Duration  // least virtual time served last
	seenAt  [domain.Tiers]domain.Instant // of the newest reservation
	seen    [domain.Tiers]bool
}

func newQueueState(cfg Config) queueState {
	return queueState{guard: policy.NewStarvationGuard(cfg.GuardEvery)}
}

// reserve queues a reservation or says why not. An attempt that is queued,
// granted or started already, or may never start, is left as it is, so a
// repeated or delayed Reserve changes nothing.
func (c *Core) reserve(now domain.Instant, peer Peer, m *pb.Reserve) {
	key := keyOf(peer, m)
	if c.wasStarted(key) || c.tombstones.get(key) != nil || c.grants.get(key) != nil {
		return
	}
	if row := c.reservations.get(key); row != nil {
		row.heardAt = now
		return
	}
	row := newReservation(now, key, m)
	if reason := c.refusal(now, row, m); reason != pb.RefuseReason_REFUSE_UNSPECIFIED {
		c.refuse(row, reason)
		return
	}
	c.queue.seen[row.Tier] = true
	c.queue.seenAt[row.Tier] = now
	row.Flow = c.flow(row)
	if !c.makeRoom(now, row) {
		c.refuse(row, pb.RefuseReason_REFUSE_FULL)
		c.rememberRefused(now, row)
		return
	}
	c.enqueue(row)
}

func newReservation(now domain.Instant, key attemptKey, m *pb.Reserve) *reservation {
	slack := time.Duration(m.GetSlackMs()) * time.Millisecond
	slack = max(-maxSlack, min(maxSlack, slack))
	return &reservation{
		QueuedRequest: policy.QueuedRequest{
			Tier:     domain.Tier(min(m.GetTier(), domain.Tiers-1)),
			Class:    m.GetClass(),
			Deadline: now.Add(slack),
		},
		key:     key,
		account: m.GetAccount(),
		lateOK:  m.GetLateOk(),
		heardAt: now,
	}
}

// refusal returns why a reservation can't be queued at all.
func (c *Core) refusal(now domain.Instant, row *reservation, m *pb.Reserve) pb.RefuseReason {
	switch {
	case c.draining():
		return pb.RefuseReason_REFUSE_DRAINING
	case !c.desired.configured:
		return pb.RefuseReason_REFUSE_NOT_READY
	case !c.offers(domain.ModelName(m.GetModel())):
		return pb.RefuseReason_REFUSE_MODEL
	case row.unwanted(now):
		return pb.RefuseReason_REFUSE_FULL
	}
	return pb.RefuseReason_REFUSE_UNSPECIFIED
}

// unwanted reports whether the target has passed of a request that is not wanted late.
func (r *reservation) unwanted(now domain.Instant) bool {
	return !r.lateOK && r.Deadline.Before(now)
}

// makeRoom displaces queued reservations until a newcomer fits, and reports
// whether it does.
//
// Invariant: the queue never holds more than its bounds, and no reservation is
// refused or displaced while one of a lower tier keeps its place.
func (c *Core) makeRoom(now domain.Instant, newcomer *reservation) bool {
	for c.reservations.len() >= c.cfg.MaxQueued || c.queue.bytes+newcomer.bytes() > c.cfg.MaxQueueBytes {
		var victim *reservation
		byWaiting := func(yield func(*policy.QueuedRequest) bool) {
			for _, row := range c.reservations.all {
				if !yield(&row.QueuedRequest) {
					return
				}
			}
		}
		if w := policy.DisplacementVictim(&newcomer.QueuedRequest, byWaiting); w != nil {
			victim = c.reservationOf(w)
		}
		if victim == nil {
			return false
		}
		reason := pb.RefuseReason_REFUSE_FULL
		if newcomer.Tier.Higher(victim.Tier) {
			reason = pb.RefuseReason_REFUSE_DISPLACED
		}
		c.unqueue(victim.key)
		c.refuse(victim, reason)
		c.rememberRefused(now, victim)
	}
	return true
}

// refuse says that a reservation is not queued.
func (c *Core) refuse(row *reservation, reason pb.RefuseReason) {
	reply := &pb.ReserveReply{
		Call:    uint64(row.key.call),
		Attempt: uint32(row.key.attempt),
		Reason:  reason,
	}
	overload := reason == pb.RefuseReason_REFUSE_FULL || reason == pb.RefuseReason_REFUSE_DISPLACED
	if overload {
		reply.RetryAfterMs = uint32(c.retryAfter(row.Tier).Milliseconds())
	}
	c.send(row.key.peer, &pb.ToEntry{Kind: &pb.ToEntry_ReserveReply{ReserveReply: reply}})
}

// retryAfter returns when those queued in a tier and above will have been served.
func (c *Core) retryAfter(tier domain.Tier) time.Duration {
	ahead := 0
	for _, queued := range c.queue.tiers[:tier+1] {
		ahead += queued
	}
	return policy.RetryAfter(ahead, c.slots(), c.expectedService())
}

func (r *reservation) bytes() int { return reservationBytes + len(r.key.peer.Entry) }

func (c *Core) enqueue(row *reservation) {
	c.lastOrder++
	row.ArrivalSeq = c.lastOrder
	row.Flow.Enqueue(c.queue.virtual[row.Tier])
	c.queue.guard.Enqueue(row.Class)
	c.queue.tiers[row.Tier]++
	c.queue.bytes += row.bytes()
	c.reservations.put(row.key, row)
	c.byOrder[row.ArrivalSeq] = row
	c.forgetRefusedOf(row.key, row.Class)
}

// unqueue takes a reservation out of the queue, if it is in it.
func (c *Core) unqueue(key attemptKey) {
	row := c.reservations.get(key)
	if row == nil {
		return
	}
	c.reservations.remove(key)
	delete(c.byOrder, row.ArrivalSeq)
	row.Flow.Dequeue()
	c.queue.guard.Dequeue(row.Class)
	c.queue.tiers[row.Tier]--
	c.queue.bytes -= row.bytes()
}

// reservationOf returns the queued reservation that a choice of policy names.
func (c *Core) reservationOf(w *policy.QueuedRequest) *reservation { return c.byOrder[w.ArrivalSeq] }

// flow returns the row of the reservation's account in its tier.
func (c *Core) flow(row *reservation) *policy.Flow {
	key := flowKey{tier: row.Tier, account: row.account}
	flow := c.flows.get(key)
	if flow == nil {
		flow = &policy.Flow{VirtualTime: c.queue.virtual[row.Tier]}
		c.flows.put(key, flow)
	}
	return flow
}

// withdraw takes back a reservation or a declined grant.
func (c *Core) withdraw(key attemptKey) {
	c.unqueue(key)
	c.removeGrant(key)
	for class, refused := range c.refused.all {
		if refused.reservation.key == key {
			c.forgetRefused(class)
		}
	}
}

// tickQueue forgets reservations that were not repeated, refuses those whose
// target has passed and are not wanted late, and drops idle flows.
func (c *Core) tickQueue(now domain.Instant) {
	for key, row := range c.reservations.all {
		switch {
		case now.Sub(row.heardAt) >= c.cfg.ReservationTTL:
			c.unqueue(key)
		case row.unwanted(now):
			c.unqueue(key)
			c.refuse(row, pb.RefuseReason_REFUSE_FULL)
		}
	}
	for class, row := range c.refused.all {
		if now.Sub(row.refusedAt) >= c.cfg.RefusedTTL {
			c.forgetRefused(class)
		}
	}
	for key, flow := range c.flows.all {
		if flow.Idle(c.queue.virtual[key.tier]) {
			c.flows.remove(key)
		}
	}
}

// commonOrder returns the reservation that is next in the common order, or nil.
// Entries without a connection are passed over, as a grant to them would be lost.
func (c *Core) commonOrder(now domain.Instant) *reservation {
	w, floor := c.service(now).Pick(c.connected(func(*reservation) bool { return true }))
	if w == nil {
		return nil
	}
	c.queue.virtual[w.Tier] = max(c.queue.virtual[w.Tier], floor)
	return c.reservationOf(w)
}

// connected returns the queued reservations of connected entries that a filter lets through.
func (c *Core) connected(filter func(*reservation) bool) iter.Seq[*policy.QueuedRequest] {
	return func(yield func(*policy.QueuedRequest) bool) {
		for key, row := range c.reservations.all {
			if !c.peerUp(key.peer) || !filter(row) {
				continue
			}
			if !yield(&row.QueuedRequest) {
				return
			}
		}
	}
}

// service returns what the order of service depends on.
func (c *Core) service(now domain.Instant) policy.Scheduler {
	return policy.Scheduler{
		Now:          now,
		TimeToTarget: c.load.limit.MeanFirstToken(),
		MaxLead:      lagServices * c.expectedService(),
	}
}
