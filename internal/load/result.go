package load

import (
	"time"
)

// Outcomes of calls as the generator sees them.
const (
	outcomeComplete = "complete"
	outcomeNotRun   = "not-run"
	outcomePartial  = "partial"
	outcomeUnknown  = "unknown"
	// outcomeUnfinished is a call that had not ended when the run did.
	outcomeUnfinished = "unfinished"
)

// Codes of refusals that are not for overload.
const codeRateLimited = "rate_limited"

// result is how one call ended. Times count from the start of the run.
type result struct {
	arrival   *arrival
	requestID string
	outcome   string
	code      string
	text      string
	// firstTokenAt is when the first token came, or the whole answer of a plain
	// service. Zero means never.
	firstTokenAt time.Duration
	endedAt      time.Duration
}

// latency is the time from the intended send to the first token.
func (r *result) latency() time.Duration { return r.firstTokenAt - r.arrival.at }

func (r *result) isComplete() bool { return r.outcome == outcomeComplete }

// attained reports whether the call got its whole answer and met its target.
func (r *result) attained() bool {
	return r.isComplete() && !r.wrongText() && r.latency() <= r.arrival.source.class.FirstToken
}

// wrongText reports whether a complete answer has another text than it must have.
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
