package e2e

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestAnswersAcrossProcesses guards against lost, repeated or exchanged tokens when
// 200 answers of different lengths are streamed concurrently, and against a second
// execution of a repeated keyed order.
func TestAnswersAcrossProcesses(t *testing.T) {
	c := newCluster(t)
	c.checkComplete(c.askMany("path", 200))

	first := c.placeOrder(0, "order-1", "key-1")
	assert.NilError(t, first.err)
	assert.Equal(t, first.outcome, "complete", first.body)
	repeated := c.placeOrder(1, "order-1", "key-1")
	assert.NilError(t, repeated.err)
	assert.Equal(t, repeated.outcome, "complete", repeated.body)
	assert.Equal(t, repeated.body, first.body)
	assert.Equal(t, c.executions("order-1"), 1)
}
