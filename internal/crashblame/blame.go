package crashblame

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// maxBlames bounds the blamed parts. Of more, those that requests brought longest ago are dropped.
	maxBlames = 64
	// blameTime is how long a part stays blamed after the last request with it.
	blameTime = 10 * time.Minute
)

// probeAfter is how long after the blame each probe is made. The first one is soon: where nothing was proven
// yet, parts that crashing prompts share with all others are blamed too.
var probeAfter = [...]time.Duration{500 * time.Millisecond, 3 * time.Second, 5 * time.Minute}

// jointProbeAfter is the same for probes with several blamed parts of which none is likelier innocent than the others. They are later, as
// other requests may tell the parts apart before.
var jointProbeAfter = [len(probeAfter)]time.Duration{2 * time.Second, 4 * time.Second, 5 * time.Minute}

// maxBlameCrashes bounds the crashes that are kept of a blamed part.
const maxBlameCrashes = 32

// blame is the record of a blamed part.
type blame struct {
	since  domain.Instant
	seenAt domain.Instant // last request with the part
	probes probeCounts    // sent by all processes, as far as known
	// crashes are those counted against the part, as far as known here, the last maxBlameCrashes of them.
	crashes map[Process]loss
	// reserved is the probe that a request of this process has been admitted as and that is neither sent nor given up; nil if there
	// is none.
	reserved *probe
}

// probeCounts are the numbers of probes with a blamed part.
type probeCounts struct {
	// suspect are those that no other blamed part spoke for.
	suspect int
	// excused are those whose blamed parts were all excused, see Ledger.excused.
	excused int
}

// merge takes over what another process knows.
func (c *probeCounts) merge(other probeCounts) {
	c.suspect, c.excused = max(c.suspect, other.suspect), max(c.excused, other.excused)
}

// probe is a request with blamed parts that is sent to find out whether endpoints crash under them.
type probe struct {
	parts   []Part // the blamed ones
	excused bool
}

// count counts a crash against the part. begun is whether an answer under the part had begun.
func (b *blame) count(process Process, l loss) {
	if known, ok := b.crashes[process]; ok {
		l = loss{at: known.at, begun: l.begun || known.begun}
	}
	b.crashes[process] = l
	for len(b.crashes) > maxBlameCrashes {
		oldest := process
		for other, lost := range b.crashes {
			if lost.at < b.crashes[oldest].at || lost.at == b.crashes[oldest].at && compareProcesses(other, oldest) < 0 {
				oldest = other
			}
		}
		delete(b.crashes, oldest)
	}
}

// compareProcesses orders processes.
func compareProcesses(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Start, b.Start))
}

// EndProbe ends the reservation of a probe, which is named by the part that Admit gave. If the request was not sent, as no endpoint could
// take it, another one can be the probe.
func (l *Ledger) EndProbe(p Part, sent bool) {
	b := l.blames[p]
	if b == nil || b.reserved == nil {
		return
	}
	ended := b.reserved
	b.reserved = nil
	if !sent {
		return
	}
	for _, part := range ended.parts {
		b := l.blames[part]
		switch {
		case b == nil:
		case ended.excused:
			b.probes.excused++
		default:
			b.probes.suspect++
		}
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

// blame records that a part is blamed, with the crashes counted against it so far, or merges what a peer says of it.
func (l *Ledger) blame(now domain.Instant, p Part, b blame) {
	known := l.blames[p]
	if known != nil {
		known.since, known.seenAt = min(known.since, b.since), max(known.seenAt, b.seenAt)
		known.probes.merge(b.probes)
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
	b.crashes = make(map[Process]loss)
	if s := l.suspects[p]; s != nil {
		for process, lost := range s.crashes {
			b.count(process, lost)
		}
		delete(l.suspects, p)
	}
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
	}
}
