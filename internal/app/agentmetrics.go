package app

import (
	"net/http"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// orderResult is the result of an order to the endpoint, a label value.
type orderResult string

const (
	orderOK      orderResult = "ok"
	orderFenced  orderResult = "fenced" // rejected because of an old fencing number
	orderFailed  orderResult = "failed"
	orderNotSent orderResult = "not-sent" // the lease had ended
)

// agentMetrics are the metrics of an agent. The gauges follow the core's status;
// only the agent's loop updates them.
type agentMetrics struct {
	registry *metrics.Registry
	handler  http.Handler
	store    *storeMonitor

	runsStarted   tally.Counter
	grants        tally.Counter
	runsCancelled map[agent.CancelCause]tally.Counter
	runsEnded     map[pb.EndReason]tally.Counter
	ordersSent    map[agent.OrderKind]tally.Counter
	ordersEnded   map[orderResult]tally.Counter
	faults        map[agent.Step]tally.Counter
	entryLinks    linkMetrics

	entries          tally.Gauge
	slots            tally.Gauge
	freeSlots        tally.Gauge
	runs             tally.Gauge
	queued           [domain.TierCount]tally.Gauge
	lowestTierQueued tally.Gauge
	unackedFrames    tally.Gauge
	unackedBytes     tally.Gauge
	revision         tally.Gauge
	draining         tally.Gauge
	leaseHeld        tally.Gauge
	ordersPending    tally.Gauge
	inbox            inboxGauge
	gaugeTimer       updateTimer
}

func newAgentMetrics(r *metrics.Registry, s AgentSettings) *agentMetrics {
	m := &agentMetrics{
		registry:         r,
		handler:          r.Page,
		store:            newStoreMonitor(r.Scope, s.Store),
		runsStarted:      r.Scope.Counter("runs_started_total"),
		grants:           r.Scope.Counter("grants_total"),
		entryLinks:       newLinkMetrics(r.Scope, linkEntries),
		entries:          r.Scope.Gauge("entries_connected"),
		slots:            r.Scope.Gauge("slots_limit"),
		freeSlots:        r.Scope.Gauge("slots_free"),
		runs:             r.Scope.Gauge("runs_in_progress"),
		lowestTierQueued: r.Scope.Gauge("lowest_tier_queued"),
		unackedFrames:    r.Scope.Gauge("frames_unacknowledged"),
		unackedBytes:     r.Scope.Gauge("frames_unacknowledged_bytes"),
		revision:         r.Scope.Gauge("revision_in_force"),
		draining:         r.Scope.Gauge("draining"),
		leaseHeld:        r.Scope.Gauge("lease_held"),
		ordersPending:    r.Scope.Gauge("orders_pending"),
		inbox:            newInboxGauge(r.Scope, loopCalls),
	}
	for tier := range m.queued {
		tags := map[string]string{labelTier: tierLabel(domain.Tier(tier))}
		m.queued[tier] = r.Scope.Tagged(tags).Gauge("reservations_queued")
	}
	m.runsCancelled = countersByLabel(r.Scope, "runs_cancelled_total", labelCause,
		agent.CancelledByEntry, agent.CancelledByPreemption, agent.CancelledByMemory)
	m.ordersSent = countersByLabel(r.Scope, "orders_sent_total", labelKind,
		agent.OrderLoadModel, agent.OrderLoadAdapter, agent.OrderRole)
	m.ordersEnded = countersByLabel(r.Scope, "orders_ended_total", labelResult, orderOK, orderFenced, orderFailed, orderNotSent)
	m.faults = countersByLabel(r.Scope, "faults_total", labelStep, agent.StepLease, agent.StepWeights, agent.StepOrder)
	m.runsEnded = make(map[pb.EndReason]tally.Counter)
	for number, name := range pb.EndReason_name {
		label := strings.ToLower(strings.TrimPrefix(name, "END_"))
		m.runsEnded[pb.EndReason(number)] = r.Scope.Tagged(map[string]string{labelReason: label}).Counter("runs_ended_total")
	}
	return m
}

// countersByLabel returns a counter of the same name for each value of a label.
func countersByLabel[V ~string](scope tally.Scope, name, label string, values ...V) map[V]tally.Counter {
	counters := make(map[V]tally.Counter, len(values))
	for _, value := range values {
		counters[value] = scope.Tagged(map[string]string{label: string(value)}).Counter(name)
	}
	return counters
}

// increment adds one to the counter of a label value, if there is one.
func increment[V comparable](counters map[V]tally.Counter, value V) {
	if c, ok := counters[value]; ok {
		c.Inc(1)
	}
}

// update sets the gauges from the core's status. Only the agent's loop may call it.
func (m *agentMetrics) update(s agent.Status) {
	m.entries.Update(float64(s.Entries))
	m.slots.Update(float64(s.Slots))
	m.freeSlots.Update(float64(s.FreeSlots))
	m.runs.Update(float64(s.Runs))
	for tier, queued := range s.Queued {
		m.queued[tier].Update(float64(queued))
	}
	m.lowestTierQueued.Update(float64(s.LowestTierQueued))
	m.unackedFrames.Update(float64(s.UnacknowledgedFrames))
	m.unackedBytes.Update(float64(s.UnacknowledgedBytes))
	m.revision.Update(float64(s.Revision))
	m.draining.Update(boolGauge(s.Draining))
	m.leaseHeld.Update(boolGauge(s.LeaseHeld))
	m.ordersPending.Update(float64(s.OrdersPending))
}

// boolGauge returns a boolean as a gauge value: 1 for true, 0 for false.
func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

func (m *agentMetrics) close() { _ = m.registry.Close() }
