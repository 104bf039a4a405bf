package memorylimit

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// What the head of a request takes in memory, beyond what is read: by BenchmarkHeadMemory a line of a short field
// takes 87 bytes, and up to 110 while the head grows.
const (
	bytesPerHeadByte = 2
	bytesPerHeadLine = 110
	// smallHeadBytes is the cost up to which a head may use the reserved quarter of the heads' share. A head of 16 KiB
	// in 20 lines costs 35 KiB.
	smallHeadBytes    = 48 << 10
	reservedHeadShare = 4
	// unusedConnShare is the part of the connections, a quarter, that may be without any request so far before they
	// are closed ahead of idle ones.
	unusedConnShare = 4
)

// HeadCost returns what a head, or a part of one, takes in memory.
func HeadCost(bytes, lines int) int64 {
	return int64(bytes)*bytesPerHeadByte + int64(lines)*bytesPerHeadLine
}

// connPhase is what a connection does.
type connPhase uint8

const (
	connIdle connPhase = iota // no byte of a request has arrived since the last answer
	connHead                  // part of a head has arrived
	connBusy                  // a request is in progress
)

// Conn is a client's connection.
type Conn struct {
	address   netip.Addr
	phase     connPhase
	since     domain.Instant // begin of the phase
	served    bool           // whether a request has arrived on it
	uploading bool           // whether the request's body has not arrived whole
	draining  bool           // whether the request was refused, and the rest of its body is discarded
	head      int64          // cost of the request's head
	blocked   atomic.Int64   // domain.Instant since when a write is in progress; 0 if none is
	received  atomic.Int64   // domain.Instant of the last byte that was read
}

// Received records that bytes have been read from the client. It may be called at any time.
func (c *Conn) Received(now domain.Instant) { c.received.Store(int64(now)) }

// WriteBegins and WriteEnded record a write to the client. They may be called at any time.
func (c *Conn) WriteBegins(now domain.Instant) { c.blocked.Store(int64(now)) }

// WriteEnded records that no write is in progress.
func (c *Conn) WriteEnded() { c.blocked.Store(0) }

// stalled returns how long a connection with a request in progress has waited for the client.
func (c *Conn) stalled(now domain.Instant) time.Duration {
	var stalled time.Duration
	if c.uploading {
		stalled = now.Sub(max(c.since, domain.Instant(c.received.Load())))
	}
	if since := domain.Instant(c.blocked.Load()); since != 0 {
		stalled = max(stalled, now.Sub(since))
	}
	return stalled
}

// Conns are the connections of one listener. It is not safe for concurrent use.
type Conns struct {
	limits    ConnLimits
	conns     map[*Conn]struct{}
	byAddress map[netip.Addr]int
	heads     int64 // cost of all heads
}

// NewConns returns an empty table.
func NewConns(l ConnLimits) *Conns {
	return &Conns{limits: l, conns: make(map[*Conn]struct{}), byAddress: make(map[netip.Addr]int)}
}

// SetLimits replaces the limits. Open connections stay.
func (t *Conns) SetLimits(l ConnLimits) { t.limits = l }

// Len returns the number of connections, and Heads the cost of their heads.
func (t *Conns) Len() int { return len(t.conns) }

// Heads returns the cost of the heads of all connections.
func (t *Conns) Heads() int64 { return t.heads }

// Open adds a connection. If there are too many, it returns the one to close for it, which stays in the table until
// Close, or a nil connection if the new one is refused.
func (t *Conns) Open(now domain.Instant, address netip.Addr) (opened, victim *Conn) {
	if t.limits.Conns > 0 && len(t.conns) >= t.limits.Conns {
		if victim = t.leastUseful(now); victim == nil {
			return nil, nil
		}
	}
	c := &Conn{address: address, since: now}
	t.conns[c] = struct{}{}
	t.byAddress[address]++
	return c, victim
}

// Close removes a connection.
func (t *Conns) Close(c *Conn) {
	if _, ok := t.conns[c]; !ok {
		return
	}
	delete(t.conns, c)
	t.heads -= c.head
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
}

// Read records that bytes with a number of line ends have arrived. Outside of heads it changes nothing. It returns the
// connection to close if the heads take too much, which may be c itself; it stays in the table until Close.
func (t *Conns) Read(now domain.Instant, c *Conn, bytes, lines int) *Conn {
	if _, ok := t.conns[c]; !ok || c.phase == connBusy {
		return nil
	}
	if c.phase == connIdle {
		c.phase, c.since = connHead, now
	}
	cost := HeadCost(bytes, lines)
	c.head += cost
	t.heads += cost
	if t.headsFit(c) {
		return nil
	}
	return t.largestHead(now, c)
}

// Begin records that a whole head with a cost has arrived, and whether a body follows. It returns false if the heads
// take too much.
func (t *Conns) Begin(now domain.Instant, c *Conn, cost int64, body bool) bool {
	if _, ok := t.conns[c]; !ok {
		return true
	}
	t.heads += cost - c.head
	c.head = cost
	c.phase, c.since, c.served, c.uploading, c.draining = connBusy, now, true, body, false
	return t.headsFit(c)
}

// BodyArrived records that the request's body has arrived whole.
func (t *Conns) BodyArrived(c *Conn) { c.uploading = false }

// Draining records that the request has been refused and the rest of its body is discarded. Until it ends, the
// connection counts as stalled.
func (t *Conns) Draining(c *Conn) { c.draining = true }

// Idle records that the request in progress has ended.
func (t *Conns) Idle(now domain.Instant, c *Conn) {
	if _, ok := t.conns[c]; !ok {
		return
	}
	t.heads -= c.head
	c.head, c.phase, c.since, c.uploading, c.draining = 0, connIdle, now, false, false
}

// headsFit reports whether the heads are within their share with that of c, of which small ones have a part of their own.
func (t *Conns) headsFit(c *Conn) bool {
	limit := t.limits.Heads
	if limit == 0 {
		return true
	}
	if c.head > smallHeadBytes {
		limit -= limit / reservedHeadShare
	}
	return t.heads <= limit
}

// largestHead returns the connection whose unfinished head has taken the most for the longest time.
func (t *Conns) largestHead(now domain.Instant, c *Conn) *Conn {
	worst, worstScore := c, headScore(now, c)
	for v := range t.conns {
		if v.phase != connHead {
			continue
		}
		if score := headScore(now, v); score > worstScore {
			worst, worstScore = v, score
		}
	}
	return worst
}

func headScore(now domain.Instant, c *Conn) float64 {
	return float64(c.head) * (1 + now.Sub(c.since).Seconds())
}

// leastUseful returns the connection to close for a new one, nil if all are in use: first one without a request in
// progress, of the address with the most connections and the longest wait; then one whose client keeps a request from
// going on. Connections without any request so far come before others while they exceed their part: a flood of silent
// ones must not close those that callers reuse, and an ordinary burst of new ones must not close its own.
func (t *Conns) leastUseful(now domain.Instant) *Conn {
	preferUnused := t.unused()*unusedConnShare > t.limits.Conns
	var worst *Conn
	var worstTier, worstCount int
	var worstWait time.Duration
	for c := range t.conns {
		tier, wait := c.tier(now, preferUnused)
		if tier == 0 {
			continue
		}
		count := t.byAddress[c.address]
		if worst == nil || tier > worstTier || tier == worstTier && (count > worstCount || count == worstCount && wait > worstWait) {
			worst, worstTier, worstCount, worstWait = c, tier, count, wait
		}
	}
	return worst
}

// unused returns the number of connections without any request so far.
func (t *Conns) unused() int {
	n := 0
	for c := range t.conns {
		if !c.served {
			n++
		}
	}
	return n
}

// tier returns how little a connection is used, 0 for one that is not closed for others, and how long it has waited.
func (c *Conn) tier(now domain.Instant, preferUnused bool) (int, time.Duration) {
	const stalled, idle, unused = 1, 2, 3
	wait := now.Sub(c.since)
	switch {
	case c.phase == connBusy:
		if c.draining {
			return stalled, wait
		}
		if wait = c.stalled(now); wait > stallGrace {
			return stalled, wait
		}
		return 0, 0
	case c.served || !preferUnused:
		return idle, wait
	default:
		return unused, wait
	}
}

// Overdue returns the connections that have been idle, or in the middle of a head, for longer than these limits. Zero
// means no limit.
func (t *Conns) Overdue(now domain.Instant, idle, head time.Duration) []*Conn {
	var overdue []*Conn
	for c := range t.conns {
		limit := idle
		if c.phase == connHead {
			limit = head
		}
		if c.phase != connBusy && limit > 0 && now.Sub(c.since) > limit {
			overdue = append(overdue, c)
		}
	}
	return overdue
}
