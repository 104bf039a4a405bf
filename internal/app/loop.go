package app

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// tickInterval is the time between two ticks of a core.
const tickInterval = 5 * time.Millisecond

// inboxLimit bounds the inputs that wait for a core. A sender of more waits,
// which slows the connection that the inputs come from.
const inboxLimit = 8192

// core is a deterministic decision core with inputs I and outputs O.
type core[I, O any] interface {
	Step(now domain.Instant, in I)
	Tick(now domain.Instant)
	Take() []O
}

// clock gives the time since the process's start.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() domain.Instant { return domain.Instant(time.Since(c.start)) }

// loop feeds one core from many goroutines, one input at a time.
//
// Invariant: only run's goroutine touches the core, and perform never waits for
// an input to be taken, so the loop can't wait for itself.
type loop[I, O any] struct {
	core         core[I, O]
	clock        clock
	perform      func(O)
	publishState func() // runs after each turn

	mu      sync.Mutex
	notFull *sync.Cond
	queue   []I
	queries []func()
	closed  bool
	wake    chan struct{}
	// maxBatch is the largest number of inputs that one turn found waiting since it was read.
	maxBatch int
}

func newLoop[I, O any](c core[I, O], clock clock, perform func(O)) *loop[I, O] {
	l := &loop[I, O]{core: c, clock: clock, perform: perform, wake: make(chan struct{}, 1)}
	l.notFull = sync.NewCond(&l.mu)
	return l
}

// enqueue gives an input to the core. It waits while too many are queued, and drops
// the input once the loop has ended.
func (l *loop[I, O]) enqueue(in I) {
	l.mu.Lock()
	for len(l.queue) >= inboxLimit && !l.closed {
		l.notFull.Wait()
	}
	if !l.closed {
		l.queue = append(l.queue, in)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// query runs a function between two inputs, when the core may be read. It waits
// for the function to end, and reports false when the context ends first.
func (l *loop[I, O]) query(ctx context.Context, read func()) bool {
	done := make(chan struct{})
	l.mu.Lock()
	l.queries = append(l.queries, func() {
		read()
		close(done)
	})
	l.mu.Unlock()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// dequeueAll empties the queue.
func (l *loop[I, O]) dequeueAll() ([]I, []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, queries := l.queue, l.queries
	l.queue, l.queries = nil, nil
	l.notFull.Broadcast()
	return batch, queries
}

// run drives the core until the context ends.
func (l *loop[I, O]) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer l.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.wake:
		}
		l.iterate()
	}
}

// iterate gives the waiting inputs to the core, ticks it, and performs what it asks for.
func (l *loop[I, O]) iterate() {
	batch, queries := l.dequeueAll()
	l.maxBatch = max(l.maxBatch, len(batch))
	for _, in := range batch {
		l.core.Step(l.clock.now(), in)
	}
	now := l.clock.now()
	l.core.Tick(now)
	for _, out := range l.core.Take() {
		l.perform(out)
	}
	if l.publishState != nil {
		l.publishState()
	}
	for _, read := range queries {
		read()
	}
}

// takeMaxBatch returns the largest number of inputs that one turn found waiting since
// the last call. Only observe may call it.
func (l *loop[I, O]) takeMaxBatch() int {
	maxBatch := l.maxBatch
	l.maxBatch = 0
	return maxBatch
}

func (l *loop[I, O]) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.queue = nil
	l.notFull.Broadcast()
}
