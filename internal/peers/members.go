// Package peers tells the state of a gateway to the other
// gateways, in UDP datagrams, and receives theirs. Delivery is best-effort: each
// process's whole state is told again and again, and the state of a peer that sends no more
// digests is dropped. A gateway runs one Exchange, which keeps the set of known
// peers in Members; docs/PLATFORM.md has who tells what to whom.
package peers

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

const (
	// digestMaxAge is how long a peer's digest is valid at least.
	digestMaxAge = time.Second
	// presentMaxAge is how long a peer that sends no digests here counts as running after the last message from it or
	// the last sum that lists it.
	presentMaxAge = 3 * time.Second
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

// currentFormat is the format of the datagrams of this version; see Digest.format.
const currentFormat = 1

// member is a known peer.
type member struct {
	address      netip.Addr
	dataCentre   uint32         // hash of the name; 0 if not known
	format       uint32         // of its datagrams
	toAll        bool           // whether it tells its state to all
	lastHeardAt  domain.Instant // last message from the peer
	lastDigestAt domain.Instant // last digest of its own state from the peer
	lastListedAt domain.Instant // last digest of another peer that lists it
	presentAt    domain.Instant // last one that says that it runs
	alive        bool           // whether its last digest is valid
	incarnation  uint64
	sequence     uint64
}

// Members is the set of known peers. It has no I/O and is not safe for
// concurrent use.
type Members struct {
	self          netip.Addr
	dataCentre    uint32
	seeds         []netip.Addr
	members       map[netip.Addr]*member
	departed      map[netip.Addr]domain.Instant // when peers were removed
	isolatedSince domain.Instant                // when most digests had expired; 0 while not isolated
	relayed       bool                          // see Relayed
	census        *census
}

// NewMembers returns the members of a process in a data centre, given by a hash, that knows only its seeds.
func NewMembers(self netip.Addr, dataCentre uint32, seeds []netip.Addr) *Members {
	m := &Members{self: self, dataCentre: dataCentre, members: make(map[netip.Addr]*member), departed: make(map[netip.Addr]domain.Instant), census: newCensus(false)}
	m.SetSeeds(seeds)
	return m
}

// SetSeeds replaces the seeds. Peers known from digests stay.
func (m *Members) SetSeeds(seeds []netip.Addr) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.Addr) bool { return a == m.self })
}

// ListedPeer is a peer that another one lists. DataCentre and Incarnation are 0 if they are not known.
type ListedPeer struct {
	Address     netip.Addr
	DataCentre  uint32
	Incarnation uint64
}

// Message is what a datagram says of its sender and of other peers.
type Message struct {
	From                  netip.Addr
	Incarnation, Sequence uint64
	Format, DataCentre    uint32
	ToAll                 bool
	// Own is whether the datagram has the sender's own state, and Sum whether it has the sum over its data centre.
	Own, Sum bool
	// Listed are peers that the sender knows to run, if Present is set, or to exist. The sum is over them.
	Listed  []ListedPeer
	Present bool
}

// Recorded is what a message has changed.
type Recorded struct {
	// Newer is whether the message is newer than earlier ones of its sender. Otherwise it has changed nothing.
	Newer bool
	// Started are the peers that run of which that was not known, or that have started again since they were last heard of.
	Started []netip.Addr
	// Restarted are those of them that were known by an earlier start. What their earlier digests said is void.
	Restarted []netip.Addr
	// Summed are the peers whose own digests count no more, as a sum has their states.
	Summed []netip.Addr
}

// Record records a message.
func (m *Members) Record(now domain.Instant, message Message) Recorded {
	p := m.member(now, message.From)
	if p == nil {
		return Recorded{}
	}
	if message.Incarnation < p.incarnation || message.Incarnation == p.incarnation && message.Sequence <= p.sequence {
		return Recorded{}
	}
	r := Recorded{Newer: true}
	if p.restarts(message.Incarnation) {
		r.Restarted = append(r.Restarted, p.address)
	}
	wasKnown := p.alive || !message.Own && p.present(now)
	if !wasKnown || message.Incarnation > p.incarnation {
		r.Started = append(r.Started, p.address)
	}
	p.incarnation, p.sequence, p.lastHeardAt = message.Incarnation, message.Sequence, now
	m.census.record(now, p.address)
	p.format, p.dataCentre, p.toAll = message.Format, message.DataCentre, message.ToAll
	if message.Own {
		p.lastDigestAt, p.alive = now, true
	}
	for _, listed := range message.Listed {
		if p := m.members[listed.Address]; p != nil && message.Present && p.restarts(listed.Incarnation) {
			r.Restarted = append(r.Restarted, listed.Address)
		}
		if m.recordListed(now, listed, message.Present) {
			r.Started = append(r.Started, listed.Address)
		}
		if other := m.members[listed.Address]; message.Sum && other != nil && other.alive && !m.inRow(other) {
			other.alive, other.toAll = false, false
			r.Summed = append(r.Summed, listed.Address)
		}
	}
	return r
}

// recordListed records that a peer lists another one, and reports whether that has started since it was last heard of.
func (m *Members) recordListed(now domain.Instant, listed ListedPeer, present bool) bool {
	p := m.member(now, listed.Address)
	if p == nil {
		return false
	}
	p.lastListedAt = now
	if listed.DataCentre != 0 && p.dataCentre == 0 {
		p.dataCentre, p.format = listed.DataCentre, currentFormat
	}
	if !present || listed.Incarnation < p.incarnation {
		return false
	}
	started := !p.present(now) || listed.Incarnation > p.incarnation
	if listed.Incarnation > p.incarnation {
		p.incarnation, p.sequence = listed.Incarnation, 0
	}
	p.presentAt = now
	m.census.record(now, p.address)
	return started
}

// restarts reports whether an incarnation is a later one than that by which the peer is known.
func (p *member) restarts(incarnation uint64) bool {
	return p.incarnation != 0 && incarnation > p.incarnation
}

// present reports whether the peer runs, as far as is known.
func (p *member) present(now domain.Instant) bool {
	at := max(p.lastHeardAt, p.presentAt)
	return p.alive || at > 0 && now.Sub(at) <= presentMaxAge
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

// Expire removes peers after memberTimeout, and returns those whose last digest is older than a time. If most digests expire at once, this process is probably isolated. The
// old digests are then better than none and stay valid for isolationGracePeriod.
func (m *Members) Expire(now domain.Instant, maxAge time.Duration) []netip.Addr {
	var expired []netip.Addr
	alive := 0
	for _, p := range m.members {
		if !p.alive {
			continue
		}
		alive++
		if now.Sub(p.lastDigestAt) > maxAge {
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
		if !p.alive && now.Sub(max(p.lastHeardAt, p.lastListedAt)) > memberTimeout {
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

// Targets returns the peers to send digests to if the state is told to all. Seeds are always among them, so that
// a process which all its peers have removed is found again.
func (m *Members) Targets() []netip.Addr {
	targets := slices.Clone(m.seeds)
	for address := range m.members {
		targets = append(targets, address)
	}
	sortAddrs(targets)
	return slices.Compact(targets)
}

// Alive returns the peers whose last digest is valid and, if states are relayed, those that are known to run by news and the sums of others.
func (m *Members) Alive(now domain.Instant) []netip.Addr {
	return m.where(func(p *member) bool { return p.alive || m.relayed && p.present(now) })
}

// List returns peers with what is known of them.
func (m *Members) List(peers []netip.Addr) []ListedPeer {
	list := make([]ListedPeer, 0, len(peers))
	for _, address := range peers {
		if p := m.members[address]; p != nil {
			list = append(list, ListedPeer{Address: address, DataCentre: p.dataCentre, Incarnation: p.incarnation})
		}
	}
	return list
}

// where returns the peers for which a condition holds, in the order of addresses.
func (m *Members) where(holds func(*member) bool) []netip.Addr {
	var list []netip.Addr
	for address, p := range m.members {
		if holds(p) {
			list = append(list, address)
		}
	}
	sortAddrs(list)
	return list
}

// PeerCount returns the number of peers that may be running.
func (m *Members) PeerCount() int { return len(m.members) }

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

// Hash identifies the set of this process and its known peers, with their data centres.
func (m *Members) Hash() uint64 {
	hash := policy.Mix64(addressHash(m.self) ^ uint64(m.dataCentre))
	for address, p := range m.members {
		hash ^= policy.Mix64(addressHash(address) ^ uint64(p.dataCentre))
	}
	return hash
}

// addressHash returns a hash of an IPv4 address.
func addressHash(address netip.Addr) uint64 {
	bytes := address.As4()
	return policy.Mix64(uint64(binary.BigEndian.Uint32(bytes[:])))
}

func sortAddrs(list []netip.Addr) {
	slices.SortFunc(list, func(a, b netip.Addr) int { return cmp.Or(a.Compare(b)) })
}
