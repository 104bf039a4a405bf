package usage

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against counts that are lost or counted twice by datagrams that are lost, late or repeated.
func TestCountsAreMergedOnce(t *testing.T) {
	holder, peer := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	rapid.Check(t, func(t *rapid.T) {
		sender, receiver := NewCounts(1, 100, 4), NewCounts(2, 100, 4)
		var sent []Message
		now, counted := time.Duration(0), uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			for range rapid.IntRange(0, 3).Draw(t, "runs") {
				sender.Add(5)
				counted++
			}
			now += 400 * time.Millisecond
			for _, m := range sender.Due(now, []netip.Addr{holder}) {
				sent = append(sent, m.Message)
			}
			for range rapid.IntRange(0, 2).Draw(t, "arrive") {
				if len(sent) == 0 {
					break
				}
				ack, ok := receiver.Handle(peer, sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				if ok && rapid.Bool().Draw(t, "acknowledged") {
					sender.Handle(holder, ack)
				}
			}
		}
		sender.Advance(101)
		receiver.Advance(101)
		for !sender.Told([]netip.Addr{holder}) {
			now += time.Second
			for _, m := range sender.Due(now, []netip.Addr{holder}) {
				ack, ok := receiver.Handle(peer, m.Message)
				assert.Assert(t, ok)
				sender.Handle(holder, ack)
			}
		}
		assert.Equal(t, receiver.Total(100)[5], counted)
		assert.Equal(t, receiver.Heard(100), 1)
	})
}

// Guards against counts of a gateway's former process that replace those of the present one.
func TestCountsOfFormerProcessAreKept(t *testing.T) {
	c, peer := NewCounts(1, 100, 4), netip.MustParseAddr("10.0.0.2")
	for _, m := range []Message{{Start: 7, Window: 100, Version: 3, Counts: map[Account]uint32{5: 3}}, {Start: 8, Window: 100, Version: 1, Counts: map[Account]uint32{5: 1}}} {
		_, ok := c.Handle(peer, m)
		assert.Assert(t, ok)
	}
	assert.Equal(t, c.Total(100)[5], uint64(4))
}

// Guards against windows that move with a time of day that jumps for a moment, and against one that is never followed.
func TestClockFollowsLastingJumpsOnly(t *testing.T) {
	var c Clock
	c.Observe(0, time.Hour)
	for s := range 29 {
		c.Observe(time.Duration(s)*time.Second, time.Hour+time.Duration(s+5)*time.Second)
	}
	assert.Equal(t, c.At(29*time.Second), time.Hour+29*time.Second)
	c.Observe(30*time.Second, time.Hour+30*time.Second+100*time.Millisecond)
	assert.Equal(t, c.At(30*time.Second), time.Hour+30*time.Second+100*time.Millisecond)
	for s := 31; s < 63; s++ {
		c.Observe(time.Duration(s)*time.Second, time.Hour+time.Duration(s+5)*time.Second)
	}
	assert.Equal(t, c.At(63*time.Second), time.Hour+68*time.Second)
}
