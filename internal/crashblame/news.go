package crashblame

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// newsTime is how long a crash or a proof is told to peers, so that lost messages don't matter.
	newsTime = 3 * time.Second
	// maxPartsOfCrash bounds the parts that one process tells of one crash.
	maxPartsOfCrash = 64
	// maxNewsCrashes and maxNewsCleared bound the crashes and proofs in one message.
	maxNewsCrashes, maxNewsCleared = 16, 64
	// maxTold bounds the processes of which it is remembered when peers told of their crashes.
	maxTold = 256
)

// Crash is a crash that a process has seen, with the parts that it suspects.
type Crash struct {
	Process Process
	Parts   []Part
	// Begun is the number of the first of Parts under which answers had begun.
	Begun int
}

// Blame is a blamed part.
type Blame struct {
	Part Part
	// Age is the time since the part was blamed, Unseen the time since the last request with it.
	Age, Unseen time.Duration
	// Probes is the number of probes that have been made, without those that were excused; ExcusedProbes is the number of these.
	Probes, ExcusedProbes int
}

// News is what a process tells its peers. All blames are told again and again, so that a process
// that starts knows them soon.
type News struct {
	Crashes []Crash
	Blames  []Blame
	// Cleared are parts that a peer suspects or blames and that are proven.
	Cleared []Part
}

// Size returns the number of crashes, suspected, blamed and cleared parts, parts under which answers had begun, and
// probes. It changes with each addition.
func (n News) Size() int {
	size := len(n.Crashes) + len(n.Blames) + len(n.Cleared)
	for _, c := range n.Crashes {
		size += len(c.Parts) + c.Begun
	}
	for _, b := range n.Blames {
		size += b.Probes + b.ExcusedProbes
	}
	return size
}

// newsOf returns what to tell the peers of a crash.
func (l *Ledger) newsOf(now domain.Instant, c crash) Crash {
	var begun, waiting []Part
	for p, hadBegun := range c.parts {
		switch {
		case l.isProven(now, p):
		case hadBegun:
			begun = append(begun, p)
		default:
			waiting = append(waiting, p)
		}
	}
	l.sortByCrashes(begun)
	l.sortByCrashes(waiting)
	parts := append(begun, waiting...)
	parts = parts[:min(len(parts), maxPartsOfCrash)]
	return Crash{Process: c.process, Parts: parts, Begun: min(len(begun), len(parts))}
}

// sortByCrashes sorts parts by the number of crashes that count against them, most first.
func (l *Ledger) sortByCrashes(parts []Part) {
	count := func(p Part) int {
		if s := l.suspects[p]; s != nil {
			return len(s.crashes)
		}
		return 0
	}
	slices.SortFunc(parts, func(a, b Part) int { return cmp.Or(cmp.Compare(count(b), count(a)), cmp.Compare(a, b)) })
}

// News returns what to tell the peers now.
func (l *Ledger) News(now domain.Instant) News {
	var n News
	// The latest first: the others have been told before.
	for _, c := range slices.Backward(l.crashes) {
		if told := l.newsOf(now, c); len(told.Parts) > 0 && len(n.Crashes) < maxNewsCrashes {
			n.Crashes = append(n.Crashes, told)
		}
	}
	for _, p := range l.sortedBlames() {
		b := l.blames[p]
		n.Blames = append(n.Blames, Blame{Part: p, Age: now.Sub(b.since), Unseen: now.Sub(b.seenAt), Probes: b.probes.suspect, ExcusedProbes: b.probes.excused})
	}
	for p := range l.cleared {
		if len(n.Cleared) < maxNewsCleared {
			n.Cleared = append(n.Cleared, p)
		}
	}
	slices.Sort(n.Cleared)
	return n
}

// PeerNews applies what a peer tells. It returns the parts that are blamed from now on.
func (l *Ledger) PeerNews(now domain.Instant, n News) []Part {
	var blamed []Part
	for _, p := range n.Cleared {
		l.proofs[p] = now
		l.acquit(p)
	}
	for _, c := range n.Crashes {
		l.recordTold(now, c.Process)
		if c.Begun < len(c.Parts) && c.Process.Start != 0 {
			// Of requests whose answers had not begun, peers tell once they know that the process is gone.
			_, confirmed := l.Gone(now, c.Process)
			blamed = append(blamed, confirmed...)
		}
		l.countBlamed(now, c.Process, c.Parts[:c.Begun], true)
		l.countBlamed(now, c.Process, c.Parts[c.Begun:], false)
		for i, p := range c.Parts {
			if !l.answerProven(now, p) && l.suspect(now, p, c.Process, i < c.Begun) {
				blamed = append(blamed, p)
			}
		}
	}
	for _, b := range n.Blames {
		if l.answerProven(now, b.Part) {
			continue
		}
		if l.blames[b.Part] == nil {
			blamed = append(blamed, b.Part)
		}
		l.blame(now, b.Part, blame{since: now.Add(-max(b.Age, 0)), seenAt: now.Add(-max(b.Unseen, 0)), probes: probeCounts{suspect: b.Probes, excused: b.ExcusedProbes}})
		delete(l.suspects, b.Part)
	}
	return blamed
}

// told is when peers first and last told a crash of a process.
type told struct{ firstAt, lastAt domain.Instant }

// recordTold records that a peer tells a crash of a process.
func (l *Ledger) recordTold(now domain.Instant, process Process) {
	t, ok := l.told[process]
	if !ok && len(l.told) >= maxTold {
		return
	}
	if !ok {
		t.firstAt = now
	}
	t.lastAt = now
	l.told[process] = t
}

// answerProven reports whether a part that a peer suspects or blames is proven, and has the peer told
// of that.
func (l *Ledger) answerProven(now domain.Instant, p Part) bool {
	if !l.isProven(now, p) {
		return false
	}
	l.cleared[p] = now
	return true
}

// expireNews forgets what has been told for newsTime.
func (l *Ledger) expireNews(now domain.Instant) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c crash) bool { return now.Sub(c.at) >= newsTime })
	for p, at := range l.cleared {
		if now.Sub(at) >= newsTime {
			delete(l.cleared, p)
		}
	}
	for process, t := range l.told {
		if now.Sub(t.lastAt) >= newsTime {
			delete(l.told, process)
		}
	}
}
