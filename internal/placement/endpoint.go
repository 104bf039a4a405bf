// Package placement chooses the endpoint of each request. A gateway holds one
// Table with the registry's endpoints, its own requests in progress, the load
// that peers and endpoints report, and estimates from earlier answers. For each
// request Table.Pick filters the endpoints and takes the one with the lowest
// score. The package has no I/O, clock or goroutine: callers pass the time.
//
// The endpoints of a model service are engines, which prefill a prompt and then
// decode the tokens of the answer. The endpoints of plain services take requests
// without a prompt.
package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

// Endpoint is an endpoint's registry entry.
type Endpoint struct {
	ID         string
	Service    string
	Address    netip.AddrPort
	DataCentre string
	// Slots is the number of requests that the endpoint processes at once; 0 if not known.
	Slots int
	// Draining endpoints take no new requests.
	Draining bool
	// Version is the version of the endpoint's software; empty if not known.
	Version string
	// Start is the endpoint's start in Unix milliseconds. After a new start under
	// the same identifier, earlier requests and cached prompts are gone.
	Start int64
}

// Part is one part of a prompt. Requests whose prompts begin with the same parts
// share an endpoint's cached results for them.
type Part struct {
	ID     uint64
	Tokens int
}

// ReportedLoad is the number of running and waiting requests and of slots that an
// endpoint reports with an answer.
type ReportedLoad struct {
	Running, Waiting, Slots int
	// WorkTime is how long work takes there now, in percent of the usual time; 0 if not reported.
	WorkTime int
}

// endpointState is an endpoint with this process's records and estimates of it.
type endpointState struct {
	Endpoint
	idHash uint64 // hash of the identifier; every process orders the endpoints by it
	// position is the number of endpoints before this one that accept requests, as of the last layout of the service.
	position int

	local            load     // this process's requests in progress
	peers            load     // sum of the peers' last digests
	prefillRate      rate     // prompt tokens per second placed by this process
	eventGap         eventGap // of this process's streams
	measuredSlowdown slowdown

	peerEventGap peerEventGap

	reported         ReportedLoad
	reportedAt       domain.Instant
	inFlightAtReport int // local.inFlight when the report arrived
	hasReport        bool

	*limitRecord
	leaving bool // whether it has said that it leaves

	lastReceived     domain.Instant // arrival of the last bytes on any connection
	outstandingSince domain.Instant // start of the current period with requests in progress
	failureRate      float64        // moving average of failed requests, 0 to 1
	avoidUntil       domain.Instant // not used before this time unless no other endpoint is left
	endless          int            // answers without end in a row; see RecordEndless

	parts prefixindex.Index // prompt parts in the engine's cache
}

// load is the load that requests in progress put on an endpoint.
type load struct {
	inFlight     int     // requests sent and not ended
	decodeHeavy  int     // of these, decode-heavy requests
	backlog      Backlog // prompt tokens of requests whose answers have not begun
	memoryTokens int     // key-value cache needed, in tokens
	prefillRate  int     // prompt tokens placed per second; set only for peers
}

// add adds other to l, or subtracts it if sign is -1.
func (l *load) add(other load, sign int) {
	l.inFlight += sign * other.inFlight
	l.decodeHeavy += sign * other.decodeHeavy
	l.backlog.add(other.backlog, sign)
	l.memoryTokens += sign * other.memoryTokens
	l.prefillRate += sign * other.prefillRate
}

// Table is the set of known endpoints. It is not safe for concurrent use.
type Table struct {
	settings       Settings
	byID           map[string]*endpointState
	services       map[string]*service
	byHash         map[uint32]*endpointState // by hash in digests
	peers          map[string]peerState      // last digest of each peer
	peerLevels     map[levelKey]levelCounts  // last counts of each peer
	counters       map[string]string         // process that counts for each peer whose digests are sums
	peerStarving   map[string][]PeerLevel    // levels that each peer says starve
	starvingPeers  map[uint32]*starvingPeers // by the hash of the service
	lastPartExpiry domain.Instant
	limitRecords   map[string]*limitRecord // by endpoint, also of endpoints that were removed a while ago
	leavings       map[uint32]leaving      // by the endpoint's hash, also of endpoints that were removed a while ago
	joinedAt       domain.Instant          // first call of SetProcesses; 0 before it
	process        uint64
	otherProcesses []uint64
	// announcements are the cached parts for the next digest, and
	// repeatedAnnouncements those of the last one.
	announcements, repeatedAnnouncements []PeerPart
	relaying                             bool       // see SetRelaying
	relayedParts                         []PeerPart // for the next sum
}

// service is the endpoints of one service and the estimates common to them.
type service struct {
	endpoints        []*endpointState // in the order of Table.order
	spillover        SpilloverMode    // that applies to these
	decodePool       decodePool
	engine           EngineProfile
	prefillSpeed     prefillSpeed
	answerSizes      answerSizes
	answerTime       answerTime
	measuredSlowdown slowdown // average of all endpoints
	busyGap          busyGap
	prefillCeiling   prefillCeiling
	starvingPeers    *starvingPeers
	overflow         overflow
	prefillDemand    rate // expected prefill of this process's requests that are not decode-heavy, in tokens per second
}

// Settings are the parameters of a Table.
type Settings struct {
	// DataCentre is this process's data centre. Of otherwise equal endpoints,
	// those in it are preferred.
	DataCentre string
	// CacheTTL is how long a prompt part is assumed to stay cached after its last use.
	CacheTTL time.Duration
	// Spillover is the policy for requests that leave DataCentre.
	Spillover Spillover
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		settings: s,
		byID:     make(map[string]*endpointState),
		services: make(map[string]*service),
		byHash:   make(map[uint32]*endpointState),

		limitRecords:  make(map[string]*limitRecord),
		leavings:      make(map[uint32]leaving),
		peers:         make(map[string]peerState),
		counters:      make(map[string]string),
		peerLevels:    make(map[levelKey]levelCounts),
		peerStarving:  make(map[string][]PeerLevel),
		starvingPeers: make(map[uint32]*starvingPeers),
	}
}

// Put adds an endpoint or updates its registry entry. If its start, address or
// service has changed, all records of it are discarded. If it was removed and is back, only
// the record of its request limit is kept.
func (t *Table) Put(now domain.Instant, e Endpoint) {
	old := t.byID[e.ID]
	if old != nil && old.Start == e.Start && old.Address == e.Address && old.Service == e.Service {
		old.Endpoint = e
		t.applyLeaving(now, old)
		return
	}
	t.Remove(e.ID)
	s := &endpointState{Endpoint: e, idHash: xxhash.Sum64String(e.ID), lastReceived: now, limitRecord: t.limitRecordOf(now, e)}
	t.byID[e.ID] = s
	t.byHash[s.hash()] = s
	t.applyLeaving(now, s)
	for _, p := range t.peers {
		for _, l := range p.digest.Loads {
			if l.Endpoint == s.hash() {
				s.peers.add(l.load(), 1)
				s.peerEventGap.add(l.Gap, 1)
			}
		}
	}
	svc := t.service(e.Service)
	svc.endpoints = append(svc.endpoints, s)
	t.order(svc.endpoints)
	svc.spillover = t.settings.Spillover.modeFor(svc.endpoints)
}

// service returns the service of a name, and creates it if there is none.
func (t *Table) service(name string) *service {
	svc := t.services[name]
	if svc == nil {
		svc = &service{starvingPeers: t.starvingPeersOf(ServiceHash(name))}
		t.services[name] = svc
	}
	return svc
}

// EngineProfile is what the configuration declares about each engine of a service.
// The zero value is a service without engines or of unknown ones.
type EngineProfile struct {
	// MemoryTokens is the capacity of the key-value cache, in tokens; 0 if not known.
	MemoryTokens int
	// CanFetch is whether an engine can copy cached parts from another engine.
	CanFetch bool
}

// SetEngine sets the profile of the engines of a service.
func (t *Table) SetEngine(name string, profile EngineProfile) { t.service(name).engine = profile }

// hash identifies the endpoint in digests.
func (s *endpointState) hash() uint32 { return uint32(s.idHash) }

// EndpointHash returns the hash that identifies an endpoint in digests.
func EndpointHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Remove deletes an endpoint.
func (t *Table) Remove(id string) {
	s := t.byID[id]
	if s == nil {
		return
	}
	delete(t.byID, id)
	delete(t.byHash, s.hash())
	svc := t.services[s.Service]
	svc.endpoints = slices.DeleteFunc(svc.endpoints, func(other *endpointState) bool { return other == s })
	t.order(svc.endpoints)
	svc.spillover = t.settings.Spillover.modeFor(svc.endpoints)
}

// Endpoint returns the registry entry of an endpoint.
func (t *Table) Endpoint(id string) (Endpoint, bool) {
	s := t.byID[id]
	if s == nil {
		return Endpoint{}, false
	}
	return s.Endpoint, true
}

// EndpointOf returns the registry entry of the endpoint whose identifier has a hash, as EndpointHash returns it.
func (t *Table) EndpointOf(hash uint32) (Endpoint, bool) {
	s := t.byHash[hash]
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
