package peers

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
)

// Relays, for many gateways. A few tell their states to all others. Many tell them to those of their data centre only,
// and for each process elsewhere two of the data centre tell it the sum over the data centre, in turn. Who that is follows from
// rendezvous scores: each process relays to its share of the others, no process is asked, and one that is gone is replaced when its digests
// expire. Processes that disagree for a moment do no harm: sums replace each other.

const (
	// maxTold is the number of processes up to which each tells its state to all, and minRelayed the one down to which states
	// are relayed once they are.
	maxTold, minRelayed = 32, 24
	// relaysOfTarget is the number of processes of a data centre that tell its sum to one process elsewhere.
	relaysOfTarget = 2
	// maxRelayShare is how many targets a relay has at most, as a multiple of the mean.
	maxRelayShare = 1.1
	// mediumRow is the number of peers of the data centre that are told of each change at once. More of them are told less often.
	// busyRow replaces it under load.
	mediumRow, busyRow = 5, 16
	// registryReaders is the number of processes of a data centre that read the registry for the others.
	registryReaders = 2
	// sumSpacing is the time between two sums that a process gets on average, from all data centres, and busySumSpacing the same
	// under load: states that are a second old then cost more than the messages.
	sumSpacing, busySumSpacing = 140 * time.Millisecond, 30 * time.Millisecond
)

// UpdateRelaying determines from the number of known processes whether their states are relayed.
func (m *Members) UpdateRelaying() {
	known := 1 + len(m.Remembered())
	m.relayed = known > maxTold || m.relayed && known >= minRelayed
}

// Relayed reports whether the processes' states are relayed.
func (m *Members) Relayed() bool { return m.relayed }

// inRow reports whether a peer gets this process's own state while states are relayed.
func (m *Members) inRow(p *member) bool { return p.format > 0 && p.dataCentre == m.dataCentre }

// Row returns the peers of this data centre that get this process's own state while states are relayed.
func (m *Members) Row() []netip.Addr { return m.where(m.inRow) }

// Summed returns the peers whose states this process relays.
func (m *Members) Summed() []netip.Addr {
	return m.where(func(p *member) bool { return m.inRow(p) && p.alive && !p.toAll })
}

// IsSummed reports whether this process relays the state of a peer.
func (m *Members) IsSummed(peer netip.Addr) bool {
	p := m.members[peer]
	return m.relayed && p != nil && m.inRow(p) && !p.toAll
}

// Legacy returns the peers that know no sums. They get this process's whole state.
func (m *Members) Legacy() []netip.Addr {
	return m.where(func(p *member) bool { return p.format == 0 && p.lastHeardAt > 0 })
}

// PingTargets returns the seeds, but for those that know no sums and would take a message without a state for one.
func (m *Members) PingTargets() []netip.Addr {
	legacy := m.Legacy()
	return slices.DeleteFunc(slices.Clone(m.seeds), func(seed netip.Addr) bool { return slices.Contains(legacy, seed) })
}

// Elsewhere returns the peers of other data centres.
func (m *Members) Elsewhere() []netip.Addr {
	return m.where(func(p *member) bool { return p.format > 0 && !m.inRow(p) })
}

// SumTargets returns the peers that this process tells the sum over its data centre.
func (m *Members) SumTargets(now domain.Instant) []netip.Addr {
	if !m.relayed {
		return nil
	}
	targets := m.where(func(p *member) bool { return p.format > 0 && !m.inRow(p) && p.present(now) })
	return relayedBy(m.self, append(m.Summed(), m.self), targets)
}

// relayedBy returns the targets of one of the relays, in their order. Each target has the relays with the highest rendezvous scores that
// have no more than their share yet.
func relayedBy(own netip.Addr, relays, targets []netip.Addr) []netip.Addr {
	share := relaysOfTarget * float64(len(targets)) / float64(len(relays))
	taken := make(map[netip.Addr]int, len(relays))
	var list []netip.Addr
	for _, target := range targets {
		slices.SortFunc(relays, func(a, b netip.Addr) int {
			return cmp.Or(cmp.Compare(relayScore(b, target), relayScore(a, target)), a.Compare(b))
		})
		left := relaysOfTarget
		for _, relay := range relays {
			if left == 0 {
				break
			}
			if float64(taken[relay]) >= maxRelayShare*share {
				continue
			}
			left--
			taken[relay]++
			if relay == own {
				list = append(list, target)
			}
		}
	}
	return list
}

// relayScore is the rendezvous score of a relay for a target.
func relayScore(relay, target netip.Addr) uint64 {
	return policy.Mix64(addressHash(relay) ^ policy.Mix64(addressHash(target)))
}

// dataCentresElsewhere returns the number of other data centres with known processes.
func (m *Members) dataCentresElsewhere() int {
	var list []uint32
	for _, p := range m.members {
		if p.format > 0 && !m.inRow(p) && !slices.Contains(list, p.dataCentre) {
			list = append(list, p.dataCentre)
		}
	}
	return len(list)
}

// RegistryRole returns how this process learns of changes of the registry: some of each data centre read it for the others, if states
// are relayed.
func (m *Members) RegistryRole() registryrelay.Role {
	if !m.relayed {
		return registryrelay.Alone
	}
	own, better := policy.Mix64(addressHash(m.self)), 0
	for _, other := range m.Summed() {
		if policy.Mix64(addressHash(other)) > own {
			better++
		}
	}
	if better < registryReaders {
		return registryrelay.Reader
	}
	return registryrelay.HandedOn
}

// RowInterval returns the least time between two digests to the row. It grows with the number of receivers. busy is whether engines are
// too loaded for some requests.
func (m *Members) RowInterval(busy bool) time.Duration {
	if !m.relayed {
		return sendInterval
	}
	atOnce := mediumRow
	if busy {
		atOnce = busyRow
	}
	return sendInterval * time.Duration(max(1, (len(m.Row())+atOnce-1)/atOnce))
}

// SumInterval returns the time between two sums that this process sends to a target.
func (m *Members) SumInterval(busy bool) time.Duration {
	spacing := sumSpacing
	if busy {
		spacing = busySumSpacing
	}
	return spacing * time.Duration(relaysOfTarget*max(1, m.dataCentresElsewhere()))
}

// MaxAge returns how long a digest of a peer's own state is valid.
func (m *Members) MaxAge() time.Duration {
	return max(digestMaxAge, 4*m.RowInterval(false))
}
