package policy

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Two accounts with constant demand get the same slot time although the requests of
// one take longer.
func TestFairSlotTime(t *testing.T) {
	short, long := &Flow{}, &Flow{}
	scheduler := Scheduler{MaxLead: 2 * time.Second}
	used := map[*Flow]time.Duration{}
	duration := map[*Flow]time.Duration{short: time.Second, long: 4 * time.Second}
	for arrivalSeq := uint64(1); arrivalSeq <= 500; arrivalSeq++ {
		queue := []*QueuedRequest{queuedRequest(arrivalSeq, 1, short, int(arrivalSeq)), queuedRequest(arrivalSeq+1000, 1, long, 0)}
		picked, _ := scheduler.Pick(slices.Values(queue))
		flow := picked.Flow
		flow.Acquire(time.Second)
		flow.Release(time.Second, duration[flow])
		used[flow] += duration[flow]
	}
	difference := (used[long] - used[short]).Abs()
	assert.Assert(t, difference <= scheduler.MaxLead+duration[long], "apart by %v", difference)
}

func TestIdleTimeEarnsNoCredit(t *testing.T) {
	f := &Flow{VirtualTime: time.Second}
	f.Enqueue(9 * time.Second)
	f.Enqueue(12 * time.Second) // an account with queued requests keeps its virtual time
	assert.Equal(t, f.VirtualTime, 9*time.Second)
}
