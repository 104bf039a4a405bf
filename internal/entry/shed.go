package entry

import (
	"sort"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// callOverhead is the memory of a waiting call besides its request, in bytes.
const callOverhead = 1 << 10

// waitingTable holds the waiting calls: those not handed over to an agent. Each
// tier has a queue in order of arrival.
type waitingTable struct {
	tiers [domain.TierCount][]*call
	count int
	bytes [domain.TierCount]int // by tier
}

// tierIndex returns the index of a call's tier. Tiers below the lowest known one share its index.
func (cl *call) tierIndex() int { return min(int(cl.class.Tier), domain.TierCount-1) }

// add inserts a call into its tier's queue by order of arrival, and counts its bytes.
func (t *waitingTable) add(cl *call) {
	tier := cl.tierIndex()
	queue := t.tiers[tier]
	pos := sort.Search(len(queue), func(i int) bool { return queue[i].ID > cl.ID })
	queue = append(queue, nil)
	copy(queue[pos+1:], queue[pos:])
	queue[pos] = cl
	t.tiers[tier] = queue
	cl.waitingBytes = cl.size()
	t.bytes[tier] += cl.waitingBytes
	t.count++
}

// remove takes a call out of its queue. It does nothing if the call is not in the table.
func (t *waitingTable) remove(cl *call) {
	if cl.waitingBytes == 0 {
		return
	}
	tier := cl.tierIndex()
	queue := t.tiers[tier]
	pos := sort.Search(len(queue), func(i int) bool { return queue[i].ID >= cl.ID })
	copy(queue[pos:], queue[pos+1:])
	queue[len(queue)-1] = nil
	t.tiers[tier] = queue[:len(queue)-1]
	t.bytes[tier] -= cl.waitingBytes
	t.count--
	cl.waitingBytes = 0
}

// bytesDownTo returns the bytes of the waiting calls of a tier and all higher tiers.
func (t *waitingTable) bytesDownTo(lowest int) int {
	sum := 0
	for tier := 0; tier <= lowest; tier++ {
		sum += t.bytes[tier]
	}
	return sum
}

// shedCandidate returns the newest call of the lowest tier with waiting calls, nil if none waits.
func (t *waitingTable) shedCandidate() *call {
	for tier := len(t.tiers) - 1; tier >= 0; tier-- {
		if queue := t.tiers[tier]; len(queue) > 0 {
			return queue[len(queue)-1]
		}
	}
	return nil
}

// size estimates the memory of a waiting call, in bytes.
func (cl *call) size() int {
	size := callOverhead + len(cl.Body) + len(cl.Path) + len(cl.resumeText)
	for _, h := range cl.Headers {
		size += len(h.Name) + len(h.Value)
	}
	return size
}

// addAndShed adds a new call to the waiting table and sheds calls until their
// number and bytes are within bounds. It returns false if the new call was shed.
//
// Invariant: a call is shed only while no call of a lower tier waits, unless
// its own tier and those above it exceed the byte bound with it.
func (c *Core) addAndShed(cl *call) bool {
	t := &c.waiting
	t.add(cl)
	if t.bytesDownTo(cl.tierIndex()) > c.settings.MaxWaitingBytes {
		c.finishShed(cl) // shedding all lower tiers would not free enough bytes
		return false
	}
	for t.count > c.settings.MaxWaitingCalls || t.bytesDownTo(domain.TierCount-1) > c.settings.MaxWaitingBytes {
		c.finishShed(t.shedCandidate())
	}
	return cl.stage != stageEnded
}
