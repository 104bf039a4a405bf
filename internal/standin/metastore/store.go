// Package metastore is a stand-in for the users' metadata store: rows with
// versions, reads, and watches, with outages and lost history on demand.
package metastore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Row is a row as the store sends it.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"deleted,omitempty"`
}

// page is the reply of a read or a watch.
type page struct {
	Rows    []Row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"ver"`
	Now     int64 `json:"now_ms"`
}

// Store is a stand-in store. It is an http.Handler.
type Store struct {
	router  http.Handler
	started time.Time

	mu           sync.Mutex
	rows         map[string]Row
	history      []Row
	version      int64
	historyStart int64 // watches from before it find no history
	down         bool
	requests     int
	changed      chan struct{}
}

// New returns an empty store.
func New() *Store {
	s := &Store{rows: make(map[string]Row), started: time.Now(), changed: make(chan struct{})}
	router := chi.NewRouter()
	router.Get("/api/rows-get", s.getRows)
	router.Get("/api/rows-feed", s.watchRows)
	s.router = router
	return s
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.router.ServeHTTP(w, r)
}

// Put writes a row.
func (s *Store) Put(table, key string, value []byte) {
	s.write(Row{Table: table, Key: key, Value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) { s.write(Row{Table: table, Key: key, Removed: true}) }

func (s *Store) write(row Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	row.Version = s.version
	id := row.Table + "\x00" + row.Key
	if row.Removed {
		delete(s.rows, id)
	} else {
		s.rows[id] = row
	}
	s.history = append(s.history, row)
	s.notifyWatchers()
}

// SetDown takes the store down or brings it back. Watches in progress end with an error.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// Forget drops the history.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.historyStart = s.version
	s.notifyWatchers()
}

// Requests returns the number of calls so far.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) getRows(w http.ResponseWriter, r *http.Request) {
	table, from := r.URL.Query().Get("table"), r.URL.Query().Get("from")
	s.mu.Lock()
	p := page{Rows: []Row{}, Version: s.version, Now: time.Since(s.started).Milliseconds()}
	for _, row := range s.rows {
		if row.Table == table && row.Key >= from {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	writePage(w, p)
}

func (s *Store) watchRows(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get("table")
	after, err := strconv.ParseInt(r.URL.Query().Get("after_rev"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, gone, down, changed := s.changesSince(table, after), after < s.historyStart, s.down, s.changed
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(p.Rows) > 0:
			writePage(w, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writePage(w, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince needs the lock.
func (s *Store) changesSince(table string, after int64) page {
	p := page{Rows: []Row{}, Version: s.version, Now: time.Since(s.started).Milliseconds()}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	return p
}

func writePage(w http.ResponseWriter, p page) {
	w.Header().Set("Content-Type", "application/json")
	// The caller is gone if this fails.
	_ = json.NewEncoder(w).Encode(p)
}
