package entry

import (
	"unicode/utf8"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// maxResumeBytes bounds the delivered text that is kept for a retry, in bytes. A
// longer answer can't be resumed.
const maxResumeBytes = 1 << 20

// finishReasonLength is the finish reason of an answer that has reached its token limit.
const finishReasonLength = "length"

// retryNotRun closes an attempt that is proven not run, and starts another or ends
// the call: after MaxUnstarted such attempts, or if the call is non-idempotent and
// an attempt of it may have run.
func (c *Core) retryNotRun(cl *call, f Failure) {
	a := cl.attempt.agent
	c.closeAsNotRun(cl)
	if cl.possibleRuns > 0 && !cl.class.Idempotent || cl.unstarted >= c.settings.MaxUnstarted {
		c.finishIncomplete(cl, f, defaultRetryAfter)
		return
	}
	c.exclude(cl, a, c.settings.ExclusionTime)
	c.startReserving(cl)
}

// retryOrFinish closes an attempt that may have run, and retries or ends the call.
// Only an idempotent call is retried, within its class's retry policy and the
// account's retry budget.
//
// Invariant: a non-idempotent call has no attempt after one that may have run.
func (c *Core) retryOrFinish(cl *call, f Failure) {
	if cl.reachedTokenLimit() {
		c.finishWithoutEnd(cl, finishReasonLength)
		return
	}
	a := cl.attempt.agent
	retry := c.mayRetry(cl) && c.account(cl.Account).budget(cl.Class).Withdraw()
	c.closeAsMaybeRun(cl)
	if !retry {
		c.finishIncomplete(cl, f, 0)
		return
	}
	c.exclude(cl, a, c.settings.ExclusionTime)
	cl.deadline = c.now.Add(c.maxWait(cl))
	c.startReserving(cl)
}

// resumePreempted closes an attempt that an agent ended in favour of a higher tier,
// and starts another or, if that can't continue the answer, ends the call.
// Preemption is not a failure, so it counts neither as an attempt of the class's
// retry policy nor against the retry budget.
//
// Invariant: a call is preempted at most MaxPreemptions times, as its later
// attempts are handed over as not preemptible.
func (c *Core) resumePreempted(cl *call, f Failure) {
	if cl.preemptions >= c.settings.MaxPreemptions || cl.reachedTokenLimit() {
		c.retryOrFinish(cl, f)
		return
	}
	resume := c.canContinueElsewhere(cl)
	c.closeAsMaybeRun(cl)
	cl.preemptions++
	if !resume {
		c.finishIncomplete(cl, f, 0)
		return
	}
	cl.deadline = c.now.Add(c.maxWait(cl))
	c.startReserving(cl)
}

// mayRetry reports whether the class's retry policy allows another run after the
// attempt in progress. It does not check the retry budget.
func (c *Core) mayRetry(cl *call) bool {
	return cl.possibleRuns-cl.preemptions+1 < cl.class.Retry.Attempts && c.canContinueElsewhere(cl)
}

// canContinueElsewhere reports whether another attempt can produce the rest of
// an idempotent call's answer: nothing was delivered yet, or all of the
// delivered text can be resumed.
func (c *Core) canContinueElsewhere(cl *call) bool {
	if !cl.class.Idempotent || cl.corrupted {
		return false
	}
	if !cl.headSent && cl.deliveredBytes == 0 {
		return true
	}
	// A protobuf string field must be valid UTF-8, so the text can't end within a rune.
	return cl.keepsResumeText() && uint64(len(cl.resumeText)) == cl.deliveredBytes && utf8.Valid(cl.resumeText)
}

// reachedTokenLimit reports whether the caller has received as many tokens as
// the call may produce. Such an answer is complete even without its End frame.
func (cl *call) reachedTokenLimit() bool {
	limit := cl.tokenLimit()
	return cl.kind == domain.ServiceModel && limit > 0 && cl.deliveredTokens >= limit && !cl.corrupted
}

// keepsResumeText reports whether the delivered text of a call is kept, up to
// maxResumeBytes, so that another attempt can resume it.
func (cl *call) keepsResumeText() bool {
	repeatable := cl.class.Retry.Attempts > 1 || cl.class.Preemptible
	return cl.class.Idempotent && cl.kind == domain.ServiceModel && repeatable
}
