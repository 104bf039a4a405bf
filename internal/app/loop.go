package app

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// tickInterval is the time between two ticks of a core while no input arrives. It
// is also the polling interval while waiting for an idle core or a revision in force.
const tickInterval = 5 * time.Millisecond

// inboxLimit is the number of queued inputs at which enqueue blocks. That applies
// back pressure to the connection that the inputs come from.
const inboxLimit = 8192

// core is a deterministic decision core with inputs I and outputs O. It is not
// safe for concurrent use.
type core[I, O any] interface {
	// Step processes one input.
	Step(now domain.Instant, in I)
	// Tick processes everything that is due at a time, such as timers.
	Tick(now domain.Instant)
	// Take removes and returns the outputs since the last Take, in order.
	Take() []O
}

// clock measures the time since the start of the process.
type clock struct{ start time.Time }

func newClock() clock { return clock{start: time.Now()} }

func (c clock) now() domain.Instant { return domain.Instant(time.Since(c.start)) }

// loop passes inputs from many goroutines to one core, one input at a time.
//
// Invariant: only run's goroutine accesses the core, and perform never blocks on
// this loop's enqueue or query, so the loop can't deadlock with itself.
type loop[I, O any] struct {
	core         core[I, O]
	clock        clock
	perform      func(O)
	publishState func() // called after each iteration; may be nil

	mu      sync.Mutex
	notFull *sync.Cond
	queue   []I
	queries []func()
	closed  bool
	wake    chan struct{}
	// maxBatch is the largest number of inputs that one iteration has handled since
	// takeMaxBatch. Only run's goroutine uses it.
	maxBatch int
}

func newLoop[I, O any](c core[I, O], clock clock, perform func(O)) *loop[I, O] {
	l := &loop[I, O]{core: c, clock: clock, perform: perform, wake: make(chan struct{}, 1)}
	l.notFull = sync.NewCond(&l.mu)
	return l
}

// enqueue queues an input for the core. It blocks while inboxLimit inputs are
// queued, and drops the input once the loop has ended.
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

// query calls read in the loop's goroutine at the end of an iteration, where it
// may access the core, and waits for it to return. It returns false if ctx ends
// first; read may still be called then.
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

// dequeueAll removes and returns all queued inputs and queries.
func (l *loop[I, O]) dequeueAll() ([]I, []func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, queries := l.queue, l.queries
	l.queue, l.queries = nil, nil
	l.notFull.Broadcast()
	return batch, queries
}

// run runs the loop until the context ends.
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

// iterate passes the queued inputs to the core, ticks it, performs its outputs and
// runs the queries.
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

// takeMaxBatch returns the largest number of inputs that one iteration has handled
// since the last call. Only publishState may call it.
func (l *loop[I, O]) takeMaxBatch() int {
	maxBatch := l.maxBatch
	l.maxBatch = 0
	return maxBatch
}

// close drops the queued inputs and unblocks enqueue.
func (l *loop[I, O]) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.queue = nil
	l.notFull.Broadcast()
}
