package entry

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// sampleSize is the number of agents of which the least loaded is chosen. A
// sample bounds the work of a choice, and keeps entries that read the same
// late load reports from all choosing the same agent.
const sampleSize = 16

// poolKey names the agents that can serve the same calls. Model is empty for plain services.
type poolKey struct {
	service domain.ServiceName
	model   domain.ModelName
}

// pool holds the agents that are up, serving and offer a model.
type pool struct {
	affinity *policy.Affinity
	local    []*agent // of this entry's data centre
	remote   []*agent
	leaving  []*agent // about to leave, for when there is no other
}

type poolTable struct {
	byKey map[poolKey]*pool
	empty *pool
}

func newPoolTable() poolTable {
	return poolTable{byKey: map[poolKey]*pool{}, empty: &pool{affinity: policy.NewAffinity()}}
}

// find returns the pool of a key, an empty one when no agent has joined it.
func (t *poolTable) find(key poolKey) *pool {
	if p := t.byKey[key]; p != nil {
		return p
	}
	return t.empty
}

// getOrCreate returns the pool of a key for an agent to join.
func (t *poolTable) getOrCreate(key poolKey) *pool {
	p := t.byKey[key]
	if p == nil {
		p = &pool{affinity: policy.NewAffinity()}
		t.byKey[key] = p
	}
	return p
}

// updatePools puts an agent into the pools that it belongs to now, and takes it out of the others.
func (c *Core) updatePools(a *agent) {
	wanted := c.eligiblePools(a)
	kept := a.pools[:0:0]
	for _, p := range a.pools {
		if containsPool(wanted, p) {
			kept = append(kept, p)
			continue
		}
		p.remove(a)
	}
	for _, p := range wanted {
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

// withdrawReservationsAt takes back what an agent that gets no new work was asked for.
func (c *Core) withdrawReservationsAt(a *agent) {
	if a.outstanding == 0 {
		return
	}
	for _, cl := range c.calls.inArrivalOrder() {
		if !c.removeReservation(cl, a) {
			continue
		}
		if a.connected {
			c.sendWithdraw(a, uint64(cl.ID), uint32(cl.number))
		}
		cl.nextWiden = c.now
		c.calls.wakeAt(cl, c.now)
	}
}

// rejoinPools moves an agent after a change of its data centre or of its leaving.
func (c *Core) rejoinPools(a *agent) {
	for _, p := range a.pools {
		p.remove(a)
	}
	a.pools = nil
	c.updatePools(a)
}

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
	case a.leaving:
		p.leaving = append(p.leaving, a)
		return
	case a.local:
		p.local = append(p.local, a)
	default:
		p.remote = append(p.remote, a)
	}
	p.affinity.Add(string(a.id))
}

// size is the number of candidates.
func (p *pool) size() int { return len(p.local) + len(p.remote) + len(p.leaving) }

func (p *pool) remove(a *agent) {
	p.affinity.Remove(string(a.id))
	p.local = removeAgent(p.local, a)
	p.remote = removeAgent(p.remote, a)
	p.leaving = removeAgent(p.leaving, a)
}

func removeAgent(agents []*agent, a *agent) []*agent {
	for i := range agents {
		if agents[i] == a {
			return append(agents[:i], agents[i+1:]...)
		}
	}
	return agents
}

// chooseAgent returns the agent to ask next for a call, or nil.
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
		return c.leastLoaded(p.leaving, cl)
	case local == nil:
		return remote
	case remote != nil && c.prefersRemote(cl, remote, local):
		return remote
	}
	return local
}

// prefersRemote reports whether an agent of another data centre is to be asked before
// a local one: for its being in time, or else for a free slot.
func (c *Core) prefersRemote(cl *call, remote, local *agent) bool {
	if inTime := c.canMeetTarget(cl, remote); inTime != c.canMeetTarget(cl, local) {
		return inTime
	}
	return remote.hasFreeSlot() && !local.hasFreeSlot()
}

// canMeetTarget reports whether a call that started at an agent now could be
// expected to keep its target. The agent's mean is taken with a margin, as
// times spread around it. An agent that has not measured any is in time.
func (c *Core) canMeetTarget(cl *call, a *agent) bool {
	expected := time.Duration(a.load.GetFirstTokenUs()) * time.Microsecond * firstTokenMargin
	return c.now.Sub(cl.arrived)+expected <= cl.class.FirstToken
}

// firstTokenMargin multiplies the mean time to first token of an agent.
const firstTokenMargin = 2

// leastLoaded returns an agent of a sample that may be asked, or nil: the least
// loaded one of those that are in time, or else of all.
func (c *Core) leastLoaded(agents []*agent, cl *call) *agent {
	if len(agents) == 0 {
		return nil
	}
	var best *agent
	bestInTime := false
	start := int(c.nextRandom() % uint64(len(agents)))
	step := max(1, len(agents)/sampleSize)
	for i := range min(len(agents), sampleSize) {
		a := agents[(start+i*step)%len(agents)]
		if !c.mayReserve(cl, a) {
			continue
		}
		inTime := c.canMeetTarget(cl, a)
		if best == nil || inTime && !bestInTime || inTime == bestInTime && a.lessLoaded(best) {
			best, bestInTime = a, inTime
		}
	}
	return best
}

// mayReserve reports whether a call has not asked an agent, nor been refused by it lately.
func (c *Core) mayReserve(cl *call, a *agent) bool {
	for i := range cl.reservations {
		if cl.reservations[i].agent == a {
			return false
		}
	}
	for i := range cl.avoidedAgents {
		if cl.avoidedAgents[i].agent == a && c.now.Before(cl.avoidedAgents[i].until) {
			return false
		}
	}
	return true
}

// outstandingSinceReport is the change of this entry's own work at the agent since its last
// load report, which has all that was asked before.
func (a *agent) outstandingSinceReport() int { return a.outstanding - a.outstandingAtReport }

// hasFreeSlot reports whether the agent had more free slots than this entry has asked for since.
func (a *agent) hasFreeSlot() bool {
	return a.loadKnown && a.load.GetQueued() == 0 && int(a.load.GetFreeSlots()) > a.outstandingSinceReport()
}

// demand is the work at an agent: busy slots, its queue and what this entry has added since.
func (a *agent) demand() int {
	busy := int(a.load.GetSlots()) - int(min(a.load.GetSlots(), a.load.GetFreeSlots()))
	return max(0, busy+int(a.load.GetQueued())+a.outstandingSinceReport())
}

// lessLoaded compares the demand for each slot, without division.
func (a *agent) lessLoaded(other *agent) bool {
	mine := a.demand() * int(max(1, other.load.GetSlots()))
	theirs := other.demand() * int(max(1, a.load.GetSlots()))
	return mine < theirs
}

// Bounds of the Retry-After that callers are told.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 60 * time.Second
)

// retryAfter estimates when the queues of a few agents of a pool will have drained.
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

// queueDrainTime is the time in which the agent's slots get through its queue.
func (a *agent) queueDrainTime() time.Duration {
	service := time.Duration(a.load.GetServiceUs()) * time.Microsecond
	return time.Duration(a.load.GetQueued()+1) * service / time.Duration(max(1, a.load.GetSlots()))
}
