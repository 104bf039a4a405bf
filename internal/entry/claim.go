package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// claimStage is the state of the claim of a keyed non-idempotent call at this
// entry. Zero, the last state, means that the claim was removed.
type claimStage uint8

const (
	claimPending   claimStage = iota + 1 // write not confirmed yet
	claimConfirmed                       // write confirmed; the call may be handed over
	claimEnding                          // call ended; its outcome has to be written
	claimReleasing                       // call proven not run; the release has to be written
)

// claim is the claim of an idempotency key by one of this entry's calls.
type claim struct {
	key     string // of the row in the table of claims
	owner   claimOwner
	call    *call // nil once the call has ended
	stage   claimStage
	version uint64      // last known version of the row, 0 if it does not exist
	record  claimRecord // to write next

	queued    bool        // in claimTable.queue
	inFlight  bool        // in a request without a reply so far
	sentState recordState // record state in the last write
	uncertain bool        // a write without a reply may have taken effect, or still may
	sendAlone bool        // must be the only claim of its request
	tries     int         // requests whose reply was lost
}

// needsClaim reports whether a call has to be claimed before it is handed over.
func (cl *call) needsClaim() bool { return cl.Key != "" && !cl.class.Idempotent }

// startClaim claims a call's idempotency key.
//
// Invariant: a keyed non-idempotent call is handed over only after the table
// service has confirmed its claim. A key has one claim at a time, which is
// released only if its call is proven not run.
func (c *Core) startClaim(cl *call) {
	if cl.stage != stageClaiming {
		cl.stage = stageClaiming
		cl.claimStarted = c.now
	}
	key := string(cl.Account) + "/" + string(cl.Key)
	if cm := c.claims.byKey[key]; cm != nil {
		c.onKeyClaimedHere(cl, cm)
		return
	}
	if c.now < c.claims.downUntil {
		c.finishNotClaimed(cl)
		return
	}
	cm := &claim{
		key:   key,
		owner: claimOwner{Entry: c.settings.EntryID, Incarnation: c.settings.Incarnation, Call: cl.ID},
		call:  cl,
		stage: claimPending,
	}
	cm.record = claimRecord{State: recordClaimed, Owner: cm.owner, Fingerprint: cl.Fingerprint}
	cl.claim = cm
	c.claims.byKey[key] = cm
	c.enqueueClaim(cm)
	c.calls.wakeAt(cl, cl.claimStarted.Add(c.settings.ClaimTimeout))
}

// awaitKey makes a repeat wait for the call in progress with its key, to get
// that call's stored answer. After ClaimTimeout it ends with CodeKeyInUse.
func (c *Core) awaitKey(cl *call) {
	cl.keyInUse = true
	if c.now >= cl.claimStarted.Add(c.settings.ClaimTimeout) {
		c.finishKeyInUse(cl)
		return
	}
	cl.nextKeyCheck = c.now.Add(c.settings.KeyPollInterval)
	c.calls.wakeAt(cl, cl.nextKeyCheck)
}

// recheckKey checks again the claim that a repeat waits for.
func (c *Core) recheckKey(cl *call) {
	cl.nextKeyCheck = 0
	if cl.claim == nil {
		c.startClaim(cl)
		return
	}
	c.enqueueClaim(cl.claim)
	c.calls.wakeAt(cl, cl.claimStarted.Add(c.settings.ClaimTimeout))
}

// processClaim checks the key of a waiting repeat when that is due, and ends a
// call whose claim was not confirmed within ClaimTimeout.
func (c *Core) processClaim(cl *call) {
	if cl.stage != stageClaiming {
		return
	}
	if cl.nextKeyCheck != 0 && c.now >= cl.nextKeyCheck {
		c.recheckKey(cl)
		return
	}
	if deadline := cl.claimStarted.Add(c.settings.ClaimTimeout); c.now < deadline {
		c.calls.wakeAt(cl, deadline)
		return
	}
	c.finishNotClaimed(cl)
}

// confirmClaim continues a call whose claim was confirmed.
func (c *Core) confirmClaim(cm *claim) {
	cm.stage = claimConfirmed
	c.startReserving(cm.call)
}

// settleClaim queues the write of a call's end to its claim: a release if the
// call was not run, or else its outcome. A pending claim that can't have been
// written is removed.
func (c *Core) settleClaim(cl *call, end CallerEnd) {
	cm := cl.claim
	if cm == nil {
		return
	}
	cl.claim = nil
	cm.call = nil
	switch {
	case cm.stage == claimPending && !cm.inFlight && !cm.uncertain:
		c.removeClaim(cm)
		return
	case cm.stage == claimPending || end.Outcome == domain.OutcomeNotRun:
		cm.stage = claimReleasing
		cm.record.State = recordReleased
	default:
		cm.stage = claimEnding
		cm.record.State = recordEnded
		cm.record.Outcome = end.Outcome
		c.storeAnswer(cm, cl, end)
	}
	if !cm.inFlight {
		c.enqueueClaim(cm)
	}
}

// storeAnswer puts a complete answer into the claim's record, unless all
// unwritten answers together would exceed MaxUnwrittenAnswers.
func (c *Core) storeAnswer(cm *claim, cl *call, end CallerEnd) {
	if end.Outcome != domain.OutcomeComplete || cl.answerTooLarge {
		return
	}
	answer := cl.answer
	answer.FinishReason = end.FinishReason
	answer.PromptTokens = end.PromptTokens
	answer.AnswerTokens = end.AnswerTokens
	if c.claims.unwrittenBytes+answer.size() > c.settings.MaxUnwrittenAnswers {
		return
	}
	c.claims.unwrittenBytes += answer.size()
	cm.record.Answer = &answer
}

// appendAnswer adds data to the answer that is stored for repeats. The answer is
// dropped if it exceeds MaxStoredAnswer.
func (c *Core) appendAnswer(cl *call, data []byte) {
	if cl.claim == nil || cl.answerTooLarge {
		return
	}
	if cl.answer.size()+len(data) > c.settings.MaxStoredAnswer {
		cl.answerTooLarge = true
		cl.answer.Data = nil
		return
	}
	cl.answer.Data = append(cl.answer.Data, data...)
}

// onKeyClaimedHere handles a call whose key another call at this entry has claimed.
func (c *Core) onKeyClaimedHere(cl *call, cm *claim) {
	switch {
	case cm.stage == claimReleasing: // the key is free once the release is written
		c.finishNotClaimed(cl)
	case cm.stage == claimEnding:
		c.finishRepeat(cl, cm.record)
	case cm.record.Fingerprint != cl.Fingerprint:
		c.finishKeyReused(cl)
	default:
		c.awaitKey(cl)
	}
}

// onKeyClaimedInStore handles a call whose key has another call's row in the
// table service. A released or expired claim is replaced by the call's own.
func (c *Core) onKeyClaimedInStore(cm *claim, record claimRecord, version uint64, now time.Time) {
	if record.State == recordReleased || record.age(now) > claimRetention {
		cm.version = version
		c.enqueueClaim(cm)
		return
	}
	cm.uncertain = false // the row of another call proves that ours was not written
	c.finishRepeat(cm.call, record)
}

// isAbandoned reports whether a claim without an outcome will get none: an
// earlier incarnation of this entry wrote it, or it is older than
// abandonedClaimAge.
func (c *Core) isAbandoned(record claimRecord) bool {
	owner := record.Owner
	if owner.Entry == c.settings.EntryID && owner.Incarnation != c.settings.Incarnation {
		return true
	}
	return record.age(c.storeTime()) > abandonedClaimAge
}
