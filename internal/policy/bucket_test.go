package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestBucketAfterRateChange(t *testing.T) {
	b := NewTokenBucket(0)
	b.SetLimits(0, 10, 5)
	assert.Assert(t, !b.Has(0, 1))
	assert.Assert(t, b.Has(at(0.5), 5))
	b.SetLimits(at(0.5), 1, 2)
	assert.Assert(t, !b.Has(at(0.5), 3))
	b.Charge(at(0.5), 4)
	assert.Equal(t, b.WaitTime(at(0.5), 1), 3*time.Second)
	assert.Equal(t, b.WaitTime(at(0.5), 3), time.Duration(-1))
}
