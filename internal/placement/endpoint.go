// Package placement chooses the endpoint of each request. It keeps a table of
// endpoints with what this process knows of them; filters, scorers and a picker
// run over it. It has no I/O, clock or goroutine: time comes in with each call.
package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Endpoint is what the registry says of an endpoint.
type Endpoint struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that it processes at once; 0 if not known.
	Slots int
	// Draining endpoints take no new work.
	Draining bool
	// Start is the Unix time of the endpoint's start in milliseconds. A new
	// start under the same identifier holds nothing of before.
	Start int64
}

// Part is one part of a prompt. Requests that begin with the same parts share
// what an endpoint has cached of them.
type Part struct {
	ID     uint64
	Tokens int
}

// Load is the load that an endpoint reports with an answer.
type Load struct {
	Running, Waiting, Slots int
}

// state is an endpoint and what this process has learned of it.
type state struct {
	Endpoint
	rank uint64 // order of the endpoints that is the same in every process

	inFlight int // requests sent and not ended
	unread   int // prompt tokens sent in requests without a first event
	decoding int // requests in flight that make many tokens from a short prompt

	reported         Load
	reportedAt       domain.Instant
	inFlightAtReport int
	hasReport        bool

	heard    domain.Instant // last bytes received
	asked    domain.Instant // start of the oldest silence with work outstanding
	failures float64        // recent share of failed requests, 0 to 1
	failedAt domain.Instant
	avoid    domain.Instant // not used before, unless nothing else is left

	parts map[uint64]domain.Instant // prompt parts placed here, with the last use
}

// Table is the set of known endpoints. It is not safe for concurrent use.
type Table struct {
	settings Settings
	byID     map[string]*state
	services map[string][]*state // by rank
	swept    domain.Instant
}

// Settings are the figures that placement works with.
type Settings struct {
	// DataCentre is this process's own; equal endpoints there go first.
	DataCentre string
	// CacheLife is how long a prompt part is expected to stay cached after its last use.
	CacheLife time.Duration
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{settings: s, byID: make(map[string]*state), services: make(map[string][]*state)}
}

// Put adds an endpoint or replaces what the registry says of it.
func (t *Table) Put(now domain.Instant, e Endpoint) {
	old := t.byID[e.ID]
	if old != nil && old.Start == e.Start && old.Address == e.Address && old.Service == e.Service {
		old.Endpoint = e
		return
	}
	t.Remove(e.ID)
	s := &state{Endpoint: e, rank: xxhash.Sum64String(e.ID), heard: now, parts: make(map[uint64]domain.Instant)}
	t.byID[e.ID] = s
	list := append(t.services[e.Service], s)
	slices.SortFunc(list, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
	})
	t.services[e.Service] = list
}

// Remove forgets an endpoint.
func (t *Table) Remove(id string) {
	s := t.byID[id]
	if s == nil {
		return
	}
	delete(t.byID, id)
	t.services[s.Service] = slices.DeleteFunc(t.services[s.Service], func(o *state) bool { return o == s })
}

// Endpoint returns what the registry says of an endpoint.
func (t *Table) Endpoint(id string) (Endpoint, bool) {
	s := t.byID[id]
	if s == nil {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// Endpoints returns the identifiers of all known endpoints, sorted.
func (t *Table) Endpoints() []string {
	ids := make([]string, 0, len(t.byID))
	for id := range t.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
