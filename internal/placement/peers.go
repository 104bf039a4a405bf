package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// PeerLoad is the load that one process's requests put on one endpoint.
type PeerLoad struct {
	// Endpoint is the low 32 bits of the hash of the endpoint's identifier.
	Endpoint uint32
	// InFlight is the number of requests in progress.
	InFlight int
	// Decoding is the number of decode-heavy requests in progress.
	Decoding int
	// Backlog is the prompt tokens of requests whose answers have not begun.
	Backlog Backlog
	// Memory is the key-value cache that the requests need, in tokens.
	Memory int
	// Given is the prefill rate: the prompt tokens per second that the process
	// places on the endpoint.
	Given int
	// Gap is the event gap: the mean time between two events of the process's
	// streams on the endpoint; 0 if there were no events lately.
	Gap time.Duration
}

// PeerPrefillDemand is the prefill that one process's callers request of a service.
type PeerPrefillDemand struct {
	// Service is the low 32 bits of the hash of the service's name.
	Service uint32
	// TokensPerSecond is the rate of the requested prompt tokens.
	TokensPerSecond int
	// SetAside is the size of the decode pool, in engines, that the process
	// computes by itself; the median of several processes in a sum.
	SetAside int
	// Processes is the number of processes in a sum; 0 counts as 1.
	Processes int
}

// PeerDigest is the state that a process sends to its peers.
type PeerDigest struct {
	Loads          []PeerLoad
	PrefillDemands []PeerPrefillDemand
	// Parts are prompt parts that have come into use in the caches of endpoints. They
	// are announced in a digest or two; later digests don't list them again.
	Parts []PeerPart
	// Levels are the process's counts of requests by their urgency.
	Levels []PeerLevel
	// Limits are what endpoints have said of their request limits to the process.
	Limits []PeerLimit
	// Leavings are the endpoints that have told the process that they leave.
	Leavings []PeerLeaving
	// Partial is whether Loads hold only what has changed since the last digest. An element that has only an endpoint
	// removes its load.
	Partial bool
	// Relayed is whether the receiver passes the digest on in its sums; see SumDigest.
	Relayed bool
	// CountedBy names the process that counts Levels in a sum; empty for the sender's own counts. KeepLevels is whether
	// the digest says nothing of Levels.
	CountedBy  string
	KeepLevels bool
}

// peerState is the last digest of a peer, without what applies once only.
type peerState struct {
	digest PeerDigest
	at     domain.Instant // arrival
}

func (l PeerLoad) load() load {
	return load{inFlight: l.InFlight, decodeHeavy: l.Decoding, backlog: l.Backlog, memoryTokens: l.Memory, prefillRate: l.Given}
}

// Digest returns this process's state for its peers. The caller must send a digest
// that has Parts.
func (t *Table) Digest(now domain.Instant) PeerDigest {
	d := t.ownDigest(now)
	for name, svc := range t.services {
		d.Levels = append(d.Levels, svc.prefillCeiling.ownLevels(now, ServiceHash(name))...)
	}
	slices.SortStableFunc(d.Levels, func(a, b PeerLevel) int { return cmp.Compare(a.Service, b.Service) })
	d.Parts = t.takeAnnouncements()
	return d
}

// ownDigest returns this process's state without counts of requests and announcements.
func (t *Table) ownDigest(now domain.Instant) PeerDigest {
	var d PeerDigest
	for _, s := range t.byID {
		prefillRate := int(s.prefillRate.value(now))
		gap := s.eventGap.current(now)
		if s.local == (load{}) && prefillRate == 0 && gap == 0 {
			continue
		}
		d.Loads = append(d.Loads, PeerLoad{
			Endpoint: s.hash(), InFlight: s.local.inFlight, Decoding: s.local.decodeHeavy,
			Backlog: s.local.backlog, Memory: s.local.memoryTokens, Given: prefillRate, Gap: gap,
		})
	}
	slices.SortFunc(d.Loads, CompareLoads)
	for name, svc := range t.services {
		if tokens := int(svc.prefillDemand.value(now)); tokens > 0 || svc.decodePool.localSize > 0 {
			d.PrefillDemands = append(d.PrefillDemands, PeerPrefillDemand{Service: ServiceHash(name), TokensPerSecond: tokens, SetAside: svc.decodePool.localSize})
		}
	}
	slices.SortFunc(d.PrefillDemands, func(a, b PeerPrefillDemand) int { return cmp.Compare(a.Service, b.Service) })
	d.Limits = t.ownLimits(now)
	d.Leavings = t.ownLeavings(now)
	return d
}

// CompareLoads orders loads by their endpoints.
func CompareLoads(a, b PeerLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) }

// ServiceHash identifies a service in messages between processes.
func ServiceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// DigestChanges is what a peer's digest has changed of what is known of endpoints.
type DigestChanges struct {
	Limits []ChangedLimit
	// Leaving are the identifiers of endpoints that leave.
	Leaving []string
}

// PeerDigest replaces the last digest of a peer, or changes it if the digest is partial. An empty digest removes the peer. It
// returns what has changed by it.
func (t *Table) PeerDigest(now domain.Instant, peer string, d PeerDigest) DigestChanges {
	t.addPeerParts(now, d.Parts, d.Relayed)
	changed := t.PeerNews(now, d.Limits, d.Leavings)
	if !d.KeepLevels {
		t.addPeerLevels(now, peer, d)
	}
	last := t.peers[peer].digest.Loads
	if d.Partial {
		d.Loads, d.Partial = ApplyLoads(last, d.Loads, func(l PeerLoad, sign int) { t.addPeer([]PeerLoad{l}, sign) }), false
	} else {
		t.addPeer(last, -1)
		t.addPeer(d.Loads, 1)
	}
	if len(d.Loads)+len(d.PrefillDemands)+len(d.Limits)+len(d.Leavings) == 0 {
		delete(t.peers, peer)
		if len(d.Levels) == 0 && !d.KeepLevels {
			t.forgetPeerLevels(peer)
		}
		return changed
	}
	d.Parts, d.Levels = nil, nil
	t.peers[peer] = peerState{digest: d, at: now}
	return changed
}

// PeerNews applies what a peer says of limits and of endpoints that leave, apart from its digests. It returns what has changed by it.
func (t *Table) PeerNews(now domain.Instant, limits []PeerLimit, leavings []PeerLeaving) DigestChanges {
	return DigestChanges{Limits: t.addPeerLimits(now, limits), Leaving: t.addPeerLeavings(now, leavings)}
}

// addPeer adds a peer's loads to those of the endpoints, or subtracts them if
// sign is -1.
func (t *Table) addPeer(loads []PeerLoad, sign int) {
	for _, l := range loads {
		if s := t.byHash[l.Endpoint]; s != nil {
			s.peers.add(l.load(), sign)
			s.peerEventGap.add(l.Gap, sign)
		}
	}
}

// totalPrefillDemand returns the prompt tokens per second that callers of all
// processes request of a service, and the decode pool sizes that the peers compute.
func (t *Table) totalPrefillDemand(now domain.Instant, svc *service, name string) (tokens float64, peerPoolSizes []int) {
	tokens = svc.prefillDemand.value(now)
	hash := ServiceHash(name)
	for _, p := range t.peers {
		for _, demand := range p.digest.PrefillDemands {
			if demand.Service != hash {
				continue
			}
			tokens += float64(demand.TokensPerSecond)
			for range max(demand.Processes, 1) {
				peerPoolSizes = append(peerPoolSizes, demand.SetAside)
			}
		}
	}
	return tokens, peerPoolSizes
}
