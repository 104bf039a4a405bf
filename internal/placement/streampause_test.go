package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Long prompts go to an engine with many decode-heavy requests only while the streams
// there stay within the gaps that their callers accept, although the engine prefills.
func TestLongPromptsBesideTolerantStreams(t *testing.T) {
	const gap = 80 * time.Millisecond
	for _, c := range []struct {
		target time.Duration
		picked bool
	}{{120 * time.Millisecond, true}, {90 * time.Millisecond, false}, {0, false}} {
		table := newTable(1)
		stream := decodeHeavyQuery(1)
		stream.GapTarget = c.target
		table.recordArrival(start, stream)
		ticket := table.Pick(start, stream)
		s := ticket.endpointState
		// Another prompt is in the backlog all the time.
		s.local.backlog[2] = 2000
		s.local.decodeHeavy = longPromptDecodeLimit
		now := start
		for range minBusyGaps + 2 {
			now = now.Add(gap)
			table.RecordReceived(now, ticket, 1)
		}
		assert.Equal(t, table.Pick(now, longPromptQuery(7)) != nil, c.picked, "gap target %v", c.target)
	}
}

// Gaps on engines without a backlog say nothing about prefill.
func TestIdleGapsDoNotCount(t *testing.T) {
	table := newTable(1)
	ticket := table.Pick(start, decodeHeavyQuery(1))
	now := start
	for range 3 * minBusyGaps {
		now = now.Add(10 * time.Millisecond)
		table.RecordReceived(now, ticket, 1)
	}
	assert.Equal(t, table.service("s").busyGap.gaps, 0)
}
