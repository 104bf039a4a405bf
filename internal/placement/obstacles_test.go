package placement

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A request that is not placed is told apart by what each endpoint lacks for it.
func TestObstacles(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Table)
		query   Query
		want    string
	}{
		"free":     {func(*Table) {}, longPromptQuery(1), "none:1"},
		"draining": {func(table *Table) { table.byID["e00"].Draining = true }, longPromptQuery(1), "unavailable:1"},
		"slots":    {func(table *Table) { table.byID["e00"].local.inFlight = 8 }, longPromptQuery(1), "slots:1"},
		"memory": {func(table *Table) {
			table.SetEngine("s", EngineProfile{MemoryTokens: 4000})
			table.byID["e00"].local.memoryTokens = 4000
		}, longPromptQuery(1), "memory:1"},
		"long prompt": {func(table *Table) { table.byID["e00"].local.decodeHeavy = longPromptDecodeLimit }, longPromptQuery(1), "long_prompt:1"},
		"backlog":     {func(table *Table) { table.byID["e00"].local.backlog[0] = 1e6 }, longPromptQuery(1), "backlog:1"},
		"plain slots": {func(table *Table) { table.byID["e00"].local.inFlight = 8 * maxPlainDemandPerSlot }, plainQuery(), "slots:1"},
		"plain free":  {func(*Table) {}, plainQuery(), "none:1"},
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(1)
			c.prepare(table)
			obstacles := table.Obstacles(start, c.query)
			assert.Equal(t, obstacles.String(), c.want)
			assert.Equal(t, table.Pick(start, c.query) != nil, obstacles[ObstacleNone] > 0)
		})
	}
}

// The engines of the decode pool and those that are not a session's are named as such.
func TestObstaclesOfPoolsAndSessions(t *testing.T) {
	table := newTable(6)
	q := longPromptQuery(1)
	q.Parts[0].Tokens = 2 * prefillChunkTokens
	first := table.Pick(start, q)
	assert.Assert(t, first != nil)
	o := table.Obstacles(start, q)
	assert.Equal(t, o[ObstaclePool], first.DecodePoolSize)
	assert.Equal(t, o[ObstacleAffinity], 6-first.DecodePoolSize-2)
}

// An answer that would end after the deadline is told apart from a full engine.
func TestObstacleOfDeadline(t *testing.T) {
	table, now := newBusyTable(0.7)
	assert.Equal(t, table.Obstacles(now, deadlineQuery(now, 20*tokensPerEvent)).String(), "deadline:1")
}
