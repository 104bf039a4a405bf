// Package logs writes log lines without ever making the caller wait: lines
// that find the queue full are counted and left out.
package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueLength is the number of lines that may wait to be written, about 2 MB.
const queueLength = 4096

// Sink is a writer of whole lines.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New starts a sink that writes to w.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, queueLength), done: make(chan struct{})}
	go s.run(w)
	return s
}

// Write queues one line. It never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the lines that wait and stops the sink. Nothing may be written after it.
func (s *Sink) Close() {
	close(s.lines)
	<-s.done
}

func (s *Sink) run(w io.Writer) {
	defer close(s.done)
	for line := range s.lines {
		if n := s.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w, "level=WARN msg=\"log lines left out\" count=%d\n", n)
		}
		// A log that can't be written has nowhere else to go.
		_, _ = w.Write(line)
	}
}
