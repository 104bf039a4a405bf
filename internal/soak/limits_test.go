package soak

import (
	"strconv"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

const (
	// gatewayHeader is a header in which callers name the gateway that they call. Gateways
	// forward it like any other.
	gatewayHeader = "X-Soak-Gateway"
	// limitWindow is the span over which a replica's requests are counted, limitExcess and
	// limitExtra are how many more than its limit allows it may get in one, and
	// limitGrace is the time from the first response with a limit until it has to be kept.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitExtra  = 5
	limitGrace  = 3 * time.Second
	// toldDelay is how long after the first response with a limit that a gateway has passed
	// on its requests count.
	toldDelay = 500 * time.Millisecond
)

// interval is a span of time; to is zero while it lasts.
type interval struct{ from, to time.Time }

// intervals are the spans in which something was disturbed. They are used by one goroutine.
type intervals []interval

// begin begins a span, unless one lasts.
func (s *intervals) begin() {
	if n := len(*s); n == 0 || !(*s)[n-1].to.IsZero() {
		*s = append(*s, interval{from: time.Now()})
	}
}

// end ends the span that lasts, if any.
func (s *intervals) end() {
	if n := len(*s); n > 0 && (*s)[n-1].to.IsZero() {
		(*s)[n-1].to = time.Now()
	}
}

// touch adds an instant.
func (s *intervals) touch() {
	s.end()
	s.begin()
	s.end()
}

// within reports whether some span overlaps the time from until to.
func (s *intervals) within(from, to time.Time) bool {
	for _, span := range *s {
		if span.from.Before(to) && (span.to.IsZero() || span.to.After(from)) {
			return true
		}
	}
	return false
}

// limitPeriod is a time in which a replica names one limit.
type limitPeriod struct {
	interval
	replica   int
	perSecond float64
}

// setLimit ends the limit of a replica and makes it name another; 0 for none.
func (c *cluster) setLimit(i int, perSecond float64) {
	for _, p := range c.limits {
		if p.replica == i && p.to.IsZero() {
			p.to = time.Now()
		}
	}
	c.logf("limit of %s: %.2f", c.replicas[i].ID, perSecond)
	c.replicas[i].SetLimit(perSecond)
	if perSecond > 0 {
		c.limits = append(c.limits, &limitPeriod{interval: interval{from: time.Now()}, replica: i, perSecond: perSecond})
	}
}

// checkLimits checks that no replica got far more requests than the limit that it named, in any
// window, from gateways that had passed on a response with it. Not counted are gateways that were
// started, ended or suspended, and windows in which the network held requests back, a window and
// limitGrace before or later.
func (c *cluster) checkLimits(calls []call) {
	for _, p := range c.limits {
		c.checkLimit(p, c.toldTimes(p, calls))
	}
}

// toldTimes returns when each gateway first passed on a response with the limit of a period.
func (c *cluster) toldTimes(p *limitPeriod, calls []call) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, result := range calls {
		if result.limitedBy != "seal-"+c.replicas[p.replica].ID || result.sent.Before(p.from) || !p.to.IsZero() && result.received.After(p.to) {
			continue
		}
		if first, ok := told[result.gateway]; !ok || result.received.Before(first) {
			told[result.gateway] = result.received
		}
	}
	return told
}

func (c *cluster) checkLimit(p *limitPeriod, told map[int]time.Time) {
	arrivals := c.replicas[p.replica].Arrivals()
	allowed := int(limitExcess*p.perSecond*limitWindow.Seconds()) + limitExtra
	for i, last := range arrivals {
		if last.At.Before(p.from.Add(limitGrace)) || !p.to.IsZero() && last.At.After(p.to) {
			continue
		}
		counts := func(a replica.Arrival) bool {
			gateway, err := strconv.Atoi(a.Header.Get(gatewayHeader))
			since, ok := told[gateway]
			return err == nil && ok && since.Add(toldDelay).Before(last.At) && !c.gateways[gateway].disturbed.within(last.At.Add(-limitWindow-limitGrace), last.At)
		}
		if !counts(last) || c.heldBack[p.replica+1].within(last.At.Add(-limitWindow-limitGrace), last.At) {
			continue
		}
		n := 0
		for _, a := range arrivals[:i+1] {
			if a.At.After(last.At.Add(-limitWindow)) && counts(a) {
				n++
			}
		}
		if n > allowed {
			c.t.Errorf("%s named a limit of %.2f a second at %s and got %d requests in the window that ends at %s, allowed %d",
				c.replicas[p.replica].ID, p.perSecond, p.from.Format("15:04:05.000"), n, last.At.Format("15:04:05.000"), allowed)
			return
		}
	}
}
