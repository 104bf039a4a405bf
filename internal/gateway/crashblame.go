package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"syscall"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// causeBlamed is why a request is rejected that is blamed, or a part of its prompt.
const causeBlamed = "endpoints crash under it or a part of its prompt"

// identity returns what identifies the request.
func (c *call) identity() crashblame.Request {
	r := crashblame.Request{Method: c.http.Method, Host: c.http.Host, Target: c.http.RequestURI, Body: c.bodyPieces()}
	if c.account != nil {
		r.Caller = c.account.Name
	}
	for _, p := range c.request.Parts {
		r.Parts = append(r.Parts, crashblame.Part(p.ID))
	}
	return r
}

// identify computes the request's identity if a suspected or blamed request may have it.
func (g *Gateway) identify(c *call) {
	if c.requestPart != 0 {
		return
	}
	g.mu.Lock()
	known := g.crashes.KnowsHead(c.requestHead)
	g.mu.Unlock()
	if known {
		c.requestPart = c.identity().Part(c.requestHead)
	}
}

// crashParts returns what crashes of endpoints can be blamed on: the shared parts of the prompt, and the request if its
// identity is computed.
func (c *call) crashParts() []crashblame.Part {
	if c.requestPart == 0 {
		return c.sharedParts
	}
	return append(slices.Clone(c.sharedParts), c.requestPart)
}

// sharedParts returns the parts of a prompt that other requests can have too: all but the last one.
func sharedParts(parts []placement.Part) []crashblame.Part {
	if len(parts) < 2 {
		return nil
	}
	shared := make([]crashblame.Part, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		if id := crashblame.Part(p.ID); !slices.Contains(shared, id) {
			shared = append(shared, id)
		}
	}
	return shared
}

// admitParts reports whether a request may be sent to an endpoint, as far as crashes under it and the parts of its prompt go.
func (g *Gateway) admitParts(c *call) bool {
	if c.probedPart != 0 {
		return true
	}
	g.identify(c)
	parts := c.crashParts()
	if len(parts) == 0 {
		return true
	}
	g.mu.Lock()
	v := g.crashes.Admit(g.now(), parts)
	g.mu.Unlock()
	switch {
	case v.Refused:
		c.retryAfter = v.Wait
		g.instruments.partRejections.Inc(1)
		klog.InfoS("request blamed", "request", c.request.ID, "part", formatPart(v.Blamed), "whole", v.Blamed == c.requestPart, "wait", v.Wait)
	case v.Probe:
		c.probedPart = v.Blamed
		klog.InfoS("blame probed", "request", c.request.ID, "part", formatPart(v.Blamed), "whole", v.Blamed == c.requestPart)
	}
	return !v.Refused
}

// mayRetryParts reports whether a request whose attempt has failed may be sent to another endpoint, as far as
// crashes under the parts of its prompt go. A probe is never sent twice.
func (g *Gateway) mayRetryParts(c *call) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return c.probedPart == 0 && g.crashes.MayRetry(c.crashParts())
}

// process returns the endpoint's process that the attempt is made at.
func (a *attempt) process() crashblame.Process {
	return crashblame.Process{Endpoint: placement.EndpointHash(a.ticket.Endpoint.ID), Start: a.ticket.Endpoint.Start}
}

// endProbe records that a request which has been admitted as a probe is sent, or that it is given up. Only the first
// call for a request has an effect. The caller must hold g.mu.
func (g *Gateway) endProbe(c *call, sent bool) {
	if c.probedPart == 0 || c.probeEnded {
		return
	}
	c.probeEnded = true
	g.crashes.EndProbe(c.probedPart, sent)
}

// recordSent records that the request is sent.
func (a *attempt) recordSent() {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.gateway.endProbe(a.call, true)
	a.run = a.gateway.crashes.Sent(a.process(), a.call.sharedParts)
	a.identifyRun()
}

// identifyRun passes the request's identity on to the crash records, if it is computed. The caller must hold g.mu.
func (a *attempt) identifyRun() {
	a.gateway.crashes.Identify(a.run, a.call.requestPart, a.call.route.Kind != routing.KindStream)
}

// recordBegun records that the head of the answer has arrived.
func (a *attempt) recordBegun() {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.gateway.crashes.Begun(a.gateway.now(), a.run)
}

// recordWritten records that the endpoint has written a part of a stream.
func (a *attempt) recordWritten() {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.gateway.crashes.Received(a.gateway.now(), a.run)
}

// recordCrash records how an attempt ended, as far as it says something of crashes. A connection that
// the endpoint's side ends in the middle of an exchange may have ended by a crash.
func (a *attempt) recordCrash(ctx context.Context, end attemptEnd, result placement.Result) {
	g := a.gateway
	if a.run == nil {
		return
	}
	answered := end == attemptAnswered && result == placement.ResultServed
	lost := end == attemptFailed && result == placement.ResultUnreachable && ctx.Err() == nil && a.endedByPeer
	if lost && a.call.requestPart == 0 {
		a.call.requestPart = a.call.identity().Part(a.call.requestHead)
	}
	g.identify(a.call)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	a.identifyRun()
	switch {
	case answered:
		g.crashes.Completed(now, a.run)
	case lost:
		suspected, blamed := g.crashes.Lost(now, a.run)
		if len(suspected) > 0 {
			g.instruments.partsSuspected.Inc(int64(len(suspected)))
			g.peers.Hurry()
		}
		if len(suspected) > 0 || !a.run.Begun() && len(a.call.sharedParts) > 0 {
			klog.InfoS("endpoint lost", "request", a.call.request.ID, "endpoint", a.ticket.Endpoint.ID, "start", a.ticket.Endpoint.Start, "begun", a.run.Begun(), "suspected", formatParts(suspected), "whole", formatPart(a.call.requestPart))
		}
		g.logBlamed(blamed, "")
	default:
	}
}

// unheardProcess is a process of an endpoint from which nothing has come for a while.
type unheardProcess struct {
	process crashblame.Process
	key     endpointconn.Key
}

// unheardProcesses returns the processes of which the crash records have to know whether they run. The caller
// must hold g.mu.
func (g *Gateway) unheardProcesses() []unheardProcess {
	var list []unheardProcess
	for _, process := range g.crashes.Unheard(g.now()) {
		if e, ok := g.table.EndpointOf(process.Endpoint); ok && e.Start == process.Start {
			list = append(list, unheardProcess{process: process, key: connectionKey(e)})
		}
	}
	return list
}

// checkAlive records which processes run, as an idle connection to them is open.
func (g *Gateway) checkAlive(list []unheardProcess) {
	for _, u := range list {
		if !g.pool.Alive(u.key) {
			continue
		}
		g.mu.Lock()
		g.crashes.Heard(g.now(), u.process)
		g.mu.Unlock()
	}
}

// lostSince reports whether another request was lost at the same process since a moment before a time.
func (a *attempt) lostSince(at domain.Instant) bool {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	return a.gateway.crashes.LostSince(at, a.process())
}

// logBlamed logs the parts that are blamed from now on, by the news of a peer or, if it is empty, by what
// was seen here.
func (g *Gateway) logBlamed(parts []crashblame.Part, peer string) {
	for _, p := range parts {
		g.instruments.partsBlamed.Inc(1)
		klog.InfoS("endpoints crash under", "part", formatPart(p), "peer", peer)
	}
}

// CrashNews returns what this gateway tells its peers of crashes of endpoints.
func (g *Gateway) CrashNews() crashblame.News {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.crashes.News(g.now())
}

// PeerCrashNews applies what a peer tells of crashes of endpoints.
func (g *Gateway) PeerCrashNews(peer string, n crashblame.News) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logBlamed(g.crashes.PeerNews(g.now(), n), peer)
}

// endedByPeer reports whether an error means that the other side of a connection has ended it.
func endedByPeer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// formatPart returns the identifier of a part as logs have it.
func formatPart(p crashblame.Part) string { return strconv.FormatUint(uint64(p), 16) }

func formatParts(parts []crashblame.Part) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = formatPart(p)
	}
	return names
}
