// Package engine is an agent's client of its endpoint, a model engine or a plain service.
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

// The defaults of Options.
const (
	// DefaultIdleTimeout is longer than the longest wait of a healthy engine for its next token.
	DefaultIdleTimeout    = 10 * time.Second
	DefaultPlainTimeout   = 60 * time.Second
	DefaultDialTimeout    = time.Second
	DefaultRequestTimeout = 2 * time.Second
	DefaultOrderTimeout   = 5 * time.Minute
	DefaultMaxAnswerBytes = 16 << 20
	DefaultReportInterval = 500 * time.Millisecond
	DefaultCacheInterval  = time.Second
)

// Bounds of the connections.
const (
	idleConnTimeout = 30 * time.Second
	maxIdleConns    = 64
	keepAlivePeriod = 5 * time.Second
)

// Options are the settings of a client. Zero values are replaced by defaults.
type Options struct {
	// Address is the IP address and port of the endpoint.
	Address string
	Kind    domain.ServiceKind
	// IdleTimeout bounds the time between two events of a model engine, and to the first one.
	IdleTimeout time.Duration
	// PlainTimeout bounds a request to a plain service.
	PlainTimeout time.Duration
	// DialTimeout bounds the making of a connection.
	DialTimeout time.Duration
	// RequestTimeout bounds a request for a load report or for cache events.
	RequestTimeout time.Duration
	// OrderTimeout bounds an order.
	OrderTimeout time.Duration
	// MaxAnswerBytes bounds the size of an answer.
	MaxAnswerBytes int64
	ReportInterval time.Duration
	CacheInterval  time.Duration
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

func orDefault[T int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Events receives what an endpoint says. Its methods are called from several
// goroutines; those of one run come in order from one.
type Events interface {
	// Head is the status and headers of a plain service's answer.
	Head(run uint64, status uint32, headers []*pb.Header)
	// Data is a part of an answer: text of a model engine, or bytes of a body.
	// The receiver keeps data.
	Data(run uint64, data []byte, tokens uint32)
	// End comes exactly once for each Start, as its last event. answerTokens are
	// those of this run, without a resumed part.
	End(run uint64, reason pb.EndReason, finishReason string, promptTokens, answerTokens uint32, message string)
	// OrderEnd comes exactly once for each Order. fenced says that the endpoint
	// refused an old fencing number.
	OrderEnd(order uint64, ok, fenced bool, message string)
	// Report is the endpoint's own load, which lags.
	Report(running, queued uint32)
	// CacheEvent says that a prompt prefix entered or left the cache.
	CacheEvent(prefix uint64, cached bool)
}

// Client speaks to one endpoint. It is safe for concurrent use.
type Client struct {
	options Options
	// pooled keeps connections open between requests.
	pooled *http.Transport
	// unpooled opens a connection for each request. Non-idempotent runs use it, as a
	// kept connection may have gone silent unnoticed.
	unpooled *http.Transport

	mu       sync.Mutex
	runs     map[uint64]context.CancelCauseFunc
	inFlight sync.WaitGroup
}

// New makes a client. It connects on the first request.
func New(options Options) *Client {
	c := &Client{options: options.withDefaults(), runs: make(map[uint64]context.CancelCauseFunc)}
	dialer := &net.Dialer{Timeout: c.options.DialTimeout, KeepAlive: keepAlivePeriod}
	c.pooled = &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	c.unpooled = c.pooled.Clone()
	c.unpooled.DisableKeepAlives = true
	return c
}

// Start runs an attempt at the endpoint and returns at once.
func (c *Client) Start(run uint64, h *pb.HandOver, ev Events) {
	ctx, cancel := context.WithCancelCause(context.Background())
	c.mu.Lock()
	c.runs[run] = cancel
	c.mu.Unlock()
	c.inFlight.Add(1)
	go func() {
		defer c.inFlight.Done()
		x := &execution{client: c, run: run, handOver: h, events: ev, cancel: cancel}
		end := x.execute(ctx)
		c.mu.Lock()
		delete(c.runs, run)
		c.mu.Unlock()
		cancel(nil)
		ev.End(run, end.reason, end.finishReason, end.promptTokens, end.answerTokens, end.message)
	}()
}

// Cancel cuts off a run. Its End still follows. A run that has ended is left alone.
func (c *Client) Cancel(run uint64) {
	c.mu.Lock()
	cancel := c.runs[run]
	c.mu.Unlock()
	if cancel != nil {
		cancel(errCancelled)
	}
}

// Close waits for the runs and orders in progress and drops the connections.
func (c *Client) Close() {
	c.inFlight.Wait()
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

func (c *Client) url(path string) string { return "http://" + c.options.Address + path }
