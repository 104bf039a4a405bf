package agent

import (
	"iter"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// maxSlack bounds the slack of a reservation (the time to its deadline, negative if past)
// in both directions.
const maxSlack = 24 * time.Hour

// reservationOverheadBytes is the estimated memory of a reservation without the entry ID.
const reservationOverheadBytes = 192

// maxLeadServiceTimes is the number of mean service times by which a client account may be
// ahead of its fair share.
const maxLeadServiceTimes = 4

// queueState is the state of the queue besides the reservations.
type queueState struct {
	guard          *policy.StarvationGuard
	bytes          int                              // memory of the queued reservations
	queuedByTier   [domain.TierCount]int            // number of queued reservations
	virtualTime    [domain.TierCount]time.Duration  // fair queueing clock: lowest virtual time at the last pick
	lastReservedAt [domain.TierCount]domain.Instant // time of the last reservation that was queued, or refused only because the queue was full
	reserved       [domain.TierCount]bool           // whether lastReservedAt is set
}

func newQueueState(cfg Config) queueState {
	return queueState{guard: policy.NewStarvationGuard(cfg.GuardMinGap)}
}

// handleReserve queues a reservation or refuses it with a reason. It ignores attempts that
// are granted, were started or have a tombstone, and only refreshes queued ones, so that
// repeated and delayed messages have no other effect.
func (c *Core) handleReserve(now domain.Instant, peer Peer, m *pb.Reserve) {
	key := attemptKeyOf(peer, m)
	if c.wasStarted(key) || c.tombstones.get(key) != nil || c.grants.get(key) != nil {
		return
	}
	if res := c.reservations.get(key); res != nil {
		res.refreshedAt = now
		return
	}
	res := newReservation(now, key, m)
	if reason := c.refusalReason(now, res, m); reason != pb.RefuseReason_REFUSE_UNSPECIFIED {
		c.refuse(res, reason)
		return
	}
	c.queue.reserved[res.Tier] = true
	c.queue.lastReservedAt[res.Tier] = now
	res.Flow = c.flow(res)
	if !c.displaceFor(now, res) {
		c.refuse(res, pb.RefuseReason_REFUSE_FULL)
		c.rememberRefused(now, res)
		return
	}
	c.enqueue(res)
}

// newReservation returns a reservation with the tier and slack limited to their ranges.
func newReservation(now domain.Instant, key attemptKey, m *pb.Reserve) *reservation {
	slack := time.Duration(m.GetSlackMs()) * time.Millisecond
	slack = max(-maxSlack, min(maxSlack, slack))
	return &reservation{
		QueuedRequest: policy.QueuedRequest{
			Tier:     domain.Tier(min(m.GetTier(), domain.TierCount-1)),
			Class:    m.GetClass(),
			Deadline: now.Add(slack),
		},
		key:         key,
		account:     m.GetAccount(),
		lateOK:      m.GetLateOk(),
		refreshedAt: now,
	}
}

// refusalReason returns why a reservation can't be queued regardless of the queue length,
// or REFUSE_UNSPECIFIED. One that is too late is refused like one that finds the queue
// full: the entry treats both as overload, and the refusal carries a retry delay.
func (c *Core) refusalReason(now domain.Instant, res *reservation, m *pb.Reserve) pb.RefuseReason {
	switch {
	case c.draining():
		return pb.RefuseReason_REFUSE_DRAINING
	case !c.desired.configured:
		return pb.RefuseReason_REFUSE_NOT_READY
	case !c.servesModel(domain.ModelName(m.GetModel())):
		return pb.RefuseReason_REFUSE_MODEL
	case res.tooLate(now):
		return pb.RefuseReason_REFUSE_FULL
	}
	return pb.RefuseReason_REFUSE_UNSPECIFIED
}

// tooLate reports whether the deadline has passed and the caller does not want a late
// answer.
func (r *reservation) tooLate(now domain.Instant) bool {
	return !r.lateOK && r.Deadline.Before(now)
}

// displaceFor displaces queued reservations until a new one fits into the queue. It
// reports false if the new one is to be refused.
//
// Invariant: the queue never exceeds its bounds, and no reservation is refused or
// displaced because of a full queue while one of a lower tier remains queued.
func (c *Core) displaceFor(now domain.Instant, incoming *reservation) bool {
	for c.reservations.len() >= c.cfg.MaxQueued || c.queue.bytes+incoming.bytes() > c.cfg.MaxQueueBytes {
		var victim *reservation
		queued := func(yield func(*policy.QueuedRequest) bool) {
			for _, res := range c.reservations.all {
				if !yield(&res.QueuedRequest) {
					return
				}
			}
		}
		if request := policy.DisplacementVictim(&incoming.QueuedRequest, queued); request != nil {
			victim = c.reservationOf(request)
		}
		if victim == nil {
			return false
		}
		reason := pb.RefuseReason_REFUSE_FULL
		if incoming.Tier.Higher(victim.Tier) {
			reason = pb.RefuseReason_REFUSE_DISPLACED
		}
		c.dequeue(victim.key)
		c.refuse(victim, reason)
		c.rememberRefused(now, victim)
	}
	return true
}

// refuse sends a refusal. An overload refusal carries a retry delay.
func (c *Core) refuse(res *reservation, reason pb.RefuseReason) {
	reply := &pb.ReserveReply{
		Call:    uint64(res.key.call),
		Attempt: uint32(res.key.attempt),
		Reason:  reason,
	}
	overload := reason == pb.RefuseReason_REFUSE_FULL || reason == pb.RefuseReason_REFUSE_DISPLACED
	if overload {
		reply.RetryAfterMs = uint32(c.retryAfter(res.Tier).Milliseconds())
	}
	c.send(res.key.peer, &pb.ToEntry{Kind: &pb.ToEntry_ReserveReply{ReserveReply: reply}})
}

// retryAfter returns the retry delay for a refused reservation, given the queued
// reservations of its tier and higher tiers.
func (c *Core) retryAfter(tier domain.Tier) time.Duration {
	ahead := 0
	for _, queued := range c.queue.queuedByTier[:tier+1] {
		ahead += queued
	}
	return policy.RetryAfter(ahead, c.slotLimit(), c.expectedServiceTime())
}

// bytes returns the estimated memory of the reservation.
func (r *reservation) bytes() int { return reservationOverheadBytes + len(r.key.peer.Entry) }

// enqueue adds a reservation to the queue.
func (c *Core) enqueue(res *reservation) {
	c.lastArrivalSeq++
	res.ArrivalSeq = c.lastArrivalSeq
	res.Flow.Enqueue(c.queue.virtualTime[res.Tier])
	c.queue.guard.Enqueue(res.Class)
	c.queue.queuedByTier[res.Tier]++
	c.queue.bytes += res.bytes()
	c.reservations.put(res.key, res)
	c.byArrival[res.ArrivalSeq] = res
	c.forgetRefusedAttempt(res.key, res.Class)
}

// dequeue removes a reservation from the queue, if it is queued.
func (c *Core) dequeue(key attemptKey) {
	res := c.reservations.get(key)
	if res == nil {
		return
	}
	c.reservations.remove(key)
	delete(c.byArrival, res.ArrivalSeq)
	res.Flow.Dequeue()
	c.queue.guard.Dequeue(res.Class)
	c.queue.queuedByTier[res.Tier]--
	c.queue.bytes -= res.bytes()
}

// reservationOf returns the queued reservation of a request that policy selected.
func (c *Core) reservationOf(r *policy.QueuedRequest) *reservation { return c.byArrival[r.ArrivalSeq] }

// flow returns the fair queueing state of the reservation's account in its tier and
// creates it if necessary.
func (c *Core) flow(res *reservation) *policy.Flow {
	key := flowKey{tier: res.Tier, account: res.account}
	flow := c.flows.get(key)
	if flow == nil {
		flow = &policy.Flow{VirtualTime: c.queue.virtualTime[res.Tier]}
		c.flows.put(key, flow)
	}
	return flow
}

// withdraw removes the reservation, the grant and the remembered refused reservation of an
// attempt.
func (c *Core) withdraw(key attemptKey) {
	c.dequeue(key)
	c.removeGrant(key)
	for class, refused := range c.refused.all {
		if refused.reservation.key == key {
			c.forgetRefused(class)
		}
	}
}

// tickQueue drops reservations that were not repeated within ReservationTTL, refuses
// those that are too late, and drops old refused reservations and idle flows.
func (c *Core) tickQueue(now domain.Instant) {
	for key, res := range c.reservations.all {
		switch {
		case now.Sub(res.refreshedAt) >= c.cfg.ReservationTTL:
			c.dequeue(key)
		case res.tooLate(now):
			c.dequeue(key)
			c.refuse(res, pb.RefuseReason_REFUSE_FULL)
		}
	}
	for class, res := range c.refused.all {
		if now.Sub(res.refusedAt) >= c.cfg.RefusedTTL {
			c.forgetRefused(class)
		}
	}
	for key, flow := range c.flows.all {
		if flow.Idle(c.queue.virtualTime[key.tier]) {
			c.flows.remove(key)
		}
	}
}

// nextByPriority returns the next reservation in priority order, or nil. It also advances
// the virtual time of the tier. Reservations of disconnected entries are skipped, because
// a grant to them would be lost.
func (c *Core) nextByPriority(now domain.Instant) *reservation {
	request, minVirtualTime := c.scheduler(now).Pick(c.connectedRequests(func(*reservation) bool { return true }))
	if request == nil {
		return nil
	}
	c.queue.virtualTime[request.Tier] = max(c.queue.virtualTime[request.Tier], minVirtualTime)
	return c.reservationOf(request)
}

// connectedRequests iterates over the queued requests of connected entries that match a
// filter.
func (c *Core) connectedRequests(filter func(*reservation) bool) iter.Seq[*policy.QueuedRequest] {
	return func(yield func(*policy.QueuedRequest) bool) {
		for key, res := range c.reservations.all {
			if !c.peerConnected(key.peer) || !filter(res) {
				continue
			}
			if !yield(&res.QueuedRequest) {
				return
			}
		}
	}
}

// scheduler returns the scheduler with the current estimates of the endpoint.
func (c *Core) scheduler(now domain.Instant) policy.Scheduler {
	return policy.Scheduler{
		Now:          now,
		TimeToTarget: c.load.limit.MeanFirstToken(),
		MaxLead:      maxLeadServiceTimes * c.expectedServiceTime(),
	}
}
