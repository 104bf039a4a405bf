package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	lines   []string
}

func newRecord() *record { return &record{started: time.Now()} }

// add adds a line with the time since the start of the case.
func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f ", time.Since(r.started).Seconds())+fmt.Sprintf(format, values...))
}

// save writes record.txt in the folder of the case.
func (r *record) save(dir string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(filepath.Join(dir, "record.txt"), []byte(strings.Join(r.lines, "\n")+"\n"), 0o600)
}
