package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// sampleSize is the number of agents among which the least loaded is chosen. A
// sample bounds the cost of a choice, and prevents entries with the same
// outdated load reports from all choosing the same agent.
const sampleSize = 16

// poolKey identifies a pool. Model is empty for plain services.
type poolKey struct {
	service domain.ServiceName
	model   domain.ModelName
}

// pool holds the agents that can take calls to one model or plain service:
// connected, serving ones.
type pool struct {
	affinity *policy.Affinity
	local    []*agent // in this entry's data centre
	remote   []*agent
	avoided  []*agent // on the list of the last AvoidedAgents, used only when local and remote are empty
}

type poolTable struct {
	byKey map[poolKey]*pool
	empty *pool
}

func newPoolTable() poolTable {
	return poolTable{byKey: map[poolKey]*pool{}, empty: &pool{affinity: policy.NewAffinity()}}
}

// find returns the pool of a key. If there is none, the result is empty and must not be changed.
func (t *poolTable) find(key poolKey) *pool {
	if p := t.byKey[key]; p != nil {
		return p
	}
	return t.empty
}

// getOrCreate returns the pool of a key, and adds one if there is none.
func (t *poolTable) getOrCreate(key poolKey) *pool {
	p := t.byKey[key]
	if p == nil {
		p = &pool{affinity: policy.NewAffinity()}
		t.byKey[key] = p
	}
	return p
}

// updatePools adds an agent to the pools that it is eligible for and removes it
// from all others.
func (c *Core) updatePools(a *agent) {
	eligible := c.eligiblePools(a)
	kept := a.pools[:0:0]
	for _, p := range a.pools {
		if containsPool(eligible, p) {
			kept = append(kept, p)
			continue
		}
		p.remove(a)
	}
	for _, p := range eligible {
		if !containsPool(kept, p) {
			p.add(a)
			kept = append(kept, p)
		}
	}
	a.pools = kept
	if len(a.pools) == 0 {
		c.withdrawReservationsAt(a)
	}
}

// withdrawReservationsAt withdraws all reservations at an agent. Their calls ask others at once.
func (c *Core) withdrawReservationsAt(a *agent) {
	if a.outstanding == 0 {
		return
	}
	for _, cl := range c.calls.inArrivalOrder() {
		if !c.removeReservation(cl, a) {
			continue
		}
		if a.connected {
			c.sendWithdraw(a, uint64(cl.ID), uint32(cl.attemptNumber))
		}
		cl.nextReservation = c.now
		c.calls.wakeAt(cl, c.now)
	}
}

// rejoinPools moves an agent between the lists of its pools after a change of
// its data centre or of its avoided flag.
func (c *Core) rejoinPools(a *agent) {
	for _, p := range a.pools {
		p.remove(a)
	}
	a.pools = nil
	c.updatePools(a)
}

// eligiblePools returns the pools that an agent may take calls of: none unless
// it is connected, neither draining nor refusing, and configured as serving. An
// endpoint without a list of models serves all models of its service.
func (c *Core) eligiblePools(a *agent) []*pool {
	if c.config == nil || !a.connected || a.refusing || a.load.GetDraining() {
		return nil
	}
	endpoint, ok := c.config.Endpoint(a.id)
	if !ok || endpoint.Desired != domain.EndpointServing {
		return nil
	}
	service, ok := c.config.Service(endpoint.Service)
	if !ok {
		return nil
	}
	if service.Kind == domain.ServicePlain {
		return []*pool{c.pools.getOrCreate(poolKey{service: service.Name})}
	}
	models := endpoint.Models
	if len(models) == 0 {
		models = service.Models
	}
	pools := make([]*pool, 0, len(models))
	for _, model := range models {
		pools = append(pools, c.pools.getOrCreate(poolKey{service: service.Name, model: model}))
	}
	return pools
}

func containsPool(pools []*pool, p *pool) bool {
	for _, q := range pools {
		if q == p {
			return true
		}
	}
	return false
}

func (p *pool) add(a *agent) {
	switch {
	case a.avoided:
		p.avoided = append(p.avoided, a)
		return
	case a.local:
		p.local = append(p.local, a)
	default:
		p.remote = append(p.remote, a)
	}
	p.affinity.Add(string(a.id))
}

// size returns the number of candidates.
func (p *pool) size() int { return len(p.local) + len(p.remote) + len(p.avoided) }

func (p *pool) remove(a *agent) {
	p.affinity.Remove(string(a.id))
	p.local = removeAgent(p.local, a)
	p.remote = removeAgent(p.remote, a)
	p.avoided = removeAgent(p.avoided, a)
}

func removeAgent(agents []*agent, a *agent) []*agent {
	for i := range agents {
		if agents[i] == a {
			return append(agents[:i], agents[i+1:]...)
		}
	}
	return agents
}

// chooseAgent returns the agent to ask next for a call, or nil. A call without
// reservations asks the agent with affinity for its prefix, if that can meet the
// call's target. Otherwise the choice is the least loaded local agent, or the least
// loaded remote one if there is no local one or prefersRemote is true. Avoided
// agents are chosen only if the pool has no others.
func (c *Core) chooseAgent(p *pool, cl *call) *agent {
	if len(cl.reservations) == 0 {
		if name, ok := p.affinity.Owner(cl.Prefix); ok {
			if a := c.agents.byID[domain.EndpointID(name)]; c.mayReserve(cl, a) && c.canMeetTarget(cl, a) {
				return a
			}
		}
	}
	local := c.leastLoaded(p.local, cl)
	if local != nil && local.hasFreeSlot() && c.canMeetTarget(cl, local) {
		return local
	}
	remote := c.leastLoaded(p.remote, cl)
	switch {
	case len(p.local)+len(p.remote) == 0:
		return c.leastLoaded(p.avoided, cl)
	case local == nil:
		return remote
	case remote != nil && c.prefersRemote(cl, remote, local):
		return remote
	}
	return local
}

// prefersRemote reports whether an agent in another data centre is asked before
// a local one: if only the remote agent can meet the call's target, or if both
// or neither can and only the remote agent has a free slot.
func (c *Core) prefersRemote(cl *call, remote, local *agent) bool {
	if meetsTarget := c.canMeetTarget(cl, remote); meetsTarget != c.canMeetTarget(cl, local) {
		return meetsTarget
	}
	return remote.hasFreeSlot() && !local.hasFreeSlot()
}

// canMeetTarget reports whether a call that starts at an agent now is expected
// to meet its first-token target, by the agent's mean time to first token with a
// margin. A mean that the agent has not reported counts as zero. Every declared
// class has a target.
func (c *Core) canMeetTarget(cl *call, a *agent) bool {
	expected := time.Duration(a.load.GetFirstTokenUs()) * time.Microsecond * firstTokenMargin
	return c.now.Sub(cl.arrived)+expected <= cl.class.FirstToken
}

// firstTokenMargin multiplies the mean time to first token of an agent, as the
// times of individual calls vary around the mean.
const firstTokenMargin = 2

// leastLoaded returns the least loaded agent of a random sample, nil if none may
// be asked. Agents that can meet the call's target come before all others.
func (c *Core) leastLoaded(agents []*agent, cl *call) *agent {
	if len(agents) == 0 {
		return nil
	}
	var best *agent
	bestMeetsTarget := false
	start := int(c.nextRandom() % uint64(len(agents)))
	step := max(1, len(agents)/sampleSize)
	for i := range min(len(agents), sampleSize) {
		a := agents[(start+i*step)%len(agents)]
		if !c.mayReserve(cl, a) {
			continue
		}
		meetsTarget := c.canMeetTarget(cl, a)
		if best == nil || meetsTarget && !bestMeetsTarget || meetsTarget == bestMeetsTarget && a.lessLoaded(best) {
			best, bestMeetsTarget = a, meetsTarget
		}
	}
	return best
}

// mayReserve reports whether a call has no reservation at an agent and does not exclude it.
func (c *Core) mayReserve(cl *call, a *agent) bool {
	for i := range cl.reservations {
		if cl.reservations[i].agent == a {
			return false
		}
	}
	for i := range cl.excludedAgents {
		if cl.excludedAgents[i].agent == a && c.now.Before(cl.excludedAgents[i].until) {
			return false
		}
	}
	return true
}

// outstandingSinceReport returns the change of this entry's outstanding work at
// the agent since its last load report, which already includes earlier work.
func (a *agent) outstandingSinceReport() int { return a.outstanding - a.outstandingAtReport }

// hasFreeSlot reports whether the agent reported an empty queue and more free
// slots than this entry has used since. It is false before the first report.
func (a *agent) hasFreeSlot() bool {
	return a.loadKnown && a.load.GetQueued() == 0 && int(a.load.GetFreeSlots()) > a.outstandingSinceReport()
}

// demand estimates the calls at an agent: running, queued and added by this
// entry since the report.
func (a *agent) demand() int {
	busy := int(a.load.GetSlots()) - int(min(a.load.GetSlots(), a.load.GetFreeSlots()))
	return max(0, busy+int(a.load.GetQueued())+a.outstandingSinceReport())
}

// lessLoaded reports whether the agent has less demand per slot than another.
// Both demands are scaled by the other agent's slots, which avoids a division.
func (a *agent) lessLoaded(other *agent) bool {
	scaled := a.demand() * int(max(1, other.load.GetSlots()))
	otherScaled := other.demand() * int(max(1, a.load.GetSlots()))
	return scaled < otherScaled
}

// Bounds of an estimated Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// retryAfter estimates the time until the shortest queue in a sample of a pool's agents has drained.
func (c *Core) retryAfter(p *pool) time.Duration {
	if len(p.local)+len(p.remote) == 0 {
		return noEndpointRetryAfter
	}
	wait := maxRetryAfter
	for _, agents := range [][]*agent{p.local, p.remote} {
		for _, a := range agents[:min(len(agents), sampleSize)] {
			wait = min(wait, a.queueDrainTime())
		}
	}
	return max(wait, minRetryAfter)
}

// queueDrainTime estimates the time in which the agent's slots serve its queue and one more call.
func (a *agent) queueDrainTime() time.Duration {
	service := time.Duration(a.load.GetServiceUs()) * time.Microsecond
	return time.Duration(a.load.GetQueued()+1) * service / time.Duration(max(1, a.load.GetSlots()))
}
