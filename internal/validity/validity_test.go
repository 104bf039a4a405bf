package validity

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestKeysExpireBeforeTheBound(t *testing.T) {
	v := New(5 * time.Second)
	assert.Assert(t, !v.Valid(0), "nothing was confirmed")
	v.Confirm(10 * time.Second)
	assert.Assert(t, v.Valid(13*time.Second))
	assert.Assert(t, !v.Valid(14*time.Second))
	// After a suspension of the host, the keys have expired.
	assert.Assert(t, !v.Valid(time.Hour))
	v.Confirm(9 * time.Second)
	age, ok := v.Age(13 * time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, age, 3*time.Second, "an older confirmation changes nothing")
}

func TestZeroBoundNeverExpires(t *testing.T) {
	v := New(0)
	assert.Assert(t, !v.Valid(time.Second), "nothing was confirmed")
	v.Confirm(0)
	assert.Assert(t, v.Valid(1000*time.Hour))
}

func TestValidOnlyWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "bound"))
		at := time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "confirmed"))
		now := at + time.Duration(rapid.Int64Range(0, int64(2*time.Minute)).Draw(t, "age"))
		v := New(bound)
		v.Confirm(at)
		if v.Valid(now) {
			assert.Assert(t, now-at < bound)
		}
	})
}
