package soak

import (
	"cmp"
	"slices"
	"time"
)

const (
	// retryWindow and retryExtra are the gateways' settings of the retry budget.
	retryWindow = 10 * time.Second
	retryExtra  = 60
)

// retryRatios are the settings of the budget's ratio that runSeed picks from. With the small
// one most retries come from the extra, of which each gateway has a share.
var retryRatios = []float64{0.01, 0.2}

// checkRetries checks that in no window the replicas got more requests again than the retry
// budget allows: the extra, and the ratio of the calls in that window, in the one before it or
// in the one that begins half a window earlier, whichever has most. Restarts of gateways, cuts
// and suspensions excuse nothing.
func (c *cluster) checkRetries(calls []call) {
	repeated := c.repeats()
	for _, last := range repeated {
		from := last.Add(-retryWindow)
		repeats := 0
		for _, at := range repeated {
			if at.After(from) && !at.After(last) {
				repeats++
			}
		}
		most := 0
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			begin := from.Add(-shift)
			most = max(most, countCalls(calls, func(c call) bool { return c.sent.After(begin) && !c.sent.After(begin.Add(retryWindow)) }))
		}
		if allowed := int(c.retryRatio*float64(most) + retryExtra); repeats > allowed {
			c.t.Errorf("%d repeated requests in the window that ends at %s, for %d calls, allowed %d", repeats, last.Format("15:04:05.000"), most, allowed)
			return
		}
	}
}

// repeats returns the times at which replicas got a request that one of them had got before.
func (c *cluster) repeats() []time.Time {
	type arrival struct {
		id string
		at time.Time
	}
	var arrivals []arrival
	for _, r := range c.replicas {
		for _, a := range r.Arrivals() {
			arrivals = append(arrivals, arrival{a.ID, a.At})
		}
	}
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.id, b.id)) })
	seen := make(map[string]bool)
	var repeats []time.Time
	for _, a := range arrivals {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	return repeats
}
