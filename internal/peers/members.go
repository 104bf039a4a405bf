// Package peers lets gateways tell each other what they have in progress, by
// small datagrams. Nothing depends on a digest arriving: each tells the whole
// state, and a peer that is silent is forgotten.
package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// aliveTime is how long a peer's digest is believed.
	aliveTime = time.Second
	// memberTime is how long digests are sent to a peer that is not heard of.
	memberTime = 8 * time.Second
	// cutOffTime is how long the digests of peers are kept that all fell silent at once.
	cutOffTime = 15 * time.Second
	// minQuorum is the number of peers from which on their silence tells that
	// this process is cut off.
	minQuorum = 2
	// maxMembers bounds the peers that are remembered.
	maxMembers = 512
)

type member struct {
	address     netip.Addr
	heard       domain.Instant // last digest from it
	mentioned   domain.Instant // last digest of any peer that names it
	alive       bool
	incarnation uint64
	sequence    uint64
}

// Members is the set of known peers. It has no I/O and is not safe for
// concurrent use.
type Members struct {
	self    netip.Addr
	seeds   []netip.Addr
	members map[netip.Addr]*member
	cutOff  domain.Instant // since when most peers are silent; 0 if they are not
}

// NewMembers returns the set of a process that knows only its seeds.
func NewMembers(self netip.Addr, seeds []netip.Addr) *Members {
	m := &Members{self: self, members: make(map[netip.Addr]*member)}
	m.SetSeeds(seeds)
	return m
}

// SetSeeds replaces the seeds. Peers that were heard of stay.
func (m *Members) SetSeeds(seeds []netip.Addr) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a netip.Addr) bool { return a == m.self })
}

// Heard takes a digest's origin and the peers that it names. It reports whether
// the digest is newer than those before, and whether the peer is new here.
func (m *Members) Heard(now domain.Instant, from netip.Addr, incarnation, sequence uint64, named []netip.Addr) (newer, fresh bool) {
	p := m.member(now, from)
	if p == nil {
		return false, false
	}
	if incarnation < p.incarnation || incarnation == p.incarnation && sequence <= p.sequence {
		return false, false
	}
	fresh = !p.alive
	p.incarnation, p.sequence, p.heard, p.alive = incarnation, sequence, now, true
	for _, address := range named {
		if other := m.member(now, address); other != nil {
			other.mentioned = now
		}
	}
	return true, fresh
}

func (m *Members) member(now domain.Instant, address netip.Addr) *member {
	p := m.members[address]
	if p != nil || address == m.self || len(m.members) >= maxMembers {
		return p
	}
	p = &member{address: address, mentioned: now}
	m.members[address] = p
	return p
}

// Expire forgets peers that were not heard of, and returns those whose last
// digest is no longer to be believed. When most peers fall silent at once it is
// this process that is cut off: what they told last is better than nothing, and
// is kept for a while.
func (m *Members) Expire(now domain.Instant) []netip.Addr {
	var silent []netip.Addr
	alive := 0
	for _, p := range m.members {
		if !p.alive {
			continue
		}
		alive++
		if now.Sub(p.heard) > aliveTime {
			silent = append(silent, p.address)
		}
	}
	if 2*len(silent) > alive && alive >= minQuorum {
		if m.cutOff == 0 {
			m.cutOff = now
		}
		if now.Sub(m.cutOff) < cutOffTime {
			return nil
		}
	} else {
		m.cutOff = 0
	}
	for _, address := range silent {
		m.members[address].alive = false
	}
	for address, p := range m.members {
		if !p.alive && now.Sub(max(p.heard, p.mentioned)) > memberTime {
			delete(m.members, address)
		}
	}
	sortAddresses(silent)
	return silent
}

// CutOff reports whether this process hears of less than half of its peers.
func (m *Members) CutOff() bool { return m.cutOff > 0 }

// Targets returns the peers that a digest goes to. Seeds always are among them:
// a process that all have forgotten is found again through them.
func (m *Members) Targets() []netip.Addr {
	targets := slices.Clone(m.seeds)
	for address := range m.members {
		targets = append(targets, address)
	}
	sortAddresses(targets)
	return slices.Compact(targets)
}

// Alive returns the peers that were heard lately.
func (m *Members) Alive() []netip.Addr {
	var alive []netip.Addr
	for address, p := range m.members {
		if p.alive {
			alive = append(alive, address)
		}
	}
	sortAddresses(alive)
	return alive
}

// Known returns the number of peers that may be running.
func (m *Members) Known() int { return len(m.members) }

func sortAddresses(list []netip.Addr) {
	slices.SortFunc(list, func(a, b netip.Addr) int { return cmp.Or(a.Compare(b)) })
}
