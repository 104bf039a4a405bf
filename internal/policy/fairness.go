package policy

import "time"

// Flow is the fair queueing state of a client account within one tier.
type Flow struct {
	// VirtualTime is the slot time charged to the account, on the tier's virtual
	// clock. The account with the lowest value is furthest behind its fair share.
	VirtualTime time.Duration
	// Queued is the number of queued requests of the account.
	Queued int
	// Held is the number of slots that the account holds.
	Held int
}

// Enqueue counts a queued request. An account without queued requests is moved up
// to the tier's virtual time, so that an idle account accumulates no credit.
func (f *Flow) Enqueue(tierTime time.Duration) {
	if f.Queued == 0 {
		f.VirtualTime = max(f.VirtualTime, tierTime)
	}
	f.Queued++
}

// Dequeue removes a queued request from the count.
func (f *Flow) Dequeue() { f.Queued-- }

// Acquire counts a granted slot and charges its expected slot time.
func (f *Flow) Acquire(expected time.Duration) {
	f.Held++
	f.VirtualTime += expected
}

// Release counts a freed slot and replaces the expected slot time with the time used.
func (f *Flow) Release(expected, used time.Duration) {
	f.Held--
	f.VirtualTime += used - expected
}

// Idle reports whether the flow can be dropped: it has no queued requests, holds
// no slots and is not ahead of the tier's virtual time.
func (f *Flow) Idle(tierTime time.Duration) bool {
	return f.Queued == 0 && f.Held == 0 && f.VirtualTime <= tierTime
}
