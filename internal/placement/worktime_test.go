package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Requests must not go to the endpoint that says that its work takes several times as long now, and not stay away
// from it when the report is old.
func TestMomentaryWorkTime(t *testing.T) {
	for name, q := range map[string]Query{"engine": {Service: "s", MaxTokens: 10, Parts: []Part{{ID: 1, Tokens: 500}}}, "plain": plainQuery()} {
		table := newTable(3) // one of the engines is the decode pool
		first := table.Pick(start, q)
		table.RecordLoad(start, first, ReportedLoad{Running: 0, Slots: 8, WorkTime: 300})
		table.RecordEnd(start, first, ResultServed)
		now := start.Add(50 * time.Millisecond)
		second := table.Pick(now, q)
		assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID, name)
		table.RecordEnd(now, second, ResultServed)
		slow := first.endpointState
		assert.Assert(t, slow.workTimeFactor(start.Add(5*workTimeTimeConstant)) < 1.05, name)
	}
}

// A report that can't be right has a bounded effect, and none if there is no figure.
func TestWorkTimeIsBounded(t *testing.T) {
	for workTime, want := range map[int]float64{0: 1, 1: minWorkTime, 100: 1, 250: 2.5, 1_000_000: maxWorkTime} {
		s := &endpointState{hasReport: true, reported: ReportedLoad{WorkTime: workTime}, reportedAt: start}
		assert.Equal(t, s.workTimeFactor(start), want, "%d", workTime)
	}
}
