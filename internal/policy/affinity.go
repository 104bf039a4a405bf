package policy

import "github.com/cespare/xxhash/v2"

// hashSlots is the number of hash slots that prefixes are mapped to.
const hashSlots = 4096

// affinityMember is a member and the hash of its name, which seeds its scores.
type affinityMember struct {
	name string
	seed uint64
}

// Affinity maps prompt prefixes to members by rendezvous hashing: a prefix stays
// with its member when other members join or leave. The owner of each hash slot
// is precomputed, so a lookup takes constant time. Adding or removing a
// member takes time proportional to the number of slots.
type Affinity struct {
	members []*affinityMember
	owners  [hashSlots]*affinityMember
}

// NewAffinity returns an empty map.
func NewAffinity() *Affinity { return &Affinity{} }

// Add adds a member and assigns it the slots for which it has the highest score.
func (a *Affinity) Add(name string) {
	m := &affinityMember{name: name, seed: xxhash.Sum64String(name)}
	a.members = append(a.members, m)
	for slot := range a.owners {
		if m.outranks(a.owners[slot], uint64(slot)) {
			a.owners[slot] = m
		}
	}
}

// Remove removes a member and reassigns its slots. It ignores an unknown name.
func (a *Affinity) Remove(name string) {
	for i, m := range a.members {
		if m.name == name {
			a.members = append(a.members[:i], a.members[i+1:]...)
			a.reassign(m)
			return
		}
	}
}

// Owner returns the member that a prefix maps to, or false if there are no members.
func (a *Affinity) Owner(prefix uint64) (string, bool) {
	m := a.owners[Mix64(prefix)%hashSlots]
	if m == nil {
		return "", false
	}
	return m.name, true
}

// reassign gives the slots of a removed member to the remaining members.
func (a *Affinity) reassign(removed *affinityMember) {
	for slot := range a.owners {
		if a.owners[slot] != removed {
			continue
		}
		a.owners[slot] = nil
		for _, m := range a.members {
			if m.outranks(a.owners[slot], uint64(slot)) {
				a.owners[slot] = m
			}
		}
	}
}

// outranks reports whether m owns a slot in preference to other, which may be
// nil. Ties are broken by name, so the result does not depend on insertion order.
func (m *affinityMember) outranks(other *affinityMember, slot uint64) bool {
	if other == nil {
		return true
	}
	mine, theirs := m.score(slot), other.score(slot)
	if mine != theirs {
		return mine > theirs
	}
	return m.name < other.name
}

func (m *affinityMember) score(slot uint64) uint64 { return Mix64(m.seed ^ Mix64(slot)) }

// Mix64 returns a well distributed 64-bit hash of x: one step of SplitMix64.
func Mix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// SelectByRendezvous returns up to n names with the highest rendezvous hashing
// scores for a key, highest first. Ties are broken by name.
func SelectByRendezvous(key string, names []string, n int) []string {
	seed := xxhash.Sum64String(key)
	best := make([]string, 0, n+1)
	scores := make([]uint64, 0, n+1)
	for _, name := range names {
		score := Mix64(seed ^ xxhash.Sum64String(name))
		index := len(best)
		for index > 0 && (score > scores[index-1] || score == scores[index-1] && name < best[index-1]) {
			index--
		}
		if index >= n {
			continue
		}
		best = insertAt(best, index, name)
		scores = insertAt(scores, index, score)
		best, scores = best[:min(len(best), n)], scores[:min(len(scores), n)]
	}
	return best
}

// insertAt inserts v into s at an index.
func insertAt[T any](s []T, index int, v T) []T {
	s = append(s, v)
	copy(s[index+1:], s[index:])
	s[index] = v
	return s
}
