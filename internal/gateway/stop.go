package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// unreadyDelay is the time between failing the readiness check and closing
	// the listener. The load balancer checks once a second and removes a
	// gateway after two failures.
	unreadyDelay = 2600 * time.Millisecond
	// exitMargin is how long before the end of Settings.StopGrace the process exits.
	exitMargin = 500 * time.Millisecond
	// lastAnswerTime is how long before that the requests in progress are ended, so that their callers get an answer.
	lastAnswerTime = 300 * time.Millisecond
)

// causeStopping is why a stopping gateway rejects a request or ends it.
const causeStopping = "the gateway stops before the request can end"

// stop fails the readiness check, waits until the load balancer has noticed,
// then closes the listener and waits for the requests in progress. It ends those that last
// until shortly before the process exits.
func (g *Gateway) stop() error {
	began := time.Now()
	exit := began.Add(g.settings.StopGrace - exitMargin)
	g.mu.Lock()
	g.callsEndAt = g.toInstant(exit.Add(-lastAnswerTime))
	g.mu.Unlock()
	g.stopping.Store(true)
	klog.InfoS("stopping", "grace", g.settings.StopGrace)
	if g.usage != nil {
		g.usage.stop()
	}
	defer time.AfterFunc(time.Until(exit.Add(-lastAnswerTime)), g.endCalls).Stop()
	time.Sleep(unreadyDelay)
	ctx, cancel := context.WithDeadline(context.Background(), exit)
	defer cancel()
	err := g.callerServer.Shutdown(ctx)
	if g.usage != nil {
		g.usage.leave()
	}
	klog.InfoS("stopped", "took", time.Since(began), "cut", err != nil)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return errors.Wrap(err, "step=stop")
}

// seesThrough reports whether a request that is passed on now is expected to end before the process does. One that may not
// be repeated has to be sure of it, by its deadline. The caller must hold g.mu.
func (g *Gateway) seesThrough(now domain.Instant, c *call, service string) bool {
	if g.callsEndAt == 0 || g.toInstant(c.deadline) <= g.callsEndAt {
		return true
	}
	if !c.route.Retryable() {
		return false
	}
	work := g.table.WorkOf(now, g.query(c, service))
	return work.Whole > 0 && now.Add(work.Whole) <= g.callsEndAt
}

// turnAwayQueued ends the wait of queued requests that a stopping gateway can't see through. The caller must hold g.mu.
func (g *Gateway) turnAwayQueued(now domain.Instant) {
	if g.callsEndAt == 0 {
		return
	}
	for waiter, queued := range g.queuedCalls {
		if !g.seesThrough(now, queued.call, queued.Query.Service) {
			g.queue.Remove(waiter)
			close(queued.done)
			delete(g.queuedCalls, waiter)
		}
	}
}

// turnsAway ends a request that a stopping gateway can't see through and reports whether it did. One that has not run can be sent to another
// gateway at once.
func (g *Gateway) turnsAway(c *call, service string) bool {
	g.mu.Lock()
	sees := g.seesThrough(g.now(), c, service)
	g.mu.Unlock()
	if sees {
		return false
	}
	c.elsewhere = true
	c.writer.Header().Set("Connection", "close")
	g.failCall(c, causeStopping)
	return true
}
