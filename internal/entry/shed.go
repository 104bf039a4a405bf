package entry

import (
	"sort"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// callOverhead is the memory that a waiting call takes besides its own bytes.
const callOverhead = 1 << 10

// waitingTable holds the calls that are not handed over, by tier in order of
// arrival, with their number and bytes.
type waitingTable struct {
	tiers [domain.Tiers][]*call
	count int
	bytes [domain.Tiers]int
}

// tierIndex is the row of a call's tier. Tiers past the last share its row.
func (cl *call) tierIndex() int { return min(int(cl.class.Tier), domain.Tiers-1) }

// add counts a call as waiting, at its place in the order of arrival.
func (t *waitingTable) add(cl *call) {
	tier := cl.tierIndex()
	row := t.tiers[tier]
	at := sort.Search(len(row), func(i int) bool { return row[i].ID > cl.ID })
	row = append(row, nil)
	copy(row[at+1:], row[at:])
	row[at] = cl
	t.tiers[tier] = row
	cl.waitingBytes = cl.size()
	t.bytes[tier] += cl.waitingBytes
	t.count++
}

// remove takes a call out, if it is there.
func (t *waitingTable) remove(cl *call) {
	if cl.waitingBytes == 0 {
		return
	}
	tier := cl.tierIndex()
	row := t.tiers[tier]
	at := sort.Search(len(row), func(i int) bool { return row[i].ID >= cl.ID })
	copy(row[at:], row[at+1:])
	row[len(row)-1] = nil
	t.tiers[tier] = row[:len(row)-1]
	t.bytes[tier] -= cl.waitingBytes
	t.count--
	cl.waitingBytes = 0
}

// bytesDownTo returns the bytes of the waiting calls of a tier and those above it.
func (t *waitingTable) bytesDownTo(lowest int) int {
	sum := 0
	for tier := 0; tier <= lowest; tier++ {
		sum += t.bytes[tier]
	}
	return sum
}

// shedCandidate returns the newest call of the lowest tier that waits.
func (t *waitingTable) shedCandidate() *call {
	for tier := len(t.tiers) - 1; tier >= 0; tier-- {
		if row := t.tiers[tier]; len(row) > 0 {
			return row[len(row)-1]
		}
	}
	return nil
}

// size is the memory that a call holds while it waits, in bytes.
func (cl *call) size() int {
	size := callOverhead + len(cl.Body) + len(cl.Path) + len(cl.resumeText)
	for _, h := range cl.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// admitWaiting counts a new call as waiting, and gives up calls until the
// number and the bytes that wait are within their bounds. It reports whether
// the new call stays.
//
// Invariant: a call is given up only while no call of a lower tier waits.
func (c *Core) admitWaiting(cl *call) bool {
	t := &c.waiting
	t.add(cl)
	if t.bytesDownTo(cl.tierIndex()) > c.cfg.MaxWaitingBytes {
		c.finishShed(cl) // giving up all lower tiers would not make room for it
		return false
	}
	for t.count > c.cfg.MaxWaitingCalls || t.bytesDownTo(domain.Tiers-1) > c.cfg.MaxWaitingBytes {
		c.finishShed(t.shedCandidate())
	}
	return cl.stage != stageEnded
}
