package app

import (
	"net/http"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
)

// Labels of metrics, which docs/operating/metrics.md lists.
const (
	labelClass   = "class"
	labelTier    = "tier"
	labelOutcome = "outcome"
	labelCode    = "code"
	labelLink    = "link"
	labelLoop    = "loop"
	labelStatus  = "status"
	labelReason  = "reason"
	labelCause   = "cause"
	labelKind    = "kind"
	labelResult  = "result"
	labelStep    = "step"
)

// Values of labelLoop and labelLink.
const (
	loopCalls         = "calls"
	loopConfiguration = "configuration"
	linkAgents        = "agents"
	linkPeers         = "peers"
	linkEntries       = "entries"
)

// labelNone is the label value for an unknown class or tier, and for no error code.
const labelNone = "none"

// latencyBuckets are the upper bounds of the latency histograms. They are densest
// between 0.5 s and 8 s, where the latency targets of request classes lie.
var latencyBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 800 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 8 * time.Second,
	15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute,
}

// classKey holds the class and tier labels of a call's metrics. There is no label
// for client accounts, as there may be thousands.
type classKey struct {
	class string
	tier  string
}

// key returns the call's metric labels.
func (c *openCall) key() classKey {
	if c.class.Name == "" {
		return classKey{class: labelNone, tier: labelNone}
	}
	return classKey{class: string(c.class.Name), tier: tierLabel(c.class.Tier)}
}

func tierLabel(t domain.Tier) string { return strconv.Itoa(int(t)) }

// classMetrics are the metrics of the calls of one class and tier.
type classMetrics struct {
	offered    tally.Counter
	attained   tally.Counter
	retries    tally.Counter
	firstToken tally.Histogram
	answer     tally.Histogram
}

// entryMetrics are the metrics of an entry. Only the call loop may call class,
// recordEnd and update.
type entryMetrics struct {
	registry    *metrics.Registry
	handler     http.Handler
	store       *storeMonitor
	classes     map[classKey]*classMetrics
	waiting     [domain.TierCount]tally.Gauge
	running     [domain.TierCount]tally.Gauge
	connected   tally.Gauge
	serving     tally.Gauge
	revision    tally.Gauge
	callInbox   inboxGauge
	configInbox inboxGauge
	agentLinks  linkMetrics
	peerLinks   linkMetrics
	gaugeTimer  updateTimer
}

func newEntryMetrics(r *metrics.Registry, s EntrySettings) *entryMetrics {
	m := &entryMetrics{
		registry:    r,
		handler:     r.Page,
		store:       newStoreMonitor(r.Scope, s.Store),
		classes:     make(map[classKey]*classMetrics),
		connected:   r.Scope.Gauge("agents_connected"),
		serving:     r.Scope.Gauge("agents_serving"),
		revision:    r.Scope.Gauge("revision_in_force"),
		callInbox:   newInboxGauge(r.Scope, loopCalls),
		configInbox: newInboxGauge(r.Scope, loopConfiguration),
		agentLinks:  newLinkMetrics(r.Scope, linkAgents),
		peerLinks:   newLinkMetrics(r.Scope, linkPeers),
	}
	for tier := range m.waiting {
		tagged := r.Scope.Tagged(map[string]string{labelTier: tierLabel(domain.Tier(tier))})
		m.waiting[tier] = tagged.Gauge("calls_waiting")
		m.running[tier] = tagged.Gauge("calls_running")
	}
	return m
}

// class returns the metrics of a class and tier, and registers them first if needed.
func (m *entryMetrics) class(key classKey) *classMetrics {
	if c := m.classes[key]; c != nil {
		return c
	}
	scope := m.registry.Scope.Tagged(map[string]string{labelClass: key.class, labelTier: key.tier})
	c := &classMetrics{
		offered:    scope.Counter("calls_offered_total"),
		attained:   scope.Counter("calls_attained_total"),
		retries:    scope.Counter("retries_total"),
		firstToken: scope.Histogram("first_token_seconds", latencyBuckets),
		answer:     scope.Histogram("answer_seconds", latencyBuckets),
	}
	m.classes[key] = c
	return c
}

// recordEnd counts and logs a call that has ended. The log line leaves out the
// failure's message, because an endpoint may quote the prompt in it.
func (m *entryMetrics) recordEnd(c *openCall, end entry.CallerEnd) {
	duration := time.Since(c.arrived)
	key := c.key()
	counts := m.class(key)
	counts.offered.Inc(1)
	if c.attained(end, duration) {
		counts.attained.Inc(1)
	}
	if c.attempts > 1 {
		counts.retries.Inc(int64(c.attempts - 1))
	}
	if c.firstToken > 0 && c.kind == domain.ServiceModel {
		counts.firstToken.RecordDuration(c.firstToken)
	}
	if end.Outcome == domain.OutcomeComplete {
		counts.answer.RecordDuration(duration)
	}
	code := string(end.Failure.Code)
	if code == "" {
		code = labelNone
	}
	m.registry.Scope.Tagged(map[string]string{
		labelClass: key.class, labelTier: key.tier, labelOutcome: end.Outcome.String(), labelCode: code,
	}).Counter("calls_ended_total").Inc(1)
	klog.InfoS("call ended", "request", c.request, "account", c.account, "class", key.class, "tier", key.tier,
		"outcome", end.Outcome, "code", code, "step", end.Failure.Step, "peer", end.Failure.Peer,
		"duration", duration, "firstToken", c.firstToken, "attempts", c.attempts)
}

// update sets the gauges from the core. Only the call loop may call it.
func (m *entryMetrics) update(core *entry.Core) {
	for _, queue := range core.CallsByTier() {
		m.waiting[queue.Tier].Update(float64(queue.Waiting))
		m.running[queue.Tier].Update(float64(queue.Running))
	}
	connected, serving := 0, 0
	for _, agent := range core.Agents() {
		if agent.Up {
			connected++
		}
		if agent.Serving {
			serving++
		}
	}
	m.connected.Update(float64(connected))
	m.serving.Update(float64(serving))
	m.revision.Update(float64(core.Revision()))
}

func (m *entryMetrics) close() { _ = m.registry.Close() }
