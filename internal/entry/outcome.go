package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// storePeer is the Failure.Peer of the table service.
	storePeer = "table-service"
	// keyInUseRetryAfter is the Retry-After of a repeat while the call with its
	// key is in progress.
	keyInUseRetryAfter = 2 * time.Second
)

// closeAsNotRun closes the current attempt as proven not run. It does not retry or
// end the call.
func (c *Core) closeAsNotRun(cl *call) {
	if cl.attempt.deliveredTokens > 0 || cl.attempt.nextSeq > 2 { // more than the End frame
		c.closeAsMaybeRun(cl) // frames were delivered, so the agent's report is wrong
		return
	}
	cl.unstarted++
	c.closeAttempt(cl)
}

// closeAsMaybeRun closes the current attempt as one that may have run, and cancels
// it unless it has ended. It does not retry or end the call.
func (c *Core) closeAsMaybeRun(cl *call) {
	cl.possibleRuns++
	at := cl.attempt
	if !at.ended {
		c.sendCancel(at.agent, uint64(cl.ID), uint32(at.attemptNumber))
	}
	c.closeAttempt(cl)
}

// closeAttempt acknowledges the current attempt as done and removes it.
func (c *Core) closeAttempt(cl *call) {
	c.sendAck(cl, true)
	cl.attempt.agent.outstanding--
	cl.attempt = nil
}

// provenOutcome returns the outcome of a call that did not complete. It is the only
// place that decides between not-run, partial and unknown by a call's attempts.
// finishKeyReused, finishKeyInUse, finishClaimUnreadable and finishRepeat set the
// outcome of a call without attempts whose key another call has claimed.
//
// Invariant: the outcome is not-run only if each attempt that was handed over is
// proven not run.
func (cl *call) provenOutcome() domain.Outcome {
	switch {
	case cl.headSent || cl.deliveredBytes > 0:
		return domain.OutcomePartial
	case cl.possibleRuns > 0 || cl.attempt != nil:
		return domain.OutcomeUnknown
	}
	return domain.OutcomeNotRun
}

// finishIncomplete ends a call that did not complete, with the proven outcome.
// The caller gets the Retry-After only if the outcome is not-run.
func (c *Core) finishIncomplete(cl *call, f Failure, retryAfter time.Duration) {
	if cl.stage == stageEnded {
		return
	}
	outcome := cl.provenOutcome()
	c.withdrawReservations(cl, nil)
	if cl.attempt != nil {
		c.closeAsMaybeRun(cl)
	}
	if outcome != domain.OutcomeNotRun {
		retryAfter = 0
	}
	c.endCall(cl, CallerEnd{Outcome: outcome, Failure: f, RetryAfter: retryAfter, AnswerTokens: cl.deliveredTokens})
}

// finishComplete ends a call whose whole answer was delivered. The answer's
// tokens are the larger of the delivered count and the engine's count.
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

// finishWithoutEnd ends a call whose whole answer was delivered except its End frame.
func (c *Core) finishWithoutEnd(cl *call, reason string) {
	c.finishComplete(cl, &pb.End{FinishReason: reason, PromptTokens: cl.PromptTokens})
}

// reportCancelled emits the CallerEnd of a call that continues without its
// caller, so that its claim gets the answer.
func (c *Core) reportCancelled(cl *call, f Failure) {
	cl.endReported = true
	c.emit(CallerEnd{Call: cl.ID, Outcome: cl.provenOutcome(), Failure: f, AnswerTokens: cl.deliveredTokens})
}

// finishRateLimited ends a call over its account's limits.
func (c *Core) finishRateLimited(cl *call, ac *account) {
	c.finishIncomplete(cl, Failure{Code: CodeRateLimited, Step: StepLimit, Message: "over the client account's limits"},
		c.limitRetryAfter(ac, cl))
}

// finishShed ends a waiting call because the waiting table is full.
func (c *Core) finishShed(cl *call) {
	p := c.pools.find(poolKey{service: cl.Service, model: cl.Model})
	c.finishIncomplete(cl, Failure{Code: CodeOverloaded, Step: cl.step(), Message: "too many requests wait"}, c.retryAfter(p))
}

// finishNotClaimed ends a call whose claim can't be confirmed, before it is handed
// over: the table service is down, ClaimTimeout has passed, or the release of the
// key by an earlier call is not written yet. A call that has seen its key claimed by
// another ends with CodeKeyInUse instead.
func (c *Core) finishNotClaimed(cl *call) {
	if cl.keyInUse {
		c.finishKeyInUse(cl)
		return
	}
	c.finishIncomplete(cl, Failure{Code: CodeStoreUnavailable, Step: StepClaim, Peer: storePeer,
		Message: "the key can't be claimed now"}, storeRetryInterval)
}

// finishClaimUnreadable ends a call whose key has a claim that can't be decoded.
// Another call with the key may have run, so the outcome is unknown.
func (c *Core) finishClaimUnreadable(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeUnknown, Failure: Failure{Code: CodeStoreUnavailable,
		Step: StepClaim, Peer: storePeer, Message: "the claim of this key can't be read"}})
}

// finishKeyReused ends a call whose key was used for a different request. The
// call itself was not run.
func (c *Core) finishKeyReused(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeNotRun, Failure: Failure{Code: CodeKeyReused, Step: StepClaim,
		Message: "the key belongs to a different request"}})
}

// finishKeyInUse ends a repeat of a call in progress. That call may be running,
// so the outcome is unknown.
func (c *Core) finishKeyInUse(cl *call) {
	c.endCall(cl, CallerEnd{Outcome: domain.OutcomeUnknown, RetryAfter: keyInUseRetryAfter, Failure: Failure{
		Code: CodeKeyInUse, Step: StepClaim, Message: "the request with this key is in progress"}})
}

// finishRepeat ends a call whose key has a claim, by the claim's record. If the
// claimed call is still in progress, the repeat waits for it instead.
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

// finishReplayed ends a repeat with the stored answer of the original call.
func (c *Core) finishReplayed(cl *call, answer *storedAnswer) {
	if cl.kind == domain.ServicePlain {
		c.emit(CallerHead{Call: cl.ID, Status: answer.Status, Headers: answer.Headers})
	}
	if len(answer.Data) > 0 {
		c.emit(CallerData{Call: cl.ID, Data: answer.Data, Tokens: answer.AnswerTokens})
	}
	c.endCall(cl, CallerEnd{
		Outcome:      domain.OutcomeComplete,
		FinishReason: answer.FinishReason,
		PromptTokens: answer.PromptTokens,
		AnswerTokens: answer.AnswerTokens,
	})
}

// endCall removes a call, settles its claim and limits, and emits its CallerEnd
// unless reportCancelled has. Every call ends here.
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
