// Package validity limits how long a gateway accepts API keys after the store last
// confirmed that its configuration is the newest, so that revoked keys are rejected
// in time. The gateway calls Confirm for each confirmation, and Valid for each request.
package validity

import (
	"sync/atomic"
	"time"
)

// usableShare is the share of the bound for which keys are accepted after a
// confirmation. The rest covers the time that a request takes to arrive here and the
// delay with which the store learns of a change.
const usableShare = 0.75

// Validity holds the time of the newest confirmation. Times are readings of a clock
// that also runs while the host is suspended. It is safe for concurrent use.
type Validity struct {
	bound     time.Duration // time within which a revoked key must be rejected; 0 means no limit
	confirmed atomic.Int64  // clock reading of the newest confirmation, in nanoseconds; -1 if there is none
	trusted   atomic.Int64  // clock reading before which confirmations don't count, in nanoseconds
}

// New returns a Validity without a confirmation. The bound is the time within which a
// revoked key must be rejected. If it is zero, confirmed keys never expire.
func New(bound time.Duration) *Validity {
	v := &Validity{bound: bound}
	v.confirmed.Store(-1)
	return v
}

// restoreSettleTime is the time after the store came back from a copy during which its
// configuration may be older than one that it has acknowledged. The operator
// writes lost changes again.
const restoreSettleTime = 2500 * time.Millisecond

// StoreRestored records that the store came back from a copy, as noticed at a time.
// Confirmations of times before the end of restoreSettleTime don't count.
func (v *Validity) StoreRestored(at time.Duration) {
	v.trusted.Store(int64(at + restoreSettleTime))
}

// Trusts reports whether confirmations of a time count.
func (v *Validity) Trusts(at time.Duration) bool { return int64(at) >= v.trusted.Load() }

// Confirm records that the keys were the newest at a time. Earlier times than the
// newest confirmation are ignored.
func (v *Validity) Confirm(at time.Duration) {
	if !v.Trusts(at) {
		return
	}
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
