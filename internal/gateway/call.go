package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

const (
	// defaultCallerTimeout applies to requests that give no timeout.
	defaultCallerTimeout = 30 * time.Second
	// rejectWriteTimeout limits the time to send an answer of the gateway's own, beyond the caller's time limit.
	rejectWriteTimeout = 10 * time.Second
	// unreadTimeout limits the time in which the rest of a small body is read before an early answer, to keep the connection.
	unreadTimeout = 500 * time.Millisecond
	// maxDrainBytes limits how much of a body is read and discarded after a refusal, until bodyReadTimeout. A caller that
	// sends its whole body before it reads would otherwise lose the refusal by a reset, and could not try again.
	maxDrainBytes = 8 << 20
	// maxUnreadBytes is the size up to which a body is read to keep the connection. net/http itself reads up to 256 KiB.
	maxUnreadBytes = 64 << 10
	// bodyReadTimeout limits the time from a request's arrival to the end of its body.
	bodyReadTimeout = 10 * time.Second
	// defaultMaxBodyBytes limits a request's body if the configuration sets no limit.
	defaultMaxBodyBytes = 8 << 20
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
	body    *heldBytes // nil before it is read, and if there is none
	// unread is whether the body has not been read to its end.
	unread  bool
	arrived time.Time
	// deadline is the latest time for the end of the answer: callerLimit or the end
	// of the route's timeout, whichever is earlier.
	deadline time.Time
	// callerLimit is when the caller stops waiting: CallerTimeout after the arrival,
	// or defaultCallerTimeout after it if the caller gave no timeout.
	callerLimit time.Time

	ticket         *placement.Ticket // placement of the last attempt; nil before the first
	placementDelay time.Duration     // from arrival to the first placement
	tried          []string          // endpoints that were chosen for an attempt
	possibleRuns   int               // number of endpoints that may have run the request
	sent           bool              // whether a part of the request may have been sent to an endpoint
	headSent       bool              // whether the head of an answer was sent to the caller
	mediaType      string            // of a stream whose head was sent; empty if it names none
	eventBegun     bool              // whether the last attempt broke off inside an event
	// callerLeft, rejected and truncated say how the request ended: the caller
	// disconnected, the gateway sent an answer of its own, or the answer was
	// broken off. At most one is set.
	callerLeft, rejected, truncated bool
	timeToFirstEvent                time.Duration          // from arrival to the head of the stream; 0 if none was sent
	lastForwardedAt                 time.Time              // when stream events were last forwarded
	maxEventGap                     time.Duration          // longest time between two forwards of events
	events                          int                    // complete stream events received from endpoints
	version                         streamversions.Version // of the endpoints at which the stream may go on; 0 for any
	streamRecorded                  bool                   // whether recordStream has been called
	lastEventID                     string                 // ID of the last stream event forwarded
	sharedParts                     []crashblame.Part      // parts of the prompt that other requests can have too
	requestHead                     uint32                 // first half of the request's identity
	requestPart                     crashblame.Part        // the request's identity; 0 while it is not computed
	probedPart                      crashblame.Part        // part that is blamed and that the request probes; 0 if it is no probe
	probeEnded                      bool                   // whether endProbe has been called
	picks                           int                    // number of times that the queue tried to place the request, if it was not placed
	obstacles                       placement.Obstacles    // of the endpoints at that time
	elsewhere                       bool                   // whether another gateway can take the request at once
	retryAfter                      time.Duration          // after which there will be room for the request; 0 if not known
	cause                           string                 // why the last attempt ended, for the log
	failedAnswer                    *bufferedAnswer        // last 5xx answer of an endpoint, sent if no other attempt succeeds
}

// ServeHTTP handles one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	fits := g.callerConns.begin(r)
	r, stopWatching := hangup.Watch(r)
	defer stopWatching()
	c := &call{writer: w, http: r, arrived: time.Now(), request: g.dialect.ReadRequest(r), unread: r.ContentLength != 0}
	defer c.release()
	// It also applies to what net/http sends after the answer, which removes it afterwards.
	c.setWriteDeadline(c.arrived.Add(max(c.request.CallerTimeout, defaultCallerTimeout) + rejectWriteTimeout))
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !fits {
		g.closed.count(refusedHead)
		w.Header().Set("Connection", "close")
		g.reject(c, http.StatusServiceUnavailable, "no memory for the head")
		return
	}
	if !g.admit(c) {
		return
	}
	defer g.recordOutcome(c)
	g.serve(c)
}

// admit finds the route and the account of a request and reads its body. If it
// rejects the request, it has sent the answer and returns false.
func (g *Gateway) admit(c *call) bool {
	c.config = g.config.Load()
	confirmed := g.validity.Valid(bootclock.Now())
	if c.config == nil {
		return g.reject(c, http.StatusServiceUnavailable, "no configuration")
	}
	c.route = c.config.Match(c.http.Host, c.http.URL.EscapedPath())
	if c.route == nil {
		if !confirmed {
			return g.reject(c, http.StatusServiceUnavailable, "configuration not confirmed")
		}
		return g.reject(c, http.StatusNotFound, "no route")
	}
	if !c.route.Public && g.keyRequirementUnknown(c.config) {
		return g.reject(c, http.StatusServiceUnavailable, "not known yet whether keys are required")
	}
	if !c.route.Public && g.requiresKey(c.config) {
		if !confirmed {
			return g.reject(c, http.StatusServiceUnavailable, "keys not confirmed")
		}
		if c.account = c.config.Account(c.request.Key); c.account == nil {
			return g.reject(c, http.StatusUnauthorized, "key not known")
		}
	}
	if limit := c.config.Limits.HeaderBytes; limit > 0 {
		if size, _ := headSize(c.http); size > limit {
			return g.reject(c, http.StatusRequestHeaderFieldsTooLarge, "head too large")
		}
	}
	c.rank = c.config.Rank(c.route, c.account)
	c.sharedParts = sharedParts(c.request.Parts)
	c.setDeadline()
	if !g.readBody(c) {
		return false
	}
	c.requestHead = c.identity().Head()
	return true
}

// setDeadline sets the request's time limits.
func (c *call) setDeadline() {
	callerLimit := c.request.CallerTimeout
	if callerLimit <= 0 {
		callerLimit = defaultCallerTimeout
	}
	c.callerLimit = c.arrived.Add(callerLimit)
	c.deadline = c.callerLimit
	if timeout := c.route.Timeout; timeout > 0 && timeout < callerLimit {
		c.deadline = c.arrived.Add(timeout)
	}
}

// readBody buffers the whole body, so that the request can be sent to another
// endpoint. If it rejects the request, it has sent the answer and returns false. A request
// that is refused for lack of memory has not run.
func (g *Gateway) readBody(c *call) bool {
	if c.http.ContentLength == 0 {
		return true
	}
	limit := c.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.http.ContentLength > limit {
		return g.reject(c, http.StatusRequestEntityTooLarge, "body too large")
	}
	control := http.NewResponseController(c.writer)
	if err := control.SetReadDeadline(c.arrived.Add(bodyReadTimeout)); err != nil {
		klog.ErrorS(err, "read deadline not set", "request", c.request.ID)
	}
	c.body = g.bytes.open(memorylimit.Bodies, c.rank == 0, func() {
		// An error means that the connection has ended.
		_ = control.SetReadDeadline(time.Unix(1, 0))
	})
	stopWatching := context.AfterFunc(g.callsCtx, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	err := c.body.readFrom(c.http.Context(), c.http.Body, c.http.ContentLength, limit)
	stopWatching()
	if err == nil {
		err = c.body.complete()
	}
	switch {
	case err == nil:
	case g.callsCtx.Err() != nil:
		c.elsewhere = true
		c.writer.Header().Set("Connection", "close")
		return g.reject(c, http.StatusServiceUnavailable, causeStopping)
	case errors.Is(err, errTooLong):
		return g.reject(c, http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, errNoMemory) || c.body.wasShed():
		if !c.body.wasShed() {
			g.closed.count(refusedBody)
		}
		c.writer.Header().Set("Connection", "close")
		return g.reject(c, http.StatusServiceUnavailable, "no memory for the body")
	default:
		// After an error of the connection, as at the read deadline, net/http has cancelled its context, and a later request on
		// it would end at once.
		c.writer.Header().Set("Connection", "close")
		return g.reject(c, http.StatusBadRequest, "body not read: "+err.Error())
	}
	if clearErr := control.SetReadDeadline(time.Time{}); clearErr != nil {
		klog.ErrorS(clearErr, "read deadline not cleared", "request", c.request.ID)
	}
	c.unread = false
	c.http.Trailer = nil // not forwarded
	g.callerConns.bodyArrived(c.http)
	return true
}

// bodyPieces returns the body.
func (c *call) bodyPieces() [][]byte {
	if c.body == nil {
		return nil
	}
	return c.body.pieces
}

// bodySize returns the size of the body.
func (c *call) bodySize() int64 {
	if c.body == nil {
		return 0
	}
	return c.body.size
}

// release gives back the memory of the request.
func (c *call) release() {
	c.body.close()
	if c.failedAnswer != nil {
		c.failedAnswer.body.close()
	}
}

// drain reads the rest of the body of a request that has been refused, if the connection is closed after it.
func (g *Gateway) drain(c *call) {
	if !c.unread || c.writer.Header().Get("Connection") != "close" {
		return
	}
	c.body.close()
	g.callerConns.draining(c.http)
	control := http.NewResponseController(c.writer)
	err := control.Flush()
	if err == nil {
		err = control.SetReadDeadline(c.arrived.Add(bodyReadTimeout))
	}
	if err == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(c.http.Body, maxDrainBytes))
	}
	if err != nil {
		klog.V(1).InfoS("body not read to its end", "request", c.request.ID, "err", err)
	}
}

// leaveUnread prepares the connection for an answer before the body has been read to its end. The rest of a large body is
// not read, so that the connection can't be used again.
func (c *call) leaveUnread() {
	if !c.unread {
		return
	}
	if n := c.http.ContentLength; n < 0 || n > maxUnreadBytes {
		c.writer.Header().Set("Connection", "close")
	}
	if err := http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(unreadTimeout)); err != nil {
		klog.V(1).InfoS("read deadline not set", "request", c.request.ID, "err", err)
	}
}

// Causes of the end of a request whose caller has left.
const (
	causeCallerLeft       = "caller left"
	causeCallerLeftBefore = "caller left before anything was sent"
)

// serve sends a request to one endpoint after another until one answers or no
// further attempt is allowed. It panics with http.ErrAbortHandler to close the
// connection of a caller that can't get a complete answer.
func (g *Gateway) serve(c *call) {
	ctx, cancel := context.WithDeadline(c.http.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.callsCtx, cancel)()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.endProbe(c, false)
	}()
	service := c.route.PickService(splitFraction(c))
	g.countRequest(service)
	if !g.resolveVersion(ctx, c, service) {
		return
	}
	for {
		if !g.admitParts(c) {
			g.failCall(c, causeBlamed)
			return
		}
		if g.turnsAway(c, service) {
			return
		}
		ticket, reason := g.place(ctx, c, service)
		if g.turnsAway(c, service) {
			if ticket != nil {
				g.end(ticket, placement.ResultCancelled)
			}
			return
		}
		if ticket == nil {
			g.failUnplaced(c, service, reason)
			return
		}
		if c.ticket == nil {
			c.placementDelay = time.Since(c.arrived)
		}
		c.ticket = ticket
		end := g.attempt(ctx, c, service, ticket)
		if end == attemptAnswered {
			return
		}
		if c.http.Context().Err() != nil {
			c.callerLeft = true
			if c.cause = causeCallerLeft; !c.sent {
				c.cause = causeCallerLeftBefore
			}
			panic(http.ErrAbortHandler)
		}
		if ctx.Err() != nil || !g.mayRetry(c, service, end) {
			g.failUnplaced(c, service, c.cause)
			return
		}
	}
}

// failUnplaced is failCall for a request that no endpoint took or ran to its end, with the time at which there will be room.
func (g *Gateway) failUnplaced(c *call, service, cause string) {
	g.mu.Lock()
	g.noteRoom(g.now(), c, g.query(c, service))
	g.mu.Unlock()
	g.failCall(c, cause)
}

// splitFraction returns a fraction in [0, 1) that selects one of the route's
// services. Requests with the same second-to-last prompt part get the same
// fraction, so that requests that share a prompt prefix go to one service.
func splitFraction(c *call) float64 {
	key := xxhash.Sum64String(c.request.ID)
	if n := len(c.request.Parts); n > 1 {
		key = c.request.Parts[n-2].ID
	}
	return float64(mix64(key)>>11) / (1 << 53)
}

// mayRetry reports whether a request may be sent to another endpoint after an
// attempt. It takes a retry from the service's budget unless nothing was sent.
func (g *Gateway) mayRetry(c *call, service string, end attemptEnd) bool {
	switch end {
	case attemptNotSent:
		return true
	case attemptNoConnection:
		return false
	case attemptNotRun:
		// The endpoint has confirmed that it did not run the request, so that
		// even non-idempotent requests may be retried.
	default:
		if !c.route.Retryable() || c.possibleRuns >= c.route.MaxAttempts {
			return false
		}
	}
	// A probe that is refused would reach one endpoint after the other and could crash each.
	if (end == attemptFailed || c.probedPart != 0) && !g.mayRetryParts(c) {
		c.cause += ", endpoints have crashed under it"
		return false
	}
	if !g.takeRetry(service) {
		c.cause += ", no repeat left"
		return false
	}
	return true
}

// failCall ends a request that no attempt has answered. It sends 503 only if no
// endpoint ran the request or will run it, and otherwise 504 after the deadline
// and 502 before it. An endpoint's own failure takes precedence over these. An
// answer that has begun is broken off.
func (g *Gateway) failCall(c *call, cause string) {
	c.cause = cause
	switch {
	case c.headSent:
		c.truncated = true
		panic(http.ErrAbortHandler)
	case c.failedAnswer != nil:
		g.deliver(c, c.failedAnswer)
	case c.possibleRuns == 0:
		g.reject(c, http.StatusServiceUnavailable, cause)
	case !time.Now().Before(c.deadline):
		g.reject(c, http.StatusGatewayTimeout, cause)
	default:
		g.reject(c, http.StatusBadGateway, cause)
	}
}

// reject sends an empty answer with a status and logs the cause. It always returns false.
func (g *Gateway) reject(c *call, status int, cause string) bool {
	c.rejected = true
	c.leaveUnread()
	h := c.writer.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", retryAfter(c))
	}
	if status == http.StatusServiceUnavailable && !g.isReady() {
		// On a new connection the caller may reach a gateway that is ready.
		h.Set("Connection", "close")
	}
	h["Content-Type"] = nil
	h.Set("Content-Length", "0")
	c.writer.WriteHeader(status)
	if status == http.StatusServiceUnavailable {
		g.drain(c)
	}
	route := ""
	if c.route != nil {
		route = c.route.Name
	}
	klog.InfoS("rejected", "request", c.request.ID, "route", route, "status", status, "cause", cause,
		"tried", c.tried, "runs", c.possibleRuns, "waited_ms", time.Since(c.arrived).Milliseconds(), "retry_after_ms", c.retryAfter.Milliseconds(), "picks", c.picks, "obstacles", c.obstacles.String(), "config", configVersion(c.config))
	return false
}

// outcome returns how a request ended, as logs and metrics name it.
func (c *call) outcome() string {
	switch {
	case c.callerLeft:
		return outcomeCallerLeft
	case c.rejected:
		return outcomeRejected
	case c.truncated:
		return outcomeTruncated
	default:
		return outcomeAnswered
	}
}

// lastSharedPart returns the identifier of the last prompt part that a request shares
// with others, in hexadecimal; empty if there is none.
func lastSharedPart(parts []placement.Part) string {
	if len(parts) < 2 {
		return ""
	}
	return strconv.FormatUint(parts[len(parts)-2].ID, 16)
}

// configVersion returns the version of a configuration, or 0 if there is none.
func configVersion(c *routing.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// recordOutcome updates the metrics and writes the log line of a request that has ended.
func (g *Gateway) recordOutcome(c *call) {
	outcome := c.outcome()
	g.instruments.recordRequest(c, outcome)
	account := ""
	if c.account != nil {
		account = c.account.Name
	}
	ticket := placement.Ticket{}
	if c.ticket != nil {
		ticket = *c.ticket
	}
	klog.InfoS("request", "request", c.request.ID, "outcome", outcome, "route", c.route.Name, "rank", c.rank, "account", account,
		"resumes", c.request.Resumes, "version", ticket.Endpoint.Version, "tried", c.tried, "runs", c.possibleRuns, "placed_ms", c.placementDelay.Milliseconds(), "score", ticket.Score,
		"data_centre", ticket.Endpoint.DataCentre, "spillover", ticket.Spillover, "split", ticket.DecodePoolSize, "own_side", ticket.InPool, "home", ticket.AffinityRank, "demand", ticket.Demand,
		"backlog", ticket.Backlog, "unread", ticket.PrefillTokens, "fetched", ticket.FetchTokens, "prefix", lastSharedPart(c.request.Parts),
		"pace", math.Round(ticket.PrefillSpeed), "duty", math.Round(ticket.PrefillUtilization*100)/100, "ceiling", math.Round(ticket.PrefillCeiling*100)/100, "gap_ms", ticket.EventGap.Milliseconds(), "first_ms", c.timeToFirstEvent.Milliseconds(), "pause_ms", c.maxEventGap.Milliseconds(),
		"output", c.request.MaxTokens, "expected", c.request.ExpectedTokens, "events", c.events,
		"took_ms", time.Since(c.arrived).Milliseconds(), "cause", c.cause, "config", strconv.FormatInt(c.config.Version, 10))
}
