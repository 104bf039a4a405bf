package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// storePeer names the table service in failures.
	storePeer = "table-service"
	// keyInUseRetryAfter is the Retry-After of a repeat while its call is in progress.
	keyInUseRetryAfter = 2 * time.Second
)

// settleUnstarted closes the current attempt by a proof that it was not run.
func (c *Core) settleUnstarted(cl *call) {
	if cl.attempt.deliveredTokens > 0 || cl.attempt.nextSeq > 2 {
		c.settleRun(cl) // frames were delivered, so the word can't be right
		return
	}
	cl.unstarted++
	c.closeAttempt(cl)
}

// settleRun closes the current attempt without such a proof.
func (c *Core) settleRun(cl *call) {
	cl.runs++
	at := cl.attempt
	if !at.ended {
		c.sendCancel(at.agent, uint64(cl.ID), uint32(at.number))
	}
	c.closeAttempt(cl)
}

func (c *Core) closeAttempt(cl *call) {
	c.sendAck(cl, true)
	cl.attempt.agent.outstanding--
	cl.attempt = nil
}

// provenOutcome is the one rule of what may be said of a call that did not complete.
//
// Invariant: not-run is said only when each attempt that was handed over has
// been settled by a proof that it was not run.
func (cl *call) provenOutcome() domain.Outcome {
	switch {
	case cl.headSent || cl.deliveredBytes > 0:
		return domain.OutcomePartial
	case cl.runs > 0 || cl.attempt != nil:
		return domain.OutcomeUnknown
	}
	return domain.OutcomeNotRun
}

// finishIncomplete ends a call that did not complete, with what is proved.
func (c *Core) finishIncomplete(cl *call, f Failure, retryAfter time.Duration) {
	if cl.stage == stageEnded {
		return
	}
	outcome := cl.provenOutcome()
	c.withdrawReservations(cl, nil)
	if cl.attempt != nil {
		c.settleRun(cl)
	}
	if outcome != domain.OutcomeNotRun {
		retryAfter = 0
	}
	c.endCall(cl, CallerEnd{Outcome: outcome, Failure: f, RetryAfter: retryAfter, AnswerTokens: cl.deliveredTokens})
}

// finishComplete ends a call whose whole answer was delivered.
func (c *Core) finishComplete(cl *call, e *pb.End) {
	earlier := cl.deliveredTokens - cl.attempt.deliveredTokens
	c.closeAttempt(cl)
	c.endCall(cl, CallerEnd{
		Outcome:      domain.OutcomeComplete,
		FinishReason: e.GetFinishReason(),
		PromptTokens: e.GetPromptTokens(),
		AnswerTokens: max(cl.deliveredTokens, earlier+e.GetAnswerTokens()),
	})
}

// finishWithoutEnd ends a call whose whole answer was delivered without its last frame.
func (c *Core) finishWithoutEnd(cl *call, reason string) {
	c.finishComplete(cl, &pb.End{FinishReason: reason, PromptTokens: cl.PromptTokens})
}

// reportCancelled tells the end of a call that goes on for its claim.
func (c *Core) reportCancelled(cl *call, f Failure) {
	cl.endReported = true
	c.emit(CallerEnd{Call: cl.ID, Outcome: cl.provenOutcome(), Failure: f, AnswerTokens: cl.deliveredTokens})
}

// finishLimited ends a call over its account's limits.
func (c *Core) finishLimited(cl *call, ac *account) {
	c.finishIncomplete(cl, Failure{Code: CodeRateLimited, Step: StepLimit, Message: "over the client account's limits"},
		c.limitRetryAfter(ac, cl))
}

// finishShed gives up a waiting call for want of room.
func (c *Core) finishShed(cl *call) {
	p := c.pools.find(poolKey{service: cl.Service, model: cl.Model})
	c.finishIncomplete(cl, Failure{Code: CodeOverloaded, Step: cl.step(), Message: "too many requests wait"}, c.retryAfter(p))
}

// finishStoreDown ends a call that can't be claimed. It was not handed over. A
// repeat that has seen its key claimed is told that instead.
func (c *Core) finishStoreDown(cl *call) {
	if cl.keyInUse {
		c.finishKeyInUse(cl)
		return
	}
	c.finishIncomplete(cl, Failure{Code: CodeStoreUnavailable, Step: StepClaim, Peer: storePeer,
		Message: "the key can't be claimed now"}, storeRetryInterval)
}

// finishClaimUnreadable ends a call whose key has a claim that can't be read.
func (c *Core) finishClaimUnreadable(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeUnknown, Failure: Failure{Code: CodeStoreUnavailable,
		Step: StepClaim, Peer: storePeer, Message: "the claim of this key can't be read"}})
}

// finishKeyReused ends a call with the key of a different one. It was not run.
func (c *Core) finishKeyReused(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeNotRun, Failure: Failure{Code: CodeKeyReused, Step: StepClaim,
		Message: "the key belongs to a different request"}})
}

// finishKeyInUse ends a repeat of a call that has not ended. What was asked may be running.
func (c *Core) finishKeyInUse(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeUnknown, RetryAfter: keyInUseRetryAfter, Failure: Failure{
		Code: CodeKeyInUse, Step: StepClaim, Message: "the request with this key is in progress"}})
}

// finishRepeat ends a call whose key has a claim, by what the claim's record says.
func (c *Core) finishRepeat(cl *call, record claimRecord) {
	failure := Failure{Code: CodeEndpointFailed, Step: StepClaim}
	switch {
	case record.Fingerprint != cl.Fingerprint:
		c.finishKeyReused(cl)
		return
	case record.State == recordClaimed && !c.isAbandoned(record):
		c.awaitKey(cl)
		return
	case record.State == recordClaimed:
		failure.Message = "the request with this key was lost with its entry"
	case record.Outcome == domain.OutcomeComplete && record.Answer != nil:
		c.finishReplayed(cl, record.Answer)
		return
	case record.Outcome == domain.OutcomeComplete:
		failure.Message = "the request with this key has run; its answer was too large to keep"
	default:
		failure.Message = "the request with this key ended " + record.Outcome.String()
	}
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeUnknown, Failure: failure})
}

// finishReplayed gives a repeat the kept answer.
func (c *Core) finishReplayed(cl *call, kept *storedAnswer) {
	if cl.kind == domain.ServicePlain {
		c.emit(CallerHead{Call: cl.ID, Status: kept.Status, Headers: kept.Headers})
	}
	if len(kept.Data) > 0 {
		c.emit(CallerData{Call: cl.ID, Data: kept.Data, Tokens: kept.AnswerTokens})
	}
	c.endCall(cl, CallerEnd{
		Outcome:      domain.OutcomeComplete,
		FinishReason: kept.FinishReason,
		PromptTokens: kept.PromptTokens,
		AnswerTokens: kept.AnswerTokens,
	})
}

// endCall closes a call, tells its caller the end unless that was done, and
// has the end written to its claim.
func (c *Core) endCall(cl *call, end CallerEnd) {
	if cl.stage == stageEnded {
		return
	}
	cl.stage = stageEnded
	c.calls.remove(cl)
	c.waiting.remove(cl)
	c.settleClaim(cl, end)
	c.settleLimits(cl, end)
	if !cl.endReported {
		end.Call = cl.ID
		c.emit(end)
	}
}
