package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	slowGap  = 300 * time.Millisecond
	callers  = 5 * time.Second // patience
	perEvent = 5               // expected tokens
)

// busyTable has one engine whose streams make an event each slowGap, and that
// is given a share of its time to read. One answer has told the tokens of an event.
func busyTable(share float64) (*Table, domain.Instant) {
	table := newTable(1)
	now := start
	q := longQuery(1)
	q.Expected = 4 * perEvent
	ticket := table.Pick(now, q)
	for range 4 {
		now = now.Add(slowGap)
		table.Heard(now, ticket, 1)
	}
	table.End(now, ticket, ResultServed)
	s := table.byID["e00"]
	s.given = rate{sum: share * initialPace * 1000, at: now}
	return table, now
}

func expecting(now domain.Instant, tokens int) Query {
	q := longQuery(1)
	q.Output, q.Expected, q.Deadline = 1000, tokens, now.Add(callers)
	return q
}

// Where the engine's time is scarce, only answers that can end are begun.
func TestAnswerThatCannotEndWaits(t *testing.T) {
	table, now := busyTable(0.6)
	assert.Assert(t, table.Pick(now, expecting(now, 30*perEvent)) == nil)
	assert.Assert(t, table.Pick(now, expecting(now, 10*perEvent)) != nil)
}

func TestAnswerMayFailWhereTimeIsNotScarce(t *testing.T) {
	table, now := busyTable(0.2)
	assert.Assert(t, table.Pick(now, expecting(now, 30*perEvent)) != nil)
}

// The callers' estimate is no more than the most that they declare.
func TestExpectedAnswerIsBounded(t *testing.T) {
	table, now := busyTable(0.6)
	q := expecting(now, 30*perEvent)
	q.Output = 10 * perEvent
	assert.Assert(t, table.Pick(now, q) != nil)
}

// A caller that doesn't say when it gives up is not turned away for it.
func TestNoDeadline(t *testing.T) {
	table, now := busyTable(0.6)
	q := expecting(now, 30*perEvent)
	q.Deadline = 0
	assert.Assert(t, table.Pick(now, q) != nil)
}

// Gaps that peers see count as well, and are gone with the peer.
func TestPeersTellGaps(t *testing.T) {
	table, now := busyTable(0.6)
	s := table.byID["e00"]
	assert.Equal(t, s.gap(now), slowGap)
	table.PeerDigest("p", PeerDigest{Loads: []PeerLoad{{Endpoint: s.hash(), Gap: slowGap / 3}}})
	assert.Equal(t, s.gap(now), slowGap*2/3)
	later := now.Add(gapLife)
	assert.Equal(t, s.gap(later), slowGap/3)
	table.PeerDigest("p", PeerDigest{})
	assert.Equal(t, s.gap(later), time.Duration(0))
	assert.Equal(t, table.Digest(now).Loads[0].Gap, slowGap)
}

// A busy first home is no reason to read a session's parts at a busy second one.
func TestBusySecondHomeTakesNoSpill(t *testing.T) {
	for _, c := range []struct {
		share float64
		taken bool
	}{{spillShare - 0.1, true}, {spillShare + 0.1, false}} {
		table := newTable(3)
		q := longQuery(7)
		of := table.services["s"]
		size := 1 // set aside for long outputs
		h := homes(of.endpoints[size:], q.Parts)
		h.first.given = rate{sum: 2 * dutyShare * initialPace * 1000, at: start}
		h.second.given = rate{sum: c.share * initialPace * 1000, at: start}
		ticket := table.Pick(start, q)
		assert.Equal(t, ticket != nil, c.taken, "second home at %.1f of its time", c.share)
		if ticket != nil {
			assert.Equal(t, ticket.Home, 2)
		}
	}
}
