package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// latencies are the bounds of latency histograms: 5 ms to 20 s, doubling.
var latencies = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// Outcomes of requests, as labels.
const (
	outcomeAnswered = "answered"
	outcomeRejected = "rejected"
	outcomeCut      = "cut"
	outcomeLeft     = "caller_left"
)

// counters are what a gateway counts.
type counters struct {
	registry *metrics.Registry
	outcomes map[string]tally.Counter
	results  map[placement.Result]tally.Counter
	rejected map[int]tally.Counter
	repeats  tally.Counter
	first    tally.Histogram
	whole    tally.Histogram
	waited   tally.Histogram
	waiting  tally.Gauge
	config   tally.Gauge
	age      tally.Gauge
	peers    tally.Gauge
	dialed   tally.Gauge
}

func newCounters() *counters {
	registry := metrics.New("router")
	scope := registry.Scope
	c := &counters{
		registry: registry,
		outcomes: make(map[string]tally.Counter),
		results:  make(map[placement.Result]tally.Counter),
		rejected: make(map[int]tally.Counter),
		repeats:  scope.Counter("repeats_total"),
		first:    scope.Histogram("first_event_seconds", latencies),
		whole:    scope.Histogram("request_seconds", latencies),
		waited:   scope.Histogram("placement_wait_seconds", latencies),
		waiting:  scope.Gauge("waiting_requests"),
		config:   scope.Gauge("configuration_version"),
		age:      scope.Gauge("configuration_age_seconds"),
		peers:    scope.Gauge("peers_known"),
		dialed:   scope.Gauge("endpoint_connections_made"),
	}
	for _, outcome := range []string{outcomeAnswered, outcomeRejected, outcomeCut, outcomeLeft} {
		c.outcomes[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total")
	}
	for result := placement.ResultServed; result <= placement.ResultCancelled; result++ {
		c.results[result] = scope.Tagged(map[string]string{"result": result.String()}).Counter("attempts_total")
	}
	return c
}

// ended counts a request that was admitted.
func (m *counters) ended(c *call, outcome string) {
	m.outcomes[outcome].Inc(1)
	m.whole.RecordDuration(time.Since(c.arrived))
	if c.first > 0 {
		m.first.RecordDuration(c.first)
	}
	if c.ticket != nil {
		m.waited.RecordDuration(c.placed)
	}
}

// sample sets the gauges.
func (g *Gateway) sample(age time.Duration) {
	g.mu.Lock()
	waiting := g.queue.Len()
	g.mu.Unlock()
	g.counters.waiting.Update(float64(waiting))
	g.counters.config.Update(float64(version(g.config.Load())))
	g.counters.age.Update(age.Seconds())
	g.counters.peers.Update(float64(g.peers.Known()))
	g.counters.dialed.Update(float64(g.pool.Dialed()))
}
