package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// pauseGrace is the time after a refusal in which further requests may still be on their way,
	// and maxDuringPause the number that may reach an engine from one gateway after it.
	pauseGrace     = 500 * time.Millisecond
	maxDuringPause = 2
)

// refusal is an answer by which an engine asked a gateway for a pause.
type refusal struct {
	at      time.Duration
	gateway int
	length  time.Duration
}

// refuses reports whether an engine refuses a request, and asks its gateway for a pause then.
func (sim *simulation) refuses(e *engine, q *request, t *placement.Ticket) bool {
	if sim.now >= e.refusesUntil {
		return false
	}
	e.arrivals = append(e.arrivals, arrival{at: sim.now, gateway: q.gateway})
	e.refusals = append(e.refusals, refusal{at: sim.now, gateway: q.gateway, length: e.pause})
	table := sim.gateways[q.gateway].table
	table.RecordPause(sim.instant(), t, e.pause)
	table.RecordEnd(sim.instant(), t, placement.ResultRefused)
	return true
}

// checkPauses checks that an engine has got few requests from a gateway while it wanted none.
func (e *engine) checkPauses(t *testing.T) {
	t.Helper()
	for _, r := range e.refusals {
		n := 0
		for _, a := range e.arrivals {
			if a.gateway == r.gateway && a.at > r.at+pauseGrace && a.at < r.at+r.length {
				n++
			}
		}
		assert.Check(t, n <= maxDuringPause, "%s got %d requests of gateway %d in its pause of %s from %s", e.id, n, r.gateway, r.length, r.at)
	}
}

// TestPausingEnginesGetRequests guards against requests that are sent to engines which have refused
// one and want none for a time, also if all engines pause, and against requests that
// all come at once at the end of a pause.
func TestPausingEnginesGetRequests(t *testing.T) {
	t.Parallel()
	for seed := uint64(75); seed < 78; seed++ {
		sim := newSimulation(seed, 5, engines)
		sim.simulate(4*time.Second, limitedLoad()...)
		pausing := sim.engines[:3]
		for i, e := range pausing {
			e.refusesUntil, e.pause = sim.now+time.Duration(i+1)*2*time.Second, time.Duration(3-i)*700*time.Millisecond
		}
		sim.simulate(8*time.Second, limitedLoad()...)
		for _, e := range sim.engines {
			e.refusesUntil, e.pause = sim.now+time.Second, 2*time.Second
		}
		sim.simulate(6*time.Second, limitedLoad()...)
		for _, e := range sim.engines {
			assert.Assert(t, len(e.refusals) > 0)
			e.checkPauses(t)
			assert.Check(t, e.since(sim.now-time.Second) > 0, "%s got nothing after its pauses", e.id)
			for _, r := range e.refusals {
				n := 0
				for _, a := range e.arrivals {
					if end := r.at + r.length; a.gateway == r.gateway && a.at >= end && a.at < end+2*tick {
						n++
					}
				}
				assert.Check(t, n <= 2, "%s got %d requests of gateway %d at the end of its pause", e.id, n, r.gateway)
			}
		}
	}
}
