package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/retrybudget"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// attemptEnd is how an attempt at one endpoint ended.
type attemptEnd uint8

const (
	// attemptAnswered means that the caller has got an answer.
	attemptAnswered attemptEnd = iota
	// attemptNotSent means that nothing can have reached the endpoint.
	attemptNotSent
	// attemptNotRun means that the endpoint said that it did not run the request.
	attemptNotRun
	// attemptBroken means that the request may have run.
	attemptBroken
)

const (
	// maxAnswerBytes bounds an answer that is read whole before it is passed on.
	maxAnswerBytes = 16 << 20
	// connectionShare is the share of an endpoint's connections that this
	// process may open; other gateways open theirs.
	connectionShare = 0.3
	// writeMargin is the time after a request's deadline in which a caller
	// may take what has been written.
	writeMargin = time.Second
)

// attempt sends a request to one endpoint and passes its answer on.
func (g *Gateway) attempt(ctx context.Context, c *call, service string, t *placement.Ticket) attemptEnd {
	c.tried = append(c.tried, t.Endpoint.ID)
	a := &attempt{gateway: g, call: c, ticket: t, key: connectionKey(t.Endpoint)}
	end, result := a.run(ctx, service)
	if c.http.Context().Err() != nil && end != attemptAnswered {
		result = placement.ResultCancelled
	}
	g.end(t, result)
	g.counters.results[result].Inc(1)
	klog.V(1).InfoS("attempt", "request", c.request.ID, "endpoint", t.Endpoint.ID, "score", t.Score,
		"candidates", t.Candidates, "end", end, "result", result, "cause", c.cause)
	return end
}

// attempt is one exchange with an endpoint.
type attempt struct {
	gateway *Gateway
	call    *call
	ticket  *placement.Ticket
	key     endpointconn.Key
	conn    *endpointconn.Conn
}

func (a *attempt) run(ctx context.Context, service string) (attemptEnd, placement.Result) {
	g, c := a.gateway, a.call
	conn, err := g.pool.Get(ctx, a.key, g.connections(c.config, service), false)
	if err != nil {
		c.cause = err.Error()
		if errors.Is(err, endpointconn.ErrFull) {
			return attemptNotSent, placement.ResultRefused
		}
		return attemptNotSent, placement.ResultUnreachable
	}
	a.conn = conn
	stop := context.AfterFunc(ctx, conn.Abort)
	end, result, answer := a.exchange()
	if stop() && answer != nil {
		g.pool.Put(a.key, conn, *answer)
	} else {
		g.pool.Discard(a.key, conn)
	}
	return end, result
}

// exchange returns what it read if the connection can be used again.
func (a *attempt) exchange() (attemptEnd, placement.Result, *endpointconn.Whole) {
	g, c := a.gateway, a.call
	if err := a.conn.Write(a.encode()); err != nil {
		c.runs++
		c.cause = err.Error()
		return attemptBroken, placement.ResultUnreachable, nil
	}
	own := func(h http.Header) bool { return g.dialect.Owns(c.request.ID, h) }
	// Closing the body would read the rest of it. An answer that isn't read to its
	// end takes its connection with it.
	response, err := a.conn.ReadHead(c.http.Method, own) //nolint:bodyclose // see above
	if err != nil {
		c.runs++
		c.cause = err.Error()
		return attemptBroken, a.silence(), nil
	}
	answer := g.dialect.ReadAnswer(response.StatusCode, response.Header)
	if answer.Load != nil {
		g.report(a.ticket, *answer.Load)
	}
	if answer.NotRun {
		return a.notRun(response, answer)
	}
	c.runs++
	if response.StatusCode/100 == 2 && !answer.Signed {
		c.cause = "answer without signature"
		return attemptBroken, placement.ResultFailed, nil
	}
	if c.route.Kind == routing.KindStream && response.StatusCode == http.StatusOK {
		return a.stream(response)
	}
	return a.readWhole(response)
}

// silence tells a connection that ended from one on which nothing came in time.
func (a *attempt) silence() placement.Result {
	if !time.Now().Before(a.call.deadline) {
		return placement.ResultSilent
	}
	return placement.ResultUnreachable
}

func (a *attempt) encode() []byte {
	c := a.call
	out := Outgoing{Endpoint: a.ticket.Endpoint.ID, Left: time.Until(c.deadline), Rank: c.rank, After: c.lastID}
	if c.account != nil {
		out.Account = c.account.Name
	}
	var b bytes.Buffer
	b.Grow(len(c.body) + 1024)
	a.gateway.dialect.WriteRequest(&b, c.http, c.body, out)
	return b.Bytes()
}

// notRun ends an attempt whose endpoint says that it did not run the request.
func (a *attempt) notRun(response *http.Response, answer Answer) (attemptEnd, placement.Result, *endpointconn.Whole) {
	a.call.cause = "refused with status " + strconv.Itoa(response.StatusCode)
	if answer.Misdirected {
		return attemptNotRun, placement.ResultUnreachable, nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAnswerBytes)); err != nil {
		return attemptNotRun, placement.ResultRefused, nil
	}
	return attemptNotRun, placement.ResultRefused, whole(response)
}

// readWhole reads an answer to its end before the caller gets it, so that one that
// breaks off never looks complete and may be asked for again.
func (a *attempt) readWhole(response *http.Response) (attemptEnd, placement.Result, *endpointconn.Whole) {
	g, c := a.gateway, a.call
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		c.cause = errors.Wrapf(err, "step=read answer peer=%s", a.key.Address).Error()
		return attemptBroken, a.silence(), nil
	}
	g.heard(a.ticket, 0)
	got := &finished{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		c.cause = "status " + strconv.Itoa(response.StatusCode)
		c.failure = got
		return attemptBroken, placement.ResultFailed, whole(response)
	}
	g.deliver(c, got)
	return attemptAnswered, placement.ResultServed, whole(response)
}

// whole tells of an answer whose body has been read to its end.
func whole(response *http.Response) *endpointconn.Whole {
	return &endpointconn.Whole{Header: response.Header, Close: response.Close}
}

// finished is an answer that has been read whole.
type finished struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes a whole answer on.
func (g *Gateway) deliver(c *call, f *finished) {
	c.setWriteDeadline(c.deadline.Add(writeMargin))
	h := c.writer.Header()
	h["Content-Type"] = nil
	g.dialect.CopyAnswer(h, f.header)
	h.Set("Content-Length", strconv.Itoa(len(f.body)))
	c.writer.WriteHeader(f.status)
	c.started = true
	if _, err := c.writer.Write(f.body); err != nil {
		c.cause = errors.Wrap(err, "step=answer caller").Error()
	}
	c.setWriteDeadline(time.Time{})
}

func (c *call) setWriteDeadline(t time.Time) {
	if err := http.NewResponseController(c.writer).SetWriteDeadline(t); err != nil {
		klog.ErrorS(err, "write deadline not set", "request", c.request.ID)
	}
}

// connections returns how many connections to one endpoint this process may open.
func (g *Gateway) connections(config *routing.Config, service string) int {
	s := config.Services[service]
	if s == nil || s.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(float64(s.MaxConnections)*connectionShare))
}

func (g *Gateway) heard(t *placement.Ticket, events int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Heard(g.now(), t, events)
}

func (g *Gateway) report(t *placement.Ticket, load placement.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Report(g.now(), t, load)
}

func (g *Gateway) end(t *placement.Ticket, result placement.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.End(g.now(), t, result)
}

// budget needs the lock.
func (g *Gateway) budget(service string) *retrybudget.Budget {
	b := g.budgets[service]
	if b == nil {
		b = retrybudget.New(g.settings.RetryWindow, g.settings.RetryRatio, g.settings.RetryExtra)
		g.budgets[service] = b
	}
	return b
}

// minProcesses is the least number of gateways that the extra repeats are
// divided by: one that has just started doesn't know all of them yet.
const minProcesses = 6

func (g *Gateway) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(service).Request(g.now())
}

func (g *Gateway) takeRepeat(service string) bool {
	// One more than are known, as one may have been replaced a moment ago.
	processes := max(g.peers.Known()+2, minProcesses)
	g.mu.Lock()
	taken := g.budget(service).Take(g.now(), processes)
	g.mu.Unlock()
	if taken {
		g.counters.repeats.Inc(1)
	}
	return taken
}

func mix(x uint64) uint64 { return policy.Mix(x) }
