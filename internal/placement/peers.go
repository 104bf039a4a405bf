package placement

import "slices"

// PeerLoad is what one process has in progress at one endpoint.
type PeerLoad struct {
	// Endpoint is the low half of the hash of the endpoint's identifier.
	Endpoint uint32
	InFlight int
	Decoding int
	Unread   int
	Memory   int
}

func (l PeerLoad) work() work {
	return work{inFlight: l.InFlight, decoding: l.Decoding, unread: l.Unread, memory: l.Memory}
}

// Digest returns what this process has in progress, by endpoint.
func (t *Table) Digest() []PeerLoad {
	var loads []PeerLoad
	for _, s := range t.byID {
		if s.own == (work{}) {
			continue
		}
		loads = append(loads, PeerLoad{
			Endpoint: s.hash(), InFlight: s.own.inFlight, Decoding: s.own.decoding, Unread: s.own.unread, Memory: s.own.memory,
		})
	}
	slices.SortFunc(loads, func(a, b PeerLoad) int { return int(int64(a.Endpoint) - int64(b.Endpoint)) })
	return loads
}

// PeerLoads replaces what a peer has in progress. Nothing is left of it when
// the list is empty.
func (t *Table) PeerLoads(peer string, loads []PeerLoad) {
	t.addPeer(t.peers[peer], -1)
	if len(loads) == 0 {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = loads
	t.addPeer(loads, 1)
}

func (t *Table) addPeer(loads []PeerLoad, sign int) {
	for _, l := range loads {
		if s := t.byHash[l.Endpoint]; s != nil {
			s.peers.add(l.work(), sign)
		}
	}
}
