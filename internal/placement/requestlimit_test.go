package placement

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A limit is known until an answer to a later request names none.
func TestLimitFollowsAnswers(t *testing.T) {
	table := newTable(1)
	early := table.Pick(start, plainQuery())
	first := table.Pick(start, plainQuery())
	assert.Assert(t, table.RecordLimit(start.Add(time.Second), first, 1.7))
	assert.Assert(t, !table.RecordLimit(start.Add(time.Second), first, 1.7), "the same limit is no change")
	assert.Assert(t, !table.RecordLimit(start.Add(2*time.Second), early, math.Inf(1)), "an answer from before the limit ended it")
	assert.Equal(t, table.byID["e00"].limit.perSecond, 1.7)
	assert.Assert(t, table.RecordLimit(start.Add(2*time.Second), first, 1.3))
	later := table.Pick(start.Add(10*time.Second), plainQuery())
	assert.Assert(t, table.RecordLimit(start.Add(11*time.Second), later, math.Inf(1)))
	assert.Assert(t, !table.byID["e00"].limit.named)
}
