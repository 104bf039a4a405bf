package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/peers"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/retrybudget"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/validity"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

const (
	// headerTimeout and idleTimeout bound callers' connections where a
	// configuration sets no limit, or a higher one.
	headerTimeout = time.Minute
	idleTimeout   = 10 * time.Minute
	// maxHeaderBytes is above what configurations allow, so that it never
	// refuses a proper request.
	maxHeaderBytes = 64 << 10
	// stopNotice is the time between failing readiness and the end of new
	// connections; the balancer asks once a second and needs two failures.
	stopNotice = 2600 * time.Millisecond
	// stopReserve is the time before the end of the grace at which the process exits.
	stopReserve = 500 * time.Millisecond
	// sweepInterval is the time between two looks for idle connections to close.
	sweepInterval = time.Second
)

// Gateway is a running gateway.
type Gateway struct {
	settings Settings
	dialect  Dialect
	source   Source
	validity *validity.Validity
	pool     *endpointconn.Pool
	counters *counters
	peers    *peers.Exchange
	started  time.Time

	config   atomic.Pointer[routing.Config]
	stopping atomic.Bool
	known    atomic.Bool // the registry has been read

	mu       sync.Mutex
	table    *placement.Table
	budgets  map[string]*retrybudget.Budget
	leaving  map[string]domain.Instant // endpoints without an entry that are still used, until then
	lost     bool                      // the registry can't be read
	back     domain.Instant            // when it could be read again
	patience map[string]time.Duration  // most patient caller of each route
	queue    waitqueue.Queue
	waiters  map[*waitqueue.Waiter]*waiting

	callers *callerConns

	caller, ready, metrics *http.Server
}

// New returns a gateway. Start starts it.
func New(s Settings, d Dialect, source Source) *Gateway {
	g := &Gateway{
		settings: s,
		dialect:  d,
		source:   source,
		validity: validity.New(s.KeyValidity),
		pool:     endpointconn.NewPool(),
		counters: newCounters(),
		started:  time.Now(),
		table:    placement.New(placement.Settings{DataCentre: s.DataCentre, CacheLife: cacheLife}),
		budgets:  make(map[string]*retrybudget.Budget),
		leaving:  make(map[string]domain.Instant),
		waiters:  make(map[*waitqueue.Waiter]*waiting),
		patience: make(map[string]time.Duration),
		callers:  newCallerConns(),
	}
	g.peers = peers.NewExchange(s.PeerAddress, s.PeerSeeds, g)
	return g
}

// cacheLife is how long a prompt part is expected to stay cached at an engine.
const cacheLife = 30 * time.Second

// Run serves until the context ends, then stops gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := g.listen(); err != nil {
		return err
	}
	go g.source.Run(work, g)
	go g.sweep(work)
	go g.dispatch(work)
	go func() {
		if err := g.peers.Run(work); err != nil {
			klog.ErrorS(err, "peers not heard")
		}
	}()
	klog.InfoS("started", "name", g.settings.Name, "data_centre", g.settings.DataCentre,
		"listen", g.settings.Listen, "store", g.settings.Store)
	<-ctx.Done()
	return g.stop()
}

// Reload takes what may change of the settings while the gateway runs.
func (g *Gateway) Reload(s Settings) { g.peers.SetSeeds(s.PeerSeeds) }

// connKey is the key of a request's connection in its context.
type connKey struct{}

func (g *Gateway) listen() error {
	readiness := chi.NewRouter()
	readiness.Get(g.settings.ReadyPath, g.answerReady)
	g.ready = &http.Server{Handler: readiness, ReadHeaderTimeout: headerTimeout}
	g.caller = &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         g.callers.changed,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}
	page := chi.NewRouter()
	page.Handle("/metrics", g.counters.registry.Page)
	g.metrics = &http.Server{Handler: page, ReadHeaderTimeout: headerTimeout}
	return serveAll([]server{
		{g.settings.ReadyListen, g.ready}, {g.settings.MetricsListen, g.metrics}, {g.settings.Listen, g.caller},
	})
}

// server is an HTTP server and its address; empty for one that isn't wanted.
type server struct {
	address string
	http    *http.Server
}

// serveAll starts all servers or none: a process that can't take callers must
// not answer health checks either.
func serveAll(servers []server) error {
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
		listeners[i] = listener
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

// stop lets the balancer notice, takes no new connections after that, and waits
// for the requests in progress.
func (g *Gateway) stop() error {
	began := time.Now()
	g.stopping.Store(true)
	klog.InfoS("stopping", "grace", g.settings.StopGrace)
	time.Sleep(stopNotice)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(g.settings.StopGrace-stopReserve))
	defer cancel()
	err := g.caller.Shutdown(ctx)
	klog.InfoS("stopped", "took", time.Since(began), "cut", err != nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return errors.Wrap(err, "step=stop")
}

func (g *Gateway) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isReady reports whether new connections are welcome.
func (g *Gateway) isReady() bool {
	return !g.stopping.Load() && g.known.Load() && g.config.Load() != nil && g.validity.Valid(bootclock.Now())
}

func (g *Gateway) now() domain.Instant { return domain.Instant(time.Since(g.started)) }

// sweep closes idle connections and removes endpoints whose time has run out.
func (g *Gateway) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.removeLeft()
		g.closeOverdue()
		age, _ := g.validity.Age(bootclock.Now())
		g.sample(age)
		g.pool.Sweep(g.keepConnections)
	}
}

func (g *Gateway) keepConnections(key endpointconn.Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.table.Endpoint(key.ID)
	return ok && !e.Draining && connectionKey(e) == key
}

func connectionKey(e placement.Endpoint) endpointconn.Key {
	return endpointconn.Key{ID: e.ID, Address: e.Address, Start: e.Start}
}
