package gateway

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Causes for which an endpoint's process is known to be gone, as logs name them.
const (
	goneRegistry    = "registry"    // its entry names a later start
	goneEntry       = "entry"       // it has no entry any more
	goneRefused     = "refused"     // a connection to its address is refused
	goneReport      = "report"      // the process at its address names another start
	goneSilent      = "silent"      // its address ends all connections without an answer, while other endpoints answer
	goneMisdirected = "misdirected" // another endpoint answers at its address
)

// crashCheck is a check of an endpoint's process that requests were lost at.
type crashCheck struct {
	crashblame.Check
	endpoint  placement.Endpoint
	startedAt domain.Instant
}

// dueCrashChecks applies what the registry says of processes that requests were lost at, and returns those that have to be checked
// now. The caller must hold g.mu.
func (g *Gateway) dueCrashChecks() []crashCheck {
	for _, process := range g.crashes.Unconfirmed() {
		// An entry from before the loss, of a store that came back from a copy, names an earlier start.
		if e, ok := g.table.EndpointOf(process.Endpoint); ok && process.Start != 0 && e.Start > process.Start {
			g.recordGone(process, goneRegistry)
		}
	}
	var list []crashCheck
	now := g.now()
	for _, check := range g.crashes.StartChecks(now) {
		// The address of another start says nothing of this process.
		if e, ok := g.table.EndpointOf(check.Process.Endpoint); ok && e.Start == check.Process.Start {
			list = append(list, crashCheck{Check: check, endpoint: e, startedAt: now})
		}
	}
	return list
}

// startCrashChecks makes checks without waiting for them.
func (g *Gateway) startCrashChecks(ctx context.Context, list []crashCheck) {
	for _, check := range list {
		if check.Ask {
			g.instruments.crashChecks.Inc(1)
		}
		go g.checkCrash(ctx, check)
	}
}

// checkCrash records whether the process that requests were lost at is gone. Nothing is recorded if that can't be told: a network that resets
// connections could do the same to the check.
func (g *Gateway) checkCrash(ctx context.Context, check crashCheck) {
	start, err := g.connectOrAsk(ctx, check)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.recordGone(check.Process, goneRefused)
	case !check.Ask:
	case err != nil:
		if g.crashes.Unanswered(g.now(), check.Process, endedByPeer(err)) {
			g.recordGone(check.Process, goneSilent)
			return
		}
		klog.InfoS("crash not confirmed", "endpoint", check.endpoint.ID, "start", check.Process.Start, "err", err)
	case check.Process.Start == 0:
		klog.InfoS("crash not confirmed", "endpoint", check.endpoint.ID, "start", check.Process.Start, "err", err)
	case start != check.Process.Start:
		g.recordGone(check.Process, goneReport)
	default:
		g.crashes.Alive(check.startedAt, check.Process)
		klog.InfoS("no crash", "endpoint", check.endpoint.ID, "start", start)
	}
}

// connectOrAsk connects to an endpoint and, if the check says so, asks when its process has started.
func (g *Gateway) connectOrAsk(ctx context.Context, check crashCheck) (start int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	limit := 0
	if config := g.config.Load(); config != nil {
		limit = g.connectionLimit(config, check.endpoint.Service)
	}
	key := connectionKey(check.endpoint)
	conn, err := g.pool.Get(ctx, key, limit, !check.Ask)
	if err != nil {
		return 0, err
	}
	if !check.Ask {
		// The question and other requests can use it.
		g.pool.Put(key, conn, endpointconn.CompletedAnswer{})
		return 0, nil
	}
	defer g.pool.Discard(key, conn)
	stop := context.AfterFunc(ctx, conn.Abort)
	defer stop()
	return g.readReport(conn, key, time.Now().Add(reportTimeout))
}

// recordRefused records that an endpoint's process is gone if that is why an attempt could not connect.
func (a *attempt) recordRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.gateway.recordGone(a.process(), goneRefused)
}

// recordMisdirected records that an endpoint's process is gone, as another endpoint answers at its address.
func (a *attempt) recordMisdirected() {
	a.gateway.mu.Lock()
	defer a.gateway.mu.Unlock()
	a.gateway.recordGone(a.process(), goneMisdirected)
}

// recordGone records that an endpoint's process is gone, so that the requests that were lost there count. The caller must hold g.mu.
func (g *Gateway) recordGone(process crashblame.Process, cause string) {
	suspected, blamed := g.crashes.Gone(g.now(), process)
	if len(suspected) > 0 {
		g.instruments.partsSuspected.Inc(int64(len(suspected)))
		g.peers.Hurry()
		klog.InfoS("crash confirmed", "endpoint", process.Endpoint, "start", process.Start, "cause", cause, "suspected", formatParts(suspected))
	}
	g.logBlamed(blamed, "")
}
