package gateway

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// pauseWaitShare is the share of the time until its deadline for which a request waits for an
	// endpoint that pauses; the rest is for the answer.
	pauseWaitShare = 0.5
	// retryAfterSpread is the share by which the times at which rejected callers return differ.
	retryAfterSpread = 0.25
)

// recordPause passes on to the placement table that an endpoint has refused a request and wants no
// other one for a time.
func (g *Gateway) recordPause(ticket *placement.Ticket, answer Answer) {
	switch {
	case answer.Pause == 0:
		return
	case answer.Pause < 0:
		g.instruments.pausesInvalid.Inc(1)
		klog.InfoS("endpoint pause ignored", "endpoint", ticket.Endpoint.ID, "cause", "not a number of seconds")
		return
	case answer.Pause > placement.MaxPause:
		g.instruments.pausesInvalid.Inc(1)
		klog.InfoS("endpoint pause bounded", "endpoint", ticket.Endpoint.ID, "wanted", answer.Pause, "bound", placement.MaxPause)
	}
	g.mu.Lock()
	changed := g.table.RecordPause(g.now(), ticket, answer.Pause)
	g.mu.Unlock()
	if changed {
		g.instruments.pauses.Inc(1)
		klog.InfoS("endpoint pauses", "endpoint", ticket.Endpoint.ID, "for", min(answer.Pause, placement.MaxPause))
	}
}

// withdrawn returns why a request must not be sent any more, as the endpoint has said since its placement that
// it takes none, or the request or a part of the prompt has been blamed; empty if it may be sent.
func (a *attempt) withdrawn() string {
	g, c := a.gateway, a.call
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.table.Withdrawn(g.now(), a.ticket):
		return "endpoint pauses or leaves"
	case c.probedPart == 0 && g.crashes.IsBlamed(c.crashParts()):
		return causeBlamed
	default:
		return ""
	}
}

// logEndedPauses logs the pauses of endpoints that have ended.
func (g *Gateway) logEndedPauses() {
	g.mu.Lock()
	ended := g.table.EndedPauses(g.now())
	g.mu.Unlock()
	for _, id := range ended {
		klog.InfoS("endpoint pause ended", "endpoint", id)
	}
}

// comesBack returns when pauses and request limits allow a request that no endpoint can take now, and
// notes it for the caller if the request is rejected; 0 if they are not what keeps it. The caller must
// hold g.mu.
func (g *Gateway) comesBack(c *call, query placement.Query) domain.Instant {
	query.Exclude = nil // what the caller sends next may go to any endpoint
	now := g.now()
	at := g.table.ComesBack(now, query)
	c.retryAfter = 0
	if at > 0 {
		c.retryAfter = at.Sub(now)
	}
	return at
}

// latestReturn returns the time until which a request waits for an endpoint that comes back.
func (g *Gateway) latestReturn(c *call) domain.Instant {
	return g.toInstant(c.arrived).Add(time.Duration(float64(c.deadline.Sub(c.arrived)) * pauseWaitShare))
}

// retryAfter returns the value of Retry-After for a rejected caller: when there will be room, if that is
// known. The times of different callers are spread.
func retryAfter(c *call) string {
	if c.retryAfter <= 0 {
		return retryAfterSeconds
	}
	spread := float64(mix64(xxhash.Sum64String(c.request.ID))>>11) / (1 << 53) * retryAfterSpread
	return strconv.FormatFloat(c.retryAfter.Seconds()*(1+spread), 'f', 3, 64)
}
