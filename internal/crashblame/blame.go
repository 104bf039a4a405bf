package crashblame

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

const (
	// maxBlames bounds the blamed parts. Of more, those that requests brought longest ago are dropped.
	maxBlames = 64
	// blameTime is how long a part stays blamed after the last request with it.
	blameTime = 10 * time.Minute
	// learningTime is how long after its start a process makes no probe: it may not know yet
	// which parts are blamed and how often they were probed.
	learningTime = time.Second
)

// probeAfter is how long after the blame each probe is made. The first one is soon: where nothing was proven
// yet, parts that crashing prompts share with all others are blamed too.
var probeAfter = [...]time.Duration{500 * time.Millisecond, 3 * time.Second, 5 * time.Minute}

// blame is the record of a blamed part.
type blame struct {
	since  domain.Instant
	seenAt domain.Instant // last request with the part
	probes int            // sent by all processes, as far as known
	// crashes are those at which answers under the part had begun, as far as known here, and when they were counted.
	crashes map[Process]domain.Instant
	// reserved is whether a request of this process has been admitted as the next probe and is neither sent
	// nor given up.
	reserved bool
}

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

// makes reports whether this process makes the probes of a part.
func (p prober) makes(now domain.Instant, part Part) bool {
	score := func(process uint64) uint64 { return policy.Mix64(process ^ policy.Mix64(uint64(part))) }
	return now.Sub(p.startedAt) >= learningTime && !slices.ContainsFunc(p.others, func(other uint64) bool { return score(other) > score(p.process) })
}

// Admit reports whether a request with parts may be sent, whether it is then a probe, which EndProbe has to be
// told of, and otherwise which part is blamed and how long the caller should wait.
func (l *Ledger) Admit(now domain.Instant, parts []Part) Verdict {
	var found *blame
	v := Verdict{}
	suspected := false
	for _, p := range parts {
		b := l.blames[p]
		if b == nil {
			suspected = suspected || l.suspects[p] != nil
			continue
		}
		b.seenAt = now
		if found != nil {
			// A request with several blamed parts would prove or confirm nothing of either.
			return Verdict{Blamed: p, Refused: true, Wait: blameTime}
		}
		found, v.Blamed = b, p
	}
	if found == nil {
		return v
	}
	if found.probes < len(probeAfter) {
		v.Wait = max(probeAfter[found.probes]-now.Sub(found.since), 0)
		// A suspected part could crash the probe's endpoint and leave the blamed one blamed for long.
		if v.Wait == 0 && !suspected && !found.reserved && l.probing.makes(now, v.Blamed) {
			found.reserved, v.Probe = true, true
			return v
		}
		v.Wait = max(v.Wait, probeAfter[0])
	} else {
		v.Wait = blameTime
	}
	v.Refused = true
	return v
}

// EndProbe ends the reservation of a probe of a part. If the request was not sent, as no endpoint could
// take it, another one can be the probe.
func (l *Ledger) EndProbe(p Part, sent bool) {
	b := l.blames[p]
	if b == nil || !b.reserved {
		return
	}
	b.reserved = false
	if sent {
		b.probes++
	}
}

// IsBlamed reports whether a part of a request that has been admitted before is blamed by now.
func (l *Ledger) IsBlamed(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return l.blames[p] != nil })
}

// Verdict says whether a request may be sent.
type Verdict struct {
	Refused bool
	// Blamed is the blamed part of the request; 0 if there is none.
	Blamed Part
	// Probe means that the request is sent although its part is blamed.
	Probe bool
	// Wait is how long a refused caller should wait at least.
	Wait time.Duration
}

// blame records that a part is blamed, or merges what a peer says of it.
func (l *Ledger) blame(now domain.Instant, p Part, b blame) {
	known := l.blames[p]
	if known != nil {
		known.since, known.seenAt, known.probes = min(known.since, b.since), max(known.seenAt, b.seenAt), max(known.probes, b.probes)
		return
	}
	if now.Sub(b.seenAt) >= blameTime {
		return
	}
	if len(l.blames) >= maxBlames {
		oldest := l.sortedBlames()[0]
		if l.blames[oldest].seenAt >= b.seenAt {
			return
		}
		delete(l.blames, oldest)
	}
	b.crashes = make(map[Process]domain.Instant)
	l.blames[p] = &b
	l.heads[p.head()] = true
}

// sortedBlames returns the blamed parts, those that requests brought longest ago first.
func (l *Ledger) sortedBlames() []Part {
	list := make([]Part, 0, len(l.blames))
	for p := range l.blames {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b Part) int {
		return cmp.Or(cmp.Compare(l.blames[a].seenAt, l.blames[b].seenAt), cmp.Compare(a, b))
	})
	return list
}

// Blamed returns the number of blamed parts.
func (l *Ledger) Blamed() int { return len(l.blames) }

// expireBlames forgets blamed parts that no request has brought for blameTime.
func (l *Ledger) expireBlames(now domain.Instant) {
	for p, b := range l.blames {
		if now.Sub(b.seenAt) >= blameTime {
			delete(l.blames, p)
		}
		for process, at := range b.crashes {
			if now.Sub(at) >= suspicionTime {
				delete(b.crashes, process)
			}
		}
	}
}
