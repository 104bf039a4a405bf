package crashblame

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// A wrong blame is found out by a probe. Parts that always come together are all blamed for the crashes under one of them, so that a probe may have
// several blamed parts: its answer proves all. Two invariants pull at it:
//
//   - Each blame can be probed by each request that has the part, whatever other blamed parts it has, and by each process that gets such requests.
//   - Requests with a part that crashes endpoints are probes at most len(probeAfter) times, and once more for each other part that is blamed with it
//     and that they lack. A request is excused if other blamed parts explain all crashes under its own. If endpoints crash under an excused probe as
//     well, nothing explains that crash, and requests with those parts are not excused any more.

const (
	// learningTime is how long after its start a process makes no probe: it may not know yet
	// which parts are blamed and how often they were probed.
	learningTime = time.Second
	// turnTime is how long a process alone may make a probe that is due. The others have their turns after it, as it may get no request with the
	// part.
	turnTime = 300 * time.Millisecond
	// turnMargin is the end of a turn in which no probe is made: the next process must know of it.
	turnMargin = 100 * time.Millisecond
)

// prober says which process makes a probe.
type prober struct {
	startedAt domain.Instant
	process   uint64
	others    []uint64
}

// SetProcesses sets the numbers of this process and of the others that may be running.
func (l *Ledger) SetProcesses(process uint64, others []uint64) {
	l.probing.process, l.probing.others = process, others
}

// makes reports whether it is this process's turn to make a probe of a part that is due since a time. Each process has one turn in a round, in another
// order each time: requests may come at regular times.
func (p prober) makes(now, due domain.Instant, part Part) bool {
	if now.Sub(p.startedAt) < learningTime {
		return false
	}
	if len(p.others) == 0 {
		return true
	}
	waited, processes := now.Sub(due), len(p.others)+1
	turn := int(waited / turnTime)
	order := policy.Mix64(uint64(part) + uint64(turn/processes))
	score := func(process uint64) uint64 { return policy.Mix64(process ^ order) }
	before := 0
	for _, other := range p.others {
		if score(other) > score(p.process) {
			before++
		}
	}
	return turn%processes == before && waited%turnTime < turnTime-turnMargin
}

// Admit reports whether a request with parts may be sent, whether it is then a probe, which EndProbe has to be
// told of, and otherwise which part is blamed and how long the caller should wait.
func (l *Ledger) Admit(now domain.Instant, parts []Part) Verdict {
	var blamed []Part
	suspected := false
	for _, p := range parts {
		b := l.blames[p]
		if b == nil {
			suspected = suspected || l.suspects[p] != nil
			continue
		}
		b.seenAt = now
		blamed = append(blamed, p)
	}
	if len(blamed) == 0 {
		return Verdict{}
	}
	v := Verdict{Blamed: blamed[0]}
	next := &probe{parts: blamed, excused: l.excused(blamed)}
	due, left := l.probeDue(next)
	if !left {
		v.Refused, v.Wait = true, blameTime
		return v
	}
	first := l.blames[blamed[0]]
	// A suspected part could crash the probe's endpoint and leave the blamed ones blamed for long.
	if now >= due && !suspected && first.reserved == nil && l.probing.makes(now, due, blamed[0]) {
		first.reserved, v.Probe = next, true
		return v
	}
	v.Refused, v.Wait = true, max(due.Sub(now), probeAfter[0])
	return v
}

// probeDue returns when a probe is due. left is false if none is left.
func (l *Ledger) probeDue(p *probe) (due domain.Instant, left bool) {
	var since domain.Instant
	var sent probeCounts
	for _, part := range p.parts {
		b := l.blames[part]
		since = max(since, b.since)
		sent.merge(b.probes)
	}
	times, n := probeAfter, sent.suspect
	switch {
	case p.excused:
		n = sent.excused
	case len(p.parts) > 1:
		times = jointProbeAfter
	}
	if n >= len(times) {
		return 0, false
	}
	return since.Add(times[n]), true
}

// excused reports whether each of the blamed parts of a request has been blamed for crashes that a blamed part explains which the request lacks.
func (l *Ledger) excused(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return !l.explained(p, parts) })
}

// explained reports whether all crashes under a blamed part were under one other blamed part as well that is none of some parts.
func (l *Ledger) explained(p Part, without []Part) bool {
	crashes := l.blames[p].crashes
	for other, b := range l.blames {
		if len(crashes) > 0 && !slices.Contains(without, other) && containsAll(b.crashes, crashes) {
			return true
		}
	}
	return false
}

// containsAll reports whether one set of crashes has all those of another.
func containsAll(crashes, of map[Process]loss) bool {
	if len(of) > len(crashes) {
		return false
	}
	for process := range of {
		if _, ok := crashes[process]; !ok {
			return false
		}
	}
	return true
}
