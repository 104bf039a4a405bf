// Package validity says how long a process may act on a set of keys that it
// has not confirmed to be the newest.
package validity

import (
	"sync/atomic"
	"time"
)

// usableShare is the share of the bound in which unconfirmed keys are used. The
// rest covers the time that a request spends on its way here, and a store that
// hears of a change late.
const usableShare = 0.75

// Validity is the age of the newest confirmation. Times are readings of a clock
// that goes on while the host is suspended. It is safe for concurrent use.
type Validity struct {
	bound     time.Duration
	confirmed atomic.Int64
}

// New returns a validity with a bound; a bound of zero never expires.
func New(bound time.Duration) *Validity {
	v := &Validity{bound: bound}
	v.confirmed.Store(-1)
	return v
}

// Confirm notes that the keys were the newest at a time.
func (v *Validity) Confirm(at time.Duration) {
	for {
		old := v.confirmed.Load()
		if int64(at) <= old || v.confirmed.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// Age returns the time since the newest confirmation, and false if there is none.
func (v *Validity) Age(now time.Duration) (time.Duration, bool) {
	at := v.confirmed.Load()
	return now - time.Duration(at), at >= 0
}

// Valid reports whether the keys may be used.
func (v *Validity) Valid(now time.Duration) bool {
	age, ok := v.Age(now)
	return ok && (v.bound <= 0 || age < time.Duration(float64(v.bound)*usableShare))
}
