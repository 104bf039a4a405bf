package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// maxAddReservationInterval bounds the time between two new reservations of a call.
// That time doubles with each reservation.
const maxAddReservationInterval = time.Second

// startReserving starts a new attempt of a call, which then waits for a grant.
func (c *Core) startReserving(cl *call) {
	cl.stage = stageReserving
	if cl.waitingBytes == 0 {
		c.waiting.add(cl) // a retry after an ended attempt
	}
	cl.attemptNumber++
	cl.attempt = nil
	cl.nextReservation = c.now
	cl.addReservationInterval = c.settings.AddReservationInterval * time.Duration(cl.class.Tier+1)
	c.calls.wakeAt(cl, c.now)
}

// processReservations resends a waiting call's reservations, asks more agents
// as time passes, sooner for higher tiers, and ends the call at its deadline.
func (c *Core) processReservations(cl *call) {
	if cl.stage != stageReserving {
		return
	}
	p := c.pools.find(poolKey{service: cl.Service, model: cl.Model})
	if !c.now.Before(cl.deadline) {
		c.finishIncomplete(cl, c.reservationTimeout(cl, p), c.retryAfter(p))
		return
	}
	next := cl.deadline
	for i := range cl.reservations {
		r := &cl.reservations[i]
		if c.now.Sub(r.lastSent) >= c.settings.ReserveInterval {
			c.sendReserve(cl, r)
		}
		next = min(next, r.lastSent.Add(c.settings.ReserveInterval))
	}
	if len(cl.reservations) < c.settings.MaxReservations {
		if c.now >= cl.nextReservation {
			c.addReservations(cl, p)
		}
		next = min(next, cl.nextReservation)
	}
	c.calls.wakeAt(cl, next)
}

// addReservations asks one more agent for a slot. A call without reservations
// asks agents until one of them has a free slot, at most initialReservations.
func (c *Core) addReservations(cl *call, p *pool) {
	limit := 1
	if len(cl.reservations) == 0 {
		limit = c.initialReservations(cl.class.Tier)
	}
	for range limit {
		a := c.chooseAgent(p, cl)
		if a == nil {
			break
		}
		c.reserve(cl, a)
		if a.hasFreeSlot() {
			break
		}
	}
	cl.nextReservation = c.now.Add(cl.addReservationInterval)
	cl.addReservationInterval = min(2*cl.addReservationInterval, max(maxAddReservationInterval, c.settings.AddReservationInterval))
}

// initialReservations returns the number of agents asked at once when none has
// a free slot: MaxReservations for tier 0, halved for each lower tier, but at
// least two. More reservations shorten the wait for the first slot to free up.
func (c *Core) initialReservations(tier domain.Tier) int {
	return max(2, c.settings.MaxReservations>>tier)
}

// reserve adds a reservation of a call at an agent.
func (c *Core) reserve(cl *call, a *agent) {
	a.outstanding++
	cl.reservations = append(cl.reservations, reservation{agent: a})
	c.sendReserve(cl, &cl.reservations[len(cl.reservations)-1])
}

func (c *Core) sendReserve(cl *call, r *reservation) {
	r.lastSent = c.now
	c.sendAgent(r.agent, &pb.ToAgent{Kind: &pb.ToAgent_Reserve{Reserve: &pb.Reserve{
		Call:    uint64(cl.ID),
		Attempt: uint32(cl.attemptNumber),
		Tier:    uint32(cl.class.Tier),
		Account: cl.accountHash,
		Class:   cl.classHash,
		SlackMs: (cl.class.FirstToken - c.now.Sub(cl.arrived)).Milliseconds(),
		Model:   string(cl.Model),
		LateOk:  !cl.class.ShedLate,
	}}})
}

// withdrawReservations deletes the reservations of the current attempt and
// withdraws them at all agents except one, which may be nil.
func (c *Core) withdrawReservations(cl *call, except *agent) {
	for _, r := range cl.reservations {
		r.agent.outstanding--
		if r.agent != except {
			c.sendWithdraw(r.agent, uint64(cl.ID), uint32(cl.attemptNumber))
		}
	}
	cl.reservations = cl.reservations[:0]
	cl.refusedBy = cl.refusedBy[:0]
}

func (c *Core) sendWithdraw(a *agent, call uint64, attemptNumber uint32) {
	c.sendAgent(a, &pb.ToAgent{Kind: &pb.ToAgent_Withdraw{Withdraw: &pb.Withdraw{Call: call, Attempt: attemptNumber}}})
}

func (c *Core) sendAgent(a *agent, m *pb.ToAgent) {
	c.emit(SendAgent{Agent: a.id, Message: m})
}

// onReserveReply handles an agent's refusal. The call asks another agent at once.
func (c *Core) onReserveReply(a *agent, m *pb.ReserveReply) {
	cl := c.calls.byID[domain.CallID(m.GetCall())]
	if cl == nil || cl.stage != stageReserving || uint32(cl.attemptNumber) != m.GetAttempt() {
		return
	}
	if !c.removeReservation(cl, a) {
		return
	}
	cl.refusedBy = append(cl.refusedBy, a)
	c.exclude(cl, a, c.refusalBackoff(cl, m))
	if m.GetReason() == pb.RefuseReason_REFUSE_DRAINING || m.GetReason() == pb.RefuseReason_REFUSE_NOT_READY {
		a.refusing = true // until its next heartbeat
		c.updatePools(a)
	}
	cl.refusedAsFull = m.GetReason() == pb.RefuseReason_REFUSE_FULL || m.GetReason() == pb.RefuseReason_REFUSE_DISPLACED
	cl.nextReservation = c.now
	c.calls.wakeAt(cl, c.now)
}

// refusalBackoff returns the time until a call may again ask an agent that has
// refused it. It doubles with each refusal of the call, as most reservations
// are refused under overload. The agent's Retry-After applies if it is longer. The
// result is at most MaxExclusionTime in either case.
func (c *Core) refusalBackoff(cl *call, m *pb.ReserveReply) time.Duration {
	backoff := c.settings.ExclusionTime
	for i := uint32(0); i < cl.refusals && backoff < c.settings.MaxExclusionTime; i++ {
		backoff *= 2
	}
	cl.refusals++
	retryAfter := time.Duration(m.GetRetryAfterMs()) * time.Millisecond
	return min(max(backoff, retryAfter), c.settings.MaxExclusionTime)
}

// removeReservation deletes a call's reservation at an agent and reports whether there was one.
func (c *Core) removeReservation(cl *call, a *agent) bool {
	for i := range cl.reservations {
		if cl.reservations[i].agent == a {
			cl.reservations = append(cl.reservations[:i], cl.reservations[i+1:]...)
			a.outstanding--
			return true
		}
	}
	return false
}

// exclude adds an agent to those that a call does not ask, for some time.
func (c *Core) exclude(cl *call, a *agent, wait time.Duration) {
	kept := cl.excludedAgents[:0]
	for _, excluded := range cl.excludedAgents {
		if excluded.agent != a && c.now.Before(excluded.until) {
			kept = append(kept, excluded)
		}
	}
	cl.excludedAgents = append(kept, excludedAgent{agent: a, until: c.now.Add(wait)})
}

// reservationTimeout returns the failure of a call that got no grant by its deadline.
func (c *Core) reservationTimeout(cl *call, p *pool) Failure {
	if len(cl.reservations) == 0 && !cl.refusedAsFull && p.size() == 0 {
		return Failure{Code: CodeNoEndpoint, Step: StepReserve, Message: "no endpoint is available"}
	}
	return Failure{Code: CodeOverloaded, Step: StepReserve, Message: "no endpoint had a free slot in time"}
}
