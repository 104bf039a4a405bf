// Package logs configures klog and provides a log writer that never blocks the
// caller: when its queue is full, lines are dropped and counted. Programs
// call Configure once at their start. The gateway logs through a Sink; the others
// write to standard error directly.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// queueLength is the largest number of queued lines, about 2 MB with lines of 500 bytes.
const queueLength = 4096

// maxQueuedBytes bounds the queued lines together. A line may hold a client's header of any legal length.
const maxQueuedBytes = 4 << 20

// flushTimeout is the longest time for which Close waits for a writer that blocks.
const flushTimeout = 200 * time.Millisecond

// Sink is an asynchronous io.Writer. Each Write must be a complete line. It is
// safe for concurrent use.
type Sink struct {
	lines  chan []byte
	queued atomic.Int64 // bytes of the queued lines
	// dropped is the number of lines dropped since the last line was written.
	dropped atomic.Int64
	closing chan struct{} // closed by Close
	done    chan struct{} // closed when the queued lines are written
}

// New returns a sink and starts the goroutine that writes its lines to w.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLength), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write queues one line, or drops it when the queue is full. It never blocks and
// never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case <-s.closing:
		return len(line), nil
	default:
	}
	if s.queued.Add(int64(len(line))) > maxQueuedBytes {
		s.queued.Add(-int64(len(line)))
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.queued.Add(-int64(len(line)))
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines, for flushTimeout at most, and stops the sink. Lines
// that are written during Close may be dropped and later ones are, as goroutines can outlive
// what they log about.
func (s *Sink) Close() {
	close(s.closing)
	select {
	case <-s.done:
	case <-time.After(flushTimeout):
	}
}

// run writes the queued lines until the sink is closed.
func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.writeLine(w, line)
		case <-s.closing:
			for range len(s.lines) {
				s.writeLine(w, <-s.lines)
			}
			return
		}
	}
}

// writeLine writes a line, after the number of those dropped before it.
func (s *Sink) writeLine(w io.Writer, line []byte) {
	defer s.queued.Add(-int64(len(line)))
	if n := s.dropped.Swap(0); n > 0 {
		fmt.Fprintf(w, "level=WARN msg=\"log lines left out\" count=%d\n", n)
	}
	// There is nowhere else to report a failed write of the log.
	_, _ = w.Write(line)
}
