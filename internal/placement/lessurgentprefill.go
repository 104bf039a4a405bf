package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Less urgent prompts yield. Prefill lengthens all answers of an engine, also the more
// urgent ones, whose prompts go first but whose tokens are decoded between the
// chunks of any prompt. If the engines are too busy for more than a small share of the
// requests of some urgency, long prompts of a lower urgency are placed only at engines
// with a lower prefill utilization, until the share is small again.
//
// Three invariants keep the order among those that yield:
//
//   - While requests of a level are lost, no less urgent one starts unless it is smaller (see starvation.go).
//   - The limit of a level falls only when those of all less urgent levels are at their lowest.
//   - It falls only while less urgent prompts take more than yieldingShare of the engines' time. With less than
//     that, it is not they who keep the more urgent requests out.
//
// A gateway among many has too few requests of its own to notice this before the engines are
// full, and has none when it starts. The processes therefore tell each other how many
// requests arrived, how many of them were blocked and how many tokens were placed, and all limits follow from the sum.

const (
	// maxBlockedShare is the share of the requests of some urgency that may be blocked
	// without any effect on less urgent ones: before so many are lost, these yield.
	maxBlockedShare = maxLostShare
	// yieldingShare is the share of the engines' time that the less urgent prompts together take at least before their limits
	// fall.
	yieldingShare = 0.04
	// minArrivalRate is the least number of requests per second of all processes at which a level counts as in use.
	minArrivalRate = 0.5
	// ceilingStep is the most by which one such request lowers the limit of a less urgent
	// level, as a share of the range between minPrefillUtilization and
	// maxPrefillUtilization.
	ceilingStep = 0.25
	// ceilingFallTime is the time in which the limit falls by the whole range if all
	// requests are blocked and many arrive.
	ceilingFallTime = 80 * time.Millisecond
	// ceilingTimeConstant is the time constant of the return to maxPrefillUtilization.
	ceilingTimeConstant = 10 * time.Second
	// minPrefillUtilization is the lowest limit. It lets less urgent prompts start at
	// engines without work.
	minPrefillUtilization = 0.1
	// blockedReportTime is how long after the last request of a priority level the
	// counts of the level are told to peers.
	blockedReportTime = 2 * time.Second
)

// levelCounts counts the requests of one priority level of a service, and those that were
// blocked: no engine took them because of its load (see Table.BlockedBefore), or their answers were still
// arriving at their deadlines. lost are those that got no answer because of the load. prefillTokens are the tokens of the long
// prompts that were placed.
type levelCounts struct {
	requests, blocked, lost uint32
	prefillTokens           uint64
}

// minus returns what has been added to earlier counts.
func (c levelCounts) minus(earlier levelCounts) levelCounts {
	return levelCounts{requests: c.requests - earlier.requests, blocked: c.blocked - earlier.blocked, lost: c.lost - earlier.lost, prefillTokens: c.prefillTokens - earlier.prefillTokens}
}

// plus returns the sum of two counts.
func (c levelCounts) plus(other levelCounts) levelCounts {
	return levelCounts{requests: c.requests + other.requests, blocked: c.blocked + other.blocked, lost: c.lost + other.lost, prefillTokens: c.prefillTokens + other.prefillTokens}
}

// prefillCeiling limits the prefill utilization of engines that take long prompts of a
// service, by the priority level of the prompts. The zero value is
// maxPrefillUtilization for all.
type prefillCeiling struct {
	// pressure is what the requests of each level lower the limits of all less urgent
	// levels by in sum, as shares of the range. The least urgent level in use takes the first share of 1, and so on.
	pressure  [PriorityLevels]float64
	updatedAt domain.Instant
	arrivals  [PriorityLevels]rate // requests of all processes per second
	placed    [PriorityLevels]rate // prompt tokens of long prompts that all processes place, per second
	capacity  float64              // prompt tokens that all engines prefill per second without pause; 0 if not known

	starvation [PriorityLevels]starvation

	own     [PriorityLevels]levelCounts // of this process since its start
	ownedAt [PriorityLevels]domain.Instant

	relayed   [PriorityLevels]levelCounts // of peers whose digests are relayed, as far as this process has seen
	relayedAt [PriorityLevels]domain.Instant
}

// observe counts a request of a rank that has arrived here.
func (p *prefillCeiling) observe(now domain.Instant, rank int) {
	p.count(now, priorityLevel(rank), levelCounts{requests: 1})
}

// observeBlocked counts a request of a rank as blocked that has arrived here.
func (p *prefillCeiling) observeBlocked(now domain.Instant, rank int) {
	p.count(now, priorityLevel(rank), levelCounts{blocked: 1})
}

// observeLate counts a request of a rank that has been counted as not blocked and is blocked
// after all.
func (p *prefillCeiling) observeLate(now domain.Instant, rank int) {
	p.count(now, priorityLevel(rank), levelCounts{blocked: 1, lost: 1})
}

// observeLost counts a request of a rank that got no answer because of the load. It has been counted as blocked or not on
// its arrival.
func (p *prefillCeiling) observeLost(now domain.Instant, rank int) {
	p.count(now, priorityLevel(rank), levelCounts{lost: 1})
}

// observePlaced counts the tokens of a long prompt of a rank that has been placed here.
func (p *prefillCeiling) observePlaced(now domain.Instant, rank int, tokens float64) {
	p.count(now, priorityLevel(rank), levelCounts{prefillTokens: uint64(max(tokens, 0))})
}

// count adds requests of a level of this process.
func (p *prefillCeiling) count(now domain.Instant, level int, counts levelCounts) {
	p.own[level].requests += counts.requests
	p.own[level].blocked += counts.blocked
	p.own[level].lost += counts.lost
	p.own[level].prefillTokens += counts.prefillTokens
	p.ownedAt[level] = now
	p.add(now, level, counts)
}

// relay counts requests of a level of a peer whose digests are relayed.
func (p *prefillCeiling) relay(now domain.Instant, level int, counts levelCounts) {
	p.relayed[level] = p.relayed[level].plus(counts)
	p.relayedAt[level] = now
}

// add applies requests of a level of some process.
func (p *prefillCeiling) add(now domain.Instant, level int, counts levelCounts) {
	remaining := p.remaining(now)
	for other := range p.pressure {
		p.pressure[other] *= remaining
	}
	p.updatedAt = now
	p.arrivals[level].add(now, float64(counts.requests))
	p.placed[level].add(now, float64(counts.prefillTokens))
	p.starvation[level].add(now, counts)
	step := min(ceilingStep, 1/(p.arrivals[level].value(now)*ceilingFallTime.Seconds()))
	change := step * (float64(counts.blocked) - maxBlockedShare*float64(counts.requests))
	lowest := 0.0
	if p.starvation[level].starves(now) {
		// When the least urgent prompts start again, they must not all do so at once.
		lowest = 1
	}
	if change > 0 && !p.yieldHelps(now, level) {
		change = 0
	}
	p.pressure[level] = min(max(p.pressure[level]+change, lowest), float64(max(p.levelsBelow(now, level), 1)))
}

// yieldHelps reports whether the prompts that are less urgent than a level take enough of the engines' time to make
// room for requests of the level.
func (p *prefillCeiling) yieldHelps(now domain.Instant, level int) bool {
	placed := 0.0
	for _, r := range p.placed[level+1:] {
		placed += r.value(now)
	}
	return p.capacity == 0 || placed > yieldingShare*p.capacity
}

// levelsBelow returns the number of levels in use that are less urgent than a level.
func (p *prefillCeiling) levelsBelow(now domain.Instant, level int) int {
	n := 0
	for _, r := range p.arrivals[level+1:] {
		if r.value(now) >= minArrivalRate {
			n++
		}
	}
	return n
}

// limit returns the highest prefill utilization at which an engine takes a long prompt
// of a rank.
func (p *prefillCeiling) limit(now domain.Instant, rank int) float64 {
	highest := 0.0
	for _, pressure := range p.pressure[:priorityLevel(rank)] {
		highest = max(highest, pressure)
	}
	own := min(max(highest*p.remaining(now)-float64(p.levelsBelow(now, priorityLevel(rank))), 0), 1)
	return maxPrefillUtilization - own*(maxPrefillUtilization-minPrefillUtilization)
}

// remaining is the part of the pressure that is left since the last observation.
func (p *prefillCeiling) remaining(now domain.Instant) float64 {
	return math.Exp(-float64(now.Sub(p.updatedAt)) / float64(ceilingTimeConstant))
}

// PeerLevel is what one process counts of one priority level of a service since its start.
type PeerLevel struct {
	// Service is the low 32 bits of the hash of the service's name.
	Service uint32
	// Level is the priority level, 0 to PriorityLevels-1.
	Level int
	// Requests have arrived at the process; Blocked of them were blocked, and Lost got no answer because of the load.
	Requests, Blocked, Lost uint32
	// PrefillTokens are the tokens of the long prompts that it has placed.
	PrefillTokens uint64
	// Pressure is what the requests of the level lower the limits of less urgent ones by, and Starving whether too many of them are
	// lost, as far as the process knows: one that has just started knows neither.
	Pressure float64
	Starving bool
}

// ownLevels returns the counts of this process for a service whose requests arrived lately.
func (p *prefillCeiling) ownLevels(now domain.Instant, service uint32) []PeerLevel {
	return p.levels(now, service, p.own, p.ownedAt)
}

// relayedLevels returns the sums of the counts of this process and of the peers whose digests are relayed.
func (p *prefillCeiling) relayedLevels(now domain.Instant, service uint32) []PeerLevel {
	counts, at := p.own, p.ownedAt
	for level := range counts {
		counts[level] = counts[level].plus(p.relayed[level])
		at[level] = max(at[level], p.relayedAt[level])
	}
	return p.levels(now, service, counts, at)
}

// levels returns counts of a service, those whose last request arrived lately.
func (p *prefillCeiling) levels(now domain.Instant, service uint32, counts [PriorityLevels]levelCounts, at [PriorityLevels]domain.Instant) []PeerLevel {
	var list []PeerLevel
	for level, c := range counts {
		if c.requests > 0 && now.Sub(at[level]) < blockedReportTime {
			list = append(list, PeerLevel{Service: service, Level: level, Requests: c.requests, Blocked: c.blocked, Lost: c.lost, PrefillTokens: c.prefillTokens,
				Pressure: p.pressure[level] * p.remaining(now), Starving: p.starvation[level].starves(now)})
		}
	}
	return list
}

// levelKey identifies the counts of one peer.
type levelKey struct {
	peer    string
	service uint32
	level   int
}

// addPeerLevels applies what has been added to a peer's counts since its last digest with
// them. Of a peer whose counts are not known yet, the pressure and later requests are applied.
func (t *Table) addPeerLevels(now domain.Instant, peer string, d PeerDigest) {
	if t.counters[peer] != d.CountedBy {
		// Another process counts for the peer, from another start on.
		t.forgetPeerLevels(peer)
		t.counters[peer] = d.CountedBy
	}
	t.setPeerStarving(peer, d.Levels)
	for _, l := range d.Levels {
		if l.Level < 0 || l.Level >= PriorityLevels {
			continue
		}
		key, counts := levelKey{peer, l.Service, l.Level}, levelCounts{requests: l.Requests, blocked: l.Blocked, lost: l.Lost, prefillTokens: l.PrefillTokens}
		last, known := t.peerLevels[key]
		t.peerLevels[key] = counts
		if !known {
			t.adoptPressure(now, l)
			continue
		}
		if counts.requests < last.requests || counts.blocked < last.blocked || counts.lost < last.lost || counts.prefillTokens < last.prefillTokens {
			last = levelCounts{} // the peer has started again
		}
		for name, svc := range t.services {
			if ServiceHash(name) != l.Service {
				continue
			}
			added := counts.minus(last)
			svc.prefillCeiling.add(now, l.Level, added)
			if d.Relayed && added != (levelCounts{}) {
				svc.prefillCeiling.relay(now, l.Level, added)
			}
		}
	}
}

// adoptPressure applies the pressure that a peer knows, if it is higher.
func (t *Table) adoptPressure(now domain.Instant, l PeerLevel) {
	for name, svc := range t.services {
		if ServiceHash(name) == l.Service {
			p := &svc.prefillCeiling
			p.add(now, l.Level, levelCounts{})
			p.pressure[l.Level] = min(max(p.pressure[l.Level], l.Pressure), PriorityLevels)
		}
	}
}

// forgetPeerLevels drops the counts of a peer that is out of reach.
func (t *Table) forgetPeerLevels(peer string) {
	t.setPeerStarving(peer, nil)
	delete(t.counters, peer)
	for key := range t.peerLevels {
		if key.peer == peer {
			delete(t.peerLevels, key)
		}
	}
}
