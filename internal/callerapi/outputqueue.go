package callerapi

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

var (
	errCallerDisconnected = errors.New("the caller disconnected")
	errIdle               = errors.New("no output within the ping interval")
)

// outputQueue is the Sink of one call. It holds the call's outputs until the
// HTTP handler writes them. Its size is limited only by that of the answer.
type outputQueue struct {
	call entry.Call

	mu        sync.Mutex
	outputs   []entry.Output
	ended     bool
	abandoned bool
	// ready has a buffered value after an output was added. One value may stand
	// for several outputs, or for outputs that were taken in the meantime.
	ready chan struct{}
}

func newOutputQueue(call entry.Call) *outputQueue {
	return &outputQueue{call: call, ready: make(chan struct{}, 1)}
}

// Put adds an output of the call. Outputs after the end of the call or after
// abandon are dropped.
func (q *outputQueue) Put(out entry.Output) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ended || q.abandoned {
		return
	}
	if _, ok := out.(entry.CallerEnd); ok {
		q.ended = true
	}
	q.outputs = append(q.outputs, out)
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeAll removes and returns all queued outputs.
func (q *outputQueue) takeAll() []entry.Output {
	q.mu.Lock()
	defer q.mu.Unlock()
	outputs := q.outputs
	q.outputs = nil
	return outputs
}

// abandon discards the queued and all later outputs. It reports whether the
// call has not ended yet.
func (q *outputQueue) abandon() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.abandoned = true
	q.outputs = nil
	return !q.ended
}

// next returns the queued outputs, or waits for the first one. It returns
// errCallerDisconnected when the context is cancelled, and errIdle after the timeout.
// Zero means no timeout.
func (q *outputQueue) next(ctx context.Context, timeout time.Duration) ([]entry.Output, error) {
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	for {
		if outputs := q.takeAll(); len(outputs) > 0 {
			return outputs, nil
		}
		select {
		case <-q.ready:
		case <-ctx.Done():
			return nil, errCallerDisconnected
		case <-expired:
			return nil, errIdle
		}
	}
}
