// Package engine is an agent's client for its endpoint, a model engine or a
// plain service. It runs attempts of requests, sends orders, polls load reports
// and cache events, and reports all results to an Events receiver. Its state is
// the runs and orders in progress and the connections. An agent has one Client.
package engine

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// Defaults of Options.
const (
	// DefaultIdleTimeout is longer than a healthy engine takes until its first
	// event or its next token. For the first event, it relies on the agent limiting the
	// number of runs to its slots.
	DefaultIdleTimeout    = 10 * time.Second
	DefaultPlainTimeout   = 60 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultRequestTimeout = 2 * time.Second
	DefaultOrderTimeout   = 5 * time.Minute
	DefaultMaxAnswerBytes = 16 << 20
	DefaultReportInterval = 500 * time.Millisecond
	DefaultCacheInterval  = time.Second
)

// Limits of the connections to the endpoint.
const (
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
	keepAlivePeriod = 5 * time.Second
	maxHeadBytes    = 64 << 10 // of an answer
)

// Options configures a Client. Address and Kind are required. Zero and negative
// values of the other fields are replaced by defaults.
type Options struct {
	// Address is the IP address and port of the endpoint.
	Address string
	Kind    domain.ServiceKind
	// IdleTimeout limits the time to the first event of a model engine's answer
	// and between two events.
	IdleTimeout time.Duration
	// PlainTimeout limits a whole request to a plain service.
	PlainTimeout time.Duration
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// RequestTimeout limits a request for a load report or for cache events.
	RequestTimeout time.Duration
	// OrderTimeout limits an order, such as loading a model.
	OrderTimeout time.Duration
	// MaxAnswerBytes limits the size of an answer: the text of a model engine, or
	// the body of a plain service.
	MaxAnswerBytes int64
	// ReportInterval is the time between requests for load reports.
	ReportInterval time.Duration
	// CacheInterval is the time between requests for cache events.
	CacheInterval time.Duration
}

func (o Options) withDefaults() Options {
	o.IdleTimeout = orDefault(o.IdleTimeout, DefaultIdleTimeout)
	o.PlainTimeout = orDefault(o.PlainTimeout, DefaultPlainTimeout)
	o.DialTimeout = orDefault(o.DialTimeout, DefaultDialTimeout)
	o.RequestTimeout = orDefault(o.RequestTimeout, DefaultRequestTimeout)
	o.OrderTimeout = orDefault(o.OrderTimeout, DefaultOrderTimeout)
	o.MaxAnswerBytes = orDefault(o.MaxAnswerBytes, DefaultMaxAnswerBytes)
	o.ReportInterval = orDefault(o.ReportInterval, DefaultReportInterval)
	o.CacheInterval = orDefault(o.CacheInterval, DefaultCacheInterval)
	return o
}

// orDefault returns the value if it is positive, otherwise the fallback.
func orDefault[T int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Events receives the endpoint's answers and reports. Its methods are called
// from several goroutines. All calls for one run come from a single goroutine,
// in order.
type Events interface {
	// Head is called with the status and headers of a plain service's answer.
	Head(run uint64, status uint32, headers []*pb.Header)
	// Data is called with a part of an answer: text of a model engine, or bytes
	// of a body, which have zero tokens. The receiver may keep data.
	Data(run uint64, data []byte, tokens uint32)
	// End is called exactly once for each Start, as the run's last event.
	// answerTokens excludes the tokens of a resumed part.
	End(run uint64, reason pb.EndReason, finishReason string, promptTokens, answerTokens uint32, message string)
	// OrderEnd is called exactly once for each Order. fenced means that the
	// endpoint rejected the order's fencing number as outdated.
	OrderEnd(order uint64, ok, fenced bool, message string)
	// Report is called with the endpoint's load report, which may be outdated.
	Report(running, queued uint32)
	// CacheEvent is called when a prompt prefix entered or left the cache.
	CacheEvent(prefix uint64, cached bool)
}

// Client sends requests to one endpoint. It is safe for concurrent use.
type Client struct {
	options Options
	// pooled keeps connections open between requests.
	pooled *http.Transport
	// unpooled opens a connection for each request. Non-idempotent runs and orders
	// use it, as an idle connection may be dead without the client knowing, and a
	// request sent on it could not be retried.
	unpooled *http.Transport

	mu sync.Mutex
	// runs has the cancel function of each run in progress.
	runs     map[uint64]context.CancelCauseFunc
	inFlight sync.WaitGroup
}

// New returns a client. It connects on the first request.
func New(options Options) *Client {
	c := &Client{options: options.withDefaults(), runs: make(map[uint64]context.CancelCauseFunc)}
	dialer := &net.Dialer{Timeout: c.options.DialTimeout, KeepAlive: keepAlivePeriod}
	c.pooled = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeConn{Conn: conn}, nil
		},
		MaxResponseHeaderBytes: maxHeadBytes,
		MaxIdleConnsPerHost:    maxIdleConns,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
	}
	c.unpooled = c.pooled.Clone()
	c.unpooled.DisableKeepAlives = true
	return c
}

// Start starts a run, one attempt of a request, at the endpoint. It returns
// immediately; the answer goes to ev. The ID run must differ from those of all
// runs in progress.
func (c *Client) Start(run uint64, h *pb.HandOver, ev Events) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.mu.Lock()
	c.runs[run] = cancel
	c.mu.Unlock()
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		x := &runState{client: c, run: run, handOver: h, events: ev, cancel: cancel}
		end := x.execute(ctx)
		c.mu.Lock()
		delete(c.runs, run)
		c.mu.Unlock()
		cancel(nil)
		ev.End(run, end.reason, end.finishReason, end.promptTokens, end.answerTokens, end.message)
	}()
}

// Cancel cancels a run. Its End still follows. Cancelling a run that has ended
// has no effect.
func (c *Client) Cancel(run uint64) {
	c.mu.Lock()
	cancel := c.runs[run]
	c.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// Close waits for the runs and orders in progress and closes idle connections.
// It does not cancel them.
func (c *Client) Close() {
	c.inFlight.Wait()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func (c *Client) url(path string) string { return "http://" + c.options.Address + path }
