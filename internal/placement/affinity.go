package placement

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// Session affinity. A session is a series of requests whose prompts have the same
// last shared part. Its requests arrive every few seconds, at any gateway, and an
// engine that has the shared parts in its cache need not prefill them again.
// Gateways agree by rendezvous hashing on the engines that first prefill the parts
// of a session. Others fetch them from an engine that has them.

const (
	// primaryPrefillShare is the fraction of prompts' shared tokens that primary
	// endpoints prefill on average. The rest is in their caches.
	primaryPrefillShare = 0.1
	// affinityWidth is the number of endpoints in an affinity list.
	affinityWidth = 4
)

// affinityList is the endpoints of a pool that a session prefers, the most preferred first. It is empty for prompts
// without shared parts. The first is the primary and the second the secondary endpoint; the others are for overdue
// requests.
type affinityList []*endpointState

// affinityEndpoints returns the endpoints of a pool with the highest
// rendezvous scores for the last shared part of a prompt, at most affinityWidth.
func affinityEndpoints(pool []*endpointState, parts []Part) affinityList {
	if len(parts) < 2 {
		return nil
	}
	key := policy.Mix64(parts[len(parts)-2].ID)
	list := make(affinityList, 0, affinityWidth+1)
	var scores [affinityWidth + 1]uint64
	for _, s := range pool {
		score := policy.Mix64(s.idHash ^ key)
		at := len(list)
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == affinityWidth {
			continue
		}
		list = slices.Insert(list, at, s)
		copy(scores[at+1:], scores[at:affinityWidth])
		scores[at] = score
		list = list[:min(len(list), affinityWidth)]
	}
	return list
}

// primary returns the primary endpoint, or nil.
func (l affinityList) primary() *endpointState { return l.at(0) }

// secondary returns the secondary endpoint, or nil.
func (l affinityList) secondary() *endpointState { return l.at(1) }

func (l affinityList) at(i int) *endpointState {
	if i < len(l) {
		return l[i]
	}
	return nil
}

// rank is 1 for the primary endpoint, 2 for the secondary one, the number in the list for the others and 0 for endpoints that are
// not in it.
func (l affinityList) rank(s *endpointState) int { return slices.Index(l, s) + 1 }
