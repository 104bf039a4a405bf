package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinpulley/dunlinpulley/internal/metrics"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// latencyBuckets are the bounds of the latency histograms: 5 ms to 20 s, doubling.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 13)

// shortTimeBuckets are the bounds of the histograms of the gateway's own delays: 1 ms to 4 s, doubling.
var shortTimeBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)

// Outcomes of requests, as values of the metric label and the log key.
const (
	outcomeAnswered   = "answered"
	outcomeRejected   = "rejected"
	outcomeTruncated  = "cut"
	outcomeCallerLeft = "caller_left"
)

// instruments are the gateway's counters, histograms and gauges.
type instruments struct {
	registry          *metrics.Registry
	requestsByOutcome map[string]tally.Counter
	attemptsByResult  map[placement.Result]tally.Counter
	rejectedByStatus  map[int]tally.Counter
	placements        map[placementSeries]tally.Counter // guarded by Gateway.mu
	retries           map[retrySeries]tally.Counter     // guarded by Gateway.mu
	// streamsTakenUp and streamsNotTakenUp count requests that take up a stream by whether its
	// version is known and serves, streamsNotRecorded streams for which there was no room.
	streamsTakenUp, streamsNotTakenUp, streamsNotRecorded tally.Counter
	endpointsLeaving                                      tally.Counter // endpoints that have told this gateway that they leave
	pauses, pausesInvalid                                 tally.Counter // pauses that endpoints asked for, and those that were bounded or ignored
	// partsSuspected counts the parts of prompts under which this gateway lost an endpoint, partsBlamed those
	// that were blamed, by it or a peer, and partRejections the requests that were not sent for that.
	partsSuspected, partsBlamed, partRejections tally.Counter
	crashChecks                                 tally.Counter // processes that were asked whether they run, after a loss
	// usageFixed, usageDelivered and usageMissed count windows of usage reports whose bodies this gateway has fixed, delivered
	// or given up, usageCallsFailed its failed calls to the provider, and holderChanges the changes of the lease's holder.
	usageFixed, usageDelivered, usageMissed, usageCallsFailed, holderChanges tally.Counter
	leaseHeld                                                                tally.Gauge
	extraDivisor                                                             tally.Gauge // by which the extra retries are divided; 0 without a share
	timeToFirstEvent                                                         tally.Histogram
	requestTime                                                              tally.Histogram
	placementWait                                                            tally.Histogram
	dispatchTime                                                             tally.Histogram // of one try of all queued requests
	tickDelay                                                                tally.Histogram // by which the periodic work comes late
	waitingRequests                                                          tally.Gauge
	config                                                                   tally.Gauge
	configAge                                                                tally.Gauge
	peers                                                                    tally.Gauge
	datagramsIgnored                                                         tally.Gauge
	connectionsDialed                                                        tally.Gauge
	blamedParts                                                              tally.Gauge
	// bodyBytes, answerBytes and headBytes are the memory that callers' requests take now.
	bodyBytes, answerBytes, headBytes, callerConns tally.Gauge
	closings                                       [closingCount]tally.Counter
}

func newInstruments() *instruments {
	registry := metrics.New("router")
	scope := registry.Scope
	m := &instruments{
		registry:           registry,
		requestsByOutcome:  make(map[string]tally.Counter),
		attemptsByResult:   make(map[placement.Result]tally.Counter),
		rejectedByStatus:   make(map[int]tally.Counter),
		placements:         make(map[placementSeries]tally.Counter),
		retries:            make(map[retrySeries]tally.Counter),
		streamsTakenUp:     scope.Tagged(map[string]string{"result": "allowed"}).Counter("streams_taken_up_total"),
		streamsNotTakenUp:  scope.Tagged(map[string]string{"result": "refused"}).Counter("streams_taken_up_total"),
		streamsNotRecorded: scope.Counter("streams_not_recorded_total"),
		endpointsLeaving:   scope.Counter("endpoints_leaving_total"),
		pauses:             scope.Counter("endpoint_pauses_total"),
		pausesInvalid:      scope.Counter("endpoint_pauses_invalid_total"),
		partsSuspected:     scope.Counter("prompt_parts_suspected_total"),
		partsBlamed:        scope.Counter("prompt_parts_blamed_total"),
		partRejections:     scope.Counter("prompt_part_rejections_total"),
		crashChecks:        scope.Counter("crash_checks_total"),
		usageFixed:         scope.Counter("usage_windows_fixed_total"),
		usageDelivered:     scope.Counter("usage_windows_delivered_total"),
		usageMissed:        scope.Counter("usage_windows_missed_total"),
		usageCallsFailed:   scope.Counter("usage_calls_failed_total"),
		holderChanges:      scope.Counter("lease_holder_changes_total"),
		leaseHeld:          scope.Gauge("lease_held"),
		extraDivisor:       scope.Gauge("repeats_extra_divisor"),
		timeToFirstEvent:   scope.Histogram("first_event_seconds", latencyBuckets),
		requestTime:        scope.Histogram("request_seconds", latencyBuckets),
		placementWait:      scope.Histogram("placement_wait_seconds", latencyBuckets),
		dispatchTime:       scope.Histogram("queue_dispatch_seconds", shortTimeBuckets),
		tickDelay:          scope.Histogram("tick_delay_seconds", shortTimeBuckets),
		waitingRequests:    scope.Gauge("waiting_requests"),
		config:             scope.Gauge("configuration_version"),
		configAge:          scope.Gauge("configuration_age_seconds"),
		peers:              scope.Gauge("peers_known"),
		datagramsIgnored:   scope.Gauge("datagrams_ignored"),
		blamedParts:        scope.Gauge("prompt_parts_blamed"),
		connectionsDialed:  scope.Gauge("endpoint_connections_made"),
		bodyBytes:          scope.Gauge("body_bytes_held"),
		answerBytes:        scope.Gauge("answer_bytes_held"),
		headBytes:          scope.Gauge("head_bytes_held"),
		callerConns:        scope.Gauge("caller_connections"),
	}
	for reason := range closingCount {
		m.closings[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("memory_protection_total")
	}
	for _, outcome := range []string{outcomeAnswered, outcomeRejected, outcomeTruncated, outcomeCallerLeft} {
		m.requestsByOutcome[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_total")
	}
	for result := placement.ResultServed; result <= placement.ResultCancelled; result++ {
		m.attemptsByResult[result] = scope.Tagged(map[string]string{"result": result.String()}).Counter("attempts_total")
	}
	return m
}

// recordRequest records a request that was admitted and has ended.
func (m *instruments) recordRequest(c *call, outcome string) {
	m.requestsByOutcome[outcome].Inc(1)
	m.requestTime.RecordDuration(time.Since(c.arrived))
	if c.timeToFirstEvent > 0 {
		m.timeToFirstEvent.RecordDuration(c.timeToFirstEvent)
	}
	if c.ticket != nil {
		m.placementWait.RecordDuration(c.placementDelay)
	}
}

// updateGauges sets the gauges. configAge is the time since the configuration
// was last confirmed.
func (g *Gateway) updateGauges(configAge time.Duration) {
	g.mu.Lock()
	waitingRequests, blamedParts := g.queue.Len(), g.crashes.Blamed()
	g.mu.Unlock()
	g.instruments.waitingRequests.Update(float64(waitingRequests))
	g.instruments.blamedParts.Update(float64(blamedParts))
	g.instruments.config.Update(float64(configVersion(g.config.Load())))
	g.instruments.configAge.Update(configAge.Seconds())
	g.instruments.peers.Update(float64(g.peers.PeerCount()))
	g.instruments.datagramsIgnored.Update(float64(g.peers.Ignored()))
	g.instruments.connectionsDialed.Update(float64(g.pool.Dialed()))
	bodies, answers := g.bytes.held()
	conns, heads := g.callerConns.held()
	g.instruments.bodyBytes.Update(float64(bodies))
	g.instruments.answerBytes.Update(float64(answers))
	g.instruments.headBytes.Update(float64(heads))
	g.instruments.callerConns.Update(float64(conns))
}
