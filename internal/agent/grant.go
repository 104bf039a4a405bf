package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// tickGrant offers free slots to the reservations that are next.
func (c *Core) tickGrant(now domain.Instant) {
	for c.freeSlots() > 0 {
		row, byGuard := c.nextGrant(now)
		if row == nil {
			return
		}
		c.grant(now, row, byGuard)
	}
}

// grant holds a slot for an attempt. The nonce rises with each grant and is
// never used again within the incarnation.
func (c *Core) grant(now domain.Instant, row *reservation, byGuard bool) {
	c.unqueue(row.key)
	c.forgetRefusedOf(row.key, row.Class)
	row.Flow = c.flow(row)
	c.queue.guard.RecordGrant(row.Class, byGuard)
	c.lastNonce++
	c.grants.put(row.key, &grantRow{
		slotHold: c.takeSlot(now, row, byGuard),
		key:      row.key,
		nonce:    c.lastNonce,
		expires:  now.Add(c.cfg.GrantTTL),
	})
	grant := &pb.Grant{
		Call:    uint64(row.key.call),
		Attempt: uint32(row.key.attempt),
		Nonce:   uint64(c.lastNonce),
		TtlMs:   uint32(c.cfg.GrantTTL.Milliseconds()),
	}
	c.send(row.key.peer, &pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: grant}})
}

// removeGrant ends a grant and frees its slot.
func (c *Core) removeGrant(key attemptKey) {
	grant := c.grants.get(key)
	if grant == nil {
		return
	}
	c.grants.remove(key)
	c.releaseSlot(grant.slotHold, 0)
}

// handOver starts an attempt if its grant allows it.
//
// Invariant: an attempt is started at most once, and only with a grant of this
// incarnation for that very peer, call and attempt, which is outstanding and
// has not expired by the agent's clock, and if no tombstone stands. Any other
// answer than STARTED means that this message started nothing.
func (c *Core) handOver(now domain.Instant, peer Peer, m *pb.HandOver) {
	key := keyOf(peer, m)
	state := c.word(key, domain.Incarnation(m.GetIncarnation()), domain.Nonce(m.GetNonce()))
	if state == pb.StartState_START_UNSPECIFIED {
		state = c.accept(now, key, m)
	}
	reply := &pb.HandOverReply{Call: m.GetCall(), Attempt: m.GetAttempt(), State: state}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_HandOverReply{HandOverReply: reply}})
	if state == pb.StartState_STARTED && !c.wasStarted(key) {
		c.start(now, key, m)
	}
}

// word returns what the records say of an attempt, or START_UNSPECIFIED where
// the attempt has not been started and could still be.
//
// Invariant: NEVER_STARTED is said only of an attempt that a tombstone bars. A
// nonce up to the highest that was dropped from the records may have been used,
// so it gets FORGOTTEN.
func (c *Core) word(key attemptKey, incarnation domain.Incarnation, nonce domain.Nonce) pb.StartState {
	switch {
	case incarnation != c.cfg.Incarnation:
		return pb.StartState_FORGOTTEN
	case c.wasStarted(key):
		return pb.StartState_STARTED
	case c.tombstones.get(key) != nil:
		return pb.StartState_NEVER_STARTED
	case nonce <= c.forgotten && c.forgotten > 0:
		return pb.StartState_FORGOTTEN
	}
	return pb.StartState_START_UNSPECIFIED
}

// accept checks a hand-over against the outstanding grant. A refused attempt
// gets a tombstone, since NEVER_STARTED is a promise.
func (c *Core) accept(now domain.Instant, key attemptKey, m *pb.HandOver) pb.StartState {
	grant := c.grants.get(key)
	valid := grant != nil &&
		grant.nonce == domain.Nonce(m.GetNonce()) &&
		now.Before(grant.expires)
	if !valid {
		c.bar(now, key)
		return pb.StartState_NEVER_STARTED
	}
	return pb.StartState_STARTED
}

// bar keeps an attempt that has not started from ever starting.
func (c *Core) bar(now domain.Instant, key attemptKey) {
	c.withdraw(key)
	c.tombstones.put(key, &tombstone{addedAt: now})
}

// revoke gives the agent's word on an attempt and keeps one that has not
// started from starting.
func (c *Core) revoke(now domain.Instant, peer Peer, m *pb.Revoke) {
	key := keyOf(peer, m)
	state := c.word(key, domain.Incarnation(m.GetIncarnation()), domain.Nonce(m.GetNonce()))
	if state == pb.StartState_START_UNSPECIFIED {
		c.bar(now, key)
		state = pb.StartState_NEVER_STARTED
	}
	reply := &pb.RevokeReply{Call: m.GetCall(), Attempt: m.GetAttempt(), State: state}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_RevokeReply{RevokeReply: reply}})
}
