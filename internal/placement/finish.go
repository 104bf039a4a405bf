package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern that this estimate answers: a burst keeps an engine reading,
// so that it makes only one token of each of its answers a chunk. A long answer
// that begins there in time ends after its caller has left, and what was read
// for it was read in vain. A request therefore goes only where it can also end.

const (
	// gapTime is the time over which the gaps between events are averaged. A wave of
	// prompts lasts a fraction of a second, the answers that it delays some seconds.
	gapTime = 2 * time.Second
	// gapLife is how long gaps tell of an engine: about the length of an answer.
	gapLife = 3 * time.Second
	// scarceShare is the share of an engine's time that long prompts take from
	// which on a request that doesn't end takes the place of one that would. The
	// tokens of the answers take the rest: engines read without pause from 0.7 on.
	scarceShare = 0.45
	// answerWeight is the weight of one answer in the averages over answers.
	answerWeight = 0.02
)

// gaps is the average time between two events of the streams of an engine.
type gaps struct {
	mean time.Duration
	at   domain.Instant
}

// learn takes a number of gaps that end now and took a time together.
func (g *gaps) learn(now domain.Instant, took time.Duration, events int) {
	gap := float64(took) / float64(events)
	weight := 1.0
	if g.at > 0 && now.Sub(g.at) < gapLife {
		weight = 1 - math.Exp(-float64(now.Sub(g.at))/float64(gapTime))
	}
	g.mean += time.Duration((gap - float64(g.mean)) * weight)
	g.at = now
}

// known returns the mean gap, or zero when it is too old to tell of the engine.
func (g *gaps) known(now domain.Instant) time.Duration {
	if g.at == 0 || now.Sub(g.at) >= gapLife {
		return 0
	}
	return g.mean
}

// peerGaps is the gaps that the peers told of an engine.
type peerGaps struct {
	sum time.Duration
	n   int
}

// add takes what one peer tells, or with a negative sign takes it out again.
func (p *peerGaps) add(gap time.Duration, sign int) {
	if gap > 0 {
		p.sum += gap * time.Duration(sign)
		p.n += sign
	}
}

// gap is the mean gap of an engine's streams, over the processes that know it;
// zero when none does.
func (s *state) gap(now domain.Instant) time.Duration {
	all := s.peerGaps
	all.add(s.gaps.known(now), 1)
	if all.n == 0 {
		return 0
	}
	return all.sum / time.Duration(all.n)
}

// answers is what the answers of a service's engines were expected to be and
// were, so that what callers expect can be turned into events.
type answers struct {
	tokens, events float64 // averages; 0 if not known
}

// learn takes the expected tokens and the events of an answer that ended.
func (a *answers) learn(tokens, events int) {
	if a.events == 0 {
		a.tokens, a.events = float64(tokens), float64(events)
		return
	}
	a.tokens += (float64(tokens) - a.tokens) * answerWeight
	a.events += (float64(events) - a.events) * answerWeight
}

// expected is the tokens that a request is likely to make. Where callers declare
// only a most, the answers that ended tell how much of it is used.
func (q Query) expected() int {
	switch {
	case q.Expected <= 0:
		return q.Output
	case q.Output <= 0:
		return q.Expected
	default:
		return min(q.Expected, q.Output)
	}
}

// finishes reports whether an engine can end a request before its caller gives
// up. What isn't known yet doesn't speak against it.
func (s *state) finishes(now domain.Instant, of *service, q Query, p position) bool {
	gap := s.gap(now)
	if q.Deadline == 0 || of.answers.events == 0 || gap == 0 || s.duty(now, of) < scarceShare {
		return true
	}
	reading := (s.ahead(q) + p.unread) / of.pace.tokens() * float64(time.Millisecond)
	answer := float64(gap) * float64(q.expected()) * of.answers.events / of.answers.tokens
	return now.Add(of.pace.base+time.Duration(reading+answer)) <= q.Deadline
}
