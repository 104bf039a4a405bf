package capacity

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitExactLine(t *testing.T) {
	line := Fit([]Point{{Size: 1, Median: 5}, {Size: 2, Median: 7}, {Size: 4, Median: 11}})
	assert.Equal(t, line, Line{Slope: 2, Intercept: 3})
}

// TestDeterministicMeasuresRepeat guards against chance or wall-clock time in
// the measures of calls, which run only once at each size.
func TestDeterministicMeasuresRepeat(t *testing.T) {
	for _, m := range callMeasures() {
		first, err := m.Run(20)
		assert.NilError(t, err)
		second, err := m.Run(20)
		assert.NilError(t, err)
		assert.Equal(t, first, second, m.Name)
	}
}
