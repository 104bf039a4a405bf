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

// Labels of metrics. docs/operating/metrics.md lists the metrics.
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

// labelNone is the value of a label where there is nothing to name.
const labelNone = "none"

// latencyBuckets are the upper bounds of the latency histograms. The targets of
// request classes lie between 0.5 s and 8 s.
var latencyBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	500 * time.Millisecond, 800 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 8 * time.Second,
	15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute, 5 * time.Minute,
}

// classKey names a class and tier in the labels of metrics. Client accounts are
// no label, as there may be thousands.
type classKey struct {
	class string
	tier  string
}

func (c *openCall) key() classKey {
	if c.class.Name == "" {
		return classKey{class: labelNone, tier: labelNone}
	}
	return classKey{class: string(c.class.Name), tier: tierLabel(c.class.Tier)}
}

func tierLabel(t domain.Tier) string { return strconv.Itoa(int(t)) }

// classMetrics are what an entry counts of one class and tier.
type classMetrics struct {
	offered    tally.Counter
	attained   tally.Counter
	retries    tally.Counter
	firstToken tally.Histogram
	answer     tally.Histogram
}

// entryMetrics are what an entry counts. The methods without a lock are called
// by the loop of the calls only.
type entryMetrics struct {
	registry    *metrics.Registry
	handler     http.Handler
	store       *storeMonitor
	classes     map[classKey]*classMetrics
	waiting     [domain.Tiers]tally.Gauge
	running     [domain.Tiers]tally.Gauge
	connected   tally.Gauge
	serving     tally.Gauge
	revision    tally.Gauge
	callInbox   inboxGauge
	configInbox inboxGauge
	agentLinks  linkMetrics
	peerLinks   linkMetrics
	gaugeTimer  sampleTimer
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

// recordEnd counts a call that has ended, and logs it. The failure's message is left
// out, as an endpoint may quote the prompt in it.
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

// sample takes the gauges of the core. The loop of the calls runs it.
func (m *entryMetrics) sample(core *entry.Core) {
	for _, q := range core.Queues() {
		m.waiting[q.Tier].Update(float64(q.Waiting))
		m.running[q.Tier].Update(float64(q.Running))
	}
	connected, serving := 0, 0
	for _, a := range core.Agents() {
		if a.Up {
			connected++
		}
		if a.Serving {
			serving++
		}
	}
	m.connected.Update(float64(connected))
	m.serving.Update(float64(serving))
	m.revision.Update(float64(core.Revision()))
}

func (m *entryMetrics) close() { _ = m.registry.Close() }
