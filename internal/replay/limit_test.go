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

// checkLimit checks the requests that an engine with a limit has got in the window that ends now.
func (e *engine) checkLimit(t *testing.T, now time.Duration) {
	t.Helper()
	if e.limit.perSecond == 0 || e.limit.namedAt == 0 || now < e.limit.namedAt+limitGrace {
		return
	}
	n := 0
	for i := len(e.arrivals) - 1; i >= 0 && e.arrivals[i].at > now-limitWindow; i-- {
		if told, ok := e.limit.told[e.arrivals[i].gateway]; ok && told+toldDelay <= now {
			n++
		}
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
// far more requests than the limit that it names.
func TestRequestLimitExceeded(t *testing.T) {
	for seed := uint64(50); seed < 53; seed++ {
		sim := newSimulation(seed, 5, engines)
		sim.simulate(8*time.Second, limitedLoad()...)
		limited := sim.engines[:2]
		limited[0].setLimit(1.7)
		limited[1].setLimit(1.3)
		sim.simulateLimits(t, 14*time.Second, limitedLoad()...)
	}
}
