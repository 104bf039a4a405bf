package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// claimStage is where the claim of a keyed non-idempotent call stands.
type claimStage uint8

const (
	claimPending   claimStage = iota + 1 // not known to be written
	claimConfirmed                       // written; the call may be handed over
	claimEnding                          // the outcome has to be written
	claimReleasing                       // proved not run; the release has to be written
)

// claim is a key that this entry has claimed or is about to.
type claim struct {
	key     string // of the row
	owner   claimOwner
	call    *call // nil once the call has ended
	stage   claimStage
	version uint64      // of the row as last known, 0 for none
	record  claimRecord // to write next

	queued    bool
	inFlight  bool
	sentState recordState // of the request in flight
	uncertain bool        // a write with no reply may have taken effect, or still may
	sendAlone bool        // goes in a request of its own
	tries     int         // requests without a reply
}

// needsClaim reports whether a call has to be claimed before it is handed over.
func (cl *call) needsClaim() bool { return cl.Key != "" && !cl.class.Idempotent }

// startClaim claims a call's key.
//
// Invariant: a keyed non-idempotent call is handed over only after its claim
// was confirmed by the table service, and a key has one claim at a time, which
// is given up only with a proof that its call was not run.
func (c *Core) startClaim(cl *call) {
	if cl.stage != stageClaiming {
		cl.stage = stageClaiming
		cl.claimStarted = c.now
	}
	key := string(cl.Account) + "/" + string(cl.Key)
	if cm := c.claims.byKey[key]; cm != nil {
		c.answerFromOwnClaim(cl, cm)
		return
	}
	if c.now < c.claims.downUntil {
		c.finishStoreDown(cl)
		return
	}
	cm := &claim{
		key:   key,
		owner: claimOwner{Entry: c.cfg.EntryID, Incarnation: c.cfg.Incarnation, Call: cl.ID},
		call:  cl,
		stage: claimPending,
	}
	cm.record = claimRecord{State: recordClaimed, Owner: cm.owner, Fingerprint: cl.Fingerprint}
	cl.claim = cm
	c.claims.byKey[key] = cm
	c.enqueueClaim(cm)
	c.calls.wakeAt(cl, cl.claimStarted.Add(c.cfg.ClaimTimeout))
}

// awaitKey has a repeat wait for the call in progress with its key, so that it
// gets the kept answer. After ClaimWait it is told that the key is in use.
func (c *Core) awaitKey(cl *call) {
	cl.keyInUse = true
	if c.now >= cl.claimStarted.Add(c.cfg.ClaimTimeout) {
		c.finishKeyInUse(cl)
		return
	}
	cl.nextKeyCheck = c.now.Add(c.cfg.KeyPollInterval)
	c.calls.wakeAt(cl, cl.nextKeyCheck)
}

// recheckKey looks again at the claim that a repeat waits for.
func (c *Core) recheckKey(cl *call) {
	cl.nextKeyCheck = 0
	if cl.claim == nil {
		c.startClaim(cl)
		return
	}
	c.enqueueClaim(cl.claim)
	c.calls.wakeAt(cl, cl.claimStarted.Add(c.cfg.ClaimTimeout))
}

// processClaim gives up a call whose claim the table service has not confirmed in time.
func (c *Core) processClaim(cl *call) {
	if cl.stage != stageClaiming {
		return
	}
	if cl.nextKeyCheck != 0 && c.now >= cl.nextKeyCheck {
		c.recheckKey(cl)
		return
	}
	if limit := cl.claimStarted.Add(c.cfg.ClaimTimeout); c.now < limit {
		c.calls.wakeAt(cl, limit)
		return
	}
	c.finishStoreDown(cl)
}

// confirmClaim lets a call go on whose claim is confirmed.
func (c *Core) confirmClaim(cm *claim) {
	cm.stage = claimConfirmed
	c.startReserving(cm.call)
}

// settleClaim has the end of a call written to its claim.
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

// storeAnswer puts a complete answer into the record, if it and those that still
// have to be written are not too large.
func (c *Core) storeAnswer(cm *claim, cl *call, end CallerEnd) {
	if end.Outcome != domain.OutcomeComplete || cl.answerTooLarge {
		return
	}
	answer := cl.answer
	answer.FinishReason = end.FinishReason
	answer.PromptTokens = end.PromptTokens
	answer.AnswerTokens = end.AnswerTokens
	if c.claims.unwrittenBytes+answer.size() > c.cfg.MaxUnwrittenAnswers {
		return
	}
	c.claims.unwrittenBytes += answer.size()
	cm.record.Answer = &answer
}

// appendAnswer adds a part of an answer to what is kept for repeats.
func (c *Core) appendAnswer(cl *call, data []byte) {
	if cl.claim == nil || cl.answerTooLarge {
		return
	}
	if cl.answer.size()+len(data) > c.cfg.MaxStoredAnswer {
		cl.answerTooLarge = true
		cl.answer.Data = nil
		return
	}
	cl.answer.Data = append(cl.answer.Data, data...)
}

// answerFromOwnClaim answers a repeat of a call whose claim is this entry's own.
func (c *Core) answerFromOwnClaim(cl *call, cm *claim) {
	switch {
	case cm.stage == claimReleasing:
		c.finishStoreDown(cl)
	case cm.stage == claimEnding:
		c.finishRepeat(cl, cm.record)
	case cm.record.Fingerprint != cl.Fingerprint:
		c.finishKeyReused(cl)
	default:
		c.awaitKey(cl)
	}
}

// answerFromStoredClaim answers a call whose key another call has claimed, unless that
// claim is free to take over.
func (c *Core) answerFromStoredClaim(cm *claim, record claimRecord, version uint64, now time.Time) {
	if record.State == recordReleased || record.age(now) > claimRetention {
		cm.version = version
		c.enqueueClaim(cm)
		return
	}
	cm.uncertain = false // another's row shows that ours is not there
	c.finishRepeat(cm.call, record)
}

// isAbandoned reports whether the entry that claimed a call can't be expected to end it.
func (c *Core) isAbandoned(record claimRecord) bool {
	owner := record.Owner
	if owner.Entry == c.cfg.EntryID && owner.Incarnation != c.cfg.Incarnation {
		return true
	}
	return record.age(c.storeTime()) > abandonedClaimAge
}
