package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAffinityReassignsOnlyRemovedEndpoint(t *testing.T) {
	a := NewAffinity()
	_, ok := a.Owner(1)
	assert.Assert(t, !ok)
	for _, name := range []string{"a", "b", "c", "d"} {
		a.Add(name)
	}
	before := map[uint64]string{}
	prefixesByOwner := map[string]int{}
	for prefix := range uint64(4000) {
		before[prefix], _ = a.Owner(prefix)
		prefixesByOwner[before[prefix]]++
	}
	a.Remove("b")
	for prefix, owner := range before {
		current, _ := a.Owner(prefix)
		assert.Assert(t, current != "b" && (owner == "b" || current == owner))
	}
	a.Add("b")
	for prefix, owner := range before {
		current, _ := a.Owner(prefix)
		assert.Equal(t, current, owner)
	}
	for _, n := range prefixesByOwner {
		assert.Assert(t, n > 700 && n < 1300, "%v", prefixesByOwner)
	}
}
