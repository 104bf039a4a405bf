package entry

import (
	"unicode/utf8"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// maxResumeBytes bounds the delivered text that is kept for a retry.
const maxResumeBytes = 1 << 20

// finishReasonLength is the finish reason of an answer that reached its token limit.
const finishReasonLength = "length"

// endUnstarted closes an attempt that was proved not run, and makes another one
// for any class of call, within a bound.
func (c *Core) endUnstarted(cl *call, f Failure) {
	a := cl.attempt.agent
	c.settleUnstarted(cl)
	if cl.runs > 0 && !cl.class.Idempotent || cl.unstarted >= c.cfg.MaxUnstarted {
		c.finishIncomplete(cl, f, otherEntryRetryAfter)
		return
	}
	c.avoid(cl, a, c.cfg.AvoidTime)
	c.startReserving(cl)
}

// endRun closes an attempt that may have run. Only idempotent work is tried
// again, within the class's policy.
//
// Invariant: a non-idempotent call has no attempt after one that may have run.
func (c *Core) endRun(cl *call, f Failure) {
	if cl.reachedTokenLimit() {
		c.finishWithoutEnd(cl, finishReasonLength)
		return
	}
	a := cl.attempt.agent
	retry := c.mayRetry(cl) && c.account(cl.Account).budget(cl.Class).Withdraw()
	c.settleRun(cl)
	if !retry {
		c.finishIncomplete(cl, f, 0)
		return
	}
	c.avoid(cl, a, c.cfg.AvoidTime)
	cl.deadline = c.now.Add(c.maxWait(cl))
	c.startReserving(cl)
}

// endPreempted closes an attempt that an agent took away for a higher tier. That
// is no fault, so it costs neither an attempt of the class's policy nor its budget.
//
// Invariant: a call is preempted at most MaxPreemptions times, as its later
// attempts are handed over as not preemptible.
func (c *Core) endPreempted(cl *call, f Failure) {
	if cl.preemptions >= c.cfg.MaxPreemptions || cl.reachedTokenLimit() {
		c.endRun(cl, f)
		return
	}
	resume := c.canContinueElsewhere(cl)
	c.settleRun(cl)
	cl.preemptions++
	if !resume {
		c.finishIncomplete(cl, f, 0)
		return
	}
	cl.deadline = c.now.Add(c.maxWait(cl))
	c.startReserving(cl)
}

// mayRetry reports whether a call may run once more, after the attempt in
// progress, within its class's policy. The retry budget is not asked.
func (c *Core) mayRetry(cl *call) bool {
	return cl.runs-cl.preemptions+1 < cl.class.Retry.Attempts && c.canContinueElsewhere(cl)
}

// canContinueElsewhere reports whether a call could go on elsewhere from what was delivered.
func (c *Core) canContinueElsewhere(cl *call) bool {
	if !cl.class.Idempotent || cl.corrupted {
		return false
	}
	if !cl.headSent && cl.deliveredBytes == 0 {
		return true
	}
	// The wire carries the text as a string, which can't end within a rune.
	return cl.canResume() && uint64(len(cl.resumeText)) == cl.deliveredBytes && utf8.Valid(cl.resumeText)
}

// reachedTokenLimit reports whether the caller has as many tokens as the call may have.
// Such an answer has nothing left to run for, even without its last frame.
func (cl *call) reachedTokenLimit() bool {
	limit := cl.tokenLimit()
	return cl.kind == domain.ServiceModel && limit > 0 && cl.deliveredTokens >= limit && !cl.corrupted
}

// canResume reports whether a broken answer may go on from its delivered text.
func (cl *call) canResume() bool {
	again := cl.class.Retry.Attempts > 1 || cl.class.Preemptible
	return cl.class.Idempotent && cl.kind == domain.ServiceModel && again
}
