package policy

import "github.com/cespare/xxhash/v2"

// hashBuckets is the number of hash buckets that prefixes are mapped to. More buckets
// spread the prefixes more evenly over the endpoints but make Add slower.
const hashBuckets = 4096

// affinityEndpoint is an endpoint and the hash of its name, which seeds its scores.
type affinityEndpoint struct {
	name string
	seed uint64
}

// Affinity maps prompt prefixes to endpoints by rendezvous hashing: a prefix stays
// with its endpoint when other endpoints are added or removed. The owner of each
// hash bucket is precomputed, so a lookup takes constant time. Adding or removing
// an endpoint takes time proportional to the number of buckets.
type Affinity struct {
	endpoints []*affinityEndpoint
	owners    [hashBuckets]*affinityEndpoint
}

// NewAffinity returns an empty map.
func NewAffinity() *Affinity { return &Affinity{} }

// Add adds an endpoint and assigns it the buckets for which it has the highest score.
func (a *Affinity) Add(name string) {
	e := &affinityEndpoint{name: name, seed: xxhash.Sum64String(name)}
	a.endpoints = append(a.endpoints, e)
	for bucket := range a.owners {
		if e.outranks(a.owners[bucket], uint64(bucket)) {
			a.owners[bucket] = e
		}
	}
}

// Remove removes an endpoint and reassigns its buckets. It ignores an unknown name.
func (a *Affinity) Remove(name string) {
	for i, e := range a.endpoints {
		if e.name == name {
			a.endpoints = append(a.endpoints[:i], a.endpoints[i+1:]...)
			a.reassign(e)
			return
		}
	}
}

// Owner returns the endpoint that a prefix maps to, or false if there are no endpoints.
func (a *Affinity) Owner(prefix uint64) (string, bool) {
	e := a.owners[Mix64(prefix)%hashBuckets]
	if e == nil {
		return "", false
	}
	return e.name, true
}

// reassign gives the buckets of a removed endpoint to the remaining endpoints.
func (a *Affinity) reassign(removed *affinityEndpoint) {
	for bucket := range a.owners {
		if a.owners[bucket] != removed {
			continue
		}
		a.owners[bucket] = nil
		for _, e := range a.endpoints {
			if e.outranks(a.owners[bucket], uint64(bucket)) {
				a.owners[bucket] = e
			}
		}
	}
}

// outranks reports whether e owns a bucket in preference to other, which may be
// nil. Ties are broken by name, so the result does not depend on insertion order.
func (e *affinityEndpoint) outranks(other *affinityEndpoint, bucket uint64) bool {
	if other == nil {
		return true
	}
	mine, theirs := e.score(bucket), other.score(bucket)
	if mine != theirs {
		return mine > theirs
	}
	return e.name < other.name
}

func (e *affinityEndpoint) score(bucket uint64) uint64 { return Mix64(e.seed ^ Mix64(bucket)) }

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
