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
	pairsPerNano = 1e6 / 350e3            // pairs of a token and one before it that a prompt is compared by
	readAtOnce   = 4096
	firstEvent   = 83 * time.Millisecond
	engineSlots  = 64
	engineMemory = 369_000 // tokens
	eventTokens  = 4
)

// run is a request at an engine.
type run struct {
	request *request
	read    int // prompt tokens left to read
	context int // prompt tokens that are there
	made    int // tokens made
	sent    time.Duration
	last    time.Duration // last event
	admits  bool          // it has a slot and memory
}

// kept is a prompt part in an engine's memory.
type kept struct {
	tokens int
	used   time.Duration
	users  int // runs that need it; it yields only without
}

// engine reads prompts in chunks, the most urgent first, between the tokens of
// the requests that it answers. It keeps the shared parts that it has read
// until others need their memory.
type engine struct {
	id     string
	at     time.Duration // end of the last step
	runs   []*run
	parts  map[uint64]*kept
	memory int // tokens in use, of runs and kept parts
	// reread is the tokens of shared parts that were read though another engine had read them.
	read, reread int
	known        map[uint64]bool // parts read by any engine
	slow         time.Duration   // times that each step takes; 0 for 1
}

func (e *engine) accept(now time.Duration, q *request) {
	if len(e.runs) == 0 {
		e.at = max(e.at, now)
	}
	e.runs = append(e.runs, &run{request: q, sent: now})
}

// admit gives waiting runs slots and memory, the most urgent first.
func (e *engine) admit() {
	running := 0
	for _, r := range e.runs {
		if r.admits {
			running++
		}
	}
	for _, r := range e.runs {
		if r.admits {
			continue
		}
		if running == engineSlots || !e.begin(r) {
			return
		}
		running++
	}
}

// begin gives a run memory for its prompt. It reports false if there is none.
func (e *engine) begin(r *run) bool {
	need, missed := 0, false
	parts := r.request.query.Parts
	for i, p := range parts {
		k := e.parts[p.ID]
		if i == len(parts)-1 || k == nil {
			need += p.Tokens
		}
	}
	if !e.free(need, parts) {
		return false
	}
	for _, p := range parts[:len(parts)-1] {
		k := e.parts[p.ID]
		if k == nil {
			missed = true
			k = &kept{tokens: p.Tokens}
			e.parts[p.ID] = k
			e.memory += p.Tokens
		}
		k.users++
		k.used = e.at
		if missed {
			r.read += p.Tokens
			if e.known[p.ID] {
				e.reread += p.Tokens
			}
		} else {
			r.context += p.Tokens
		}
		e.known[p.ID] = true
	}
	own := parts[len(parts)-1].Tokens
	r.read += own
	e.memory += own
	e.read += r.read
	r.admits = true
	return true
}

// free lets unused parts yield, the least recently used first.
func (e *engine) free(need int, but []placement.Part) bool {
	for e.memory+need > engineMemory {
		var oldest uint64
		var found *kept
		for id, k := range e.parts {
			wanted := slices.ContainsFunc(but, func(p placement.Part) bool { return p.ID == id })
			if k.users == 0 && !wanted && (found == nil || k.used < found.used || k.used == found.used && id < oldest) {
				oldest, found = id, k
			}
		}
		if found == nil {
			return false
		}
		e.memory -= found.tokens
		delete(e.parts, oldest)
	}
	return true
}

// end gives back what a run needed.
func (e *engine) end(r *run) {
	if !r.admits {
		return
	}
	parts := r.request.query.Parts
	for _, p := range parts[:len(parts)-1] {
		e.parts[p.ID].users--
	}
	e.memory -= parts[len(parts)-1].Tokens + r.made
}

// step runs until a time. event is told of each event and end.
func (e *engine) step(until time.Duration, event func(*run, time.Duration, bool)) {
	for e.at < until && len(e.runs) > 0 {
		e.one(event)
	}
	if len(e.runs) == 0 {
		e.at = until
	}
}

func (e *engine) one(event func(*run, time.Duration, bool)) {
	slices.SortStableFunc(e.runs, func(a, b *run) int { return a.request.query.Rank - b.request.query.Rank })
	e.admit()
	budget, took := readAtOnce, stepBase
	var making []*run
	for _, r := range e.runs {
		switch {
		case !r.admits:
		case r.read > 0:
			n := min(r.read, budget)
			took += time.Duration(float64(n) * (float64(r.context) + float64(n)/2) / pairsPerNano)
			r.read -= n
			r.context += n
			budget -= n
		case e.at >= r.sent+firstEvent:
			took += stepEach
			making = append(making, r)
		}
	}
	took += time.Duration(float64(readAtOnce-budget) / readPerMilli * float64(time.Millisecond))
	e.at += took * max(e.slow, 1)
	for _, r := range making {
		r.made++
		e.memory++
		last := r.made >= r.request.output
		if r.made == 1 || r.made%eventTokens == 0 || last {
			event(r, e.at, last)
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool {
		over := r.made >= r.request.output || r.request.left(e.at)
		if over {
			e.end(r)
		}
		return over
	})
}

// request is a caller's request and what became of it.
type request struct {
	query   placement.Query
	kind    string
	gateway int
	arrived time.Duration // at first
	output  int           // tokens that the answer has
	gap     time.Duration
	limit   time.Duration
	back    time.Duration // when it returns after it was turned away; 0 if it doesn't
	tries   int

	ticket *placement.Ticket
	first  time.Duration
	pause  time.Duration
	done   bool
	ended  bool
}

func (q *request) left(now time.Duration) bool { return now > q.arrived+q.limit }

// inTime reports whether the whole answer was in time.
func (q *request) inTime() bool {
	return q.done && q.first-q.arrived <= q.query.Target && q.pause <= q.gap
}
