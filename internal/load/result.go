package load

import (
	"time"
)

// Outcomes of calls, as callers observe them.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not-run"
	outcomePartial  = "partial"
	outcomeUnknown  = "unknown"
	// outcomeUnfinished is a call that had not ended when the run did.
	outcomeUnfinished = "unfinished"
)

// codeRateLimited is the error code of a call that exceeded its account's limit.
const codeRateLimited = "rate_limited"

// result is the result of one call. Times are since the start of the run.
type result struct {
	arrival   *arrival
	requestID string
	outcome   string
	code      string
	text      string
	// firstTokenAt is when the first token arrived, or the whole answer of a plain
	// service. Zero means that none arrived.
	firstTokenAt time.Duration
	endedAt      time.Duration
}

// latency returns the time from the planned arrival to the first token.
func (r *result) latency() time.Duration { return r.firstTokenAt - r.arrival.at }

func (r *result) isComplete() bool { return r.outcome == outcomeComplete }

// attained reports whether the call got a complete, correct answer within its
// class's target. Every declared class has a target.
func (r *result) attained() bool {
	return r.isComplete() && !r.wrongText() && r.latency() <= r.arrival.source.class.FirstToken
}

// wrongText reports whether a complete answer of a model is not the expected text.
func (r *result) wrongText() bool {
	if !r.isComplete() || r.arrival.source.model == "" {
		return false
	}
	rest := r.text
	for _, token := range r.arrival.expected {
		if len(rest) < len(token) || rest[:len(token)] != token {
			return true
		}
		rest = rest[len(token):]
	}
	return rest != ""
}
