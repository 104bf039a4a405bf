package soak

import (
	"strconv"
	"time"
)

const (
	// pauseGrace is the time after a refusal with a pause in which further requests may still be on
	// their way, and maxDuringPause the number that may reach the replica from that gateway after it.
	pauseGrace     = 500 * time.Millisecond
	maxDuringPause = 2
)

// checkPauses checks that replicas which have refused a request and asked for a pause got few
// requests from that gateway during it. Not counted are pauses in which the gateway was
// started, ended or suspended, or the network held requests back, and those of a replica that
// started again.
func (c *cluster) checkPauses() {
	for i, r := range c.replicas {
		arrivals := r.Arrivals()
		for _, refused := range arrivals {
			gateway, err := strconv.Atoi(refused.Header.Get(gatewayHeader))
			if err != nil || refused.Pause == 0 {
				continue
			}
			from, to := refused.At.Add(pauseGrace), refused.At.Add(time.Duration(refused.Pause*float64(time.Second)))
			if c.gateways[gateway].disturbed.within(refused.At, to) || c.heldBack[i+1].within(refused.At.Add(-pauseGrace), to) || c.restarted[i].within(refused.At, to) {
				continue
			}
			n := 0
			for _, a := range arrivals {
				if a.Header.Get(gatewayHeader) == refused.Header.Get(gatewayHeader) && a.At.After(from) && a.At.Before(to) {
					n++
				}
			}
			if n > maxDuringPause {
				c.t.Errorf("%s asked gateway %d for a pause of %.1f s at %s and got %d requests from it", r.ID, gateway, refused.Pause, refused.At.Format("15:04:05.000"), n)
				return
			}
		}
	}
}
