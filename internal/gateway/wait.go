package gateway

import (
	"context"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

const (
	// dispatchInterval is the time between two looks at the waiting requests.
	dispatchInterval = 10 * time.Millisecond
	// startAllowance is the share of a request's target that its start takes at
	// an endpoint that is free.
	startAllowance = 0.3
	// holdShare is the share of a caller's patience in which a request may wait
	// here; the rest is for the answer.
	holdShare = 0.25
)

// returnedHoldShare is that share for a caller that has been turned away before.
const returnedHoldShare = 0.1

// waiting is a request that waits for an endpoint, and how it is told.
type waiting struct {
	waitqueue.Waiter
	done chan struct{}
}

// place chooses an endpoint. If none can start the request in time, it waits.
// Without a ticket it returns the reason.
func (g *Gateway) place(ctx context.Context, c *call, service string) (*placement.Ticket, string) {
	query := placement.Query{
		Service: service, Rank: c.rank, Parts: c.request.Parts, Output: c.request.Output, Expected: c.request.Expected,
		Target: c.route.Target, Deadline: g.instant(c.deadline), Exclude: c.tried,
	}
	g.mu.Lock()
	now := g.now()
	g.dropLeft(now)
	if len(c.tried) == 0 {
		g.table.Asked(now, query)
	}
	if ticket := g.table.Pick(now, query); ticket != nil || len(c.tried) > 0 {
		g.mu.Unlock()
		return ticket, c.cause
	}
	w := &waiting{done: make(chan struct{})}
	w.Waiter = waitqueue.Waiter{Query: query, Arrived: g.instant(c.arrived), InTime: g.inTime(c), Until: g.holdUntil(c)}
	g.waiters[&w.Waiter] = w
	g.queue.Add(&w.Waiter)
	g.mu.Unlock()
	select {
	case <-w.done:
	case <-ctx.Done():
		g.leave(w)
	}
	if w.Ticket == nil {
		return nil, "no endpoint can start it in time"
	}
	return w.Ticket, ""
}

// leave takes a request out of the queue. A ticket that it has got meanwhile is kept.
func (g *Gateway) leave(w *waiting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.Remove(&w.Waiter)
	delete(g.waiters, &w.Waiter)
}

func (g *Gateway) instant(t time.Time) domain.Instant { return domain.Instant(t.Sub(g.started)) }

// inTime is the latest start by which a request can still meet its target.
func (g *Gateway) inTime(c *call) domain.Instant {
	if c.route.Target <= 0 {
		return g.instant(c.deadline)
	}
	return g.instant(c.arrived).Add(time.Duration(float64(c.route.Target)*(1-startAllowance)) - c.spent)
}

// holdUntil is when a request is turned away that has not started.
func (g *Gateway) holdUntil(c *call) domain.Instant {
	share := holdShare
	if c.spent > 0 {
		share = returnedHoldShare
	}
	return g.instant(c.arrived).Add(time.Duration(float64(c.deadline.Sub(c.arrived)) * share))
}

// dispatch gives waiting requests to endpoints that have become free.
func (g *Gateway) dispatch(ctx context.Context) {
	ticker := time.NewTicker(dispatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		g.mu.Lock()
		for _, done := range g.queue.Dispatch(g.now(), g.table) {
			close(g.waiters[done].done)
			delete(g.waiters, done)
		}
		g.mu.Unlock()
	}
}
