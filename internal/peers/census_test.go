package peers

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// hears records that a process hears from others at a time.
func hears(c *census, now domain.Instant, from, to byte) {
	for n := from; n <= to; n++ {
		c.record(now, addr(n))
	}
}

// Of two parts of a cut, however long it lasts, only the larger one has shares, and both go on counting all.
func TestLargerPartOfACutHasTheShares(t *testing.T) {
	large, small := newCensus(true), newCensus(true)
	hears(large, 1, 2, 10)
	hears(small, 1, 2, 10)
	for now := instant(time.Second); now < instant(30*time.Minute); now = now.Add(time.Second) {
		hears(large, now, 2, 6)
		hears(small, now, 2, 4)
		l, s := large.divide(now, nil), small.divide(now, nil)
		if time.Duration(now) > settleAfterFirstStart+time.Second {
			assert.DeepEqual(t, s, Division{Processes: 10, Heard: 4})
			assert.DeepEqual(t, l, Division{Processes: 10, Heard: 6, Share: true})
		}
	}
	hears(small, instant(30*time.Minute), 2, 10)
	assert.Assert(t, small.divide(instant(30*time.Minute), nil).Share)
}

// A process that starts later has a share once others know it and it knows them; one that no other can be found by has one at once.
func TestShareOfLaterStarts(t *testing.T) {
	seeds := []netip.Addr{addr(2)}
	c := newCensus(false)
	for _, now := range []domain.Instant{instant(time.Second), instant(settleAfterStart - time.Second), instant(settleAfterStart + time.Second)} {
		hears(c, now, 2, 5)
		assert.Equal(t, c.divide(now, seeds).Share, now > instant(settleAfterStart), "at %s", time.Duration(now))
	}
	first := newCensus(true)
	for _, now := range []domain.Instant{instant(settleAfterFirstStart - time.Second), instant(settleAfterFirstStart + time.Second)} {
		hears(first, now, 2, 5)
		assert.Equal(t, first.divide(now, seeds).Share, now > instant(settleAfterFirstStart))
	}
	assert.DeepEqual(t, newCensus(false).divide(1, nil), Division{Processes: 1, Heard: 1, Share: true})
	assert.Assert(t, !newCensus(true).divide(1, seeds).Share, "it hears from none of two")
}

// Guards against shares that add up to more than one, in cuts that follow on each other and last minutes. No process starts
// meanwhile.
func TestSharesAddUpToMoreThanOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 5, 12, 24}).Draw(t, "processes")
		processes, part := make([]*census, n), make([]int, n)
		now := instant(0)
		tick := func() {
			now = now.Add(time.Second)
			for i, c := range processes {
				for j := range processes {
					if i != j && part[i] == part[j] {
						c.record(now, addr(byte(1+j)))
					}
				}
			}
			sum := 0.0
			for _, c := range processes {
				if d := c.divide(now, []netip.Addr{addr(250)}); d.Share {
					sum += 1 / float64(d.Processes)
				}
			}
			assert.Assert(t, sum <= 1, "%f at %s, parts %v", sum, time.Duration(now), part)
		}
		for i := range processes {
			processes[i] = newCensus(true)
		}
		for time.Duration(now) < 2*settleAfterFirstStart {
			tick()
		}
		for range rapid.IntRange(1, 8).Draw(t, "cuts") {
			for i := range part {
				part[i] = rapid.IntRange(0, 2).Draw(t, "part")
			}
			for range rapid.SampledFrom([]int{1, 10, 70, 300}).Draw(t, "seconds") {
				tick()
			}
		}
	})
}
