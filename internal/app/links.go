package app

import (
	"slices"
	"sync"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
)

// maxRecentOrders limits the links kept for operators' orders: an entry stays linked
// to the last maxRecentOrders endpoints that got an order through it, also outside
// its subset.
const maxRecentOrders = 16

// agentSubset selects the agents that an entry keeps links to. An agent that
// leaves the subset is retired: it keeps its link until it has no reservation or
// hand-over of this entry.
type agentSubset struct {
	self policy.LinkMember
	// setLinks replaces the link targets. It is called with mu held, so that an
	// older list can't replace a newer one.
	setLinks func([]wire.AgentTarget)

	mu           sync.Mutex
	set          *declaration.Set // nil before the first configuration
	members      map[domain.EndpointID]bool
	retired      map[domain.EndpointID]bool
	recentOrders []domain.EndpointID // newest last
}

func newAgentSubset(s EntrySettings, setLinks func([]wire.AgentTarget)) *agentSubset {
	return &agentSubset{
		setLinks: setLinks,
		self:     policy.LinkMember{Name: s.Name, DataCentre: s.DataCentre},
		members:  map[domain.EndpointID]bool{},
		retired:  map[domain.EndpointID]bool{},
	}
}

// install selects the subset for a configuration.
func (s *agentSubset) install(set *declaration.Set) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = set
	previous := s.members
	s.members = map[domain.EndpointID]bool{}
	for _, name := range policy.AgentLinks(s.self, entryMembers(set), agentMembers(set)) {
		s.members[domain.EndpointID(name)] = true
		delete(s.retired, domain.EndpointID(name))
	}
	for id := range previous {
		if !s.members[id] {
			s.retired[id] = true
		}
	}
	s.setLinks(s.targetsLocked())
}

// keepForOrder links an endpoint that gets an operator's order, and keeps the link
// until maxRecentOrders other endpoints have got orders.
func (s *agentSubset) keepForOrder(id domain.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentOrders = slices.DeleteFunc(s.recentOrders, func(other domain.EndpointID) bool { return other == id })
	s.recentOrders = append(s.recentOrders, id)
	if len(s.recentOrders) > maxRecentOrders {
		if oldest := s.recentOrders[0]; !s.members[oldest] {
			s.retired[oldest] = true
		}
		s.recentOrders = slices.Delete(s.recentOrders, 0, 1)
	}
	s.setLinks(s.targetsLocked())
}

// unlinkIdle ends the links to retired agents that are not busy.
func (s *agentSubset) unlinkIdle(busy map[domain.EndpointID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.retired)
	for id := range s.retired {
		if !busy[id] {
			delete(s.retired, id)
		}
	}
	if len(s.retired) < before {
		s.setLinks(s.targetsLocked())
	}
}

// retiredAgents lists the retired agents, sorted. They should get no new calls
// from this entry.
func (s *agentSubset) retiredAgents() []domain.EndpointID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []domain.EndpointID
	for id := range s.retired {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// targetsLocked lists the declared agents to link to. The caller holds mu.
func (s *agentSubset) targetsLocked() []wire.AgentTarget {
	if s.set == nil {
		return nil
	}
	var targets []wire.AgentTarget
	for _, ep := range s.set.AllEndpoints() {
		if s.members[ep.ID] || s.retired[ep.ID] || slices.Contains(s.recentOrders, ep.ID) {
			targets = append(targets, wire.AgentTarget{ID: ep.ID, Address: ep.AgentAddress})
		}
	}
	return targets
}

// entryMembers lists the declared entries.
func entryMembers(set *declaration.Set) []policy.LinkMember {
	var members []policy.LinkMember
	for _, p := range set.Peers() {
		members = append(members, policy.LinkMember{Name: string(p.Entry), DataCentre: string(p.DataCentre)})
	}
	return members
}

// agentMembers lists the declared endpoints. Each is in a group per model that it
// or its service offers, or in a group for its service if there is no model.
func agentMembers(set *declaration.Set) []policy.LinkMember {
	var members []policy.LinkMember
	for _, ep := range set.AllEndpoints() {
		member := policy.LinkMember{Name: string(ep.ID), DataCentre: string(ep.DataCentre)}
		models := ep.Models
		if service, ok := set.Service(ep.Service); ok && len(models) == 0 {
			models = service.Models
		}
		for _, model := range models {
			member.Groups = append(member.Groups, string(ep.Service)+"/"+string(model))
		}
		if len(models) == 0 {
			member.Groups = []string{string(ep.Service)}
		}
		members = append(members, member)
	}
	return members
}

// updatePeerLinks sets the links to other entries for a configuration. All declared
// entries may lend shares of limits, also those that are not linked.
func (e *Entry) updatePeerLinks(set *declaration.Set) {
	var targets, lenders []wire.PeerTarget
	linked := policy.PeerLinks(e.subset.self, entryMembers(set))
	for _, p := range set.Peers() {
		target := wire.PeerTarget{ID: p.Entry, Address: p.PeerAddress}
		lenders = append(lenders, target)
		if slices.Contains(linked, string(p.Entry)) {
			targets = append(targets, target)
		}
	}
	e.peerLinks.SetLenders(lenders)
	if err := e.peerLinks.SetTargets(targets); err != nil {
		klog.ErrorS(err, "invalid peer addresses", "step", "set-targets")
	}
}

// updateAgentLinks sets the links to agents.
func (e *Entry) updateAgentLinks(targets []wire.AgentTarget) {
	if err := e.agentLinks.SetTargets(targets); err != nil {
		klog.ErrorS(err, "invalid agent addresses", "step", "set-targets")
	}
}

// unlinkIdleRetiredAgents ends the links to retired agents that have no call any more.
// It does so in the call loop, so that no call can be sent to them meanwhile.
func (e *Entry) unlinkIdleRetiredAgents() {
	e.loop.query(e.ctx, func() { e.subset.unlinkIdle(busyAgents(e.core.Agents())) })
}

// busyAgents returns the agents that have reservations or hand-overs of an entry.
func busyAgents(statuses []entry.AgentStatus) map[domain.EndpointID]bool {
	busy := map[domain.EndpointID]bool{}
	for _, status := range statuses {
		if status.Outstanding > 0 {
			busy[status.ID] = true
		}
	}
	return busy
}
