package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A removed call must not stay referenced by the backing array of its account's
// queue, as that would keep its body in memory.
func TestAccountReleasesRemovedCalls(t *testing.T) {
	ac := &account{}
	first, second := &call{}, &call{}
	ac.enqueueWaiting(first)
	ac.enqueueWaiting(second)
	ac.removeWaiting(first)
	ac.removeWaiting(second)
	for _, removed := range ac.waiting[:cap(ac.waiting)] {
		assert.Assert(t, removed == nil)
	}
}
