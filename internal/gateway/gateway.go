package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/departures"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/peers"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/retrybudget"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
	"github.com/dunlinpulley/dunlinpulley/internal/validity"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

const (
	// headerTimeout and idleTimeout are the HTTP server's limits on callers'
	// connections. They apply if the configuration sets none or higher ones.
	headerTimeout = time.Minute
	idleTimeout   = 10 * time.Minute
	// maxHeaderBytes exceeds every limit that a configuration can set, so that
	// the HTTP server never rejects a request that the configuration allows.
	maxHeaderBytes = 64 << 10
	// ownPageTimeout limits the reading of a request for a page of the gateway's own, and the writing of the answer.
	ownPageTimeout = 10 * time.Second
	// ownPageHeaderBytes limits the head of such a request. It is the largest that known configurations allow callers.
	ownPageHeaderBytes = 16 << 10
	// sweepInterval is the time between two rounds of sweep.
	sweepInterval = time.Second
)

// Gateway accepts callers' requests and forwards them to endpoints. It
// implements Sink, which a Source updates, and peers.DigestHandler.
type Gateway struct {
	settings    Settings
	dialect     Dialect
	source      Source
	validity    *validity.Validity
	pool        *endpointconn.Pool
	instruments *instruments
	peers       *peers.Exchange
	started     time.Time

	config       atomic.Pointer[routing.Config]
	keyRequired  atomic.Bool // whether a configuration with a list of client accounts is or was in force; it stays so
	stopping     atomic.Bool
	registryRead atomic.Bool   // whether the registry has been read at least once
	registryRole atomic.Uint32 // registryrelay.Role

	lastStreamKeepers atomic.Pointer[streamPeers] // last result of streamKeepers; nil before the first one

	tickedAt         domain.Instant // last tick of dispatch; used by it only
	longestTickDelay atomic.Int64   // time.Duration, of the ticks that logTickDelay has not seen
	loggedDivisor    int            // used by logDivision only

	mu                 sync.Mutex // guards the fields up to callsEndAt
	table              *placement.Table
	retryBudgets       map[string]*retrybudget.Budget
	pendingRemovals    map[string]domain.Instant // removal times of endpoints that have no registry entry but are still used
	registryLost       bool                      // whether the last read of the registry failed
	registryRegainedAt domain.Instant            // when reads of the registry last resumed; 0 if they never failed
	standstill         standstill
	registryReading    registryReading
	departures         *departures.Log
	heldEntries        map[string]heldEntry // entries of a copy of the registry that are not applied yet
	storedVersion      int64                // version of the configuration that the store holds
	storeClock         confirmation.Clock
	confirmed          confirmation.Confirmation // newest that is known here
	registryConfirmed  confirmation.Confirmation // newest of the registry that is known here
	asker              confirmation.Asker
	streams            *streamversions.Records
	serviceVersions    *streamversions.Services
	untoldStreams      []untoldStream
	streamQuestions    map[streamversions.Stream][]*streamQuestion
	historyAskedAt     domain.Instant // when peers were last asked by askHistory
	crashes            *crashblame.Ledger
	queue              waitqueue.Queue
	queuedCalls        map[*waitqueue.Waiter]*queuedCall
	callsEndAt         domain.Instant // when a gateway that stops ends its requests; 0 if it does not

	// callsCtx ends, by endCalls, when a gateway that stops ends its requests.
	callsCtx context.Context
	endCalls context.CancelFunc

	bytes                                *byteGuard
	callerConns, readyConns, metricConns *connGuard
	closed                               *closings
	usage                                *usageReports // nil if usage is not reported

	callerServer, readyServer, metricsServer *http.Server
}

// New returns a gateway that does nothing until Run is called.
func New(s Settings, d Dialect, source Source) *Gateway {
	g := &Gateway{
		settings:        s,
		dialect:         d,
		source:          source,
		validity:        validity.New(s.KeyValidity),
		pool:            endpointconn.NewPool(),
		instruments:     newInstruments(),
		started:         time.Now(),
		table:           placement.New(placement.Settings{DataCentre: s.DataCentre, CacheTTL: promptCacheTTL, Spillover: s.Spillover}),
		retryBudgets:    make(map[string]*retrybudget.Budget),
		pendingRemovals: make(map[string]domain.Instant),
		departures:      departures.New(),
		heldEntries:     make(map[string]heldEntry),
		queuedCalls:     make(map[*waitqueue.Waiter]*queuedCall),
		streams:         streamversions.NewRecords(),
		crashes:         crashblame.New(0),
		serviceVersions: streamversions.NewServices(s.FirstStart),
		streamQuestions: make(map[streamversions.Stream][]*streamQuestion),
	}
	g.callsCtx, g.endCalls = context.WithCancel(context.Background())
	limits := memorylimit.Divide(s.MemoryBytes, s.MaxDescriptors)
	g.closed = &closings{}
	g.bytes = newByteGuard(limits, g.now, g.closed)
	g.callerConns = newConnGuard(limits.Conns, g.now, g.closed)
	g.readyConns = newConnGuard(memorylimit.OwnPage(memorylimit.ReadinessConns), g.now, g.closed)
	g.metricConns = newConnGuard(memorylimit.OwnPage(memorylimit.MetricsConns), g.now, g.closed)
	g.pool.SetLimit(limits.EndpointConns)
	g.asker = confirmation.NewAsker(s.KeyValidity, rand.Float64())
	g.peers = peers.NewExchange(s.PeerAddress, s.DataCentre, s.PeerSeeds, g)
	if s.FirstStart {
		g.peers.SetFirstStart()
	}
	return g
}

// promptCacheTTL is how long an engine is expected to keep a prompt part in
// its cache after the last use.
const promptCacheTTL = 30 * time.Second

// Run serves callers until ctx ends, then shuts down gracefully. It returns an
// error if a listener can't be opened or the shutdown fails.
func (g *Gateway) Run(ctx context.Context) error {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := g.listen(); err != nil {
		return err
	}
	go g.source.Run(serveCtx, g)
	go g.sweep(serveCtx)
	go g.dispatch(serveCtx)
	if g.usage != nil {
		go g.usage.run(serveCtx)
	}
	go func() {
		if err := g.peers.Run(serveCtx); err != nil {
			klog.ErrorS(err, "peer exchange failed")
		}
	}()
	klog.InfoS("started", "name", g.settings.Name, "data_centre", g.settings.DataCentre,
		"listen", g.settings.Listen, "store", g.settings.Store, "first_start", g.settings.FirstStart)
	<-ctx.Done()
	return g.stop()
}

// Reload applies those settings of the gateway that can change at run time: the
// peer seeds and the limits of memory and descriptors.
func (g *Gateway) Reload(s Settings) {
	g.peers.SetSeeds(s.PeerSeeds)
	limits := memorylimit.Divide(s.MemoryBytes, s.MaxDescriptors)
	g.bytes.setLimits(limits)
	g.callerConns.setLimits(limits.Conns)
	g.pool.SetLimit(limits.EndpointConns)
}

// listen starts the servers of the readiness check, the metrics page and the callers.
func (g *Gateway) listen() error {
	readiness := chi.NewRouter()
	readiness.Get(g.settings.ReadyPath, g.serveReadiness)
	g.readyServer = ownPageServer(readiness, g.readyConns)
	g.callerServer = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.callerConns.guard(g.callerServer)
	page := chi.NewRouter()
	page.Handle("/metrics", g.instruments.registry.Page)
	g.metricsServer = ownPageServer(page, g.metricConns)
	return startServers([]server{
		{g.settings.ReadyListen, g.readyServer, g.readyConns}, {g.settings.MetricsListen, g.metricsServer, g.metricConns},
		{g.settings.Listen, g.callerServer, g.callerConns},
	})
}

// ownPageServer returns the server of a page of the gateway's own.
func ownPageServer(handler http.Handler, conns *connGuard) *http.Server {
	s := &http.Server{
		Handler: conns.protect(handler), ReadTimeout: ownPageTimeout, WriteTimeout: ownPageTimeout, IdleTimeout: headerTimeout, MaxHeaderBytes: ownPageHeaderBytes,
	}
	conns.guard(s)
	return s
}

// server is an HTTP server with its listen address and the guard of its connections. A server with an empty
// address is not started.
type server struct {
	address string
	http    *http.Server
	conns   *connGuard
}

// startServers starts all servers or none. A process that can't accept callers
// must not pass health checks.
func startServers(servers []server) error {
	listeners := make([]net.Listener, len(servers))
	for i, s := range servers {
		if s.address == "" {
			continue
		}
		listener, err := net.Listen("tcp4", s.address)
		if err != nil {
			for _, open := range listeners[:i] {
				if open != nil {
					err = errors.CombineErrors(err, open.Close())
				}
			}
			return errors.Wrapf(err, "step=listen address=%s", s.address)
		}
		listeners[i] = guardedListener{hangup.Listen(listener), s.conns}
	}
	for i, s := range servers {
		if listeners[i] == nil {
			continue
		}
		go func() {
			if err := s.http.Serve(listeners[i]); err != nil && !errors.Is(err, http.ErrServerClosed) {
				klog.ErrorS(err, "server ended", "address", s.address)
			}
		}()
	}
	return nil
}

// serveReadiness answers the load balancer's readiness check: 200 or 503.
func (g *Gateway) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether the gateway should receive new connections: it is not
// stopping, has read the registry, and has a configuration with valid keys.
func (g *Gateway) isReady() bool {
	config := g.config.Load()
	return !g.stopping.Load() && g.registryRead.Load() && config != nil && !g.keyRequirementUnknown(config) && g.validity.Valid(bootclock.Now())
}

// now returns the time since the gateway was created.
func (g *Gateway) now() domain.Instant { return domain.Instant(time.Since(g.started)) }

// sweep periodically removes the endpoints whose deferred removal is due, closes
// connections that exceed their idle limits, and updates the gauges.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.applyPendingRemovals()
		g.applyHeldEntries()
		g.expireStreams()
		g.askHistory()
		g.logEndedPauses()
		g.logTickDelay()
		g.logDivision()
		g.reportSpillover()
		g.closeOverdue()
		g.bytes.trim()
		g.closed.log(g.instruments.closings)
		configAge, _ := g.validity.Age(bootclock.Now())
		g.updateGauges(configAge)
		g.pool.Sweep(g.shouldKeepConnection)
	}
}

// shouldKeepConnection reports whether idle connections to an endpoint can still be used.
func (g *Gateway) shouldKeepConnection(key endpointconn.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.table.Endpoint(key.ID)
	return ok && g.table.Accepts(key.ID) && connectionKey(e) == key
}

// connectionKey returns the pool key of the connections to an endpoint.
func connectionKey(e placement.Endpoint) endpointconn.Key {
	return endpointconn.Key{ID: e.ID, Address: e.Address, Start: e.Start}
}
