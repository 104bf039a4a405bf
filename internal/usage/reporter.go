// Package usage counts the requests of client accounts that endpoints began to run, by window, and decides which window
// is reported when, by whom and with which body: Rule ONE of docs/design/usage-reports.md. It has no I/O, clock or
// goroutine: callers pass the time, send the messages, and make the calls to the store and the provider.
package usage

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/lease"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

const (
	// renewalSlack is the length of a lease beyond a window: the time for the write that renews it. With 3 s, a gateway that
	// takes over from one that was killed before its call can't send the report of a window of 5 s within 10 s of its end.
	renewalSlack = 2 * time.Second
	// clockMargin is by how much clocks may drift apart in a lease.
	clockMargin = 300 * time.Millisecond
	// fixDelay is the time from the end of a window until it is fixed, and maxFixDelay the longest one if counts are missing.
	fixDelay, maxFixDelay = 1500 * time.Millisecond, 2200 * time.Millisecond
	// renewEarly is the time before the end of the lease at which it is renewed without a window.
	renewEarly = time.Second
	// settleTime is the time for which a new holder waits for counts that are missing.
	settleTime = time.Second
	// patience is the time after fixDelay in which gateways expect to hear that a window is fixed.
	patience = 1500 * time.Millisecond
	// rankDelay is the time between the attempts of two gateways to take the lease, and maxRank bounds the number of them.
	rankDelay = 300 * time.Millisecond
	maxRank   = 8
	// startDelay is the time from the start of a process until it tries to take a lease of which nobody has told.
	startDelay = 500 * time.Millisecond
	// firstRetry and maxRetry bound the time between two failed calls.
	firstRetry, maxRetry = 300 * time.Millisecond, 2 * time.Second
	// callMargin is the time that a call to the provider must end before the lease does.
	callMargin = 200 * time.Millisecond
	// unansweredTime is the time without any answer of the provider after which a holder gives the lease to another one.
	unansweredTime = 2500 * time.Millisecond
	// yieldWindows is the number of windows in which holders give the lease away at most once for being cut off.
	yieldWindows = 6
	// yieldPause is the time for which a gateway that has given the lease away lets others take it.
	yieldPause = 5 * time.Second
	// keptBeyondLate is the number of windows for which counts are kept after their reports are overdue.
	keptBeyondLate = 2
)

// CallTimeout limits a call to the provider.
const CallTimeout = time.Second

// Settings are the settings of a Reporter.
type Settings struct {
	Holder  string
	Start   uint64 // of this process
	Address netip.Addr
	// Window is the length of a window, and Late the time from its end until its report is overdue.
	Window, Late time.Duration
	// Reentry is the time for which a former holder can't follow another one.
	Reentry time.Duration
	// CallsPerSecond is the number of calls that the provider accepts; 0 means no limit.
	CallsPerSecond float64
}

// News is what gateways tell each other of the lease.
type News struct {
	Token int64
	// Holder is the address of the holder; the zero value if it has released the lease.
	Holder netip.Addr
	Window int64 // last one that is fixed
}

// Newer reports whether news are newer than others.
func (n News) Newer(other News) bool {
	if n.Token != other.Token {
		return n.Token > other.Token
	}
	return n.Window > other.Window || !n.Holder.IsValid() && other.Holder.IsValid()
}

// Reporter is the part of one gateway in usage reports. It is not safe for concurrent use.
type Reporter struct {
	settings Settings
	lease    *lease.Lease
	clock    Clock
	counts   *Counts
	started  time.Duration
	stopping bool

	firstWindow int64         // first one that may be fixed in an era that no row is of yet
	eraSeenAt   time.Duration // when the era was first seen, until news of a holder in it; 0 otherwise
	heard       News
	heardAt     time.Duration
	knowsNews   bool

	ledger   ledger  // of the row, if that is this gateway's
	proposed *ledger // that is being written
	planned  []Event // that happen when the proposed ledger is in the store
	takenAt  time.Duration

	storeBusy    bool
	storeRetryAt time.Duration
	storeRetry   time.Duration
	readAt       time.Duration // of the last row read; 0 if a write followed
	notBefore    time.Duration // when another gateway's lease, or this one's pause, ends
	mayBeMine    bool          // whether a write of this gateway may have been performed

	callBusy      bool
	callNotBefore time.Duration
	tries         map[int64]*try
	unanswered    time.Duration // when the provider gave no answer first, since its last one; 0 if it did
	logs          []Event
}

// try is the next try to send a window's report.
type try struct {
	at    time.Duration
	delay time.Duration
}

// New returns the Reporter of a process that starts at a steady time and a time of day.
func New(s Settings, steady, wall time.Duration) *Reporter {
	r := &Reporter{
		settings: s, started: steady, tries: make(map[int64]*try),
		lease: lease.New(lease.Settings{
			Holder: s.Holder, Start: int64(s.Start), Length: s.Window + renewalSlack, Reentry: s.Reentry, Margin: clockMargin,
		}),
	}
	r.clock.Observe(steady, wall)
	r.firstWindow = r.windowAt(steady)
	r.counts = NewCounts(s.Start, r.firstWindow, int64((s.Late+s.Window-1)/s.Window)+keptBeyondLate)
	return r
}

// Counts returns the counts.
func (r *Reporter) Counts() *Counts { return r.counts }

// Count counts a request that an endpoint has begun to run. It returns false if there are too many accounts.
func (r *Reporter) Count(now time.Duration, account Account) bool {
	r.counts.Advance(r.windowAt(now))
	return r.counts.Add(account)
}

// Held returns the token under which this gateway holds the lease, and whether it does.
func (r *Reporter) Held(now time.Duration) (int64, bool) { return r.lease.Valid(now, 0) }

// windowAt returns the window of a steady time.
func (r *Reporter) windowAt(steady time.Duration) int64 {
	return int64(r.clock.At(steady) / r.settings.Window)
}

// endOf returns the steady time of the end of a window.
func (r *Reporter) endOf(window int64) time.Duration {
	return r.clock.Steady(time.Duration(window+1) * r.settings.Window)
}

// Tick advances the windows by the steady clock and the time of day.
func (r *Reporter) Tick(steady, wall time.Duration) {
	if jump := r.clock.Observe(steady, wall); jump != 0 {
		r.log(Event{Kind: ClockSet, Took: jump})
	}
	r.counts.Advance(r.windowAt(steady))
}

// SawEra records the store's era in an answer to any call.
func (r *Reporter) SawEra(now time.Duration, era int64) {
	if !r.lease.SawEra(era) {
		return
	}
	r.firstWindow = r.windowAt(now)
	if r.knowsNews && r.heard.Token>>lease.EraShift < era {
		r.eraSeenAt = now
	}
}

// Hear records what a peer tells of the lease.
func (r *Reporter) Hear(now time.Duration, n News) {
	if n.Token <= 0 || r.knowsNews && !n.Newer(r.heard) {
		return
	}
	before := r.heard
	if n.Token != before.Token && n.Holder != r.settings.Address {
		r.readAt = 0 // the row that was read is out of date
	}
	r.heard, r.heardAt, r.knowsNews = n, now, true
	if n.Token>>lease.EraShift >= r.lease.Era() {
		r.eraSeenAt = 0
	}
	if n.Token != before.Token && n.Holder != r.settings.Address {
		r.log(Event{Kind: HolderChanged, Token: n.Token, Peer: n.Holder, Window: n.Window})
	}
}

// News returns the newest state of the lease that is known here, or false if there is none.
func (r *Reporter) News() (News, bool) { return r.heard, r.knowsNews }

// Stop has the lease released, and no longer taken.
func (r *Reporter) Stop() { r.stopping = true }

// Stopped reports whether the lease is released, or was not held.
func (r *Reporter) Stopped(now time.Duration) bool {
	mayHold := r.lease.Mine() || r.mayBeMine && r.lease.Unexpired(now)
	return !r.storeBusy && !r.callBusy && !mayHold
}

// order returns the processes that run, in the order in which they take the lease from the holder that was heard of last.
func (r *Reporter) order(alive []netip.Addr) []netip.Addr {
	list := slices.DeleteFunc(append([]netip.Addr{r.settings.Address}, alive...), func(a netip.Addr) bool { return a == r.heard.Holder })
	score := func(a netip.Addr) uint64 {
		bytes := a.As4()
		return policy.Mix64(policy.Mix64(uint64(binary.BigEndian.Uint32(bytes[:]))) ^ uint64(r.heard.Token))
	}
	slices.SortFunc(list, func(a, b netip.Addr) int {
		if score(a) > score(b) {
			return -1
		}
		return 1
	})
	return list
}

// Targets returns the peers to which counts are told: the holder and the one that would follow.
func (r *Reporter) Targets(alive []netip.Addr) []netip.Addr {
	var targets []netip.Addr
	if r.heard.Holder.IsValid() && r.heard.Holder != r.settings.Address {
		targets = append(targets, r.heard.Holder)
	}
	wanted := 2
	if r.heard.Holder.IsValid() {
		wanted = 1
	}
	next := r.order(alive)
	for _, peer := range next[:min(wanted, len(next))] {
		if peer != r.settings.Address {
			targets = append(targets, peer)
		}
	}
	return targets
}

// log records an event for the log and the metrics.
func (r *Reporter) log(e Event) {
	if len(r.logs) < maxEvents {
		r.logs = append(r.logs, e)
	}
}

// Events returns the events since its last call.
func (r *Reporter) Events() []Event {
	list := r.logs
	r.logs = nil
	return list
}
