// Package platform is a stand-in for the platform's table service and its list of
// hosts, for tests, capacity runs and the development deployment. It limits the
// rates of reads and writes and injects faults. All tables are in memory.
package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/time/rate"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
)

// Default values of Options.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	DefaultHostsLag        = 2 * time.Second
)

// Options configures a Platform. Numbers and durations that are zero or negative are
// replaced by their defaults.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// HostsLag is the delay before a change of the list of hosts is visible.
	HostsLag time.Duration
	// Network controls the connections over which the platform is served. If it is
	// nil, a crashed platform still accepts connections and aborts each request.
	// Its methods are called with the platform's mutex held.
	Network netfault.Network
}

// Counters holds totals since the platform was created. They do not include direct
// calls of Platform.Transact.
type Counters struct {
	// Reads is the number of gets and scans executed, or requested in transactions
	// whose conditions failed.
	Reads uint64 `json:"reads"`
	// Writes is the number of rows written or deleted, or attempted in transactions
	// whose conditions failed.
	Writes uint64 `json:"writes"`
	// Refused is the number of requests over the rate limits.
	Refused uint64 `json:"refused"`
	// Lost is the number of responses lost by the LoseNext fault.
	Lost uint64 `json:"lost"`
}

// Platform is a stand-in for the platform's APIs. It is an http.Handler, and safe
// for concurrent use.
type Platform struct {
	options Options
	router  http.Handler
	control http.Handler
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu       sync.Mutex
	store    store
	hosts    []timedHosts // all lists set so far, oldest first
	counters Counters
	faults   Faults
}

// timedHosts is a list of hosts and the time at which it was set.
type timedHosts struct {
	at    time.Time
	hosts []table.Host
}

// New creates a platform with empty tables and no hosts.
func New(options Options) *Platform {
	if options.WritesPerSecond <= 0 {
		options.WritesPerSecond = DefaultWritesPerSecond
	}
	if options.ReadsPerSecond <= 0 {
		options.ReadsPerSecond = DefaultReadsPerSecond
	}
	if options.HostsLag <= 0 {
		options.HostsLag = DefaultHostsLag
	}
	p := &Platform{options: options}
	p.store.rows = make(map[rowID]table.Row)
	p.reads = rate.NewLimiter(rate.Limit(options.ReadsPerSecond), options.ReadsPerSecond)
	p.writes = rate.NewLimiter(rate.Limit(options.WritesPerSecond), options.WritesPerSecond)
	p.router, p.control = p.routes()
	return p
}

// routes returns the handler of the whole API, and one for faults, counters and
// setting the hosts only. Faults do not affect the latter.
func (p *Platform) routes() (full, control http.Handler) {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(p.injectFaults)
		r.Post(table.TransactPath, p.transact)
		r.Get(table.HostsPath, p.getHosts)
	})
	c := chi.NewRouter()
	for _, router := range []chi.Router{r, c} {
		router.Post(table.HostsPath, p.postHosts)
		router.Post("/faults", p.postFaults)
		router.Get("/counters", p.getCounters)
	}
	return r, c
}

// Control returns a handler for faults, counters and setting the hosts only, to be
// served at a separate address that the platform's faults do not affect.
func (p *Platform) Control() http.Handler { return p.control }

// ServeHTTP serves the platform's API, faults and counters included.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Transact executes one transaction, bypassing rate limits, counters and faults.
func (p *Platform) Transact(r *table.Request) table.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.store.transact(r)
	reply.Time = time.Now().UTC()
	return reply
}

// SetHosts replaces the list of hosts. The change is visible after HostsLag.
func (p *Platform) SetHosts(hosts []table.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, timedHosts{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Counters returns a copy of the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

func (p *Platform) transact(w http.ResponseWriter, r *http.Request) {
	request, err := api.ReadJSON[table.Request](w, r, false)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !p.allowRequest(&request) {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
		return
	}
	reply := p.Transact(&request)
	if p.takeLostReply() {
		api.AbortConnection()
	}
	status := http.StatusOK
	if reply.Status == table.StatusConflict {
		status = http.StatusConflict
	}
	api.WriteJSON(w, status, reply)
}

// allowRequest applies the rate limits to a request and counts it. A request with
// writes uses one write token per write; any other uses one read token per get
// and scan, and at least one.
func (p *Platform) allowRequest(r *table.Request) bool {
	reads := len(r.Gets) + len(r.Scans)
	limiter, n := p.reads, max(reads, 1)
	if len(r.Writes) > 0 {
		limiter, n = p.writes, len(r.Writes)
	}
	ok := limiter.AllowN(time.Now(), n)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.counters.Refused++
		return false
	}
	p.counters.Reads += uint64(reads)
	p.counters.Writes += uint64(len(r.Writes))
	return true
}

func (p *Platform) getHosts(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, table.Hosts{Hosts: p.visibleHosts(time.Now())})
}

// visibleHosts returns the newest list of hosts that is at least HostsLag old at
// time now, or an empty list.
func (p *Platform) visibleHosts(now time.Time) []table.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := []table.Host{}
	for _, timed := range p.hosts {
		if now.Sub(timed.at) >= p.options.HostsLag {
			visible = timed.hosts
		}
	}
	return visible
}

func (p *Platform) postHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := api.ReadJSON[table.Hosts](w, r, false)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetHosts(hosts.Hosts)
	api.WriteJSON(w, http.StatusOK, hosts)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, p.Counters())
}
