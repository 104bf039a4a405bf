package usage

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// changedInterval is the least time between two messages to a peer on a window that goes on.
	changedInterval = time.Second
	// endedInterval is the same once the window has ended. It doubles, up to maxEndedInterval, until the message is
	// acknowledged: processes of versions without usage reports never do that.
	endedInterval, maxEndedInterval = 300 * time.Millisecond, 2400 * time.Millisecond
	// maxSources bounds the processes whose counts of a window are kept.
	maxSources = 1024
	// maxAccounts bounds the accounts in a window of one process: a message has 10 bytes at most for each, and has to fit
	// into a datagram. A gateway gets some hundred requests in a window.
	maxAccounts = 6000
)

// Account is the low 32 bits of the hash of an account's name.
type Account uint32

// AccountOf returns the hash of an account's name.
func AccountOf(name string) Account { return Account(xxhash.Sum64String(name)) }

// Message is the counts of a process in a window, or the acknowledgement of such a message.
type Message struct {
	Start   uint64 // of the process that has counted
	Window  int64
	Version uint64 // of the counts; it rises with each change
	// Ended is whether the process counts no further request in the window.
	Ended        bool
	Counts       map[Account]uint32
	Acknowledges bool
}

// Outgoing is a message to a peer.
type Outgoing struct {
	To netip.Addr
	Message
}

// source is a process that has counted.
type source struct {
	peer  netip.Addr
	start uint64
}

// told is what a peer was told of a window.
type told struct {
	at    time.Duration // when it was told last
	sent  bool
	ended time.Duration // until the next message after the window's end
	acked uint64        // highest version that it has acknowledged
}

// ownWindow is the requests of this process in a window.
type ownWindow struct {
	counts  map[Account]uint32
	version uint64
	ended   bool
	told    map[netip.Addr]*told
}

// peerWindow is what a peer has told of a window.
type peerWindow struct {
	counts  map[Account]uint32
	version uint64
	ended   bool
}

// Counts are the requests that endpoints began to run, by window and account: those of this process, and those that
// peers have told. It is not safe for concurrent use.
type Counts struct {
	start uint64 // of this process
	kept  int64  // windows before the present one that are kept
	now   int64  // present window
	first int64  // first window that was counted from some time in it on
	own   map[int64]*ownWindow
	peers map[int64]map[source]*peerWindow
	left  bool
}

// NewCounts returns the counts of a process that starts in a window, and keeps a number of windows before the present one.
func NewCounts(start uint64, window, kept int64) *Counts {
	c := &Counts{start: start, kept: kept, now: window, first: window, own: make(map[int64]*ownWindow), peers: make(map[int64]map[source]*peerWindow)}
	c.ownWindow(window)
	return c
}

func (c *Counts) ownWindow(window int64) *ownWindow {
	w := c.own[window]
	if w == nil {
		w = &ownWindow{counts: make(map[Account]uint32), told: make(map[netip.Addr]*told)}
		c.own[window] = w
	}
	return w
}

// Add counts a request in the present window. It returns false if there are too many accounts.
func (c *Counts) Add(account Account) bool {
	w := c.ownWindow(c.now)
	if _, ok := w.counts[account]; !ok && len(w.counts) >= maxAccounts {
		return false
	}
	w.counts[account]++
	w.version++
	return true
}

// Advance sets the present window and ends those before it. Windows never go back.
func (c *Counts) Advance(window int64) {
	if window <= c.now {
		return
	}
	for k := max(c.now, window-c.kept); k < window; k++ {
		c.end(k)
	}
	c.now = window
	c.ownWindow(window)
	if c.left {
		c.end(window)
	}
	for k := range c.own {
		if k < window-c.kept {
			delete(c.own, k)
		}
	}
	for k := range c.peers {
		if k < window-c.kept {
			delete(c.peers, k)
		}
	}
}

// end records that nothing more is counted in a window.
func (c *Counts) end(window int64) {
	if w := c.ownWindow(window); !w.ended {
		w.ended = true
		w.version++
	}
}

// Leave ends the present window, as the process stops.
func (c *Counts) Leave() {
	c.left = true
	c.end(c.now)
}

// Due returns the messages that are to be sent now, to peers that need the counts.
func (c *Counts) Due(now time.Duration, targets []netip.Addr) []Outgoing {
	var list []Outgoing
	for k := c.now - c.kept; k <= c.now; k++ {
		w := c.own[k]
		if w == nil || w.version == 0 {
			continue
		}
		for _, to := range targets {
			t := w.told[to]
			if t == nil {
				t = &told{}
				w.told[to] = t
			}
			interval := changedInterval
			if w.ended {
				interval = t.ended
			}
			if t.acked >= w.version || t.sent && now-t.at < interval {
				continue
			}
			if w.ended {
				t.ended = min(max(2*t.ended, endedInterval), maxEndedInterval)
			}
			t.at, t.sent = now, true
			// The counts go on while the message is encoded.
			list = append(list, Outgoing{To: to, Message: Message{Start: c.start, Window: k, Version: w.version, Ended: w.ended, Counts: maps.Clone(w.counts)}})
		}
	}
	return list
}

// Told reports whether some peers have acknowledged all counts.
func (c *Counts) Told(targets []netip.Addr) bool {
	for _, w := range c.own {
		for _, to := range targets {
			if t := w.told[to]; w.version > 0 && (t == nil || t.acked < w.version) {
				return false
			}
		}
	}
	return true
}

// Handle records a message of a peer. It returns the acknowledgement to send, or false if there is none.
func (c *Counts) Handle(from netip.Addr, m Message) (Message, bool) {
	if m.Acknowledges {
		if w := c.own[m.Window]; w != nil && m.Start == c.start && w.told[from] != nil {
			w.told[from].acked = max(w.told[from].acked, m.Version)
		}
		return Message{}, false
	}
	if m.Window > c.now+1 {
		return Message{}, false
	}
	ack := Message{Start: m.Start, Window: m.Window, Version: m.Version, Acknowledges: true}
	if m.Window < c.now-c.kept {
		return ack, true // too old to be of use, and not to be sent again
	}
	sources := c.peers[m.Window]
	if sources == nil {
		sources = make(map[source]*peerWindow)
		c.peers[m.Window] = sources
	}
	key := source{from, m.Start}
	w := sources[key]
	if w == nil {
		if len(sources) >= maxSources {
			return Message{}, false
		}
		w = &peerWindow{counts: make(map[Account]uint32)}
		sources[key] = w
	}
	w.version, w.ended = max(w.version, m.Version), w.ended || m.Ended
	for account, n := range m.Counts {
		if _, ok := w.counts[account]; ok || len(w.counts) < maxAccounts {
			w.counts[account] = max(w.counts[account], n)
		}
	}
	return ack, true
}

// Total returns the requests of all processes in a window.
func (c *Counts) Total(window int64) map[Account]uint64 {
	total := make(map[Account]uint64)
	if w := c.own[window]; w != nil {
		for account, n := range w.counts {
			total[account] += uint64(n)
		}
	}
	for _, w := range c.peers[window] {
		for account, n := range w.counts {
			total[account] += uint64(n)
		}
	}
	return total
}

// Heard returns how many peers have told counts of a window to its end.
func (c *Counts) Heard(window int64) int {
	heard := make(map[netip.Addr]bool)
	for key, w := range c.peers[window] {
		if w.ended {
			heard[key.peer] = true
		}
	}
	return len(heard)
}

// Missing returns those of some peers that have not told their counts of a window to its end.
func (c *Counts) Missing(window int64, peers []netip.Addr) []netip.Addr {
	return slices.DeleteFunc(slices.Clone(peers), func(peer netip.Addr) bool {
		for key, w := range c.peers[window] {
			if key.peer == peer && w.ended {
				return true
			}
		}
		return false
	})
}

// Knows reports whether this process or a peer that has told it has counted in a window.
func (c *Counts) Knows(window int64) bool { return window >= c.first || len(c.peers[window]) > 0 }
