package policy

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// A class that is queued throughout is granted a slot within the bound that
// StarvationGuard documents, (classes+1)*(minGap+1) grants, whichever classes get the
// other grants. Between two grants by the guard there are at least minGap others.
func TestGuardBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const classes = 4
		minGap := rapid.Uint32Range(1, 10).Draw(t, "every")
		g := NewStarvationGuard(minGap)
		for class := range uint32(classes) {
			g.Enqueue(class)
		}
		sinceGranted := make([]int, classes)
		sinceGuard := minGap
		otherClass := rapid.Uint32Range(0, classes-1)
		for range 200 {
			class, byGuard := g.NextStarved(func(uint32) bool { return true })
			if !byGuard {
				class = otherClass.Draw(t, "class")
			}
			if byGuard && sinceGuard < minGap {
				t.Fatalf("guard granted %d grants after its last grant", sinceGuard)
			}
			sinceGuard++
			if byGuard {
				sinceGuard = 0
			}
			g.RecordGrant(class, byGuard)
			for i := range sinceGranted {
				sinceGranted[i]++
				if sinceGranted[i] > (classes+1)*int(minGap+1) {
					t.Fatalf("class %d not served for %d grants", i, sinceGranted[i])
				}
			}
			sinceGranted[class] = 0
		}
	})
}

func TestGuardSkipsUnservableClass(t *testing.T) {
	g := NewStarvationGuard(1)
	for class := range uint32(3) {
		g.Enqueue(class)
	}
	g.RecordGrant(2, false)
	class, ok := g.NextStarved(func(class uint32) bool { return class != 0 })
	assert.Assert(t, ok)
	assert.Equal(t, class, uint32(1))
}
