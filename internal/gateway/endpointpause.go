package gateway

import (
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
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
