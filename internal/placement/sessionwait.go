package placement

import (
	"math"
	"time"
)

// The load pattern: a burst at a large fleet. The two engines of one session are often busy for a moment while more than a hundred are not. A request that
// waits for them, and has time to, is no reason to turn less urgent ones away from all engines. It counts as blocked only when it has to start
// within the time that these need to leave room. In a small fleet the engines of a session are a large part of all, so that it
// counts at once.

// YieldTime is how long it takes until less urgent requests that yield leave room: all gateways hear of it, and engines end the prefill
// that they have begun.
const YieldTime = 500 * time.Millisecond

// atOnce is longer than any request can wait.
const atOnce = time.Duration(math.MaxInt64)

// BlockedBefore is how long before its latest start a request that waits counts as blocked.
func (t *Table) BlockedBefore() time.Duration {
	if !t.relaying {
		return atOnce
	}
	return YieldTime
}
