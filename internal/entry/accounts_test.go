package entry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A call that no longer waits must not be held by its account, as its body would be.
func TestAccountReleasesRemovedCalls(t *testing.T) {
	ac := &account{}
	first, second := &call{}, &call{}
	ac.enqueueWaiting(first)
	ac.enqueueWaiting(second)
	ac.removeWaiting(first)
	ac.removeWaiting(second)
	for _, held := range ac.waiting[:cap(ac.waiting)] {
		assert.Assert(t, held == nil)
	}
}
