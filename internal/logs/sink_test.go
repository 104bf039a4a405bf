package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// A writer that blocks costs lines, never time, and the lost ones are counted.
func TestBlockedWriterLosesLines(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	s := New(g)
	for range queueLength + 100 {
		n, err := s.Write([]byte("line\n"))
		assert.NilError(t, err)
		assert.Equal(t, n, 5)
	}
	close(g.open)
	s.Close()
	assert.Assert(t, strings.Contains(g.text.String(), "log lines left out"))
	lines := strings.Count(g.text.String(), "line\n")
	assert.Assert(t, lines >= queueLength && lines < queueLength+100, "%d lines", lines)
}
