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

	own   work // requests of this process in progress
	peers work // those of the peers, as they last told
	given rate // prompt tokens that this process gives it to read
	gaps  gaps // of the streams of this process
	slow  slowness

	peerGaps peerGaps

	reported         Load
	reportedAt       domain.Instant
	inFlightAtReport int
	hasReport        bool

	heard    domain.Instant // last bytes received
	asked    domain.Instant // when work became outstanding after there was none
	failures float64        // recent share of failed requests, 0 to 1
	avoid    domain.Instant // not used before, unless nothing else is left

	parts map[uint64]domain.Instant // prompt parts placed here, with the last use
}

// work is what requests in progress ask of an endpoint.
type work struct {
	inFlight int // requests sent and not ended
	decoding int // of these, requests that make many tokens from a short prompt
	unread   int // prompt tokens of requests without a first event
	long     int // of these, tokens of long prompts
	memory   int // tokens of engine memory
	given    int // prompt tokens a second given to read; only of peers
}

func (w *work) add(other work, sign int) {
	w.inFlight += sign * other.inFlight
	w.decoding += sign * other.decoding
	w.unread += sign * other.unread
	w.long += sign * other.long
	w.memory += sign * other.memory
	w.given += sign * other.given
}

// Table is the set of known endpoints. It is not safe for concurrent use.
type Table struct {
	settings Settings
	byID     map[string]*state
	services map[string]*service
	byHash   map[uint32]*state
	peers    map[string]PeerDigest
	swept    domain.Instant
}

// service is the endpoints of one service.
type service struct {
	endpoints []*state // by rank
	split     split
	memory    int // of one engine in tokens; 0 if not known
	pace      pace
	answers   answers
	slow      slowness // of all endpoints together
	reading   rate
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
	return &Table{
		settings: s,
		byID:     make(map[string]*state),
		services: make(map[string]*service),
		byHash:   make(map[uint32]*state),
		peers:    make(map[string]PeerDigest),
	}
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
	t.byHash[s.hash()] = s
	for _, digest := range t.peers {
		for _, l := range digest.Loads {
			if l.Endpoint == s.hash() {
				s.peers.add(l.work(), 1)
				s.peerGaps.add(l.Gap, 1)
			}
		}
	}
	of := t.service(e.Service)
	of.endpoints = append(of.endpoints, s)
	slices.SortFunc(of.endpoints, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.ID, b.ID))
	})
}

func (t *Table) service(name string) *service {
	of := t.services[name]
	if of == nil {
		of = &service{}
		t.services[name] = of
	}
	return of
}

// SetEngine notes the memory of each engine of a service, in tokens.
func (t *Table) SetEngine(name string, memory int) { t.service(name).memory = memory }

// hash is the endpoint's name in digests.
func (s *state) hash() uint32 { return uint32(s.rank) }

// Remove forgets an endpoint.
func (t *Table) Remove(id string) {
	s := t.byID[id]
	if s == nil {
		return
	}
	delete(t.byID, id)
	delete(t.byHash, s.hash())
	of := t.services[s.Service]
	of.endpoints = slices.DeleteFunc(of.endpoints, func(o *state) bool { return o == s })
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
