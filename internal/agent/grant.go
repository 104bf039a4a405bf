package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// tickGrant grants free slots to queued reservations.
func (c *Core) tickGrant(now domain.Instant) {
	for c.freeSlots() > 0 {
		res, byGuard := c.nextGrant(now)
		if res == nil {
			return
		}
		c.grant(now, res, byGuard)
	}
}

// grant acquires a slot for a reservation and sends the grant to its entry. Nonces rise
// with each grant and are unique within the incarnation.
func (c *Core) grant(now domain.Instant, res *reservation, byGuard bool) {
	c.dequeue(res.key)
	c.forgetRefusedAttempt(res.key, res.Class)
	res.Flow = c.flow(res)
	c.queue.guard.RecordGrant(res.Class, byGuard)
	c.lastNonce++
	c.grants.put(res.key, &grantRecord{
		heldSlot:  c.acquireSlot(now, res, byGuard),
		key:       res.key,
		nonce:     c.lastNonce,
		expiresAt: now.Add(c.cfg.GrantTTL),
	})
	grant := &pb.Grant{
		Call:    uint64(res.key.call),
		Attempt: uint32(res.key.attempt),
		Nonce:   uint64(c.lastNonce),
		TtlMs:   uint32(c.cfg.GrantTTL.Milliseconds()),
	}
	c.send(res.key.peer, &pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: grant}})
}

// removeGrant removes a grant, if there is one, and frees its slot.
func (c *Core) removeGrant(key attemptKey) {
	grant := c.grants.get(key)
	if grant == nil {
		return
	}
	c.grants.remove(key)
	c.releaseSlot(grant.heldSlot, 0)
}

// handleHandOver starts an attempt if its grant is valid, and replies with its state.
//
// Invariant: an attempt is started at most once, and only with an outstanding grant of
// this incarnation for the same peer, call and attempt that has not expired on the
// agent's clock, and only if it has no tombstone. Any reply other than STARTED means
// that this message started nothing.
func (c *Core) handleHandOver(now domain.Instant, peer Peer, m *pb.HandOver) {
	key := attemptKeyOf(peer, m)
	state := c.startState(key, domain.Incarnation(m.GetIncarnation()), domain.Nonce(m.GetNonce()))
	if state == pb.StartState_START_UNSPECIFIED {
		state = c.validateHandOver(now, key, m)
	}
	reply := &pb.HandOverReply{Call: m.GetCall(), Attempt: m.GetAttempt(), State: state}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_HandOverReply{HandOverReply: reply}})
	if state == pb.StartState_STARTED && !c.wasStarted(key) {
		c.startRun(now, key, m)
	}
}

// startState returns the recorded state of an attempt, or START_UNSPECIFIED if it has
// not been started and could still be started. An attempt granted by another incarnation
// of the agent is FORGOTTEN.
//
// Invariant: NEVER_STARTED is returned only for an attempt with a tombstone. A nonce up
// to maxForgottenNonce may belong to a dropped record of a run, so the result is
// FORGOTTEN.
func (c *Core) startState(key attemptKey, incarnation domain.Incarnation, nonce domain.Nonce) pb.StartState {
	switch {
	case incarnation != c.cfg.Incarnation:
		return pb.StartState_FORGOTTEN
	case c.wasStarted(key):
		return pb.StartState_STARTED
	case c.tombstones.get(key) != nil:
		return pb.StartState_NEVER_STARTED
	case nonce <= c.maxForgottenNonce && c.maxForgottenNonce > 0:
		return pb.StartState_FORGOTTEN
	}
	return pb.StartState_START_UNSPECIFIED
}

// validateHandOver checks a hand-over against the outstanding grant. A rejected attempt
// gets a tombstone, because the reply NEVER_STARTED guarantees that it never starts.
func (c *Core) validateHandOver(now domain.Instant, key attemptKey, m *pb.HandOver) pb.StartState {
	grant := c.grants.get(key)
	valid := grant != nil &&
		grant.nonce == domain.Nonce(m.GetNonce()) &&
		now.Before(grant.expiresAt)
	if !valid {
		c.preventStart(now, key)
		return pb.StartState_NEVER_STARTED
	}
	return pb.StartState_STARTED
}

// preventStart removes the reservation and grant of an attempt that has not been started
// and adds a tombstone, so that it can never start.
func (c *Core) preventStart(now domain.Instant, key attemptKey) {
	c.withdraw(key)
	c.tombstones.put(key, &tombstone{addedAt: now})
}

// handleRevoke prevents an attempt that has not been started from starting, and replies
// with its state.
func (c *Core) handleRevoke(now domain.Instant, peer Peer, m *pb.Revoke) {
	key := attemptKeyOf(peer, m)
	state := c.startState(key, domain.Incarnation(m.GetIncarnation()), domain.Nonce(m.GetNonce()))
	if state == pb.StartState_START_UNSPECIFIED {
		c.preventStart(now, key)
		state = pb.StartState_NEVER_STARTED
	}
	reply := &pb.RevokeReply{Call: m.GetCall(), Attempt: m.GetAttempt(), State: state}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_RevokeReply{RevokeReply: reply}})
}
