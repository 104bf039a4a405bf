package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An endpoint that sends answers without end gets nothing for growing times, then one request at a time, until it answers one.
func TestEndpointsWithAnswersWithoutEndAreSpared(t *testing.T) {
	table, now := newTable(1), start
	endless := func() time.Duration {
		ticket := table.Pick(now, plainQuery())
		assert.Assert(t, ticket != nil)
		spared := table.RecordEndless(now, ticket)
		table.RecordEnd(now, ticket, ResultFailed)
		return spared
	}
	for range endlessLimit - 1 {
		assert.Equal(t, endless(), time.Duration(0))
	}
	for want := minEndlessPause; want < maxEndlessPause; want *= 2 {
		assert.Equal(t, endless(), want)
		assert.Assert(t, table.Pick(now, plainQuery()) == nil)
		now = now.Add(want)
		probe := table.Pick(now, plainQuery())
		assert.Assert(t, probe != nil && table.Pick(now, plainQuery()) == nil, "one request at a time")
		table.RecordEnd(now, probe, ResultCancelled)
	}
	ticket := table.Pick(now, plainQuery())
	table.RecordReceived(now, ticket, 0)
	table.RecordEnd(now, ticket, ResultServed)
	assert.Equal(t, endless(), time.Duration(0), "it has answered one")
}
