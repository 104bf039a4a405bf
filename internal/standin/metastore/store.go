// Package metastore is a stand-in for the platform's metadata store, for tests and
// the development deployment of the gateway. It serves reads and long-poll watches
// of versioned rows, and simulates outages, lost history and the return from an old copy. All rows are in
// memory.
package metastore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// clockStart is the reading of the store's steady clock when it starts.
const clockStart = time.Minute

// headerEra is the header of all responses with the store's era.
const headerEra = "Store-Era"

// Row is a row in the store's JSON encoding. A removed row has no value.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"` // always empty
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"deleted,omitempty"`
}

// page is the response to a read or a watch. Version is the store's version at the
// time, Now the reading of its steady clock in milliseconds. A response is never split,
// so More is always false.
type page struct {
	Rows    []Row `json:"rows"`
	More    bool  `json:"has_more"`
	Version int64 `json:"ver"`
	Now     int64 `json:"now_ms"`
}

// Store is a stand-in for the metadata store. It is an http.Handler, and safe for
// concurrent use.
type Store struct {
	router  http.Handler
	started time.Time

	mu           sync.Mutex
	rows         map[string]Row // by table, a zero byte and key
	history      []Row          // changes after version historyStart, oldest first
	version      int64
	era          int64 // number of restores, plus 1
	copy         map[string]Row
	copyVersion  int64
	historyStart int64 // watches from an earlier version get 410 Gone
	down         bool
	delay        time.Duration // before each response, beside the wait of a watch
	requests     int           // received, including those during outages
	writes       int           // of them, those that ask for writes
	writeFault   WriteFault    // of the next one
	changed      chan struct{} // closed and replaced on each change of rows, history or outage
}

// New returns an empty store.
func New() *Store {
	s := &Store{era: 1, rows: make(map[string]Row), started: time.Now(), changed: make(chan struct{})}
	router := chi.NewRouter()
	router.Get("/api/rows-get", s.getRows)
	router.Get("/api/rows-feed", s.watchRows)
	router.Post("/api/rows-tx", s.writeRows)
	s.router = router
	return s
}

// ServeHTTP serves one request. While the store is down the response is 503.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.requests++
	down, delay := s.down, s.delay
	w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(delay):
		s.router.ServeHTTP(w, r)
	case <-r.Context().Done():
	}
}

// Writes returns the number of requests for writes received.
func (s *Store) Writes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// SetDelay sets the delay of each response.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Put inserts or replaces a row.
func (s *Store) Put(table, key string, value []byte) {
	s.write(Row{Table: table, Key: key, Value: value})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) { s.write(Row{Table: table, Key: key, Removed: true}) }

func (s *Store) write(row Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row)
}

// now returns the reading of the steady clock in milliseconds.
func (s *Store) now() int64 { return (clockStart + time.Since(s.started)).Milliseconds() }

// put changes a row at the current version, which the caller has raised. The caller holds the lock.
func (s *Store) put(row Row) {
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

// SetDown starts or ends an outage. Watches in progress are answered with 503 when
// it starts.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatchers()
}

// DropHistory discards the history. Watches from an earlier version get 410 Gone.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.historyStart = s.version
	s.notifyWatchers()
}

// TakeCopy replaces the copy from which Restore brings the store back.
func (s *Store) TakeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy, s.copyVersion = maps.Clone(s.rows), s.version
}

// Restore brings the store back from the last copy, or from an empty one. Later
// changes are lost and their versions are given out again.
func (s *Store) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rows, s.version = maps.Clone(s.copy), s.copyVersion
	if s.rows == nil {
		s.rows = make(map[string]Row)
	}
	s.history, s.historyStart = nil, s.version
	s.notifyWatchers()
}

// Requests returns the number of requests received, including those during outages.
func (s *Store) Requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

// notifyWatchers wakes all watches in progress. The caller holds the lock.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// getRows serves the rows of a table whose keys are not below the from parameter.
func (s *Store) getRows(w http.ResponseWriter, r *http.Request) {
	table, from := r.URL.Query().Get("table"), r.URL.Query().Get("from")
	s.mu.Lock()
	w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
	p := page{Rows: []Row{}, Version: s.version, Now: s.now()}
	for _, row := range s.rows {
		if row.Table == table && row.Key >= from {
			p.Rows = append(p.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(p.Rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	writePage(w, p)
}

// watchRows serves the changes of a table after version after_rev. It waits up to
// wait_ms for one, and then responds with an empty page.
func (s *Store) watchRows(w http.ResponseWriter, r *http.Request) {
	table := r.URL.Query().Get("table")
	after, err := strconv.ParseInt(r.URL.Query().Get("after_rev"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p, down, changed := s.changesSince(table, after), s.down, s.changed
		truncated := after < s.historyStart || after > s.version
		w.Header().Set(headerEra, strconv.FormatInt(s.era, 10))
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case truncated:
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

// changesSince returns the changes of a table after a version. The caller holds the
// lock.
func (s *Store) changesSince(table string, after int64) page {
	p := page{Rows: []Row{}, Version: s.version, Now: s.now()}
	for _, row := range s.history {
		if row.Table == table && row.Version > after {
			p.Rows = append(p.Rows, row)
		}
	}
	return p
}

func writePage(w http.ResponseWriter, p page) {
	w.Header().Set("Content-Type", "application/json")
	// Fails only if the client has closed the connection.
	_ = json.NewEncoder(w).Encode(p)
}
