package gateway

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

const (
	// defaultRetryAfter is sent to rejected callers if nothing is known of when there will be room. A gateway that lacks something asks the
	// store for it after as long, and another one may have it.
	defaultRetryAfter = 200 * time.Millisecond
	// retryAfterSpread is the share by which the times at which rejected callers return differ.
	retryAfterSpread = 0.25
)

// query describes a request to the placement table.
func (g *Gateway) query(c *call, service string) placement.Query {
	return placement.Query{
		Service: service, Rank: c.rank, Parts: c.request.Parts, MaxTokens: c.request.MaxTokens, ExpectedTokens: c.request.ExpectedTokens,
		Target: c.route.Target, GapTarget: c.route.GapTarget, Deadline: g.toInstant(c.deadline), Exclude: c.tried, Version: c.version,
	}
}

// comesBack returns when pauses and request limits allow a request that no endpoint can take now; 0 if they are not what keeps it. The caller
// must hold g.mu.
func (g *Gateway) comesBack(now domain.Instant, query placement.Query) domain.Instant {
	query.Exclude = nil // what the caller sends next may go to any endpoint
	return g.table.ComesBack(now, query)
}

// noteRoom notes for the caller of a request that no endpoint took when there will be room: when pauses and request limits allow it, or the
// requests that wait before it have started and one answer has ended. The caller must hold g.mu.
func (g *Gateway) noteRoom(now domain.Instant, c *call, query placement.Query) {
	if at := g.comesBack(now, query); at > 0 {
		c.retryAfter = at.Sub(now)
		return
	}
	waiter := waitqueue.Waiter{Query: query, Class: c.route.Name, Arrived: now, LatestStart: now}
	room := max(g.queue.ExpectedWait(now, &waiter), g.table.WorkOf(now, query).First)
	// A caller has no use for a later time, and an estimate that long is rough.
	c.retryAfter = max(min(room, g.toInstant(c.callerLimit).Sub(now)), 0)
}

// retryAfter returns the value of Retry-After for a rejected caller. The times of different callers are spread. It has a fraction, although
// RFC 9110 defines only whole seconds.
func retryAfter(c *call) string {
	if c.elsewhere {
		return formatSeconds(0)
	}
	after := c.retryAfter
	if after <= 0 {
		after = defaultRetryAfter
	}
	spread := float64(mix64(xxhash.Sum64String(c.request.ID))>>11) / (1 << 53) * retryAfterSpread
	return formatSeconds(time.Duration(float64(after) * (1 + spread)))
}

// formatSeconds returns a duration in seconds, with milliseconds.
func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
