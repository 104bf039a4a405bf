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

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.unblock
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.written.Write(p)
}

// Writes to a sink with a blocked writer must not block. Lines beyond the queue
// are dropped, and their number is logged.
func TestBlockedWriterDropsLines(t *testing.T) {
	g := &blockingWriter{unblock: make(chan struct{})}
	s := New(g)
	for range queueLength + 100 {
		n, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(g.unblock)
	s.Close()
	assert.Assert(t, strings.Contains(g.written.String(), "log lines left out"))
	lines := strings.Count(g.written.String(), "line\n")
	assert.Assert(t, lines >= queueLength && lines < queueLength+100, "%d lines", lines)
}
