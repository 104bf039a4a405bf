package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	slowEventGap   = 300 * time.Millisecond
	callerTimeout  = 5 * time.Second
	tokensPerEvent = 5
)

// newBusyTable returns a table with one engine that streams an event each
// slowEventGap and has a given prefill utilization. One complete answer has set
// the ratio of events to tokens.
func newBusyTable(utilization float64) (*Table, domain.Instant) {
	table := newTable(1)
	now := start
	q := longPromptQuery(1)
	q.ExpectedTokens = 4 * tokensPerEvent
	ticket := table.Pick(now, q)
	for range 4 {
		now = now.Add(slowEventGap)
		table.RecordReceived(now, ticket, 1)
	}
	table.RecordEnd(now, ticket, ResultServed)
	s := table.byID["e00"]
	s.prefillRate = rate{sum: utilization * initialPrefillSpeed * 1000, updatedAt: now}
	return table, now
}

func deadlineQuery(now domain.Instant, tokens int) Query {
	q := longPromptQuery(1)
	q.MaxTokens, q.ExpectedTokens, q.Deadline = 1000, tokens, now.Add(callerTimeout)
	return q
}

// Above deadlineCheckUtilization, an answer that can't be complete by its
// deadline must not take the capacity of one that can.
func TestBusyEngineRejectsAnswerPastDeadline(t *testing.T) {
	table, now := newBusyTable(0.6)
	assert.Assert(t, table.Pick(now, deadlineQuery(now, 30*tokensPerEvent)) == nil)
	assert.Assert(t, table.Pick(now, deadlineQuery(now, 10*tokensPerEvent)) != nil)
}

// Below deadlineCheckUtilization, an answer past its deadline takes no capacity
// that another one needs.
func TestDeadlineIgnoredAtLowUtilization(t *testing.T) {
	table, now := newBusyTable(0.2)
	assert.Assert(t, table.Pick(now, deadlineQuery(now, 30*tokensPerEvent)) != nil)
}

// The expected length that a caller declares is capped by its declared maximum.
func TestExpectedTokensCappedByMaximum(t *testing.T) {
	table, now := newBusyTable(0.6)
	q := deadlineQuery(now, 30*tokensPerEvent)
	q.MaxTokens = 10 * tokensPerEvent
	assert.Assert(t, table.Pick(now, q) != nil)
}

// A request without a deadline is never rejected by the deadline check.
func TestNoDeadline(t *testing.T) {
	table, now := newBusyTable(0.6)
	q := deadlineQuery(now, 30*tokensPerEvent)
	q.Deadline = 0
	assert.Assert(t, table.Pick(now, q) != nil)
}

// The gaps that a peer reports enter the mean, and leave it with the peer.
func TestEventGapIncludesPeers(t *testing.T) {
	table, now := newBusyTable(0.6)
	s := table.byID["e00"]
	assert.Equal(t, s.meanEventGap(now), slowEventGap)
	table.PeerDigest(now, "p", PeerDigest{Loads: []PeerLoad{{Endpoint: s.hash(), Gap: slowEventGap / 3}}})
	assert.Equal(t, s.meanEventGap(now), slowEventGap*2/3)
	later := now.Add(eventGapMaxAge)
	assert.Equal(t, s.meanEventGap(later), slowEventGap/3)
	table.PeerDigest(now, "p", PeerDigest{})
	assert.Equal(t, s.meanEventGap(later), time.Duration(0))
	assert.Equal(t, table.Digest(now).Loads[0].Gap, slowEventGap)
}

// A busy primary endpoint must not make a busy secondary one prefill a session's
// shared parts.
func TestBusySecondaryTakesNoSpillover(t *testing.T) {
	for _, c := range []struct {
		utilization float64
		picked      bool
	}{{maxSecondaryUtilization - 0.1, true}, {maxSecondaryUtilization + 0.1, false}} {
		table := newTable(3)
		q := longPromptQuery(7)
		svc := table.services["s"]
		decodePoolSize := 1
		pair := affinityEndpoints(svc.endpoints[decodePoolSize:], q.Parts)
		pair.primary().prefillRate = rate{sum: 2 * maxPrefillUtilization * initialPrefillSpeed * 1000, updatedAt: start}
		pair.secondary().prefillRate = rate{sum: c.utilization * initialPrefillSpeed * 1000, updatedAt: start}
		ticket := table.Pick(start, q)
		assert.Equal(t, ticket != nil, c.picked, "secondary endpoint at utilization %.1f", c.utilization)
		if ticket != nil {
			assert.Equal(t, ticket.AffinityRank, 2)
		}
	}
}
