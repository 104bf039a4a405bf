package agent

import (
	"math"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// documentsState limits the requests for documents.
type documentsState struct {
	asked   bool
	askedAt domain.Instant
}

// heard records that a message came from an incarnation of an entry. It returns
// false for one older than the newest known.
func (c *Core) heard(now domain.Instant, peer Peer) bool {
	row := c.entries.get(peer.Entry)
	if row != nil && peer.Incarnation < row.peer.Incarnation {
		return false
	}
	if row == nil || peer.Incarnation > row.peer.Incarnation {
		if row != nil {
			c.dropEntry(row)
			c.dropAnswers(now, row.peer)
		}
		row = &entryRow{peer: peer, up: true, heartbeat: now}
		c.entries.put(peer.Entry, row)
	}
	row.heardAt = now
	if row.gone {
		row.gone = false
		row.up = true
	}
	return true
}

// entryUp takes a new connection. The first Ack of each run then brings all
// frames after it, as those sent on the old connection may be lost.
func (c *Core) entryUp(now domain.Instant, peer Peer) {
	if !c.heard(now, peer) {
		return
	}
	row := c.entries.get(peer.Entry)
	row.up = true
	row.heartbeat = now
	for _, run := range c.runs.all {
		if run.key.peer == peer {
			run.resync = true
		}
	}
}

func (c *Core) entryDown(peer Peer) {
	row := c.entries.get(peer.Entry)
	if row != nil && row.peer == peer {
		row.up = false
	}
}

// peerUp reports whether messages to the peer have a connection.
func (c *Core) peerUp(peer Peer) bool {
	row := c.entries.get(peer.Entry)
	return row != nil && row.peer == peer && row.up
}

// peerGone reports whether nobody at the peer waits for answers any more.
func (c *Core) peerGone(peer Peer) bool {
	row := c.entries.get(peer.Entry)
	return row == nil || row.peer != peer || row.gone
}

// tickLiveness drops the work of entries that have been silent for the grace
// period. While the agent itself is paused it hears nobody, so its own pauses
// do not count as silence.
func (c *Core) tickLiveness(now domain.Instant) {
	for id, row := range c.entries.all {
		if c.paused(now) {
			row.heardAt = min(now, row.heardAt.Add(now.Sub(c.lastTick)))
		}
		silence := now.Sub(row.heardAt)
		if !row.gone && silence >= c.cfg.EntryGrace {
			row.gone = true
			row.up = false
			c.dropEntry(row)
		}
		if row.gone && silence >= c.cfg.Retention {
			c.entries.remove(id)
		}
	}
}

// paused reports whether the agent itself stood still until now.
func (c *Core) paused(now domain.Instant) bool {
	return c.lastTick != 0 && now.Sub(c.lastTick) >= c.cfg.PauseGap
}

// dropEntry drops the reservations and grants of a lost incarnation and cancels
// its idempotent runs. Non-idempotent runs go on to their end.
func (c *Core) dropEntry(row *entryRow) {
	for key := range c.reservations.all {
		if key.peer == row.peer {
			c.unqueue(key)
		}
	}
	for _, refused := range c.refused.all {
		if refused.reservation.key.peer == row.peer {
			c.forgetRefused(refused.reservation.Class)
		}
	}
	for key := range c.grants.all {
		if key.peer == row.peer {
			c.removeGrant(key)
		}
	}
	for _, run := range c.runs.all {
		if run.key.peer == row.peer {
			c.cancelRun(run, cancelByEntry)
		}
	}
}

// dropAnswers drops the frames kept for an incarnation that has been replaced.
func (c *Core) dropAnswers(now domain.Instant, peer Peer) {
	for _, run := range c.runs.all {
		if run.key.peer == peer {
			run.done = true
			c.dropFrames(run, len(run.frames))
			c.settle(now, run)
		}
	}
}

// peerRevision asks an entry that is ahead for the documents in between.
func (c *Core) peerRevision(now domain.Instant, peer Peer, revision domain.Revision) {
	c.entries.get(peer.Entry).revision = revision
	if revision <= c.desired.revision {
		return
	}
	if c.documents.asked && now.Sub(c.documents.askedAt) < c.cfg.DocumentsEvery {
		return
	}
	c.documents = documentsState{asked: true, askedAt: now}
	request := &pb.DocumentsRequest{After: uint64(c.desired.revision)}
	c.send(peer, &pb.ToEntry{Kind: &pb.ToEntry_DocumentsRequest{DocumentsRequest: request}})
}

// announcement is what entries are told at once when it changes.
type announcement struct {
	draining bool
	revision domain.Revision
}

// tickHeartbeat tells each connected entry what the agent could take, and at
// once when it starts or stops draining or has a new configuration in force.
func (c *Core) tickHeartbeat(now domain.Instant) {
	news := announcement{draining: c.draining(), revision: c.desired.revision}
	changed := news != c.desired.announced
	c.desired.announced = news
	for _, row := range c.entries.all {
		if !row.up || (now.Before(row.heartbeat) && !changed) {
			continue
		}
		row.heartbeat = now.Add(c.cfg.HeartbeatEvery)
		c.send(row.peer, &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: c.heartbeat()}})
	}
}

func (c *Core) heartbeat() *pb.AgentHeartbeat {
	h := &pb.AgentHeartbeat{
		Revision:  uint64(c.desired.revision),
		FreeSlots: uint32(c.freeSlots()),
		Slots:     uint32(c.slots()),
		Queued:    uint32(c.reservations.len()),
		Draining:  c.draining(),
		ServiceUs: uint32(min(c.load.serviceTime.Microseconds(), math.MaxUint32)),

		FirstTokenUs: uint32(min(c.load.limit.MeanFirstToken().Microseconds(), math.MaxUint32)),
	}
	for tier, queued := range c.queue.tiers {
		if queued > 0 {
			h.LowestTierQueued = uint32(tier) + 1
		}
	}
	return h
}
