// Package service is a stand-in for a plain service: it counts the executions
// of each request and order, echoes what it was sent, and fails on demand.
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

// OrderHeader names what the caller orders, for the counters.
const OrderHeader = "X-Order"

// DefaultServiceTime is the time of one execution.
const DefaultServiceTime = 20 * time.Millisecond

// Options are the settings of a service.
type Options struct {
	Name string
	// ServiceTime is the time of one execution. Zero means DefaultServiceTime.
	ServiceTime time.Duration
	// MaxRunning bounds the executions in progress. Zero sets no bound.
	MaxRunning int
	// Network is the hold on the connections that the service is served by. With
	// none, a crashed service still accepts connections, and closes each one.
	Network netfault.Network
}

// Echo is the answer to an execution.
type Echo struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Order     string `json:"order"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	// Execution numbers the executions of this request, from 1.
	Execution int    `json:"execution"`
	Body      string `json:"body"`
}

// Counters is the number of executions by request and by order.
type Counters struct {
	Executions int            `json:"executions"`
	ByRequest  map[string]int `json:"by_request"`
	ByOrder    map[string]int `json:"by_order"`
}

// Load is the service's report of its load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// Service is a stand-in plain service. It is an http.Handler.
type Service struct {
	options Options
	router  http.Handler
	control http.Handler

	mu       sync.Mutex
	running  int
	counters Counters
	faults   faultState
}

// New makes a service.
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

// routes makes the handler of the whole API, and that of faults and counters alone.
func (s *Service) routes() (whole, control http.Handler) {
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

// Control serves the faults and counters alone, for an address of their own.
func (s *Service) Control() http.Handler { return s.control }

// ServeHTTP serves the API. Every path but those of the reports is an execution.
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

// execute runs one request. Once begun it ends, also when the caller hangs up.
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
	if s.consumeCrash(&s.faults.CrashAfterNext) || !s.waitUnsilenced(r.Context()) {
		api.AbortConnection()
	}
	api.WriteJSON(w, http.StatusOK, echo)
}

func (s *Service) startExecution() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.MaxRunning > 0 && s.running >= s.options.MaxRunning {
		return false
	}
	s.running++
	return true
}

// finishExecution counts the execution and makes its answer.
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
