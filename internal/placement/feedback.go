package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Result is how a request ended at an endpoint.
type Result uint8

// The results.
const (
	// ResultServed means that the endpoint returned a complete answer.
	ResultServed Result = iota
	// ResultRefused means that the request was not sent because the connection limit
	// was reached, or that the endpoint reported that it did not run it.
	ResultRefused
	// ResultFailed means that the endpoint answered with an error or without its
	// signature.
	ResultFailed
	// ResultUnreachable means that the connection could not be made, was lost before
	// the end of the answer, carried an invalid answer or one to another request, or
	// led to another endpoint.
	ResultUnreachable
	// ResultTimedOut means that the endpoint did not answer in time.
	ResultTimedOut
	// ResultCancelled means that the caller left, or that the gateway itself lacked memory or connections. It does not count
	// as a failure.
	ResultCancelled
)

// String returns the result's name in logs and metrics.
func (r Result) String() string {
	return [...]string{"served", "refused", "failed", "unreachable", "silent", "cancelled"}[r]
}

const (
	// failureWeight is the weight of one result in the moving average of failures.
	failureWeight = 0.2
	// refusedBackoff is how long an endpoint that refused a request is avoided.
	refusedBackoff = 100 * time.Millisecond
	// unreachableBackoff is how long an unreachable endpoint is avoided.
	unreachableBackoff = 700 * time.Millisecond
	// timeoutBackoff is how long an endpoint that did not answer in time is avoided.
	timeoutBackoff = 1500 * time.Millisecond
)

// RecordReceived records the arrival of bytes of an answer, with the number of
// stream events that they complete. A buffered answer is recorded once, when it is
// complete. The first bytes mean that the prompt has been prefilled.
func (t *Table) RecordReceived(now domain.Instant, ticket *Ticket, events int) {
	ticket.endpointState.lastReceived = now
	ticket.endpointState.pause.answered(ticket)
	if events > 0 {
		prefilling := ticket.endpointState.backlog() > 0
		if ticket.events > 0 {
			ticket.endpointState.eventGap.observe(now, now.Sub(ticket.lastEventAt), events)
			if ticket.prefilling && prefilling {
				t.service(ticket.Endpoint.Service).busyGap.observe(now, now.Sub(ticket.lastEventAt), events)
			}
		}
		ticket.events, ticket.lastEventAt, ticket.prefilling = ticket.events+events, now, prefilling
	}
	if !ticket.byteReceived {
		ticket.byteReceived = true
		t.recordRead(now, ticket)
		svc := t.service(ticket.Endpoint.Service)
		svc.observeLink(now, ticket)
		if ticket.hasPrompt && svc.prefillSpeed.tokensPerMs > 0 {
			latency, expectedLatency := now.Sub(ticket.placedAt), svc.prefillSpeed.expectedLatency(ticket.Backlog+ticket.PrefillTokens)
			ticket.endpointState.measuredSlowdown.observe(now, latency, expectedLatency, endpointSlowdownWeight)
			svc.measuredSlowdown.observe(now, latency, expectedLatency, serviceSlowdownWeight)
		}
		if ticket.longPrompt && ticket.FetchTokens == 0 && !ticket.mayFetchMore {
			svc.prefillSpeed.observe(now.Sub(ticket.placedAt), ticket.Backlog+ticket.PrefillTokens)
		}
		ticket.endpointState.local.backlog.add(ticket.load.backlog, -1)
		ticket.load.backlog = Backlog{}
	}
}

// RecordLoad records the load that an endpoint reported. The reported slots apply
// if the registry entry has none, until Put updates the entry.
func (t *Table) RecordLoad(now domain.Instant, ticket *Ticket, load ReportedLoad) {
	s := ticket.endpointState
	s.reported, s.reportedAt, s.inFlightAtReport, s.hasReport = load, now, s.local.inFlight, true
	if load.Slots > 0 && s.Slots == 0 {
		s.Slots = load.Slots
	}
}

// RecordEnd records how a request ended. Only the first call for a ticket has an effect.
func (t *Table) RecordEnd(now domain.Instant, ticket *Ticket, result Result) {
	if ticket.ended {
		return
	}
	ticket.ended = true
	s := ticket.endpointState
	s.local.add(ticket.load, -1)
	if result != ResultServed && ticket.byteReceived && ticket.hasPrompt && ticket.deadline > 0 && now >= ticket.deadline {
		t.service(s.Service).prefillCeiling.observeLate(now, ticket.rank)
	}
	if ticket.neverBegan(now, result) {
		t.service(s.Service).prefillCeiling.observeLost(now, ticket.rank)
	}
	s.pause.failed(ticket)
	if result == ResultServed {
		s.endless = 0
	}
	failed := 0.0
	switch result {
	case ResultServed:
		if !ticket.hasPrompt {
			t.service(ticket.Endpoint.Service).answerTime.observe(now.Sub(ticket.placedAt))
		}
		if ticket.events > 0 && ticket.estimatedTokens > 0 {
			t.service(ticket.Endpoint.Service).answerSizes.observe(ticket.estimatedTokens, ticket.events)
		}
	case ResultRefused:
		s.avoidUntil = max(s.avoidUntil, now.Add(refusedBackoff))
		return
	case ResultCancelled:
		return
	case ResultFailed:
		failed = 1
	case ResultUnreachable:
		failed = 1
		s.avoidUntil = max(s.avoidUntil, now.Add(unreachableBackoff))
		// The endpoint may have restarted with an empty cache.
		s.parts.Clear()
	case ResultTimedOut:
		failed = 1
		s.avoidUntil = max(s.avoidUntil, now.Add(timeoutBackoff))
	}
	s.failureRate += (failed - s.failureRate) * failureWeight
}
