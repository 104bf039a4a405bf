// Package service is a stand-in for an instance of a plain service, for tests and the
// development deployment. It serves the HTTP API that agents call (X-Request-Id,
// /load). Package replica stands in for replicas that the gateway calls. A service
// counts the executions of each request and order, echoes the request and injects
// faults. The counters are in memory.
package service

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/api"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
)

// OrderHeader carries the ID of the caller's order, under which executions are
// counted.
const OrderHeader = "X-Order"

// DefaultServiceTime is the default of Options.ServiceTime.
const DefaultServiceTime = 20 * time.Millisecond

// Options configures a service.
type Options struct {
	Name string
	// ServiceTime is the time of one execution. Zero means DefaultServiceTime.
	ServiceTime time.Duration
	// MaxRunning is the maximum number of concurrent executions. Further requests are
	// rejected. Zero means no limit.
	MaxRunning int
	// Network controls the connections over which the service is served. If it is
	// nil, a crashed service still accepts connections and aborts each request.
	// Its methods are called with the service's mutex held.
	Network netfault.Network
}

// Echo is the response to an executed request.
type Echo struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Order     string `json:"order"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Execution is the number of executions of this request so far, this one
	// included.
	Execution int    `json:"execution"`
	Body      string `json:"body"`
}

// Counters holds the number of executions: in total, by request ID and by order ID.
type Counters struct {
	Executions int            `json:"executions"`
	ByRequest  map[string]int `json:"by_request"`
	ByOrder    map[string]int `json:"by_order"`
}

// Load is the service's current load, in requests: the response to GET /load. Queued is always zero.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Service is a stand-in for a plain service instance. It is an http.Handler, and
// safe for concurrent use.
type Service struct {
	options Options
	router  http.Handler
	control http.Handler

	mu       sync.Mutex
	running  int
	counters Counters
	faults   faultState
}

// New creates a service.
func New(options Options) *Service {
	if options.ServiceTime <= 0 {
		options.ServiceTime = DefaultServiceTime
	}
	s := &Service{options: options, faults: newFaultState()}
	s.counters.ByRequest = make(map[string]int)
	s.counters.ByOrder = make(map[string]int)
	s.router, s.control = s.routes()
	return s
}

// routes returns the handler of the whole API, and one for faults and counters
// only. Faults do not affect the latter.
func (s *Service) routes() (full, control http.Handler) {
	r := chi.NewRouter()
	c := chi.NewRouter()
	for _, router := range []chi.Router{r, c} {
		router.Post("/faults", s.postFaults)
		router.Get("/counters", s.getCounters)
	}
	r.With(s.abortIfCrashed).Get("/load", s.getLoad)
	execute := s.abortIfCrashed(http.HandlerFunc(s.execute)).ServeHTTP
	r.NotFound(execute)
	r.MethodNotAllowed(execute)
	return r, c
}

// Control returns a handler for faults and counters only, to be served at a
// separate address that the service's faults do not affect.
func (s *Service) Control() http.Handler { return s.control }

// ServeHTTP serves the API. A request that is not for load, faults or counters is
// executed, whatever its method and path.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// Counters returns a copy of the counters.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counters
	out.ByRequest = maps.Clone(s.counters.ByRequest)
	out.ByOrder = maps.Clone(s.counters.ByOrder)
	return out
}

// execute executes one request and responds with an Echo. An execution that has
// started is finished and counted even if the client disconnects.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, api.MaxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.consumeCrash(&s.faults.CrashBeforeNext) {
		api.AbortConnection()
	}
	if !s.startExecution() {
		w.Header().Set(api.NotRunHeader, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.serviceTime())
	echo := s.finishExecution(r, string(body))
	if s.consumeCrash(&s.faults.CrashAfterNext) || !s.waitResponsesAllowed(r.Context()) {
		api.AbortConnection()
	}
	api.WriteJSON(w, http.StatusOK, echo)
}

// startExecution takes one of the MaxRunning slots. It returns false if none is
// free.
func (s *Service) startExecution() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.MaxRunning > 0 && s.running >= s.options.MaxRunning {
		return false
	}
	s.running++
	return true
}

// finishExecution counts an execution and returns its response.
func (s *Service) finishExecution(r *http.Request, body string) Echo {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	id := r.Header.Get(api.RequestIDHeader)
	order := r.Header.Get(OrderHeader)
	s.counters.Executions++
	s.counters.ByRequest[id]++
	if order != "" {
		s.counters.ByOrder[order]++
	}
	return Echo{
		Service:   s.options.Name,
		RequestID: id,
		Order:     order,
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Execution: s.counters.ByRequest[id],
		Body:      body,
	}
}

func (s *Service) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := Load{Running: s.running}
	s.mu.Unlock()
	api.WriteJSON(w, http.StatusOK, load)
}

func (s *Service) getCounters(w http.ResponseWriter, _ *http.Request) {
	api.WriteJSON(w, http.StatusOK, s.Counters())
}
