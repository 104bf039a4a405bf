package entry

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// onFrame handles a part of an answer.
//
// Invariant: only frames of the current attempt are delivered to the caller, in
// order of sequence number, each once. A frame of another call, attempt, agent
// or incarnation is dropped, and the attempt that sent it is cancelled.
func (c *Core) onFrame(a *agent, f *pb.Frame) {
	cl := c.calls.byID[domain.CallID(f.GetCall())]
	if cl == nil || cl.attempt == nil || !cl.attempt.matches(a, f.GetAttempt()) {
		c.rejectFrame(a, f)
		return
	}
	at := cl.attempt
	at.started = true
	at.lastReceived = c.now
	switch {
	case f.GetSeq() < at.nextSeq:
		at.ackDue = c.now // a duplicate: the acknowledgement was lost
	case f.GetSeq() > at.nextSeq:
		at.buffer(f, c.settings.MaxBufferedFrames)
	default:
		c.deliver(cl, f)
	}
	for cl.attempt == at && at.buffered[at.nextSeq] != nil {
		buffered := at.buffered[at.nextSeq]
		delete(at.buffered, at.nextSeq)
		c.deliver(cl, buffered)
	}
	if cl.attempt == at {
		c.scheduleAck(cl)
	}
}

// matches reports whether a message of an agent is about this attempt.
func (at *attempt) matches(a *agent, attemptNumber uint32) bool {
	return at.agent == a && uint32(at.attemptNumber) == attemptNumber && at.incarnation == a.incarnation
}

// buffer keeps a frame that arrived ahead of an earlier one, up to a number of
// frames. A frame beyond it is dropped; the agent sends it again.
func (at *attempt) buffer(f *pb.Frame, limit int) {
	if len(at.buffered) >= limit {
		return
	}
	if at.buffered == nil {
		at.buffered = map[uint64]*pb.Frame{}
	}
	at.buffered[f.GetSeq()] = f
}

// rejectFrame acknowledges a frame that is not of a current attempt, so that the
// agent does not resend it, and cancels its attempt unless that has ended.
func (c *Core) rejectFrame(a *agent, f *pb.Frame) {
	if f.GetEnd() == nil {
		c.sendCancel(a, f.GetCall(), f.GetAttempt())
	}
	c.sendAgent(a, &pb.ToAgent{Kind: &pb.ToAgent_Ack{Ack: &pb.Ack{
		Call: f.GetCall(), Attempt: f.GetAttempt(), Seq: f.GetSeq(), Done: true,
	}}})
}

func (c *Core) sendCancel(a *agent, call uint64, attemptNumber uint32) {
	c.sendAgent(a, &pb.ToAgent{Kind: &pb.ToAgent_Cancel{Cancel: &pb.Cancel{Call: call, Attempt: attemptNumber}}})
}

// deliver passes the next frame in order to the caller.
func (c *Core) deliver(cl *call, f *pb.Frame) {
	at := cl.attempt
	at.nextSeq++
	switch part := f.GetPart().(type) {
	case *pb.Frame_Head:
		c.deliverHead(cl, part.Head)
	case *pb.Frame_Data:
		c.deliverData(cl, part.Data)
	case *pb.Frame_End:
		c.onEnd(cl, f.GetSeq(), part.End)
	}
}

// deliverHead passes on the status and headers of a plain service's answer. Only
// the first head of a call is delivered.
func (c *Core) deliverHead(cl *call, h *pb.Head) {
	if cl.headSent {
		return
	}
	cl.headSent = true
	head := CallerHead{Call: cl.ID, Status: int(h.GetStatus())}
	for _, line := range h.GetHeaders() {
		head.Headers = append(head.Headers, Header{Name: line.GetName(), Value: line.GetValue()})
	}
	cl.answer.Status = head.Status
	cl.answer.Headers = head.Headers
	if !cl.endReported {
		c.emit(head)
	}
}

func (c *Core) deliverData(cl *call, d *pb.Data) {
	at := cl.attempt
	_, _ = at.digest.Write(d.GetData()) // never returns an error
	at.deliveredTokens += d.GetTokens()
	cl.deliveredTokens += d.GetTokens()
	cl.deliveredBytes += uint64(len(d.GetData()))
	if cl.keepsResumeText() && cl.deliveredBytes <= maxResumeBytes {
		cl.resumeText = append(cl.resumeText, d.GetData()...)
	}
	c.appendAnswer(cl, d.GetData())
	if !cl.endReported {
		c.emit(CallerData{Call: cl.ID, Data: d.GetData(), Tokens: d.GetTokens()})
	}
}

// onEnd closes an attempt by its last frame.
//
// Invariant: an answer is complete only when all its frames were delivered, and
// their number and checksum match those in the End frame.
func (c *Core) onEnd(cl *call, seq uint64, e *pb.End) {
	at := cl.attempt
	at.ended = true
	failure := Failure{Code: CodeEndpointFailed, Step: StepAnswer, Peer: string(at.agent.id), Message: e.GetMessage()}
	if e.GetFrames() != seq-1 || e.GetChecksum() != at.digest.Sum64() {
		failure.Code = CodeAnswerInterrupted
		failure.Message = "the answer differs from what the endpoint sent"
		cl.corrupted = true
		c.retryOrFinish(cl, failure)
		return
	}
	switch e.GetReason() {
	case pb.EndReason_END_COMPLETE:
		c.finishComplete(cl, e)
	case pb.EndReason_END_NOT_SENT, pb.EndReason_END_REFUSED:
		failure.Code = CodeEndpointRefused
		c.retryNotRun(cl, failure)
	case pb.EndReason_END_PREEMPTED:
		c.resumePreempted(cl, failure)
	case pb.EndReason_END_INVALID:
		c.closeAsNotRun(cl)
		failure.Code = CodeInvalidRequest
		c.finishIncomplete(cl, failure, 0)
	default:
		if e.GetFinishReason() != "" && cl.kind == domain.ServiceModel && e.GetReason() == pb.EndReason_END_BROKEN {
			c.finishComplete(cl, e) // the engine had sent its finish reason, so the text is complete
			return
		}
		c.retryOrFinish(cl, failure)
	}
}

// scheduleAck sends an acknowledgement after every AckFrames frames, and
// otherwise makes one due after AckInterval.
func (c *Core) scheduleAck(cl *call) {
	at := cl.attempt
	if at.nextSeq-1 >= at.ackedSeq+c.settings.AckFrames {
		c.sendAck(cl, false)
		return
	}
	if at.nextSeq-1 > at.ackedSeq && at.ackDue == 0 {
		at.ackDue = c.now.Add(c.settings.AckInterval)
	}
	if at.ackDue != 0 {
		c.calls.wakeAt(cl, at.ackDue)
	}
}

// processAcks sends a call's acknowledgement if it is due.
func (c *Core) processAcks(cl *call) {
	if cl.stage != stageHandedOver || cl.attempt.ackDue == 0 {
		return
	}
	if c.now >= cl.attempt.ackDue {
		c.sendAck(cl, false)
		return
	}
	c.calls.wakeAt(cl, cl.attempt.ackDue)
}

// sendAck acknowledges the delivered frames of the current attempt. With done
// set, the agent can forget the attempt.
func (c *Core) sendAck(cl *call, done bool) {
	at := cl.attempt
	at.ackedSeq = at.nextSeq - 1
	at.ackDue = 0
	c.sendAgent(at.agent, &pb.ToAgent{Kind: &pb.ToAgent_Ack{Ack: &pb.Ack{
		Call: uint64(cl.ID), Attempt: uint32(at.attemptNumber), Seq: at.ackedSeq, Done: done,
	}}})
}
