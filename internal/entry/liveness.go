package entry

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// onAgentUp handles a new connection to an agent. It resends the messages for
// all reservations and attempts at the agent, as they may have been lost.
func (c *Core) onAgentUp(in AgentUp) {
	a := c.agents.getOrCreate(in.Agent)
	if a.incarnation != in.Incarnation {
		a.load.Reset()
		a.loadKnown = false
		a.outstandingAtReport = 0
	}
	a.incarnation = in.Incarnation
	a.refusing = false
	a.connected = true
	a.lastControl = c.now
	a.answersDeadline = 0
	a.local = c.isLocal(a)
	a.nextHeartbeat = c.now.Add(c.heartbeatOffset(a))
	c.nextLivenessCheck = c.now
	c.updatePools(a)
	for _, cl := range c.calls.inArrivalOrder() {
		c.resend(cl, a)
	}
}

// resend resends a call's reservation, hand-over or Revoke to a reconnected agent. It
// also acknowledges the delivered frames, upon which the agent resends all later ones.
// An attempt at an earlier incarnation of the agent is lost.
func (c *Core) resend(cl *call, a *agent) {
	for i := range cl.reservations {
		if cl.reservations[i].agent == a {
			c.sendReserve(cl, &cl.reservations[i])
		}
	}
	at := cl.attempt
	if at == nil || at.agent != a {
		return
	}
	if at.incarnation != a.incarnation {
		c.retryOrFinish(cl, Failure{Code: CodeEndpointFailed, Step: cl.step(), Peer: string(a.id),
			Message: "the agent has restarted"})
		return
	}
	at.lastReceived = c.now
	switch {
	case at.started:
	case c.now.Sub(at.handedOverAt) < c.settings.GrantLifetime:
		c.sendHandOver(cl)
	default:
		c.sendRevoke(cl)
	}
	c.sendAck(cl, false)
	c.calls.wakeAt(cl, c.now)
}

// heartbeatOffset is an agent's delay within HeartbeatInterval, which spreads the
// heartbeats to all agents evenly over the interval.
func (c *Core) heartbeatOffset(a *agent) time.Duration {
	return time.Duration(policy.Mix64(xxhash.Sum64String(string(a.id))) % uint64(c.settings.HeartbeatInterval))
}

// onAgentDown stops reservations at an agent. Its attempts stay open until their
// responseDeadline.
func (c *Core) onAgentDown(id domain.EndpointID) {
	if a := c.agents.byID[id]; a != nil && a.connected {
		c.disconnect(a)
	}
}

// disconnect marks an agent as not connected, takes it out of its pools and
// makes its attempts due, as their deadlines change.
func (c *Core) disconnect(a *agent) {
	a.connected = false
	a.answersDeadline = 0
	a.disconnectedAt = c.now
	c.updatePools(a)
	for _, cl := range c.calls.inArrivalOrder() {
		if cl.attempt != nil && cl.attempt.agent == a {
			c.calls.wakeAt(cl, c.now)
		}
	}
}

// checkLiveness sends due heartbeats, and requests a new connection to each agent
// that has not responded by its silenceDeadline.
func (c *Core) checkLiveness() {
	if c.now < c.nextLivenessCheck {
		return
	}
	c.nextLivenessCheck = c.now.Add(c.settings.HeartbeatInterval)
	for _, a := range c.agents.ordered {
		if !a.connected {
			continue
		}
		if c.now >= a.silenceDeadline(c.settings.SilenceTimeout) {
			c.emit(Reconnect{Agent: a.id})
			c.disconnect(a)
			continue
		}
		if c.now >= a.nextHeartbeat {
			a.nextHeartbeat = c.now.Add(c.settings.HeartbeatInterval)
			c.sendAgent(a, &pb.ToAgent{Kind: &pb.ToAgent_Heartbeat{Heartbeat: &pb.EntryHeartbeat{
				Revision: uint64(c.Revision()),
			}}})
		}
		c.nextLivenessCheck = min(c.nextLivenessCheck, a.nextHeartbeat, a.silenceDeadline(c.settings.SilenceTimeout))
	}
}

// recordReceived records a message on one of the agent's two streams. Either can
// fail alone. Control carries the agent's periodic heartbeats; Answers carries a
// reply to each hand-over, including resent ones.
func (a *agent) recordReceived(m *pb.ToEntry, now domain.Instant) {
	switch m.GetKind().(type) {
	case *pb.ToEntry_Frame, *pb.ToEntry_HandOverReply:
		a.answersDeadline = 0
	default:
		a.lastControl = now
	}
}

// expectAnswersMessage starts the timeout for a message on the agent's Answers
// stream, unless it is running.
func (c *Core) expectAnswersMessage(a *agent) {
	if a.answersDeadline == 0 {
		a.answersDeadline = c.now.Add(c.settings.SilenceTimeout)
		c.nextLivenessCheck = min(c.nextLivenessCheck, a.answersDeadline)
	}
}

// silenceDeadline returns when the agent's connection is given up if it sends
// nothing more.
func (a *agent) silenceDeadline(timeout time.Duration) domain.Instant {
	deadline := a.lastControl.Add(timeout)
	if a.answersDeadline != 0 {
		deadline = min(deadline, a.answersDeadline)
	}
	return deadline
}

// onHeartbeat records an agent's load report.
func (c *Core) onHeartbeat(a *agent, m *pb.AgentHeartbeat) {
	poolsChange := a.refusing || a.load.GetDraining() != m.GetDraining()
	a.refusing = false
	a.load.Reset()
	a.load.Revision = m.GetRevision()
	a.load.FreeSlots = m.GetFreeSlots()
	a.load.Slots = m.GetSlots()
	a.load.Queued = m.GetQueued()
	a.load.LowestTierQueued = m.GetLowestTierQueued()
	a.load.Draining = m.GetDraining()
	a.load.ServiceUs = m.GetServiceUs()
	a.load.FirstTokenUs = m.GetFirstTokenUs()
	a.loadKnown = true
	a.outstandingAtReport = a.outstanding
	if poolsChange {
		c.updatePools(a)
	}
}

// onAvoidedAgents replaces the list of avoided agents: those on hosts that the
// platform lists as leaving, and those outside this entry's subset. As the list is
// only a hint, agents on it are still asked when a pool has no others. An agent that
// is added to it loses its reservations if each of its pools has others.
func (c *Core) onAvoidedAgents(ids []domain.EndpointID) {
	avoided := make(map[domain.EndpointID]bool, len(ids))
	for _, id := range ids {
		avoided[id] = true
	}
	for _, a := range c.agents.ordered {
		if a.avoided != avoided[a.id] {
			a.avoided = avoided[a.id]
			c.rejoinPools(a)
			if a.avoided && c.hasAlternatives(a) {
				c.withdrawReservationsAt(a)
			}
		}
	}
}

// hasAlternatives reports whether each of an agent's pools has an agent that is
// not avoided.
func (c *Core) hasAlternatives(a *agent) bool {
	for _, p := range a.pools {
		if len(p.local)+len(p.remote) == 0 {
			return false
		}
	}
	return true
}
