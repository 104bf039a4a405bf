package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// refuse places a request on an endpoint, which refuses it and asks for a pause.
func refuse(table *Table, now domain.Instant, id string, length time.Duration) bool {
	ticket := &Ticket{Endpoint: table.byID[id].Endpoint, endpointState: table.byID[id]}
	changed := table.RecordPause(now, ticket, length)
	table.RecordEnd(now, ticket, ResultRefused)
	return changed
}

// countPicks returns how many of n requests are placed.
func countPicks(table *Table, now domain.Instant, n int) int {
	placed := 0
	for range n {
		if table.Pick(now, plainQuery()) != nil {
			placed++
		}
	}
	return placed
}

// An endpoint that has refused a request gets none during its pause, also if no other is left,
// and then one at a time until one is answered.
func TestPausingEndpointGetsRequests(t *testing.T) {
	table := newTable(1)
	assert.Assert(t, refuse(table, start, "e00", 2*time.Second))
	assert.Assert(t, !refuse(table, start, "e00", time.Second), "a shorter pause replaced a longer one")
	end := start.Add(2 * time.Second)
	assert.Assert(t, table.Pick(end-1, plainQuery()) == nil)
	assert.Equal(t, table.Obstacles(end-1, plainQuery())[ObstaclePause], 1)
	assert.Equal(t, len(table.EndedPauses(end-1)), 0)
	assert.DeepEqual(t, table.EndedPauses(end), []string{"e00"})
	assert.Equal(t, len(table.EndedPauses(end)), 0)

	first := table.Pick(end, plainQuery())
	assert.Assert(t, first != nil)
	assert.Assert(t, table.Pick(end, plainQuery()) == nil, "two requests at once after a pause")
	assert.Assert(t, refuse(table, end, "e00", time.Second))
	table.RecordEnd(end, first, ResultRefused)
	end = end.Add(time.Second)
	first = table.Pick(end, plainQuery())
	assert.Assert(t, first != nil && table.Pick(end, plainQuery()) == nil)
	table.RecordEnd(end, first, ResultCancelled)
	first = table.Pick(end, plainQuery())
	assert.Assert(t, first != nil && table.Pick(end, plainQuery()) == nil)
	table.RecordReceived(end, first, 0)
	assert.Equal(t, countPicks(table, end, 2), 2, "an answer did not end the return")
}

// A pause is over after its time and returnTime even if nothing is answered, and outlasts an entry
// that is missing for a moment.
func TestPauseOutlastsRegistryEntry(t *testing.T) {
	table := newTable(1)
	e := table.byID["e00"].Endpoint
	refuse(table, start, "e00", 2*time.Second)
	table.Remove("e00")
	table.Put(start.Add(time.Second), e)
	assert.Assert(t, table.Pick(start.Add(2*time.Second-1), plainQuery()) == nil)
	end := start.Add(2*time.Second + returnTime)
	assert.Equal(t, countPicks(table, end, 2), 2)
	refuse(table, end, "e00", time.Minute)
	e.Start++
	table.Put(end, e)
	assert.Assert(t, table.Pick(end, plainQuery()) != nil, "the pause of the earlier process held for the later one")
}

// No pause lasts for longer than MaxPause, whatever endpoints ask for.
func TestPausesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newTable(1), start
		for range rapid.IntRange(1, 10).Draw(t, "answers") {
			refuse(table, now, "e00", time.Duration(rapid.Int64().Draw(t, "length")))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "gap")))
		}
		now = now.Add(MaxPause + returnTime)
		assert.Assert(t, table.Pick(now, plainQuery()) != nil)
	})
}

// A request that was placed before the pause or leaving of its endpoint became known is not sent.
func TestWithdrawnPlacement(t *testing.T) {
	table := newTable(2)
	ticket := table.Pick(start, plainQuery())
	assert.Assert(t, !table.Withdrawn(start, ticket))
	refuse(table, start, ticket.Endpoint.ID, time.Second)
	assert.Assert(t, table.Withdrawn(start, ticket))
	assert.Assert(t, !table.Withdrawn(start.Add(time.Second), ticket))
	leaves(table, start, ticket.Endpoint.ID)
	assert.Assert(t, table.Withdrawn(start.Add(time.Second), ticket))
}

// ComesBack is the first end of a pause or wait for a limit, if these keep a request from all
// endpoints that could take it.
func TestComesBack(t *testing.T) {
	table, now := newJoinedTable(4)
	assert.Equal(t, table.ComesBack(now, plainQuery()), domain.Instant(0))
	refuse(table, now, "e01", 3*time.Second)
	refuse(table, now, "e02", 2*time.Second)
	leaves(table, now, "e03")
	assert.Equal(t, table.ComesBack(now, plainQuery()), domain.Instant(0), "an endpoint is left")
	name(table, now, 0.2)
	// A limit that is newly named keeps requests away for its window of 5 s.
	assert.Equal(t, table.ComesBack(now, plainQuery()), now.Add(2*time.Second))
	now = now.Add(2 * time.Second)
	ticket := table.Pick(now, plainQuery())
	assert.Equal(t, ticket.Endpoint.ID, "e02")
	refuse(table, now, "e02", time.Minute)
	refuse(table, now, "e01", time.Minute)
	assert.Equal(t, table.ComesBack(now, plainQuery()), now.Add(3*time.Second), "the limit's first window ends")
	assert.Assert(t, table.Pick(now.Add(3*time.Second-1), plainQuery()) == nil)
	now = now.Add(3 * time.Second)
	assert.Assert(t, table.Pick(now, plainQuery()) != nil)
	assert.Equal(t, table.ComesBack(now, plainQuery()), now.Add(5*time.Second), "the request that the limit counts leaves its window")
}
