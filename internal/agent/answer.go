package agent

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// frameOverheadBytes is the estimated memory of an unacknowledged frame without its data.
const frameOverheadBytes = 128

// handleEngineHead forwards the status and headers of an answer.
func (c *Core) handleEngineHead(now domain.Instant, in EngineHead) {
	run := c.activeRun(in.Run)
	if run == nil {
		return
	}
	head := &pb.Head{Status: in.Status, Headers: in.Headers}
	c.appendFrame(now, run, &pb.Frame{Part: &pb.Frame_Head{Head: head}})
}

// handleEngineData forwards a part of an answer and records its latency.
func (c *Core) handleEngineData(now domain.Instant, in EngineData) {
	run := c.activeRun(in.Run)
	if run == nil {
		return
	}
	c.recordData(now, run, int(in.Tokens))
	_, _ = run.checksum.Write(in.Data) // xxhash.Digest.Write never returns an error
	data := &pb.Data{Data: in.Data, Tokens: in.Tokens}
	c.appendFrame(now, run, &pb.Frame{Part: &pb.Frame_Data{Data: data}})
}

// appendFrame assigns the next sequence number to a frame, sends it, and stores it
// until it is acknowledged. A frame that the entry no longer needs is only numbered.
//
// Invariant: the frames of an attempt are numbered from 1 without gaps, and each
// sequence number identifies one frame.
func (c *Core) appendFrame(now domain.Instant, run *runRecord, frame *pb.Frame) {
	run.lastSeq++
	frame.Call = uint64(run.key.call)
	frame.Attempt = uint32(run.key.attempt)
	frame.Seq = run.lastSeq
	if run.done {
		return
	}
	stored := unackedFrame{frame: frame, bytes: frameOverheadBytes + len(frame.GetData().GetData())}
	run.unacked = append(run.unacked, stored)
	run.unackedBytes += stored.bytes
	c.unackedBytes += stored.bytes
	c.sendFrame(now, run, len(run.unacked)-1)
}

// dropFrames drops the first n unacknowledged frames of a run.
func (c *Core) dropFrames(run *runRecord, n int) {
	for i := range run.unacked[:n] {
		run.unackedBytes -= run.unacked[i].bytes
		c.unackedBytes -= run.unacked[i].bytes
		run.unacked[i] = unackedFrame{}
	}
	run.unacked = run.unacked[n:]
}

// sendFrame sends the unacknowledged frame with index i if its entry is connected.
func (c *Core) sendFrame(now domain.Instant, run *runRecord, i int) {
	if !c.peerConnected(run.key.peer) {
		return
	}
	run.unacked[i].sentAt = now
	frame := run.unacked[i].frame
	c.send(run.key.peer, &pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: frame}})
}

// handleAck drops the acknowledged frames. After a reconnect it resends the others.
func (c *Core) handleAck(now domain.Instant, peer Peer, m *pb.Ack) {
	run := c.runs.get(attemptKeyOf(peer, m))
	if run == nil {
		return
	}
	run.ackedSeq = max(run.ackedSeq, min(m.GetSeq(), run.lastSeq))
	acked := 0
	for acked < len(run.unacked) && run.unacked[acked].frame.GetSeq() <= run.ackedSeq {
		acked++
	}
	c.dropFrames(run, acked)
	if m.GetDone() {
		run.done = true
		c.dropFrames(run, len(run.unacked))
		c.cancelRun(run, cancelByEntry)
	}
	if run.resync {
		run.resync = false
		for i := range run.unacked {
			c.sendFrame(now, run, i)
		}
	}
	c.archiveIfAcked(now, run)
}

// tickAnswer resends frames that were not acknowledged within ResendTimeout.
func (c *Core) tickAnswer(now domain.Instant) {
	c.limitUnackedBytes(now)
	for _, run := range c.runs.all {
		if len(run.unacked) == 0 || !c.peerConnected(run.key.peer) {
			continue
		}
		for i := range min(len(run.unacked), c.cfg.ResendBatch) {
			if now.Sub(run.unacked[i].sentAt) >= c.cfg.ResendTimeout {
				c.sendFrame(now, run, i)
			}
		}
	}
}

// limitUnackedBytes limits the memory of unacknowledged frames to MaxUnackedBytes. It
// first drops the frames of ended runs whose entries are gone. If that is not enough, it
// cancels the idempotent run with the most unacknowledged bytes, one per tick, which ends
// as END_BROKEN. A run below the mean is not cancelled, as that would free little memory.
func (c *Core) limitUnackedBytes(now domain.Instant) {
	if c.unackedBytes <= c.cfg.MaxUnackedBytes {
		return
	}
	var largest *runRecord
	for _, run := range c.runs.all {
		switch {
		case run.state == runEnded && c.peerGone(run.key.peer):
			c.dropFrames(run, len(run.unacked))
			c.archiveIfAcked(now, run)
		case run.state == runActive && run.idempotent && run.cancel == cancelNone:
			if largest == nil || run.unackedBytes > largest.unackedBytes {
				largest = run
			}
		}
	}
	if c.unackedBytes <= c.cfg.MaxUnackedBytes || largest == nil {
		return
	}
	if largest.unackedBytes*c.runs.len() >= c.unackedBytes {
		c.cancelRun(largest, cancelByMemory)
	}
}
