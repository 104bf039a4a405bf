package usage

import (
	"time"
)

// Call is a call to the provider.
type Call struct {
	Window int64
	Token  int64
	Body   []byte
}

// CallOutcome says how a call to the provider ended.
type CallOutcome uint8

const (
	// CallUnanswered means that the provider may have accepted the call.
	CallUnanswered CallOutcome = iota
	// CallNotMade means that nothing was sent, as the lease would end too early.
	CallNotMade
	// CallAccepted means that the provider has accepted it.
	CallAccepted
	// CallLater means that the provider may accept it later: 429 and 5xx.
	CallLater
	// CallRefused means that it is not made again: another status, or an answer that makes no sense.
	CallRefused
)

// MayCall reports whether a call with a token may be sent now. It is asked right before that.
func (r *Reporter) MayCall(now time.Duration, token int64) bool {
	current, ok := r.lease.Valid(now, CallTimeout+callMargin)
	return ok && current == token && r.heard.Token <= token
}

// NextCall returns the next call to the provider, or false. Its end is reported by CallEnded.
func (r *Reporter) NextCall(now time.Duration) (Call, bool) {
	token, ok := r.lease.Valid(now, CallTimeout+callMargin)
	if !ok || r.heard.Token > token || r.callBusy || r.stopping || now < r.callNotBefore {
		return Call{}, false
	}
	for i := range r.ledger.Bodies {
		b := &r.ledger.Bodies[i]
		if b.Delivered || b.Refused {
			continue
		}
		if now >= r.endOf(b.Window)+r.settings.Late {
			b.Refused = true
			r.log(Event{Kind: Missed, Window: b.Window, Windows: 1, Token: token, Cause: "overdue before the provider accepted it"})
			continue
		}
		if t := r.tries[b.Window]; t != nil && now < t.at {
			continue
		}
		r.callBusy = true
		return Call{Window: b.Window, Token: token, Body: b.Body}, true
	}
	return Call{}, false
}

// CallEnded records the end of a call.
func (r *Reporter) CallEnded(now time.Duration, c Call, outcome CallOutcome, status int, cause string) {
	r.callBusy = false
	if r.settings.CallsPerSecond > 0 {
		r.callNotBefore = now + time.Duration(float64(time.Second)/r.settings.CallsPerSecond)
	}
	b := r.ledger.body(c.Window)
	if outcome != CallUnanswered && outcome != CallNotMade {
		r.unanswered = 0
	}
	switch outcome {
	case CallAccepted:
		delete(r.tries, c.Window)
		if b != nil {
			b.Delivered = true
		}
		r.log(Event{Kind: Delivered, Window: c.Window, Token: c.Token, Status: status, Took: now - r.endOf(c.Window)})
		return
	case CallRefused:
		delete(r.tries, c.Window)
		if b != nil {
			b.Refused = true
		}
		r.log(Event{Kind: Refused, Window: c.Window, Token: c.Token, Status: status, Cause: cause})
		return
	case CallUnanswered:
		if r.unanswered == 0 {
			r.unanswered = now
		}
	default:
	}
	t := r.tries[c.Window]
	if t == nil {
		t = &try{}
		r.tries[c.Window] = t
	}
	t.delay = min(max(2*t.delay, firstRetry), maxRetry)
	t.at = now + t.delay
	for window := range r.tries {
		if r.ledger.body(window) == nil {
			delete(r.tries, window)
		}
	}
	r.log(Event{Kind: CallFailed, Window: c.Window, Token: c.Token, Status: status, Cause: cause})
}
