package replay

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// The model engine's figures, those of a large mixture-of-experts model on eight accelerators.
const (
	stepBase     = 4400 * time.Microsecond
	stepEach     = 110 * time.Microsecond // for each request that makes tokens
	readPerMilli = 93.6                   // prompt tokens
	readAtOnce   = 4096
	firstEvent   = 83 * time.Millisecond
	engineSlots  = 64
	eventTokens  = 4
)

// run is a request at an engine.
type run struct {
	request *request
	read    int // prompt tokens left to read
	made    int // tokens made
	sent    time.Duration
	last    time.Duration // last event
}

// engine reads prompts in chunks, the most urgent first, between the tokens of
// the requests that it answers. It keeps the shared parts that it has read.
type engine struct {
	id     string
	at     time.Duration // end of the last step
	runs   []*run
	cached map[uint64]bool
	// reread is the tokens of shared parts that were read though another engine had read them.
	read, reread int
	known        map[uint64]bool // parts read by any engine
	down         bool
}

func (e *engine) accept(now time.Duration, q *request) {
	if len(e.runs) == 0 {
		e.at = max(e.at, now)
	}
	tokens, missed := 0, false
	for i, p := range q.query.Parts {
		shared := i < len(q.query.Parts)-1
		missed = missed || !e.cached[p.ID]
		if !missed {
			continue
		}
		tokens += p.Tokens
		if shared && e.known[p.ID] {
			e.reread += p.Tokens
		}
		if shared {
			e.cached[p.ID], e.known[p.ID] = true, true
		}
	}
	e.read += tokens
	e.runs = append(e.runs, &run{request: q, read: tokens, sent: now})
}

// step runs until a time. ended is told of each event and end.
func (e *engine) step(until time.Duration, event func(*run, time.Duration, bool)) {
	for e.at < until && len(e.runs) > 0 && !e.down {
		e.one(event)
	}
	if len(e.runs) == 0 {
		e.at = until
	}
}

func (e *engine) one(event func(*run, time.Duration, bool)) {
	slices.SortStableFunc(e.runs, func(a, b *run) int { return a.request.query.Rank - b.request.query.Rank })
	budget, decoding := readAtOnce, 0
	var making []*run
	for _, r := range e.runs {
		switch {
		case r.read > 0:
			n := min(r.read, budget)
			r.read -= n
			budget -= n
		case decoding < engineSlots && e.at >= r.sent+firstEvent:
			decoding++
			making = append(making, r)
		}
	}
	took := stepBase + time.Duration(decoding)*stepEach
	took += time.Duration(float64(readAtOnce-budget) / readPerMilli * float64(time.Millisecond))
	e.at += took
	for _, r := range making {
		r.made++
		last := r.made >= r.request.query.Output
		if r.made == 1 || r.made%eventTokens == 0 || last {
			event(r, e.at, last)
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		return r.made >= r.request.query.Output || r.request.left(e.at)
	})
}

// request is a caller's request and what became of it.
type request struct {
	query   placement.Query
	kind    string
	gateway int
	arrived time.Duration
	gap     time.Duration
	limit   time.Duration

	ticket *placement.Ticket
	first  time.Duration
	pause  time.Duration
	done   bool
	ended  bool
	refuse bool
}

func (q *request) left(now time.Duration) bool { return now > q.arrived+q.limit }

// inTime reports whether the whole answer was in time.
func (q *request) inTime() bool {
	return q.done && q.first-q.arrived <= q.query.Target && q.pause <= q.gap
}
