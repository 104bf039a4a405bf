package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Sums of digests, for many gateways before many endpoints. If each process told its state to all others, the messages would grow with the
// square of their number. A process tells it to those of its data centre, and one of these tells a process elsewhere the
// sum over the data centre. The invariant: each process gets the state of each other one by one way only, so that nothing counts
// twice.

const (
	// minRelayedPartTokens is the least length of a prompt part that processes of other data centres are told of. Shorter ones
	// are prefilled in a few milliseconds.
	minRelayedPartTokens = 512
	// maxRelayedParts bounds the parts in one sum.
	maxRelayedParts = 512
)

// SumDigest returns the sum of this process's state and of the last digests of peers. Parts are those that were announced since the last
// call, here or in digests with Relayed.
func (t *Table) SumDigest(now domain.Instant, peers []string) PeerDigest {
	own := t.ownDigest(now)
	loads, demands := make(map[uint32]*loadSum), make(map[uint32]*demandSum)
	var sum PeerDigest
	add := func(d PeerDigest, age time.Duration) {
		for _, l := range d.Loads {
			addTo(loads, l.Endpoint, l, (*loadSum).add)
		}
		for _, demand := range d.PrefillDemands {
			addTo(demands, demand.Service, demand, (*demandSum).add)
		}
		for _, l := range d.Limits {
			l.Age += age
			sum.Limits = append(sum.Limits, l)
		}
		for _, l := range d.Leavings {
			l.Age += age
			sum.Leavings = append(sum.Leavings, l)
		}
	}
	add(own, 0)
	for _, name := range peers {
		if p, ok := t.peers[name]; ok {
			add(p.digest, now.Sub(p.at))
		}
	}
	for endpoint, l := range loads {
		sum.Loads = append(sum.Loads, l.load(endpoint))
	}
	slices.SortFunc(sum.Loads, CompareLoads)
	for service, d := range demands {
		sum.PrefillDemands = append(sum.PrefillDemands, d.demand(service))
	}
	slices.SortFunc(sum.PrefillDemands, func(a, b PeerPrefillDemand) int { return cmp.Compare(a.Service, b.Service) })
	sum.Limits, sum.Leavings = newestLimits(sum.Limits), newestLeavings(sum.Leavings)
	for name, svc := range t.services {
		sum.Levels = append(sum.Levels, svc.prefillCeiling.relayedLevels(now, ServiceHash(name))...)
	}
	slices.SortStableFunc(sum.Levels, func(a, b PeerLevel) int { return cmp.Compare(a.Service, b.Service) })
	sum.Parts, t.relayedParts = t.relayedParts, nil
	return sum
}

// addTo adds an element to the sum of a key, which may be its first.
func addTo[S, E any](sums map[uint32]*S, key uint32, element E, add func(*S, E)) {
	s := sums[key]
	if s == nil {
		s = new(S)
		sums[key] = s
	}
	add(s, element)
}

// loadSum is the load of several processes at one endpoint.
type loadSum struct {
	total load
	gaps  peerEventGap
}

func (s *loadSum) add(l PeerLoad) {
	s.total.add(l.load(), 1)
	s.gaps.add(l.Gap, 1)
}

// load returns the sum, with the mean of the event gaps.
func (s *loadSum) load(endpoint uint32) PeerLoad {
	l := PeerLoad{
		Endpoint: endpoint, InFlight: s.total.inFlight, Decoding: s.total.decodeHeavy, Backlog: s.total.backlog,
		Memory: s.total.memoryTokens, Given: s.total.prefillRate,
	}
	if s.gaps.count > 0 {
		l.Gap = s.gaps.sum / time.Duration(s.gaps.count)
	}
	return l
}

// demandSum is the prefill demand of several processes for one service.
type demandSum struct {
	tokensPerSecond int
	poolSizes       []int
}

func (s *demandSum) add(d PeerPrefillDemand) {
	s.tokensPerSecond += d.TokensPerSecond
	s.poolSizes = append(s.poolSizes, d.SetAside)
}

func (s *demandSum) demand(service uint32) PeerPrefillDemand {
	return PeerPrefillDemand{Service: service, TokensPerSecond: s.tokensPerSecond, SetAside: median(s.poolSizes), Processes: len(s.poolSizes)}
}

// newestLimits returns the last statement of each endpoint's limit, in the order of endpoints.
func newestLimits(list []PeerLimit) []PeerLimit {
	slices.SortFunc(list, func(a, b PeerLimit) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Age, b.Age))
	})
	return slices.CompactFunc(list, func(a, b PeerLimit) bool { return a.Endpoint == b.Endpoint })
}

// newestLeavings returns the leaving of the last process of each endpoint, in the order of endpoints.
func newestLeavings(list []PeerLeaving) []PeerLeaving {
	slices.SortFunc(list, func(a, b PeerLeaving) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(b.Start, a.Start), cmp.Compare(b.Age, a.Age))
	})
	return slices.CompactFunc(list, func(a, b PeerLeaving) bool { return a.Endpoint == b.Endpoint })
}

// relayPart records a part for the next sum.
func (t *Table) relayPart(p PeerPart) {
	if len(t.relayedParts) < maxRelayedParts {
		t.relayedParts = append(t.relayedParts, p)
	}
}

// SetRelaying sets whether the states of processes are relayed in sums, as in a large fleet. Announcements are then passed on, but not those of short
// parts, fetches are tried from likely sources, and BlockedBefore is shorter.
func (t *Table) SetRelaying(relaying bool) {
	t.relaying = relaying
	if !relaying {
		t.relayedParts = nil
	}
}

// ChangedLoads returns the elements of a digest's loads that differ from those of an earlier one by so much that peers should know, in the
// order of endpoints. Endpoints without a load any more have elements without one.
func ChangedLoads(before, now []PeerLoad) []PeerLoad {
	var changes []PeerLoad
	for len(before) > 0 || len(now) > 0 {
		switch {
		case len(now) == 0 || len(before) > 0 && before[0].Endpoint < now[0].Endpoint:
			changes = append(changes, PeerLoad{Endpoint: before[0].Endpoint})
			before = before[1:]
		case len(before) == 0 || now[0].Endpoint < before[0].Endpoint:
			changes = append(changes, now[0])
			now = now[1:]
		default:
			if now[0].differs(before[0]) {
				changes = append(changes, now[0])
			}
			before, now = before[1:], now[1:]
		}
	}
	return changes
}

// ApplyLoads applies what ChangedLoads returned to loads, which it changes, and returns them in the order of endpoints. It calls changed with
// each load that it removes, with sign -1, and with each that it adds, with sign 1.
func ApplyLoads(loads, changes []PeerLoad, changed func(l PeerLoad, sign int)) []PeerLoad {
	for _, change := range changes {
		at, known := slices.BinarySearchFunc(loads, change, CompareLoads)
		if known {
			changed(loads[at], -1)
			loads = slices.Delete(loads, at, at+1)
		}
		if change != (PeerLoad{Endpoint: change.Endpoint}) {
			changed(change, 1)
			loads = slices.Insert(loads, at, change)
		}
	}
	return loads
}

const (
	// averageTolerance is the share by which the averages in a load may differ from those that peers know.
	averageTolerance = 0.5
	// minRateChange is the change of a prefill rate, in tokens per second, below which peers need not know.
	minRateChange = 512
)

// differs reports whether the requests of a load differ from an earlier one's, or its averages by much.
func (l PeerLoad) differs(before PeerLoad) bool {
	near := func(a, b int) bool { return float64(max(a, b)-min(a, b)) <= averageTolerance*float64(max(a, b)) }
	rateChange := max(l.Given, before.Given) - min(l.Given, before.Given)
	if rateChange > minRateChange && !near(l.Given, before.Given) || !near(int(l.Gap), int(before.Gap)) {
		return true
	}
	l.Given, l.Gap = before.Given, before.Gap
	return l != before
}
