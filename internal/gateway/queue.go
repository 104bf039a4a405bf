package gateway

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

// dispatchInterval is the time between two attempts to place queued requests.
const dispatchInterval = 10 * time.Millisecond

// loggedTickDelay is the least delay of dispatch that is logged.
const loggedTickDelay = 100 * time.Millisecond

// The longest time that callers wait for the next event of a stream, also for its first one: the longest of these (docs/PLATFORM.md).
const (
	minStreamPatience = 2 * time.Second
	patienceTargets   = 4 // times the latency target
	patienceGaps      = 8 // times the gap target
)

// queuedCall is a request in the queue. done is closed when the request has been
// placed or its queue deadline has passed.
type queuedCall struct {
	waitqueue.Waiter
	call *call
	done chan struct{}
}

// place chooses an endpoint for a request, or queues the request until one can start it. First attempts and further ones are treated
// alike. If no endpoint is found, it returns a nil ticket and the reason.
func (g *Gateway) place(ctx context.Context, c *call, service string) (*placement.Ticket, string) {
	query := g.query(c, service)
	g.mu.Lock()
	now := g.now()
	g.applyPendingRemovalsLocked(now)
	pick := g.table.Pick
	if len(c.tried) == 0 {
		// Counts the request, which further attempts don't do again.
		pick = g.table.Arrive
	}
	ticket := pick(now, query)
	if ticket != nil {
		g.queue.Started(now, c.route.Name)
		g.mu.Unlock()
		return ticket, ""
	}
	queued, reason := g.enqueue(now, c, query)
	g.mu.Unlock()
	if queued == nil {
		return nil, reason
	}
	select {
	case <-queued.done:
	case <-ctx.Done():
		g.dequeue(queued)
	}
	if queued.Ticket == nil {
		c.picks = queued.Picks
		g.mu.Lock()
		c.obstacles = g.table.Obstacles(g.now(), query)
		if ctx.Err() == nil && !queued.AtRisk {
			g.table.RecordRejected(g.now(), query, c.obstacles)
		}
		g.mu.Unlock()
		return nil, "no endpoint can start it in time"
	}
	return queued.Ticket, ""
}

// enqueue queues a request that no endpoint can start now. If it is not expected to start while that is of use to its caller, it returns nil
// and the reason. The caller must hold g.mu.
func (g *Gateway) enqueue(now domain.Instant, c *call, query placement.Query) (*queuedCall, string) {
	if len(c.tried) > 0 && !g.table.HasCandidate(query) {
		return nil, c.cause
	}
	work, caller := g.table.WorkOf(now, query), g.callerTime(c)
	queued := &queuedCall{call: c, done: make(chan struct{})}
	queued.Waiter = waitqueue.Waiter{Query: query, Class: c.route.Name, Arrived: caller.Arrived, LatestStart: caller.LatestOnTimeStart(work), ExpiresAt: caller.LatestStart(work)}
	if g.comesBack(now, query) > queued.ExpiresAt {
		c.obstacles = g.table.Obstacles(now, query)
		return nil, "all endpoints pause or have no share of their limits left"
	}
	queued.Blocked = len(c.tried) > 0 // further attempts are not counted
	if !g.queue.Enter(now, &queued.Waiter, g.table) {
		c.obstacles = g.table.Obstacles(now, query)
		g.table.RecordRejected(now, query, c.obstacles)
		return nil, "no endpoint is expected to start it in time"
	}
	g.queuedCalls[&queued.Waiter] = queued
	return queued, ""
}

// dequeue removes a request from the queue. A ticket that it received in the
// meantime stays valid.
func (g *Gateway) dequeue(queued *queuedCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Remove(&queued.Waiter)
	delete(g.queuedCalls, &queued.Waiter)
}

// toInstant converts a time to the time since the gateway was created.
func (g *Gateway) toInstant(t time.Time) domain.Instant { return domain.Instant(t.Sub(g.started)) }

// callerTime returns the time that a caller has for an answer, or for the rest of a stream.
func (g *Gateway) callerTime(c *call) waitqueue.CallerTime {
	t := waitqueue.CallerTime{Arrived: g.toInstant(c.arrived), Target: c.route.Target, Deadline: g.toInstant(c.deadline)}
	if c.route.Kind != routing.KindStream {
		return t
	}
	since := t.Arrived
	if c.headSent {
		since = g.toInstant(c.lastForwardedAt)
		t.Arrived, t.Target = since, c.route.GapTarget
	}
	t.FirstBy = since.Add(max(minStreamPatience, patienceTargets*c.route.Target, patienceGaps*c.route.GapTarget))
	return t
}

// dispatch periodically places queued requests on endpoints that have capacity
// again, and rejects those whose time in the queue is over. It also renews the
// confirmation of the configuration.
func (g *Gateway) dispatch(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.recordTick()
		g.mu.Lock()
		g.tickStandstill()
		g.logBlamed(g.crashes.Tick(g.now()), "")
		g.turnAwayQueued(g.now())
		unheard, checks := g.unheardProcesses(), g.dueCrashChecks()
		g.dispatchQueued()
		g.mu.Unlock()
		g.checkAlive(unheard)
		g.startCrashChecks(ctx, checks)
		g.renewConfirmation()
		g.tellPeers()
	}
}

// recordTick records by how much the tick of dispatch comes late, which shows a lack of processor time.
func (g *Gateway) recordTick() {
	now := g.now()
	delay := now.Sub(g.tickedAt) - dispatchInterval
	if g.tickedAt > 0 && delay >= dispatchInterval {
		g.instruments.tickDelay.RecordDuration(delay)
		g.longestTickDelay.Store(max(g.longestTickDelay.Load(), int64(delay)))
	}
	g.tickedAt = now
}

// logTickDelay writes the longest delay of a tick since the last call, if it is long.
func (g *Gateway) logTickDelay() {
	if delay := time.Duration(g.longestTickDelay.Swap(0)); delay >= loggedTickDelay {
		klog.InfoS("periodic work late", "longest", delay)
	}
}

// dispatchQueued places queued requests if that is due. The caller must hold g.mu.
func (g *Gateway) dispatchQueued() {
	began := g.now()
	if g.queue.Len() == 0 || !g.queue.Due(began) {
		return
	}
	for _, done := range g.queue.Dispatch(began, g.table) {
		close(g.queuedCalls[done].done)
		delete(g.queuedCalls, done)
	}
	ended := g.now()
	g.queue.Worked(began, ended)
	g.instruments.dispatchTime.RecordDuration(ended.Sub(began))
}
