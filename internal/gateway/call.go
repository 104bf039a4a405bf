package gateway

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

const (
	// defaultPatience bounds a request that names no time and whose route names none.
	defaultPatience = 30 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// defaultBodyBytes bounds a body before a configuration names a limit.
	defaultBodyBytes = 8 << 20
)

// call is a caller's request in progress.
type call struct {
	writer  http.ResponseWriter
	http    *http.Request
	request Request
	config  *routing.Config
	route   *routing.Route
	account *routing.Account
	rank    int
	body    []byte
	arrived time.Time
	// deadline is when the caller gets a final answer at the latest.
	deadline time.Time
	// patience is when the caller itself gives up.
	patience time.Time

	ticket *placement.Ticket // of the last attempt, nil before it
	placed time.Duration     // from arrival to the first placement
	// spent is the time that the caller has waited in earlier attempts.
	spent   time.Duration
	tried   []string // endpoints that have been sent the request or could not be reached
	runs    int      // endpoints that may have run it
	started bool     // the caller has got the head of an answer
	// left, rejected and cut tell how the request ended: the caller was gone, it
	// got an answer of the gateway's own, or its answer was broken off.
	left, rejected, cut bool
	first               time.Duration
	lastEvent           time.Time     // when the last events were forwarded
	pause               time.Duration // longest time between two forwards
	events              int           // of a stream that were forwarded
	lastID              string        // last event forwarded of a stream
	cause               string        // why the last attempt ended, for the log
	failure             *finished     // an endpoint's own failure, given if no other attempt does better
}

// ServeHTTP answers one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		g.callers.busy(conn)
	}
	c := &call{writer: w, http: r, arrived: time.Now(), request: g.dialect.ReadRequest(r)}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !g.admit(c) {
		return
	}
	defer g.logEnd(c)
	g.serve(c)
}

// admit finds the route and the account of a request and reads its body. It
// reports false after it has answered.
func (g *Gateway) admit(c *call) bool {
	c.config = g.config.Load()
	fresh := g.validity.Valid(bootclock.Now())
	if c.config == nil {
		return g.reject(c, http.StatusServiceUnavailable, "no configuration")
	}
	c.route = c.config.Match(c.http.Host, c.http.URL.EscapedPath())
	if c.route == nil {
		if !fresh {
			return g.reject(c, http.StatusServiceUnavailable, "configuration not confirmed")
		}
		return g.reject(c, http.StatusNotFound, "no route")
	}
	if c.config.Keyed && !c.route.Public {
		if !fresh {
			return g.reject(c, http.StatusServiceUnavailable, "keys not confirmed")
		}
		if c.account = c.config.Account(c.request.Key); c.account == nil {
			return g.reject(c, http.StatusUnauthorized, "key not known")
		}
	}
	if limit := c.config.Limits.HeaderBytes; limit > 0 && headBytes(c.http) > limit {
		return g.reject(c, http.StatusRequestHeaderFieldsTooLarge, "head too large")
	}
	c.rank = c.config.Rank(c.route, c.account)
	g.setDeadline(c)
	return g.readBody(c)
}

func (g *Gateway) setDeadline(c *call) {
	patience := c.request.Patience
	if patience <= 0 {
		patience = defaultPatience
	}
	c.patience = c.arrived.Add(patience)
	c.deadline = c.patience
	c.spent = g.spent(c.route.Name, patience)
	if timeout := c.route.Timeout; timeout > 0 && timeout < patience {
		c.deadline = c.arrived.Add(timeout)
	}
}

// readBody reads the whole body, so that the request can be sent again.
func (g *Gateway) readBody(c *call) bool {
	if c.http.ContentLength == 0 {
		return true
	}
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.http.ContentLength > limit {
		return g.reject(c, http.StatusRequestEntityTooLarge, "body too large")
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.arrived.Add(bodyTimeout)); err != nil {
		klog.ErrorS(err, "read deadline not set", "request", c.request.ID)
	}
	body, err := io.ReadAll(io.LimitReader(c.http.Body, limit+1))
	if clear := control.SetReadDeadline(time.Time{}); clear != nil {
		klog.ErrorS(clear, "read deadline not cleared", "request", c.request.ID)
	}
	if err != nil {
		return g.reject(c, http.StatusBadRequest, "body not read: "+err.Error())
	}
	if int64(len(body)) > limit {
		return g.reject(c, http.StatusRequestEntityTooLarge, "body too large")
	}
	c.body = body
	return true
}

// serve sends a request to endpoints until one answers or no further one may be tried.
func (g *Gateway) serve(c *call) {
	ctx, cancel := context.WithDeadline(c.http.Context(), c.deadline)
	defer cancel()
	service := c.route.PickService(point(c))
	g.countRequest(service)
	for {
		ticket, refused := g.place(ctx, c, service)
		if ticket == nil {
			g.giveUp(c, refused)
			return
		}
		if c.ticket == nil {
			c.placed = time.Since(c.arrived)
		}
		c.ticket = ticket
		end := g.attempt(ctx, c, service, ticket)
		if end == attemptAnswered {
			return
		}
		if c.http.Context().Err() != nil {
			c.cause, c.left = "caller left", true
			panic(http.ErrAbortHandler)
		}
		if !time.Now().Before(c.deadline) || !g.mayRepeat(c, service, end) {
			g.giveUp(c, c.cause)
			return
		}
	}
}

// point spreads requests over the services of a route; requests that share
// their prompt's parts go to the same one.
func point(c *call) float64 {
	key := xxhash.Sum64String(c.request.ID)
	if n := len(c.request.Parts); n > 1 {
		key = c.request.Parts[n-2].ID
	}
	return float64(mix(key)>>11) / (1 << 53)
}

// mayRepeat reports whether a request may be sent to another endpoint.
func (g *Gateway) mayRepeat(c *call, service string, end attemptEnd) bool {
	switch end {
	case attemptNotSent:
		return true
	case attemptNotRun:
		// The endpoint's word allows any kind of request to go on.
	default:
		if !c.route.Repeatable() || c.runs >= c.route.MaxAttempts {
			return false
		}
	}
	if !g.takeRepeat(service) {
		c.cause += ", no repeat left"
		return false
	}
	return true
}

// giveUp gives a request its final answer. What it says of the request having
// run is true: 503 only if it was not and will not be run.
func (g *Gateway) giveUp(c *call, cause string) {
	c.cause = cause
	switch {
	case c.started:
		c.cut = true
		panic(http.ErrAbortHandler)
	case c.failure != nil:
		g.deliver(c, c.failure)
	case c.runs == 0:
		g.reject(c, http.StatusServiceUnavailable, cause)
	case !time.Now().Before(c.deadline):
		g.reject(c, http.StatusGatewayTimeout, cause)
	default:
		g.reject(c, http.StatusBadGateway, cause)
	}
}

// reject gives an answer of the gateway's own. It always returns false.
func (g *Gateway) reject(c *call, status int, cause string) bool {
	c.rejected = true
	h := c.writer.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter)
	}
	if status == http.StatusServiceUnavailable && !g.isReady() {
		// Another gateway may be able to serve the caller.
		h.Set("Connection", "close")
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	klog.InfoS("rejected", "request", c.request.ID, "route", route, "status", status, "cause", cause,
		"tried", c.tried, "runs", c.runs, "waited_ms", time.Since(c.arrived).Milliseconds(), "config", version(c.config))
	return false
}

// retryAfter is the time in seconds after which a refused caller may return.
const retryAfter = "0.4"

// outcome tells how a request ended.
func (c *call) outcome() string {
	switch {
	case c.left:
		return outcomeLeft
	case c.rejected:
		return outcomeRejected
	case c.cut:
		return outcomeCut
	default:
		return outcomeAnswered
	}
}

func version(c *routing.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

func (g *Gateway) logEnd(c *call) {
	outcome := c.outcome()
	g.counters.ended(c, outcome)
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	ticket := placement.Ticket{}
	if c.ticket != nil {
		ticket = *c.ticket
	}
	klog.InfoS("request", "request", c.request.ID, "outcome", outcome, "route", c.route.Name, "rank", c.rank, "account", account,
		"tried", c.tried, "runs", c.runs, "placed_ms", c.placed.Milliseconds(), "score", ticket.Score,
		"split", ticket.Split, "own_side", ticket.OwnSide, "home", ticket.Home, "demand", ticket.Demand,
		"backlog", ticket.Backlog, "unread", ticket.Unread,
		"pace", math.Round(ticket.Pace), "duty", math.Round(ticket.Duty*100)/100, "gap_ms", ticket.Gap.Milliseconds(), "first_ms", c.first.Milliseconds(), "pause_ms", c.pause.Milliseconds(),
		"output", c.request.Output, "expected", c.request.Expected, "events", c.events,
		"took_ms", time.Since(c.arrived).Milliseconds(), "cause", c.cause, "config", strconv.FormatInt(c.config.Version, 10))
}

const (
	// minSpent is the difference of patience that tells a caller that returns.
	minSpent = 50 * time.Millisecond
	// patienceFall is the share of the difference by which a less patient caller
	// lowers what is taken as usual, so that one very patient caller doesn't make
	// all others seem to return.
	patienceFall = 0.005
)

// spent tells how long a caller has waited already, from how much less patient
// it is than others of the route.
func (g *Gateway) spent(route string, patience time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if patience >= g.patience[route] {
		g.patience[route] = patience
		return 0
	}
	spent := g.patience[route] - patience
	g.patience[route] -= time.Duration(float64(spent) * patienceFall)
	if spent > minSpent {
		return spent
	}
	return 0
}
