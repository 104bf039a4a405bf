package agent

import (
	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// startRun starts an accepted attempt at the endpoint. The run takes over the slot of the
// grant.
func (c *Core) startRun(now domain.Instant, key attemptKey, m *pb.HandOver) {
	grant := c.grants.get(key)
	c.grants.remove(key)
	c.lastRun++
	c.runs.put(key, &runRecord{
		id:          c.lastRun,
		key:         key,
		heldSlot:    grant.heldSlot,
		nonce:       grant.nonce,
		state:       runActive,
		idempotent:  m.GetIdempotent(),
		preemptible: m.GetPreemptible(),
		startedAt:   now,
		checksum:    xxhash.New(),
	})
	c.keyByRun[c.lastRun] = key
	c.emit(EngineStart{Run: c.lastRun, HandOver: m})
}

// activeRun returns a run that has not ended, or nil.
func (c *Core) activeRun(id RunID) *runRecord {
	key, ok := c.keyByRun[id]
	if !ok {
		return nil
	}
	run := c.runs.get(key)
	if run == nil || run.state != runActive {
		return nil
	}
	return run
}

// handleCancel cancels a run whose answer is no longer wanted. A Cancel can overtake the
// hand-over of its attempt, which is then prevented from starting.
func (c *Core) handleCancel(now domain.Instant, key attemptKey) {
	if run := c.runs.get(key); run != nil {
		c.cancelRun(run, cancelByEntry)
		return
	}
	c.preventStart(now, key)
}

// cancelRun cancels an active run at the endpoint, once.
//
// Invariant: a non-idempotent run is never cancelled; it continues to its end.
func (c *Core) cancelRun(run *runRecord, cause cancelState) {
	if run.state != runActive || !run.idempotent || run.cancel != cancelNone {
		return
	}
	run.cancel = cause
	c.emit(EngineCancel{Run: run.id})
}

// handleEngineEnd ends a run, frees its slot and sends the End frame.
func (c *Core) handleEngineEnd(now domain.Instant, in EngineEnd) {
	run := c.activeRun(in.Run)
	if run == nil {
		return
	}
	run.state = runEnded
	run.endedAt = now
	c.releaseSlot(run.heldSlot, now.Sub(run.grantedAt))
	c.recordEnd(now, run, in.Reason)
	c.appendFrame(now, run, &pb.Frame{Part: &pb.Frame_End{End: &pb.End{
		Reason:       endReason(run, in.Reason),
		Frames:       run.lastSeq,
		Checksum:     run.checksum.Sum64(),
		FinishReason: in.FinishReason,
		PromptTokens: in.PromptTokens,
		AnswerTokens: in.AnswerTokens,
		Message:      in.Message,
	}}})
	c.archiveIfAcked(now, run)
}

// endReason returns the reason to report to the entry. A run that completed in spite of
// its cancellation counts as complete. An end without a reason is reported as broken,
// because the attempt may have been executed.
func endReason(run *runRecord, reason pb.EndReason) pb.EndReason {
	switch {
	case reason == pb.EndReason_END_UNSPECIFIED:
		return pb.EndReason_END_BROKEN
	case reason == pb.EndReason_END_CANCELLED && run.cancel == cancelByPreemption:
		return pb.EndReason_END_PREEMPTED
	case reason == pb.EndReason_END_CANCELLED && run.cancel == cancelByMemory:
		return pb.EndReason_END_BROKEN
	}
	return reason
}

// archiveIfAcked replaces the record of an ended run without unacknowledged frames by an
// archivedRun.
func (c *Core) archiveIfAcked(now domain.Instant, run *runRecord) {
	if run.state != runEnded || len(run.unacked) > 0 {
		return
	}
	delete(c.keyByRun, run.id)
	c.runs.remove(run.key)
	c.archived.put(run.key, &archivedRun{nonce: run.nonce, archivedAt: now})
}

// wasStarted reports whether an attempt is known to have been started.
func (c *Core) wasStarted(key attemptKey) bool {
	return c.runs.get(key) != nil || c.archived.get(key) != nil
}

// tickRun drops the records of runs, tombstones and changes after the retention time. It
// records the highest nonce among the dropped runs. The last three loops end at the first
// record that is not old enough, because records are in order of age. Only a tombstone
// that is added again keeps its place in spite of its newer time, which delays the
// removal of the tombstones after it.
func (c *Core) tickRun(now domain.Instant) {
	for _, run := range c.runs.all {
		if run.state == runEnded && now.Sub(run.endedAt) >= c.cfg.Retention {
			c.dropFrames(run, len(run.unacked))
			c.archiveIfAcked(now, run)
		}
	}
	for key, record := range c.archived.all {
		if now.Sub(record.archivedAt) < c.cfg.Retention {
			break
		}
		c.maxForgottenNonce = max(c.maxForgottenNonce, record.nonce)
		c.archived.remove(key)
	}
	for key, record := range c.tombstones.all {
		if now.Sub(record.addedAt) < c.cfg.Retention {
			break
		}
		c.tombstones.remove(key)
	}
	for change, record := range c.changes.all {
		if now.Sub(record.appliedAt) < c.cfg.Retention {
			break
		}
		c.changes.remove(change)
	}
}
