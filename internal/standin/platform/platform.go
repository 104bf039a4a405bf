// Package platform is a stand-in for the platform's table service and its list
// of hosts, with limits on the rates of reads and writes and faults on demand.
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

// The defaults of Options.
const (
	DefaultWritesPerSecond = 500
	DefaultReadsPerSecond  = 2000
	DefaultHostsLag        = 2 * time.Second
)

// Options are the settings of the platform. Zero values are replaced by defaults.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// HostsLag is how long a change of the list of hosts takes to show.
	HostsLag time.Duration
	// Network is the hold on the connections that the platform is served by.
	// With none, a crashed platform still accepts connections, and closes each one.
	Network netfault.Network
}

// Counters is what the platform has served so far.
type Counters struct {
	Reads   uint64 `json:"reads"`
	Writes  uint64 `json:"writes"`
	Refused uint64 `json:"refused"`
	Lost    uint64 `json:"lost"`
}

// Platform is a stand-in platform. It is an http.Handler.
type Platform struct {
	options Options
	router  http.Handler
	control http.Handler
	reads   *rate.Limiter
	writes  *rate.Limiter

	mu       sync.Mutex
	store    store
	hosts    []timedHosts
	counters Counters
	// faults are in force.
	faults Faults
}

type timedHosts struct {
	at    time.Time
	hosts []table.Host
}

// New makes a platform with empty tables.
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

// routes makes the handler of the whole API, and that of faults, counters and
// the setting of hosts alone.
func (p *Platform) routes() (whole, control http.Handler) {
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

// Control serves faults, counters and the setting of hosts alone, for an address of their own.
func (p *Platform) Control() http.Handler { return p.control }

// ServeHTTP serves the platform's API.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.router.ServeHTTP(w, r)
}

// Transact carries out one transaction, past the limits and faults.
func (p *Platform) Transact(r *table.Request) table.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := p.store.transact(r)
	reply.Time = time.Now().UTC()
	return reply
}

// SetHosts changes the list of hosts. The change shows after the lag.
func (p *Platform) SetHosts(hosts []table.Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = append(p.hosts, timedHosts{at: time.Now(), hosts: slices.Clone(hosts)})
}

// Counters returns the counters.
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

// allowRequest counts a request and takes it off the limits. A request with writes
// counts as that many writes, any other as one read for each get and scan.
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

// visibleHosts returns the newest list that is at least the lag old.
func (p *Platform) visibleHosts(now time.Time) []table.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := []table.Host{}
	for _, entry := range p.hosts {
		if now.Sub(entry.at) >= p.options.HostsLag {
			visible = entry.hosts
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
