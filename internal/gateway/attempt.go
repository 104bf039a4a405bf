package gateway

import (
	"bytes"
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// attemptEnd says how an attempt at one endpoint ended.
type attemptEnd uint8

const (
	// attemptAnswered means that the caller was sent an answer.
	attemptAnswered attemptEnd = iota
	// attemptNotSent means that no part of the request was sent to the endpoint.
	attemptNotSent
	// attemptNotRun means that the endpoint confirmed that it did not run the request.
	attemptNotRun
	// attemptNoConnection means that no part of the request was sent, as the connections to all endpoints together are at
	// their limit. Another endpoint would not help.
	attemptNoConnection
	// attemptFailed means that the attempt failed and the request may have run.
	attemptFailed
)

const (
	// maxAnswerBytes limits an answer that is buffered before it is forwarded. The memory limit bounds all answers that
	// are buffered at a time.
	maxAnswerBytes = 16 << 20
	// maxRefusalBytes limits the body of a refusal, which is not forwarded.
	maxRefusalBytes = 64 << 10
	// connectionShare is the share of an endpoint's connection limit that this
	// process may use, because the limit counts the connections of all gateways.
	// From four gateways on, the shares add up to more than the limit.
	connectionShare = 0.3
	// writeMargin is how long after a request's deadline the caller may still
	// receive the answer.
	writeMargin = time.Second
)

// attempt sends a request to the chosen endpoint and forwards the answer. It
// reports the result to the placement table and the metrics.
func (g *Gateway) attempt(ctx context.Context, c *call, service string, t *placement.Ticket) attemptEnd {
	c.tried = append(c.tried, t.Endpoint.ID)
	g.countPlacement(t)
	a := &attempt{gateway: g, call: c, ticket: t, key: connectionKey(t.Endpoint)}
	end, result := a.try(ctx, service)
	a.recordCrash(ctx, end, result)
	if c.http.Context().Err() != nil && end != attemptAnswered {
		result = placement.ResultCancelled
	}
	g.end(t, result)
	g.instruments.attemptsByResult[result].Inc(1)
	klog.V(1).InfoS("attempt", "request", c.request.ID, "endpoint", t.Endpoint.ID, "score", t.Score,
		"candidates", t.Candidates, "end", end, "result", result, "cause", c.cause)
	return end
}

// attempt is one exchange of a request and its answer with an endpoint.
type attempt struct {
	gateway *Gateway
	call    *call
	ticket  *placement.Ticket
	key     endpointconn.Key
	conn    *endpointconn.Conn
	run     *crashblame.Run // nil before the request is sent
	// headCost is what the heads of the answer take in memory, and head the memory that was taken for them; nil for an ordinary one.
	headCost int64
	head     *heldBytes
	// endedByPeer is whether the connection was ended from the endpoint's side in the middle of the exchange.
	endedByPeer bool
}

// try makes the attempt on a connection from the pool and returns or discards
// the connection afterwards. The end of ctx aborts it.
func (a *attempt) try(ctx context.Context, service string) (attemptEnd, placement.Result) {
	g, c := a.gateway, a.call
	conn, err := a.connect(ctx, g.connectionLimit(c.config, service))
	if err != nil {
		c.cause = err.Error()
		a.recordRefused(err)
		if errors.Is(err, endpointconn.ErrFull) {
			return attemptNotSent, placement.ResultRefused
		}
		if errors.Is(err, endpointconn.ErrAllFull) {
			return attemptNoConnection, placement.ResultCancelled
		}
		return attemptNotSent, placement.ResultUnreachable
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.Abort)
	if a.needsConfirmation() {
		if err := a.confirmProcess(); err != nil {
			stop()
			g.pool.Discard(a.key, conn)
			c.cause = err.Error()
			return attemptNotSent, placement.ResultUnreachable
		}
	}
	reason := a.withdrawn()
	if hangup.Left(c.http.Context()) {
		reason = causeCallerLeftBefore
	}
	if reason != "" {
		c.cause = reason
		if stop() {
			g.pool.Put(a.key, conn, endpointconn.CompletedAnswer{})
		} else {
			g.pool.Discard(a.key, conn)
		}
		return attemptNotSent, placement.ResultRefused
	}
	conn.AccountHeads(a.accountHead)
	end, result, answer := a.exchange()
	a.head.close()
	if stop() && answer != nil {
		g.pool.Put(a.key, conn, *answer)
	} else {
		g.pool.Discard(a.key, conn)
	}
	return end, result
}

// connect returns a connection on which no earlier request had the identifier of this one: a client may send a request that
// was refused under the same identifier again, and the endpoint its answer.
func (a *attempt) connect(ctx context.Context, limit int) (*endpointconn.Conn, error) {
	pool, id := a.gateway.pool, a.call.request.ID
	conn, err := pool.Get(ctx, a.key, limit, false)
	if err != nil || !conn.Carried(id) {
		return conn, err
	}
	pool.Discard(a.key, conn)
	return pool.Get(ctx, a.key, limit, true)
}

// exchange sends the request and handles the answer. The returned answer is nil
// if the connection must not be used again.
func (a *attempt) exchange() (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	g, c := a.gateway, a.call
	c.sent = true
	a.recordSent()
	a.conn.Carry(c.request.ID)
	if err := a.conn.Write(a.encodeHead(), c.bodyPieces()); err != nil {
		c.possibleRuns++
		c.cause, a.endedByPeer = err.Error(), endedByPeer(err)
		return attemptFailed, placement.ResultUnreachable, nil
	}
	matches := func(h http.Header) bool { return g.dialect.MatchesRequest(c.request.ID, h) }
	// Closing the body would read the rest of it. The connection of an answer
	// that isn't read to its end is discarded instead.
	response, err := a.conn.ReadHead(c.http.Method, matches) //nolint:bodyclose // see above
	if err != nil {
		return a.failHead(err)
	}
	answer := g.dialect.ReadAnswer(response.StatusCode, response.Header)
	if answer.ReportedLoad != nil {
		g.recordLoad(a.ticket, *answer.ReportedLoad)
	}
	if !answer.Misdirected {
		g.recordLimit(a.ticket, answer)
		g.recordLeaving(a.ticket, response.StatusCode, answer)
		g.recordPause(a.ticket, answer)
	}
	if answer.NotRun {
		return a.handleNotRun(response, answer)
	}
	c.possibleRuns++
	a.recordBegun()
	g.countRun(c)
	if response.StatusCode/100 == 2 && answer.Signature == "" {
		c.cause = "answer without signature"
		return attemptFailed, placement.ResultFailed, nil
	}
	if c.headSent && !c.isContinuation(response) {
		return a.leaveContinuation(response)
	}
	if c.route.Kind == routing.KindStream && response.StatusCode == http.StatusOK {
		return a.streamAnswer(response)
	}
	return a.bufferAnswer(response)
}

// failHead ends an attempt of which no head of an answer could be read.
func (a *attempt) failHead(err error) (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	g, c := a.gateway, a.call
	c.possibleRuns++
	c.cause, a.endedByPeer = err.Error(), endedByPeer(err)
	// A run begins with the answer: one that the caller gave up before has not, but a lost one may have.
	if c.http.Context().Err() == nil {
		g.countRun(c)
	}
	noMemory := errors.Is(err, errNoMemory)
	if noMemory || endpointconn.IsNoAnswer(err) {
		a.recordEndless()
	}
	if noMemory {
		g.closed.count(refusedAnswer)
		return attemptFailed, answerRefusedResult(err), nil
	}
	return attemptFailed, a.readFailureResult(), nil
}

// readFailureResult returns the result of an attempt whose answer could not be
// read: ResultTimedOut if the deadline has passed, otherwise ResultUnreachable.
func (a *attempt) readFailureResult() placement.Result {
	if !time.Now().Before(a.call.deadline) {
		return placement.ResultTimedOut
	}
	return placement.ResultUnreachable
}

// encodeHead returns the head of the request to the endpoint.
func (a *attempt) encodeHead() []byte {
	c := a.call
	metadata := ForwardMetadata{Endpoint: a.ticket.Endpoint.ID, Remaining: time.Until(c.deadline), Rank: c.rank, LastEventID: c.lastEventID, FetchFrom: a.ticket.FetchFrom}
	if c.account != nil {
		metadata.Account = c.account.Name
	}
	var b bytes.Buffer
	b.Grow(1024) // enough for an ordinary one
	a.gateway.dialect.WriteRequest(&b, c.http, c.bodySize(), metadata)
	return b.Bytes()
}

// handleNotRun handles the answer of an endpoint that did not run the request.
func (a *attempt) handleNotRun(response *http.Response, answer Answer) (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	a.call.cause = "refused with status " + strconv.Itoa(response.StatusCode)
	if answer.Misdirected {
		a.recordMisdirected()
		return attemptNotRun, placement.ResultUnreachable, nil
	}
	if n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxRefusalBytes+1)); err != nil || n > maxRefusalBytes {
		if n > maxRefusalBytes || endpointconn.IsNoAnswer(err) {
			a.recordEndless()
		}
		return attemptNotRun, placement.ResultRefused, nil
	}
	return attemptNotRun, placement.ResultRefused, completedAnswer(response)
}

// bufferAnswer reads the answer to its end before it forwards any of it, so that
// an answer that breaks off is never forwarded and can be retried.
func (a *attempt) bufferAnswer(response *http.Response) (attemptEnd, placement.Result, *endpointconn.CompletedAnswer) {
	g, c := a.gateway, a.call
	body := g.openAnswer(c, a.conn, response.ContentLength < 0)
	err := a.readWhole(response, body)
	if err != nil {
		body.close()
	}
	if errors.Is(err, errNoMemory) {
		g.closed.count(refusedAnswer)
	}
	if errors.Is(err, errNoMemory) || errors.Is(err, errTooLong) {
		c.cause = errors.Wrapf(err, "step=read answer peer=%s", a.key.Address).Error()
		// An answer that says where it ends, or is small, was refused for lack of the gateway's own memory only.
		if errors.Is(err, errTooLong) || response.ContentLength < 0 && body.size > memorylimit.SmallBytes {
			a.recordEndless()
		}
		return attemptFailed, answerRefusedResult(err), nil
	}
	if err != nil {
		c.cause, a.endedByPeer = errors.Wrapf(err, "step=read answer peer=%s", a.key.Address).Error(), endedByPeer(err)
		return attemptFailed, a.readFailureResult(), nil
	}
	g.recordReceived(a.ticket, 0)
	answer := &bufferedAnswer{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		c.cause = "status " + strconv.Itoa(response.StatusCode)
		if c.failedAnswer != nil {
			c.failedAnswer.body.close()
		}
		c.failedAnswer = answer
		return attemptFailed, placement.ResultFailed, completedAnswer(response)
	}
	defer body.close()
	g.deliver(c, answer)
	return attemptAnswered, placement.ResultServed, completedAnswer(response)
}

// readWhole reads a buffered answer to its end.
func (a *attempt) readWhole(response *http.Response, body *heldBytes) error {
	err := errTooLong
	if response.ContentLength <= maxAnswerBytes {
		err = body.readFrom(a.call.http.Context(), response.Body, response.ContentLength, maxAnswerBytes)
	}
	if !errors.IsAny(err, errNoMemory, errTooLong) && !body.wasShed() && endpointconn.IsNoAnswer(err) {
		a.recordEndless()
	}
	if err == nil {
		err = body.complete()
	}
	if err == nil && endpointconn.IsUnframed(response) {
		err = a.confirmEnd()
	}
	if err != nil && body.wasShed() {
		err = errNoMemory
	}
	return err
}

// answerRefusedResult returns the result of an attempt whose answer the gateway did not take: a lack of its own memory is
// no failure of the endpoint.
func answerRefusedResult(err error) placement.Result {
	if errors.Is(err, errNoMemory) {
		return placement.ResultCancelled
	}
	return placement.ResultFailed
}

// completedAnswer describes a response whose body has been read to its end, for Pool.Put.
func completedAnswer(response *http.Response) *endpointconn.CompletedAnswer {
	return &endpointconn.CompletedAnswer{Header: response.Header, Close: response.Close}
}

// bufferedAnswer is a complete answer of an endpoint, held in memory.
type bufferedAnswer struct {
	status int
	header http.Header
	body   *heldBytes
}

// deliver sends a buffered answer to the caller.
func (g *Gateway) deliver(c *call, answer *bufferedAnswer) {
	c.setWriteDeadline(c.deadline.Add(writeMargin))
	h := c.writer.Header()
	// Otherwise net/http would guess a Content-Type if the endpoint set none.
	h["Content-Type"] = nil
	g.dialect.CopyAnswerHeaders(h, answer.header)
	h.Set("Content-Length", strconv.FormatInt(answer.body.size, 10))
	c.writer.WriteHeader(answer.status)
	c.headSent = true
	if err := answer.body.sendTo(c.writer); err != nil {
		c.cause = errors.Wrap(err, "step=answer caller").Error()
	}
}

// setWriteDeadline limits the writes to the caller. net/http removes the limit when the answer has been sent.
func (c *call) setWriteDeadline(t time.Time) {
	if err := http.NewResponseController(c.writer).SetWriteDeadline(t); err != nil {
		klog.ErrorS(err, "write deadline not set", "request", c.request.ID)
	}
}

// connectionLimit returns how many connections to one endpoint of a service
// this process may open; 0 means no limit.
func (g *Gateway) connectionLimit(config *routing.Config, service string) int {
	s := config.Services[service]
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(float64(s.MaxConnections)*connectionShare))
}

// recordReceived reports to the placement table that an endpoint has sent part of
// a stream, with the number of events that it completes, or a whole buffered answer.
func (g *Gateway) recordReceived(ticket *placement.Ticket, events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordReceived(g.now(), ticket, events)
}

// recordLoad passes the load that an endpoint reported to the placement table.
func (g *Gateway) recordLoad(ticket *placement.Ticket, load placement.ReportedLoad) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordLoad(g.now(), ticket, load)
}

// recordLimit passes the request limit that an endpoint named to the placement table. Only
// a signed answer without a limit ends one: an answer that was spoilt says nothing.
func (g *Gateway) recordLimit(ticket *placement.Ticket, answer Answer) {
	if math.IsNaN(answer.RequestLimit) || math.IsInf(answer.RequestLimit, 1) && answer.Signature == "" {
		return
	}
	g.mu.Lock()
	changed := g.table.RecordLimit(g.now(), ticket, answer.RequestLimit)
	g.mu.Unlock()
	if changed {
		klog.InfoS("endpoint limit", "endpoint", ticket.Endpoint.ID, "requests_per_s", answer.RequestLimit, "peer", "")
	}
}

// recordLeaving passes on to the placement table that an endpoint has said that it leaves. A
// success without a signature is not forwarded and says nothing: it may have been spoilt.
func (g *Gateway) recordLeaving(ticket *placement.Ticket, status int, answer Answer) {
	if !answer.Leaving || status/100 == 2 && answer.Signature == "" {
		return
	}
	g.mu.Lock()
	changed := g.table.RecordLeaving(g.now(), ticket)
	g.mu.Unlock()
	if changed {
		g.instruments.endpointsLeaving.Inc(1)
		klog.InfoS("endpoint leaving", "endpoint", ticket.Endpoint.ID, "start", ticket.Endpoint.Start, "peer", "")
	}
}

// end reports the result of an attempt to the placement table.
func (g *Gateway) end(ticket *placement.Ticket, result placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.RecordEnd(g.now(), ticket, result)
}

// mix64 mixes the bits of a value with policy.Mix64, so that similar values give
// unrelated results.
func mix64(x uint64) uint64 { return policy.Mix64(x) }
