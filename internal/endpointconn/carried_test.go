package endpointconn

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// The identifiers of the last maxCarried requests are known, of however many.
func TestCarriedRequests(t *testing.T) {
	var c carried
	assert.Assert(t, !c.has(""))
	for n := range 3 * maxCarried {
		c.add(fmt.Sprint(n))
		for known := max(0, n-maxCarried+1); known <= n; known++ {
			assert.Assert(t, c.has(fmt.Sprint(known)), "%d after %d", known, n)
		}
	}
	assert.Assert(t, !c.has("other"))
}
