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
	ac.addToLimitQueue(first)
	ac.addToLimitQueue(second)
	ac.removeFromLimitQueue(first)
	ac.removeFromLimitQueue(second)
	for _, removed := range ac.limitQueue[:cap(ac.limitQueue)] {
		assert.Assert(t, removed == nil)
	}
}
