package replay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// limitWindow is the span over which an engine's requests are counted, limitExcess and
	// limitExtra are how many more than its limit allows it may get in one, and
	// limitGrace is the time from the first answer with a limit until it has to be kept.
	limitWindow = 4 * time.Second
	limitExcess = 1.5
	limitExtra  = 5
	limitGrace  = 3 * time.Second
	// toldDelay is how long after the first answer with a limit that a gateway has
	// received its requests count.
	toldDelay = 500 * time.Millisecond
)

// arrival is a request that arrived at an engine.
type arrival struct {
	at      time.Duration
	gateway int
}

// requestLimit is the requests per second that an engine names in its answers; 0 for none.
type requestLimit struct {
	perSecond float64
	namedAt   time.Duration         // first answer with a limit
	told      map[int]time.Duration // first answer with a limit to each gateway
}

// setLimit makes an engine name a limit in its answers from now on; 0 for none.
func (e *engine) setLimit(perSecond float64) {
	if perSecond == 0 || e.limit.perSecond == 0 {
		e.limit = requestLimit{told: make(map[int]time.Duration)}
	}
	e.limit.perSecond = perSecond
}

// nameLimit passes the engine's limit to the gateway that an answer begins at.
func (e *engine) nameLimit(at time.Duration, g *gatewayModel, q *request) {
	if e.limit.perSecond == 0 {
		g.table.RecordLimit(domain.Instant(at)+1, q.ticket, math.Inf(1))
		return
	}
	if e.limit.namedAt == 0 {
		e.limit.namedAt = at
	}
	if _, ok := e.limit.told[q.gateway]; !ok {
		e.limit.told[q.gateway] = at
	}
	g.table.RecordLimit(domain.Instant(at)+1, q.ticket, e.limit.perSecond)
}

// checkLimit checks the requests that an engine with a limit has got in the window that ends now,
// if one of them arrived in the last tick: requests from before the limit are no fault while no
// further one follows.
func (e *engine) checkLimit(t *testing.T, now time.Duration) {
	t.Helper()
	if e.limit.perSecond == 0 || e.limit.namedAt == 0 || now < e.limit.namedAt+limitGrace {
		return
	}
	n, arrived := 0, false
	for i := len(e.arrivals) - 1; i >= 0 && e.arrivals[i].at > now-limitWindow; i-- {
		if told, ok := e.limit.told[e.arrivals[i].gateway]; ok && told+toldDelay <= now {
			n++
			arrived = arrived || e.arrivals[i].at >= now-tick
		}
	}
	if !arrived {
		return
	}
	allowed := int(limitExcess*e.limit.perSecond*limitWindow.Seconds()) + limitExtra
	assert.Check(t, n <= allowed, "%s, limit %.1f a second: %d requests in the window that ends at %s, allowed %d", e.id, e.limit.perSecond, n, now, allowed)
}

// simulateLimits runs workloads for a time and checks the limits of all engines in each tick.
func (sim *simulation) simulateLimits(t *testing.T, length time.Duration, workloads ...workload) {
	t.Helper()
	for end := sim.now + length; sim.now < end && !t.Failed(); {
		sim.simulate(tick, workloads...)
		for _, e := range sim.engines {
			e.checkLimit(t, sim.now)
		}
	}
}

// since returns the number of requests that an engine has got since a time.
func (e *engine) since(from time.Duration) int {
	n := 0
	for _, a := range e.arrivals {
		if a.at >= from {
			n++
		}
	}
	return n
}

// limitedLoad is a load that the engines of limit tests serve without limits.
func limitedLoad() []workload {
	return []workload{longPrompts(constantRate(30)), shortPrompts(constantRate(49)), longAnswers(constantRate(16))}
}

// TestRequestLimitExceeded guards against gateways that together send an engine
// far more requests than the limit that it names, also if most requests arrive at one of them.
func TestRequestLimitExceeded(t *testing.T) {
	t.Parallel()
	for seed := uint64(50); seed < 56; seed++ {
		sim := newSimulation(seed, 5, engines)
		if seed > 52 {
			sim.firstShare = 0.7
		}
		sim.simulate(8*time.Second, limitedLoad()...)
		limited := sim.engines[:2]
		limited[0].setLimit(1.7)
		limited[1].setLimit(1.3)
		sim.simulateLimits(t, 14*time.Second, limitedLoad()...)
	}
}

// TestRequestLimitBelowEarlierRequests guards against requests that come too soon after a
// limit far below the earlier rate: those from before the limit count in the same window, and
// most gateways have sent few of them if callers come through one.
func TestRequestLimitBelowEarlierRequests(t *testing.T) {
	t.Parallel()
	for seed := uint64(56); seed < 59; seed++ {
		sim := newSimulation(seed, 5, 4)
		sim.firstShare = 0.9
		load := []workload{shortPrompts(constantRate(90)), longAnswers(constantRate(10))}
		sim.simulate(8*time.Second, load...)
		sim.engines[0].setLimit(2.5)
		sim.simulateLimits(t, 8*time.Second, load...)
	}
}

// TestRequestLimitsThatChange guards against a limit that is kept after it has changed or
// ended: limits fall, rise and end, and requests come back after the end.
func TestRequestLimitsThatChange(t *testing.T) {
	t.Parallel()
	sim := newSimulation(60, 5, engines)
	sim.simulate(6*time.Second, limitedLoad()...)
	e := sim.engines[3]
	for _, perSecond := range []float64{4, 1.2, 0.05, 3.5, 0, 2, 0} {
		e.setLimit(perSecond)
		// A limit that falls allows the requests of the window before its change.
		e.limit.namedAt = 0
		changedAt := sim.now
		sim.simulateLimits(t, 15*time.Second, limitedLoad()...)
		if perSecond == 0 {
			assert.Check(t, e.since(changedAt+10*time.Second) > 10, "%d requests in 5 s, 10 s after the limit has ended", e.since(changedAt+10*time.Second))
		}
	}
}

// TestRequestLimitsOfAllEngines guards against limits that keep more away than they have to:
// if all engines have one, the requests that they allow are sent.
func TestRequestLimitsOfAllEngines(t *testing.T) {
	t.Parallel()
	for _, gateways := range []int{1, 5, 23} {
		sim := newSimulation(61, gateways, engines)
		sim.simulate(6*time.Second, limitedLoad()...)
		for _, e := range sim.engines {
			e.setLimit(2)
		}
		sim.simulateLimits(t, 10*time.Second, limitedLoad()...)
		from := sim.now
		sim.simulateLimits(t, 10*time.Second, limitedLoad()...)
		sent := 0
		for _, e := range sim.engines {
			sent += e.since(from)
		}
		checkAtLeast(t, "share of the limits in use", float64(sent)/float64(engines*2*10), 0.8)
	}
}

// TestRequestLimitsWhileGatewaysChange guards against limits that are exceeded while gateways
// join, restart, or are cut off from their peers.
func TestRequestLimitsWhileGatewaysChange(t *testing.T) {
	t.Parallel()
	for seed := uint64(62); seed < 65; seed++ {
		sim := newSimulation(seed, 5, engines)
		sim.simulate(6*time.Second, limitedLoad()...)
		for i, e := range sim.engines[:6] {
			e.setLimit(1.1 + float64(i)/2)
		}
		sim.simulateLimits(t, 6*time.Second, limitedLoad()...)
		sim.join()
		sim.join()
		sim.simulateLimits(t, 6*time.Second, limitedLoad()...)
		sim.restart(1)
		sim.simulateLimits(t, time.Second, limitedLoad()...)
		sim.introduceGateways()
		sim.simulateLimits(t, 6*time.Second, limitedLoad()...)
		sim.gateways[0].isolated, sim.gateways[4].isolated = true, true
		sim.simulateLimits(t, 10*time.Second, limitedLoad()...)
		sim.gateways[0].isolated, sim.gateways[4].isolated = false, false
		sim.introduceGateways()
		sim.simulateLimits(t, 6*time.Second, limitedLoad()...)
	}
}

// restart replaces a gateway by one that knows no peers yet.
func (sim *simulation) restart(gateway int) {
	sim.gateways[gateway] = sim.newGateway()
	sim.gateways[gateway].table.SetProcesses(sim.instant(), uint64(gateway), nil)
	for _, e := range sim.engines {
		delete(e.limit.told, gateway)
	}
}
