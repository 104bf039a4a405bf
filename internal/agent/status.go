package agent

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// NoTier is the value of Status.LowestTierQueued if nothing is queued.
const NoTier = -1

// Status is a snapshot of an agent's state.
type Status struct {
	Revision domain.Revision
	Draining bool
	// Entries is the number of connected entries.
	Entries int
	// Slots is the current limit of concurrent attempts and FreeSlots the number of
	// slots that can be granted now.
	Slots     int
	FreeSlots int
	// Queued is the number of queued reservations by tier.
	Queued [domain.TierCount]int
	// LowestTierQueued is the lowest tier with a queued reservation, or NoTier.
	LowestTierQueued int
	// Runs is the number of active runs.
	Runs int
	// UnacknowledgedFrames and UnacknowledgedBytes count the answer frames that entries
	// have not acknowledged, and their memory.
	UnacknowledgedFrames int
	UnacknowledgedBytes  int
	// LeaseHeld reports whether the agent holds the lease to send orders.
	LeaseHeld bool
	// OrdersPending is the number of declared orders that are not done.
	OrdersPending int
}

// Status returns the agent's state as of the last Step or Tick.
func (c *Core) Status() Status {
	s := Status{
		Revision:            c.desired.revision,
		Draining:            c.draining(),
		Slots:               c.slotLimit(),
		FreeSlots:           c.freeSlots(),
		Queued:              c.queue.queuedByTier,
		LowestTierQueued:    NoTier,
		Runs:                c.activeRuns(),
		UnacknowledgedBytes: c.unackedBytes,
		LeaseHeld:           c.leaseValid(c.now),
	}
	for tier, queued := range s.Queued {
		if queued > 0 {
			s.LowestTierQueued = tier
		}
	}
	for _, record := range c.entries.all {
		if record.connected {
			s.Entries++
		}
	}
	for _, run := range c.runs.all {
		s.UnacknowledgedFrames += len(run.unacked)
	}
	for _, record := range c.orders.all {
		if !record.done {
			s.OrdersPending++
		}
	}
	return s
}

// CancelCause is the reason for cancelling a run, as a label for metrics.
type CancelCause string

// The causes of a cancellation.
const (
	// CancelledByEntry means that the answer is no longer wanted or its entry is gone.
	CancelledByEntry CancelCause = "entry"
	// CancelledByPreemption means that a request of a higher tier needed the slot.
	CancelledByPreemption CancelCause = "preemption"
	// CancelledByMemory means that unacknowledged frames used too much memory.
	CancelledByMemory CancelCause = "memory"
)

// CancelCause returns why a run was cancelled. For a run without a record it returns
// CancelledByEntry: the record of a cancelled run can only be gone already if its entry
// needs no more frames.
func (c *Core) CancelCause(id RunID) CancelCause {
	run := c.runs.get(c.keyByRun[id])
	switch {
	case run == nil:
		return CancelledByEntry
	case run.cancel == cancelByPreemption:
		return CancelledByPreemption
	case run.cancel == cancelByMemory:
		return CancelledByMemory
	}
	return CancelledByEntry
}
