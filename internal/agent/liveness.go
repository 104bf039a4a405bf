package agent

import (
	"math"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// documentsState is the rate limit of requests for configuration documents.
type documentsState struct {
	requested   bool
	requestedAt domain.Instant
}

// recordMessage records a message from an incarnation of an entry. It returns false if a
// newer incarnation is known. At the first message of a newer incarnation, the
// reservations, grants and frames of the previous one are dropped and its idempotent
// runs cancelled.
func (c *Core) recordMessage(now domain.Instant, peer Peer) bool {
	entry := c.entries.get(peer.Entry)
	if entry != nil && peer.Incarnation < entry.peer.Incarnation {
		return false
	}
	if entry == nil || peer.Incarnation > entry.peer.Incarnation {
		if entry != nil {
			c.dropEntryWork(entry)
			c.dropUnackedFrames(now, entry.peer)
		}
		entry = &entryRecord{peer: peer, connected: true, nextHeartbeat: now}
		c.entries.put(peer.Entry, entry)
	}
	entry.lastMessageAt = now
	if entry.gone {
		entry.gone = false
		entry.connected = true
	}
	return true
}

// handleEntryUp records a new connection. At the next Ack of each run, the agent resends
// all frames that the Ack does not cover, because frames sent on the old connection may
// be lost.
func (c *Core) handleEntryUp(now domain.Instant, peer Peer) {
	if !c.recordMessage(now, peer) {
		return
	}
	entry := c.entries.get(peer.Entry)
	entry.connected = true
	entry.nextHeartbeat = now
	for _, run := range c.runs.all {
		if run.key.peer == peer {
			run.resync = true
		}
	}
}

// handleEntryDown records the loss of a connection.
func (c *Core) handleEntryDown(peer Peer) {
	entry := c.entries.get(peer.Entry)
	if entry != nil && entry.peer == peer {
		entry.connected = false
	}
}

// peerConnected reports whether the peer is the current incarnation of its entry and has
// a connection.
func (c *Core) peerConnected(peer Peer) bool {
	entry := c.entries.get(peer.Entry)
	return entry != nil && entry.peer == peer && entry.connected
}

// peerGone reports whether the peer no longer waits for answers: its entry is unknown,
// has a newer incarnation or exceeded the grace period.
func (c *Core) peerGone(peer Peer) bool {
	entry := c.entries.get(peer.Entry)
	return entry == nil || entry.peer != peer || entry.gone
}

// tickLiveness marks entries without a message for EntryGracePeriod as gone and drops
// their work (see dropEntryWork). A paused agent receives no messages, so its own pauses
// do not count.
func (c *Core) tickLiveness(now domain.Instant) {
	for id, entry := range c.entries.all {
		if c.paused(now) {
			entry.lastMessageAt = min(now, entry.lastMessageAt.Add(now.Sub(c.lastTick)))
		}
		sinceMessage := now.Sub(entry.lastMessageAt)
		if !entry.gone && sinceMessage >= c.cfg.EntryGracePeriod {
			entry.gone = true
			entry.connected = false
			c.dropEntryWork(entry)
		}
		if entry.gone && sinceMessage >= c.cfg.Retention {
			c.entries.remove(id)
		}
	}
}

// paused reports whether the agent process was paused between the last tick and now.
func (c *Core) paused(now domain.Instant) bool {
	return c.lastTick != 0 && now.Sub(c.lastTick) >= c.cfg.PauseThreshold
}

// dropEntryWork drops the reservations, the remembered refused reservations and the grants
// of an incarnation that is gone, and cancels its idempotent runs. Non-idempotent runs
// continue to their end.
func (c *Core) dropEntryWork(entry *entryRecord) {
	for key := range c.reservations.all {
		if key.peer == entry.peer {
			c.dequeue(key)
		}
	}
	for _, refused := range c.refused.all {
		if refused.reservation.key.peer == entry.peer {
			c.forgetRefused(refused.reservation.Class)
		}
	}
	for key := range c.grants.all {
		if key.peer == entry.peer {
			c.removeGrant(key)
		}
	}
	for _, run := range c.runs.all {
		if run.key.peer == entry.peer {
			c.cancelRun(run, cancelByEntry)
		}
	}
}

// dropUnackedFrames drops the unacknowledged frames of a replaced incarnation.
func (c *Core) dropUnackedFrames(now domain.Instant, peer Peer) {
	for _, run := range c.runs.all {
		if run.key.peer == peer {
			run.done = true
			c.dropFrames(run, len(run.unacked))
			c.archiveIfAcked(now, run)
		}
	}
}

// handlePeerRevision records the revision of an entry and, if it is newer than the one in
// force, requests the documents in between. Requests are at least DocumentsInterval apart.
func (c *Core) handlePeerRevision(now domain.Instant, peer Peer, revision domain.Revision) {
	c.entries.get(peer.Entry).revision = revision
	if revision <= c.desired.revision {
		return
	}
	if c.documents.requested && now.Sub(c.documents.requestedAt) < c.cfg.DocumentsInterval {
		return
	}
	c.documents = documentsState{requested: true, requestedAt: now}
	request := &pb.DocumentsRequest{After: uint64(c.desired.revision)}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_DocumentsRequest{DocumentsRequest: request}})
}

// announcement is the part of a heartbeat whose changes are sent immediately.
type announcement struct {
	draining bool
	revision domain.Revision
}

// tickHeartbeat sends a heartbeat to each connected entry every HeartbeatInterval, and
// immediately when the announcement changes.
func (c *Core) tickHeartbeat(now domain.Instant) {
	current := announcement{draining: c.draining(), revision: c.desired.revision}
	changed := current != c.desired.announced
	c.desired.announced = current
	for _, entry := range c.entries.all {
		if !entry.connected || (now.Before(entry.nextHeartbeat) && !changed) {
			continue
		}
		entry.nextHeartbeat = now.Add(c.cfg.HeartbeatInterval)
		c.send(entry.peer, &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: c.nextHeartbeat()}})
	}
}

// nextHeartbeat returns a heartbeat with the current state.
func (c *Core) nextHeartbeat() *pb.AgentHeartbeat {
	h := &pb.AgentHeartbeat{
		Revision:     uint64(c.desired.revision),
		FreeSlots:    uint32(c.freeSlots()),
		Slots:        uint32(c.slotLimit()),
		Queued:       uint32(c.reservations.len()),
		Draining:     c.draining(),
		ServiceUs:    uint32(min(c.load.serviceTime.Microseconds(), math.MaxUint32)),
		FirstTokenUs: uint32(min(c.load.limit.MeanFirstToken().Microseconds(), math.MaxUint32)),
	}
	for tier, queued := range c.queue.queuedByTier {
		if queued > 0 {
			h.LowestTierQueued = uint32(tier) + 1 // 0 means that none is queued
		}
	}
	return h
}
