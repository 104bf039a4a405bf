package peers

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// hears records that a process hears from others at a time.
func hears(c *census, now domain.Instant, from, to byte) {
	for n := from; n <= to; n++ {
		c.record(now, addr(n))
	}
}

// Of two parts of a cut, however long it lasts, the larger one forgets the other one and the smaller one doesn't.
func TestLargerPartOfACutHasTheShares(t *testing.T) {
	large, small := newCensus(true), newCensus(true)
	hears(large, 1, 2, 10)
	hears(small, 1, 2, 10)
	for now := instant(time.Second); now < instant(30*time.Minute); now = now.Add(time.Second) {
		hears(large, now, 2, 6)
		hears(small, now, 2, 4)
		l, s := large.divide(now, nil), small.divide(now, nil)
		if time.Duration(now) > presentMaxAge+time.Second {
			assert.Assert(t, !s.Share && s.Processes == 10 && s.Heard == 4, "%+v", s)
		}
		assert.Assert(t, l.Share && l.Processes >= 6, "%+v", l)
		if time.Duration(now) > goneMemory+2*time.Second {
			assert.Equal(t, l.Processes, 6)
		}
	}
	hears(small, instant(30*time.Minute), 2, 10)
	assert.Assert(t, small.divide(instant(30*time.Minute), nil).Share)
}

// A process that starts later has a share once others know it and it knows them; one that no other can be found by has one at once.
func TestShareOfLaterStarts(t *testing.T) {
	seeds := []netip.Addr{addr(2)}
	c := newCensus(false)
	for _, now := range []domain.Instant{instant(time.Second), instant(censusSettleTime - time.Second), instant(censusSettleTime + time.Second)} {
		hears(c, now, 2, 5)
		assert.Equal(t, c.divide(now, seeds).Share, now > instant(censusSettleTime), "at %s", time.Duration(now))
	}
	assert.DeepEqual(t, newCensus(false).divide(1, nil), Division{Processes: 1, Heard: 1, Share: true})
	assert.Assert(t, !newCensus(true).divide(1, seeds).Share, "it hears from none of two")
}
