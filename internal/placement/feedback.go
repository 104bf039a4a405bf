package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Result is how a request ended at an endpoint.
type Result uint8

// The results.
const (
	// ResultServed means that the endpoint gave a whole answer.
	ResultServed Result = iota
	// ResultRefused means that the endpoint said that it did not run the request.
	ResultRefused
	// ResultFailed means that the endpoint gave a broken answer or an error.
	ResultFailed
	// ResultUnreachable means that no connection could be made, or that the
	// connection was lost before an answer.
	ResultUnreachable
	// ResultSilent means that nothing came in time.
	ResultSilent
	// ResultCancelled means that the caller left; it says nothing of the endpoint.
	ResultCancelled
)

// String returns the result as it stands in logs.
func (r Result) String() string {
	return [...]string{"served", "refused", "failed", "unreachable", "silent", "cancelled"}[r]
}

const (
	// failureWeight is the weight of one result in the share of failures.
	failureWeight = 0.2
	// refusedPause keeps new work from an endpoint that has just refused some.
	refusedPause = 100 * time.Millisecond
	// unreachablePause is the time after which an endpoint that was lost is tried again.
	unreachablePause = 700 * time.Millisecond
	// silencePause is the time after which an endpoint that said nothing is tried again.
	silencePause = 1500 * time.Millisecond
)

// Heard notes that bytes came from the endpoint, with a number of whole events
// of a stream. The first bytes of a request mean that its prompt has been read.
func (t *Table) Heard(now domain.Instant, k *Ticket, events int) {
	k.state.heard = now
	if events > 0 {
		if k.events > 0 {
			k.state.gaps.learn(now, now.Sub(k.last), events)
		}
		k.events, k.last = k.events+events, now
	}
	if !k.first {
		k.first = true
		of := t.service(k.Endpoint.Service)
		if k.parts && of.pace.learned > 0 {
			took, expected := now.Sub(k.at), of.pace.expected(k.Backlog+k.Unread)
			k.state.slow.learn(now, took, expected, slowWeight)
			of.slow.learn(now, took, expected, generalWeight)
		}
		if k.work.long > 0 {
			of.pace.learn(now.Sub(k.at), k.Backlog+k.Unread)
		}
		k.state.own.add(work{unread: k.work.unread, long: k.work.long}, -1)
		k.work.unread, k.work.long = 0, 0
	}
}

// Report notes the load that an endpoint told.
func (t *Table) Report(now domain.Instant, k *Ticket, load Load) {
	s := k.state
	s.reported, s.reportedAt, s.inFlightAtReport, s.hasReport = load, now, s.own.inFlight, true
	if load.Slots > 0 && s.Slots == 0 {
		s.Slots = load.Slots
	}
}

// End notes how a request ended. Only the first call for a ticket counts.
func (t *Table) End(now domain.Instant, k *Ticket, result Result) {
	if k.ended {
		return
	}
	k.ended = true
	s := k.state
	s.own.add(k.work, -1)
	failed := 0.0
	switch result {
	case ResultServed:
		if k.events > 0 && k.expected > 0 {
			t.service(k.Endpoint.Service).answers.learn(k.expected, k.events)
		}
	case ResultRefused:
		s.avoid = max(s.avoid, now.Add(refusedPause))
		return
	case ResultCancelled:
		return
	case ResultFailed:
		failed = 1
	case ResultUnreachable:
		failed = 1
		s.avoid = max(s.avoid, now.Add(unreachablePause))
		clear(s.parts)
	case ResultSilent:
		failed = 1
		s.avoid = max(s.avoid, now.Add(silencePause))
	}
	s.failures += (failed - s.failures) * failureWeight
}
