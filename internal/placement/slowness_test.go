package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// serve lets one request be answered after a time that depends on its endpoint.
func serve(t *testing.T, table *Table, now domain.Instant, q Query, took func(id string) time.Duration) string {
	t.Helper()
	ticket := table.Pick(now, q)
	assert.Assert(t, ticket != nil)
	end := now.Add(took(ticket.Endpoint.ID))
	table.Heard(end, ticket, 1)
	table.End(end, ticket, ResultServed)
	return ticket.Endpoint.ID
}

// shareOf returns the share of short requests that an endpoint gets.
func shareOf(t *testing.T, table *Table, from domain.Instant, id string, took func(string) time.Duration) float64 {
	t.Helper()
	const rounds = 200
	got := 0
	for i := range rounds {
		if serve(t, table, from.Add(time.Duration(i)*time.Millisecond), notesQuery(uint64(i)), took) == id {
			got++
		}
	}
	return float64(got) / rounds
}

func warm(t *testing.T, table *Table) {
	t.Helper()
	for i := range 50 {
		serve(t, table, start, longQuery(uint64(i)), func(string) time.Duration { return 200 * time.Millisecond })
	}
}

// One endpoint that takes five times as long as the others is left, and tried
// again when nothing has told of it for a while.
func TestSlowEndpointIsLeft(t *testing.T) {
	table := newTable(10) // two are set aside for long outputs
	warm(t, table)
	side := table.services["s"].endpoints[:2]
	slow := side[0].ID
	took := func(id string) time.Duration {
		if id == slow {
			return time.Second
		}
		return 200 * time.Millisecond
	}
	begin := start.Add(time.Second)
	shareOf(t, table, begin, slow, took)
	assert.Assert(t, shareOf(t, table, begin.Add(time.Second), slow, took) < 0.1)
	later := begin.Add(time.Second + 6*slowLife)
	assert.Assert(t, side[0].slowness(later, table.services["s"]) < 1.1)
}

// When all are as slow, as in overload, none is; one that is slower still is.
func TestSlownessIsRelative(t *testing.T) {
	const expected = 200 * time.Millisecond
	of := &service{}
	var all [4]state
	now := start
	for range 200 {
		for i := range all {
			now = now.Add(10 * time.Millisecond)
			took := 4 * expected
			if i == 0 {
				took = 12 * expected
			}
			all[i].slow.learn(now, took, expected, slowWeight)
			of.slow.learn(now, took, expected, generalWeight)
		}
	}
	assert.Assert(t, all[0].slowness(now, of) >= slowFrom)
	for i := range all[1:] {
		assert.Assert(t, all[i+1].slowness(now, of) < 1.1)
	}
}
