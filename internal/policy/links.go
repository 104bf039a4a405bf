package policy

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// FullMeshAgents is the number of agents up to which each entry links to all agents.
	FullMeshAgents = 32
	// AgentsPerGroup is the number of agents that each entry selects in each group.
	AgentsPerGroup = 4
	// remoteAgentsPerGroup is how many of AgentsPerGroup are in other data centres.
	remoteAgentsPerGroup = 1
	// EntriesPerAgent is the minimum number of entries that link to each agent.
	EntriesPerAgent = 3
	// remoteEntriesPerAgent is how many of EntriesPerAgent are in other data centres.
	remoteEntriesPerAgent = 1

	// FullMeshPeers is the number of other entries up to which entries form a full mesh.
	FullMeshPeers = 32
	// ringNeighboursPerSide is the number of successors and of predecessors on the
	// hash ring that each entry links to.
	ringNeighboursPerSide = 2
	// rendezvousPeers is the number of entries that each entry selects by rendezvous
	// hashing. It may select itself, which leaves it one peer fewer.
	rendezvousPeers = 3
	// remoteRendezvousPeers is how many of rendezvousPeers are in other data centres.
	remoteRendezvousPeers = 1
)

// LinkMember is an entry or agent that links are computed for.
type LinkMember struct {
	Name       string
	DataCentre string
	// Groups are the names of the groups that an agent belongs to: one for each pair of
	// service and model that its endpoint serves, or one for its plain service. Entries
	// have none.
	Groups []string
}

// AgentLinks returns the sorted names of the agents that an entry links to: the
// agents that the entry selects in each group, and the agents that select the
// entry. Selecting from both sides guarantees each side its minimum number of
// links. With up to FullMeshAgents agents the result is all agents.
func AgentLinks(self LinkMember, entries, agents []LinkMember) []string {
	if len(agents) <= FullMeshAgents {
		return sortedNames(agents)
	}
	selected := map[string]bool{}
	for group, members := range groupAgents(agents) {
		// The name is the hash key. A different one for each group makes the entry's
		// selections independent of each other.
		key := self
		key.Name += "/" + group
		for _, name := range newLinkCandidates(members).selectFor(key, AgentsPerGroup, remoteAgentsPerGroup) {
			selected[name] = true
		}
	}
	entryCandidates := newLinkCandidates(withMember(entries, self))
	for _, a := range agents {
		if slices.Contains(entryCandidates.selectFor(a, EntriesPerAgent, remoteEntriesPerAgent), self.Name) {
			selected[a.Name] = true
		}
	}
	return sortedKeys(selected)
}

// PeerLinks returns the sorted names of the other entries that an entry links to.
// Links are mutual. They are the neighbours on a hash ring, which keeps the graph
// connected, and the peers that either end selects. Most selected peers are in the
// same data centre, so that gossip continues there during a partition between data
// centres. With up to FullMeshPeers other entries the result is all of them.
func PeerLinks(self LinkMember, entries []LinkMember) []string {
	members := withMember(entries, self)
	ring := sortedNames(members)
	selected := map[string]bool{}
	if len(ring) <= FullMeshPeers+1 {
		return slices.DeleteFunc(ring, func(name string) bool { return name == self.Name })
	}
	slices.SortFunc(ring, compareRingPosition)
	position := slices.Index(ring, self.Name)
	for offset := 1; offset <= ringNeighboursPerSide; offset++ {
		selected[ring[(position+offset)%len(ring)]] = true
		selected[ring[(position-offset+len(ring))%len(ring)]] = true
	}
	candidates := newLinkCandidates(members)
	for _, m := range members {
		peers := candidates.selectFor(m, rendezvousPeers, remoteRendezvousPeers)
		if m.Name == self.Name {
			for _, peer := range peers {
				selected[peer] = true
			}
		} else if slices.Contains(peers, self.Name) {
			selected[m.Name] = true
		}
	}
	delete(selected, self.Name)
	return sortedKeys(selected)
}

// compareRingPosition orders names on the hash ring: by hash, then by name.
func compareRingPosition(a, b string) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
}

// linkCandidates holds member names: all of them, and by data centre those inside
// (local) and outside (remote) it. Each list keeps the order of the members.
type linkCandidates struct {
	all    []string
	local  map[string][]string
	remote map[string][]string
}

func newLinkCandidates(members []LinkMember) linkCandidates {
	candidates := linkCandidates{local: map[string][]string{}, remote: map[string][]string{}}
	for _, m := range members {
		candidates.all = append(candidates.all, m.Name)
		candidates.local[m.DataCentre] = append(candidates.local[m.DataCentre], m.Name)
	}
	for dataCentre := range candidates.local {
		for _, m := range members {
			if m.DataCentre != dataCentre {
				candidates.remote[dataCentre] = append(candidates.remote[dataCentre], m.Name)
			}
		}
	}
	return candidates
}

// selectFor returns n members for a process by rendezvous hashing, local members
// first. The parameter remote is the minimum number of members outside the data centre
// of the process, as far as there are so many. Remote members also make up for missing
// local members.
func (c linkCandidates) selectFor(process LinkMember, n, remote int) []string {
	local, remoteNames := c.local[process.DataCentre], c.remote[process.DataCentre]
	if len(local) == 0 {
		remoteNames = c.all
	}
	remote = min(len(remoteNames), max(remote, n-len(local)))
	picked := SelectByRendezvous(process.Name, local, min(len(local), n-remote))
	return append(picked, SelectByRendezvous(process.Name, remoteNames, remote)...)
}

// groupAgents returns the agents of each group.
func groupAgents(agents []LinkMember) map[string][]LinkMember {
	groups := map[string][]LinkMember{}
	for _, a := range agents {
		for _, group := range a.Groups {
			groups[group] = append(groups[group], a)
		}
	}
	return groups
}

// withMember returns members with m appended unless its name is already present.
func withMember(members []LinkMember, m LinkMember) []LinkMember {
	for _, existing := range members {
		if existing.Name == m.Name {
			return members
		}
	}
	return append(slices.Clone(members), m)
}

func sortedNames(members []LinkMember) []string {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	return names
}

func sortedKeys(set map[string]bool) []string {
	names := make([]string, 0, len(set))
	for name := range set {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
