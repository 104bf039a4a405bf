package crashblame

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// newsTime is how long a crash or a proof is told to peers, so that lost messages don't matter.
	newsTime = 3 * time.Second
	// maxPartsOfCrash bounds the parts that one process reports of one crash.
	maxPartsOfCrash = 64
	// maxNewsCrashes and maxNewsCleared bound the crashes and proofs in one message.
	maxNewsCrashes, maxNewsCleared = 16, 64
)

// Crash is a crash that a process has seen, with the parts that it suspects.
type Crash struct {
	Process Process
	Parts   []Part
}

// Blame is a blamed part.
type Blame struct {
	Part Part
	// Age is the time since the part was blamed, Unseen the time since the last request with it.
	Age, Unseen time.Duration
	// Probes is the number of probes that have been made.
	Probes int
}

// News is what a process tells its peers. All blames are told again and again, so that a process
// that starts knows them soon.
type News struct {
	Crashes []Crash
	Blames  []Blame
	// Cleared are parts that a peer suspects or blames and that are proven.
	Cleared []Part
}

// Size returns the number of crashes, suspected, blamed and cleared parts, and probes. It changes with each
// addition.
func (n News) Size() int {
	size := len(n.Crashes) + len(n.Blames) + len(n.Cleared)
	for _, c := range n.Crashes {
		size += len(c.Parts)
	}
	for _, b := range n.Blames {
		size += b.Probes
	}
	return size
}

// News returns what to tell the peers now.
func (l *Ledger) News(now domain.Instant) News {
	var n News
	// The latest first: the others have been told before.
	for _, c := range slices.Backward(l.crashes) {
		var parts []Part
		for p := range c.parts {
			if !l.isProven(now, p) {
				parts = append(parts, p)
			}
		}
		if len(parts) > 0 && len(n.Crashes) < maxNewsCrashes {
			slices.Sort(parts)
			n.Crashes = append(n.Crashes, Crash{Process: c.process, Parts: parts})
		}
	}
	for _, p := range l.sortedBlames() {
		b := l.blames[p]
		n.Blames = append(n.Blames, Blame{Part: p, Age: now.Sub(b.since), Unseen: now.Sub(b.seenAt), Probes: b.probes})
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
		delete(l.suspects, p)
		delete(l.blames, p)
	}
	for _, c := range n.Crashes {
		for _, p := range c.Parts {
			if !l.answerProven(now, p) && l.suspect(now, p, c.Process) {
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
		delete(l.suspects, b.Part)
		l.blame(now, b.Part, blame{since: now.Add(-max(b.Age, 0)), seenAt: now.Add(-max(b.Unseen, 0)), probes: b.Probes})
	}
	return blamed
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
}
