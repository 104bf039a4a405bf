// Package peers sends digests of a gateway's requests in progress to the other
// gateways, in UDP datagrams, and receives theirs. Delivery is best-effort: each
// digest holds the sender's whole state, and the state of a peer that sends no more
// digests is dropped. A gateway runs one Exchange, which keeps the set of known
// peers in Members.
package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// digestMaxAge is how long a peer's digest is valid.
	digestMaxAge = time.Second
	// memberTimeout is how long a peer is kept, and sent digests, after the last
	// digest from it and the last one of another peer that lists it.
	memberTimeout = 8 * time.Second
	// isolationGracePeriod is how long the digests of peers are kept when most of
	// them expire at once.
	isolationGracePeriod = 15 * time.Second
	// minPeersForIsolation is the least number of peers whose missing digests
	// indicate that this process is isolated.
	minPeersForIsolation = 2
	// departedMemory is how long a peer is remembered after it was removed. It may be
	// running, and out of reach of this process only.
	departedMemory = time.Minute
	// maxMembers bounds the number of peers kept.
	maxMembers = 512
)

// member is a known peer.
type member struct {
	address      netip.Addr
	lastDigestAt domain.Instant // last digest from the peer
	lastListedAt domain.Instant // last digest of another peer that lists it
	alive        bool
	incarnation  uint64
	sequence     uint64
}

// Members is the set of known peers. It has no I/O and is not safe for
// concurrent use.
type Members struct {
	self          netip.Addr
	seeds         []netip.Addr
	members       map[netip.Addr]*member
	departed      map[netip.Addr]domain.Instant // when peers were removed
	isolatedSince domain.Instant                // when most digests had expired; 0 while not isolated
}

// NewMembers returns the members of a process that knows only its seeds.
func NewMembers(self netip.Addr, seeds []netip.Addr) *Members {
	m := &Members{self: self, members: make(map[netip.Addr]*member), departed: make(map[netip.Addr]domain.Instant)}
	m.SetSeeds(seeds)
	return m
}

// SetSeeds replaces the seeds. Peers known from digests stay.
func (m *Members) SetSeeds(seeds []netip.Addr) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.Addr) bool { return a == m.self })
}

// RecordDigest records a digest and the peers that it lists. It reports whether
// the digest is newer than earlier ones, and whether its sender was not alive before or has
// started again since.
func (m *Members) RecordDigest(now domain.Instant, from netip.Addr, incarnation, sequence uint64, listedPeers []netip.Addr) (newer, joined bool) {
	p := m.member(now, from)
	if p == nil {
		return false, false
	}
	if incarnation < p.incarnation || incarnation == p.incarnation && sequence <= p.sequence {
		return false, false
	}
	joined = !p.alive || incarnation > p.incarnation
	p.incarnation, p.sequence, p.lastDigestAt, p.alive = incarnation, sequence, now, true
	for _, address := range listedPeers {
		if other := m.member(now, address); other != nil {
			other.lastListedAt = now
		}
	}
	return true, joined
}

// member returns the member of an address, and adds it if it is new. It returns nil
// for this process's own address, and for a new one if there are maxMembers.
func (m *Members) member(now domain.Instant, address netip.Addr) *member {
	p := m.members[address]
	if p != nil || address == m.self || len(m.members) >= maxMembers {
		return p
	}
	p = &member{address: address, lastListedAt: now}
	m.members[address] = p
	delete(m.departed, address)
	return p
}

// Expire removes peers after memberTimeout, and returns those whose last digest has
// expired. If most digests expire at once, this process is probably isolated. The
// old digests are then better than none and stay valid for isolationGracePeriod.
func (m *Members) Expire(now domain.Instant) []netip.Addr {
	var expired []netip.Addr
	alive := 0
	for _, p := range m.members {
		if !p.alive {
			continue
		}
		alive++
		if now.Sub(p.lastDigestAt) > digestMaxAge {
			expired = append(expired, p.address)
		}
	}
	if 2*len(expired) > alive && alive >= minPeersForIsolation {
		if m.isolatedSince == 0 {
			m.isolatedSince = now
		}
		if now.Sub(m.isolatedSince) < isolationGracePeriod {
			return nil
		}
	} else {
		m.isolatedSince = 0
	}
	for _, address := range expired {
		m.members[address].alive = false
	}
	for address, p := range m.members {
		if !p.alive && now.Sub(max(p.lastDigestAt, p.lastListedAt)) > memberTimeout {
			delete(m.members, address)
			m.departed[address] = now
		}
	}
	for address, at := range m.departed {
		if now.Sub(at) > departedMemory {
			delete(m.departed, address)
		}
	}
	sortAddrs(expired)
	return expired
}

// Isolated reports whether the digests of most peers have expired.
func (m *Members) Isolated() bool { return m.isolatedSince > 0 }

// Targets returns the peers to send digests to. Seeds are always among them, so that
// a process which all its peers have removed is found again.
func (m *Members) Targets() []netip.Addr {
	targets := slices.Clone(m.seeds)
	for address := range m.members {
		targets = append(targets, address)
	}
	sortAddrs(targets)
	return slices.Compact(targets)
}

// Alive returns the peers whose last digest is valid.
func (m *Members) Alive() []netip.Addr {
	var alive []netip.Addr
	for address, p := range m.members {
		if p.alive {
			alive = append(alive, address)
		}
	}
	sortAddrs(alive)
	return alive
}

// PeerCount returns the number of peers that may be running.
func (m *Members) PeerCount() int { return len(m.members) }

// ProcessCount returns the number of processes, this one included, that may be running or
// were less than departedMemory ago.
func (m *Members) ProcessCount() int {
	known := m.Remembered()
	count := 1 + len(known)
	for _, seed := range m.seeds {
		if !slices.Contains(known, seed) {
			count++
		}
	}
	return count
}

// Remembered returns the peers that may be running, and those that were removed less than
// departedMemory ago.
func (m *Members) Remembered() []netip.Addr {
	remembered := make([]netip.Addr, 0, len(m.members)+len(m.departed))
	for address := range m.members {
		remembered = append(remembered, address)
	}
	for address := range m.departed {
		remembered = append(remembered, address)
	}
	sortAddrs(remembered)
	return remembered
}

func sortAddrs(list []netip.Addr) {
	slices.SortFunc(list, func(a, b netip.Addr) int { return cmp.Or(a.Compare(b)) })
}
