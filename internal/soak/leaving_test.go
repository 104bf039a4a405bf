package soak

import (
	"strconv"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

// drainTime is how long after a response by which a gateway learnt that a replica leaves requests
// to that replica are still allowed, from the time at which their callers sent them.
const drainTime = 2 * time.Second

// leavingPeriod is a time in which a replica says that it leaves.
type leavingPeriod struct {
	interval
	replica int
}

// leave makes a replica say in some or all of its responses that it leaves. Its row stays as it is.
func (c *cluster) leave(i int, in replica.Leaving) {
	c.logf("%s leaves, said in %d", c.replicas[i].ID, in)
	c.replicas[i].SetLeaving(in)
	for _, p := range c.leavings {
		if p.replica == i && p.to.IsZero() {
			return
		}
	}
	c.leavings = append(c.leavings, &leavingPeriod{interval: interval{from: time.Now()}, replica: i})
}

// endLeaving ends the leaving of a replica, which starts again.
func (c *cluster) endLeaving(i int) {
	for _, p := range c.leavings {
		if p.replica == i && p.to.IsZero() {
			p.to = time.Now()
		}
	}
}

// checkLeavings checks that no replica got a request from a gateway that had passed on a response
// in which it said that it leaves, if the caller sent the request more than drainTime later and
// the gateway was not started, ended or suspended since.
func (c *cluster) checkLeavings(calls []call) {
	sent := make(map[string]time.Time)
	for _, result := range calls {
		sent[result.id] = result.sent
	}
	for _, p := range c.leavings {
		told := c.toldLeaving(p, calls)
		for _, a := range c.replicas[p.replica].Arrivals() {
			gateway, err := strconv.Atoi(a.Header.Get(gatewayHeader))
			if err != nil || a.At.Before(p.from) || !p.to.IsZero() && a.At.After(p.to) {
				continue
			}
			since, ok := told[gateway]
			if ok && sent[a.ID].After(since.Add(drainTime)) && !c.gateways[gateway].disturbed.within(since, a.At) {
				c.t.Errorf("%s got %s from gateway %d, which had passed on %s before the call that it leaves", c.replicas[p.replica].ID, a.ID, gateway, sent[a.ID].Sub(since))
				return
			}
		}
	}
}

// toldLeaving returns when each gateway first passed on a response of a period.
func (c *cluster) toldLeaving(p *leavingPeriod, calls []call) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, result := range calls {
		if result.leavingBy != "seal-"+c.replicas[p.replica].ID || result.sent.Before(p.from) || !p.to.IsZero() && result.received.After(p.to) {
			continue
		}
		// A gateway that was restarted since may know nothing: later responses count.
		if first, ok := told[result.gateway]; !ok || c.gateways[result.gateway].disturbed.within(first, result.received) {
			told[result.gateway] = result.received
		}
	}
	return told
}
