// Package callerapi is the HTTP API for callers: chat completions of models,
// calls to plain services, the list of models, and health checks. It parses and
// authenticates requests, submits them to a CallHandler as calls, and writes the
// answers. It does not decide where or when a call runs. Its only state is the
// number of the last call and, per open request, the outputs not yet written.
// An entry serves its handler on the callers' address.
package callerapi

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// HTTP headers of the caller API.
const (
	// HeaderOutcome is the outcome of a call: complete, not-run, partial or
	// unknown. Streamed answers carry it as a trailer.
	HeaderOutcome = "Dunlinpulley-Outcome"
	// HeaderRequestID identifies a request in answers, errors and logs.
	HeaderRequestID = "Dunlinpulley-Request-Id"
	// HeaderClass requests a request class other than the account's default.
	HeaderClass = "Dunlinpulley-Class"
	// HeaderIdempotencyKey is the same for all repeats of one call.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	defaultMaxBodyBytes = 4 << 20
	defaultPingInterval = 10 * time.Second
	defaultBodyTimeout  = 60 * time.Second
	// writeTimeout limits one write to a caller. The answer as a whole has no time limit.
	writeTimeout = 20 * time.Second
)

// CallHandler runs calls; an entry implements it. Its methods are called concurrently.
type CallHandler interface {
	// Submit starts a call. Its answer goes to the sink and always ends with
	// exactly one entry.CallerEnd.
	Submit(call entry.Call, sink Sink)
	// CallerDisconnected reports that the caller disconnected before the call ended.
	CallerDisconnected(call domain.CallID)
}

// Sink receives the entry.CallerHead, entry.CallerData and entry.CallerEnd of one call, in order.
type Sink interface {
	// Put adds an output. It never blocks.
	Put(out entry.Output)
}

// Options configures the caller API. CallHandler and Config are required.
type Options struct {
	CallHandler CallHandler
	// Config returns the configuration in force, or nil before the first one.
	Config func() domain.Config
	// Ready returns nil if the entry can take requests, otherwise the reason why
	// it can't. Nil means always ready.
	Ready func() error
	// Metrics serves /metrics. With nil the path does not exist.
	Metrics http.Handler
	// NewRequestID returns a unique identifier. Nil means random UUIDs.
	NewRequestID func() domain.RequestID
	// Now returns the wall-clock time. Nil means time.Now.
	Now func() time.Time
	// MaxBodyBytes limits the size of a request body. Zero means 4 MiB.
	MaxBodyBytes int64
	// BodyTimeout limits the time to read a request body. Zero means 60 s.
	BodyTimeout time.Duration
	// PingInterval is the time without output after which a streamed answer gets
	// an SSE comment. Zero means 10 s.
	PingInterval time.Duration
}

// api is the state that all requests share.
type api struct {
	opts   Options
	routes chi.Routes
	// lastCallID is the ID of the latest call; the first call has 1.
	lastCallID atomic.Uint64
}

// serviceMethods are the HTTP methods forwarded to plain services. CONNECT and
// TRACE concern the connection itself and are not forwarded.
var serviceMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut,
	http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

// New returns the handler for all routes of the caller API.
func New(opts Options) http.Handler {
	a := &api{opts: opts.withDefaults()}
	r := chi.NewRouter()
	r.NotFound(a.unauthenticated(notFound))
	r.MethodNotAllowed(a.unauthenticated(methodNotAllowed))
	r.Post("/v1/chat/completions", a.authenticated(serveChat))
	r.Get("/v1/models", a.authenticated(serveModels))
	for _, method := range serviceMethods {
		r.MethodFunc(method, "/v1/services/{service}", a.authenticated(servePlainService))
		r.MethodFunc(method, "/v1/services/{service}/*", a.authenticated(servePlainService))
	}
	r.Get("/livez", livez)
	r.Get("/readyz", a.readyz)
	if a.opts.Metrics != nil {
		r.Method(http.MethodGet, "/metrics", a.opts.Metrics)
	}
	a.routes = r
	return r
}

func (o Options) withDefaults() Options {
	if o.NewRequestID == nil {
		o.NewRequestID = func() domain.RequestID { return domain.RequestID(uuid.NewString()) }
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.MaxBodyBytes == 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.BodyTimeout == 0 {
		o.BodyTimeout = defaultBodyTimeout
	}
	if o.PingInterval == 0 {
		o.PingInterval = defaultPingInterval
	}
	return o
}

// handler serves one request. It returns an error that is still to be written
// to the caller, or nil if it has written the answer itself.
type handler func(x *exchange) *apiError

// unauthenticated serves a route that requires no key.
func (a *api) unauthenticated(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := a.newExchange(w, r)
		if err := h(x); err != nil {
			x.writeError(err)
		}
	}
}

// authenticated serves a route that requires the bearer key of a client account.
func (a *api) authenticated(h handler) http.HandlerFunc {
	return a.unauthenticated(func(x *exchange) *apiError {
		if err := x.authenticate(); err != nil {
			return err
		}
		return h(x)
	})
}

func notFound(*exchange) *apiError {
	return newRejection(http.StatusNotFound, codeNotFound, "no such path")
}

func methodNotAllowed(x *exchange) *apiError {
	var allowed []string
	for _, method := range serviceMethods {
		if x.api.routes.Match(chi.NewRouteContext(), method, x.r.URL.Path) {
			allowed = append(allowed, method)
		}
	}
	x.w.Header().Set("Allow", strings.Join(allowed, ", "))
	return newRejection(http.StatusMethodNotAllowed, codeMethodNotAllowed, "method "+x.r.Method+" is not allowed here")
}
