package entry

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// revokeInterval is the time after which an unanswered Revoke is sent again.
const revokeInterval = time.Second

// onGrant hands a call over to the first agent that grants its current attempt.
// All other grants are withdrawn.
//
// Invariant: at most one attempt of a call is handed over at a time, to one
// agent, and each attempt number is handed over with one nonce only. This is
// the only place where a call enters stageHandedOver.
func (c *Core) onGrant(a *agent, g *pb.Grant) {
	cl := c.calls.byID[domain.CallID(g.GetCall())]
	if cl != nil && cl.attempt != nil && cl.attempt.matchesGrant(a, g) {
		return // a duplicate of the accepted grant
	}
	// An agent that has refused may still grant: its starvation guard serves a
	// class that its full queue refused.
	if cl == nil || cl.stage != stageReserving || uint32(cl.attemptNumber) != g.GetAttempt() || !cl.hasReserved(a) {
		c.sendWithdraw(a, g.GetCall(), g.GetAttempt())
		return
	}
	c.withdrawReservations(cl, a)
	cl.stage = stageHandedOver
	c.waiting.remove(cl)
	cl.attempt = &attempt{
		attemptNumber: cl.attemptNumber,
		agent:         a,
		incarnation:   a.incarnation,
		nonce:         domain.Nonce(g.GetNonce()),
		handedOverAt:  c.now,
		lastReceived:  c.now,
		nextSeq:       1,
		digest:        xxhash.New(),
	}
	a.outstanding++
	c.sendHandOver(cl)
	c.calls.wakeAt(cl, c.now.Add(c.settings.HandOverInterval))
}

// hasReserved reports whether the agent was asked for a slot for the current
// attempt, including agents that refused.
func (cl *call) hasReserved(a *agent) bool {
	for i := range cl.reservations {
		if cl.reservations[i].agent == a {
			return true
		}
	}
	return slices.Contains(cl.refusedBy, a)
}

func (at *attempt) matchesGrant(a *agent, g *pb.Grant) bool {
	return at.agent == a && uint32(at.attemptNumber) == g.GetAttempt() && uint64(at.nonce) == g.GetNonce()
}

func (c *Core) sendHandOver(cl *call) {
	at := cl.attempt
	at.lastSent = c.now
	m := &pb.HandOver{
		Call:         uint64(cl.ID),
		Attempt:      uint32(at.attemptNumber),
		Nonce:        uint64(at.nonce),
		Incarnation:  uint64(at.incarnation),
		RequestId:    string(cl.Request),
		Idempotent:   cl.class.Idempotent,
		Method:       cl.Method,
		Path:         cl.Path,
		Body:         cl.Body,
		Model:        string(cl.Model),
		Tier:         uint32(cl.class.Tier),
		MaxTokens:    cl.tokenLimit(),
		ResumeText:   string(cl.resumeText),
		ResumeTokens: cl.deliveredTokens,
		Preemptible:  cl.class.Preemptible && cl.preemptions < c.settings.MaxPreemptions,
	}
	for _, h := range cl.Headers {
		m.Headers = append(m.Headers, &pb.Header{Name: h.Name, Value: h.Value})
	}
	c.expectAnswersMessage(at.agent)
	c.sendAgent(at.agent, &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: m}})
}

// sendProbe queries a started attempt. It resends the hand-over without the body,
// which does not start a run; the reply also proves that the Answers stream works.
func (c *Core) sendProbe(cl *call) {
	at := cl.attempt
	at.lastSent = c.now
	c.expectAnswersMessage(at.agent)
	c.sendAgent(at.agent, &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: &pb.HandOver{
		Call:        uint64(cl.ID),
		Attempt:     uint32(at.attemptNumber),
		Nonce:       uint64(at.nonce),
		Incarnation: uint64(at.incarnation),
		Idempotent:  cl.class.Idempotent,
	}}})
}

// tokenLimit returns the lower of the caller's and the class's bounds on the
// answer's tokens, 0 for no bound.
func (cl *call) tokenLimit() uint32 {
	switch {
	case cl.MaxTokens == 0:
		return cl.class.MaxTokens
	case cl.class.MaxTokens == 0:
		return cl.MaxTokens
	}
	return min(cl.MaxTokens, cl.class.MaxTokens)
}

func (c *Core) sendRevoke(cl *call) {
	at := cl.attempt
	at.lastSent = c.now
	c.sendAgent(at.agent, &pb.ToAgent{Kind: &pb.ToAgent_Revoke{Revoke: &pb.Revoke{
		Call:        uint64(cl.ID),
		Attempt:     uint32(at.attemptNumber),
		Nonce:       uint64(at.nonce),
		Incarnation: uint64(at.incarnation),
	}}})
}

// processHandOver ends an attempt whose agent has not responded by its
// deadline, and otherwise polls the agent.
func (c *Core) processHandOver(cl *call) {
	if cl.stage != stageHandedOver {
		return
	}
	if c.now >= c.responseDeadline(cl) {
		c.retryOrFinish(cl, Failure{Code: CodeEndpointFailed, Step: cl.step(), Peer: string(cl.attempt.agent.id),
			Message: "no word from the agent"})
		return
	}
	if cl.attempt.agent.connected {
		c.pollAttempt(cl)
	}
	c.calls.wakeAt(cl, c.nextAttemptCheck(cl))
}

// pollAttempt sends what is due for an attempt: a probe if it has started, the
// hand-over again while the grant is valid, or else a revoke. A revoke has no
// effect on an attempt that has started; the agent then replies with its state.
func (c *Core) pollAttempt(cl *call) {
	at := cl.attempt
	switch {
	case at.started:
		if c.now.Sub(max(at.lastReceived, at.lastSent)) >= c.settings.ProbeInterval {
			c.sendProbe(cl)
		}
	case c.now.Sub(at.handedOverAt) < c.settings.GrantLifetime:
		if c.now.Sub(at.lastSent) >= c.settings.HandOverInterval {
			c.sendHandOver(cl)
		}
	case at.lastSent.Sub(at.handedOverAt) < c.settings.GrantLifetime || c.now.Sub(at.lastSent) >= revokeInterval:
		// No Revoke was sent yet, or the last one is unanswered.
		c.sendRevoke(cl)
	}
}

// responseDeadline returns when an attempt is given up if the agent sends
// nothing more. A missing response proves nothing about the run. An attempt of a
// call that may be retried is therefore given up early if the agent is disconnected
// (DisconnectTimeout) or has not reported a start (StartTimeout). A started attempt
// on a connected agent, and each attempt of a call that may not be retried, is given
// up after ResponseTimeout.
func (c *Core) responseDeadline(cl *call) domain.Instant {
	at := cl.attempt
	since, timeout := at.lastReceived, c.settings.ResponseTimeout
	if !at.agent.connected {
		since = at.agent.disconnectedAt
	}
	mayRetry := c.mayRetry(cl) && !c.account(cl.Account).budget(cl.Class).Empty()
	switch {
	case mayRetry && !at.agent.connected:
		timeout = c.settings.DisconnectTimeout
	case mayRetry && !at.started:
		timeout = c.settings.StartTimeout
	}
	return since.Add(timeout)
}

// nextAttemptCheck returns when processHandOver is next due for a call.
func (c *Core) nextAttemptCheck(cl *call) domain.Instant {
	at := cl.attempt
	deadline := c.responseDeadline(cl)
	switch {
	case !at.agent.connected:
		return deadline
	case at.started:
		return min(deadline, max(at.lastReceived, at.lastSent).Add(c.settings.ProbeInterval))
	case c.now.Sub(at.handedOverAt) < c.settings.GrantLifetime:
		return min(deadline, at.lastSent.Add(c.settings.HandOverInterval), at.handedOverAt.Add(c.settings.GrantLifetime))
	}
	return min(deadline, at.lastSent.Add(revokeInterval))
}

// onStartState handles an agent's report of whether an attempt has started.
//
// Invariant: NEVER_STARTED proves not-run only if it is from the incarnation to
// which the attempt was handed over, and only for the attempt that it names.
func (c *Core) onStartState(a *agent, callID uint64, attemptNumber uint32, state pb.StartState) {
	cl := c.calls.byID[domain.CallID(callID)]
	if cl == nil || cl.attempt == nil || !cl.attempt.matches(a, attemptNumber) {
		if state == pb.StartState_STARTED {
			c.sendCancel(a, callID, attemptNumber) // not the current attempt
		}
		return
	}
	at := cl.attempt
	at.lastReceived = c.now
	switch state {
	case pb.StartState_STARTED:
		at.started = true
	case pb.StartState_NEVER_STARTED:
		if !at.started {
			c.retryNotRun(cl, Failure{Code: CodeEndpointRefused, Step: StepHandOver, Peer: string(a.id),
				Message: "the agent did not start the call"})
		}
	case pb.StartState_FORGOTTEN:
		c.retryOrFinish(cl, Failure{Code: CodeEndpointFailed, Step: cl.step(), Peer: string(a.id),
			Message: "the agent has no record of the call"})
	}
}
