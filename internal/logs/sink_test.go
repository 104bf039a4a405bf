package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingWriter is a writer that blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

// Writes to a sink with a blocked writer must not block. Lines beyond the queue
// are dropped, and their number is logged.
func TestBlockedWriterDropsLines(t *testing.T) {
	w := &blockingWriter{unblock: make(chan struct{})}
	s := New(w)
	for range queueLength + 100 {
		n, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(w.unblock)
	s.Close()
	assert.Assert(t, strings.Contains(w.written.String(), "log lines left out"))
	lines := strings.Count(w.written.String(), "line\n")
	assert.Assert(t, lines >= queueLength && lines < queueLength+100, "%d lines", lines)
}

// Guards against the end of a stopping process by a panic: goroutines that
// outlive the servers go on logging after the sink is closed.
func TestWritesAfterCloseAreDropped(t *testing.T) {
	w := &blockingWriter{unblock: make(chan struct{})}
	close(w.unblock)
	s := New(w)
	stop := make(chan struct{})
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = s.Write([]byte("line\n"))
				}
			}
		})
	}
	s.Close()
	_, err := s.Write([]byte("after\n"))
	assert.NilError(t, err)
	close(stop)
	writers.Wait()
	<-s.done
	assert.Assert(t, !strings.Contains(w.written.String(), "after"))
}

// Guards against a process that can't end because nobody reads its log.
func TestCloseWithBlockedWriterReturns(t *testing.T) {
	w := &blockingWriter{unblock: make(chan struct{})}
	defer close(w.unblock)
	s := New(w)
	_, err := s.Write([]byte("line\n"))
	assert.NilError(t, err)
	s.Close()
}

// Guards against a queue that takes all memory by long lines: a blocked writer may hold up maxQueuedBytes only.
func TestQueuedBytesAreBounded(t *testing.T) {
	w := &blockingWriter{unblock: make(chan struct{})}
	s := New(w)
	line := append(bytes.Repeat([]byte("x"), 64<<10), '\n')
	for range queueLength / 2 {
		_, err := s.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, s.queued.Load() <= maxQueuedBytes)
	close(w.unblock)
	s.Close()
	<-s.done // Close waits for flushTimeout at most, which a busy machine exceeds
	assert.Equal(t, s.queued.Load(), int64(0))
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Assert(t, w.written.Len() <= maxQueuedBytes+1<<10)
}
