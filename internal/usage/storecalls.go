package usage

import (
	"net/netip"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/lease"
)

// StoreCall is a call to the store.
type StoreCall uint8

// The calls.
const (
	NoCall StoreCall = iota
	ReadRow
	WriteRow
)

// Surroundings are what the decisions depend on beside the time.
type Surroundings struct {
	// Alive are the peers that run.
	Alive []netip.Addr
	// Name returns the name of an account.
	Name func(Account) (string, bool)
}

// NextStoreCall returns the next call to the store and, for a write, the row and the version that the row must have. Its
// end is reported by Read, ReadFailed or Wrote.
func (r *Reporter) NextStoreCall(now time.Duration, s Surroundings) (StoreCall, lease.Row, int64) {
	if r.storeBusy || now < r.storeRetryAt {
		return NoCall, lease.Row{}, 0
	}
	switch {
	case r.lease.Mine() && !r.lease.Fresh(now), r.readAt > 0 && r.lease.Known() && !r.lease.Fresh(now):
		r.storeBusy = true
		return ReadRow, lease.Row{}, 0
	case r.lease.Mine():
		if next, yielded := r.nextLedger(now, s); next != nil {
			return r.write(now, next, yielded)
		}
	case r.mayBeMine && !r.lease.Known(), r.lease.Unexpired(now) && !r.lease.Known():
		r.storeBusy = true
		return ReadRow, lease.Row{}, 0
	case r.stopping:
	case r.lease.Known() && r.readAt > 0:
		return r.nextTake(now, s.Alive)
	case now >= r.lookAt(s.Alive):
		r.storeBusy = true
		return ReadRow, lease.Row{}, 0
	}
	return NoCall, lease.Row{}, 0
}

// lookAt returns when to read the row, as another gateway should hold the lease.
func (r *Reporter) lookAt(alive []netip.Addr) time.Duration {
	at := r.started + startDelay
	if r.knowsNews {
		at = r.endOf(r.heard.Window+1) + fixDelay + patience
		if !r.heard.Holder.IsValid() {
			at = r.heardAt
		}
		if r.eraSeenAt > 0 {
			// The wait for the lease of another era begins when its row is read.
			at = min(at, r.eraSeenAt+startDelay)
		}
	}
	return max(at, r.notBefore) + r.rankDelay(alive)
}

// rankDelay is the time for which this gateway lets others try first.
func (r *Reporter) rankDelay(alive []netip.Addr) time.Duration {
	for rank, address := range r.order(alive) {
		if address == r.settings.Address {
			return time.Duration(min(rank, maxRank)) * rankDelay
		}
	}
	return maxRank * rankDelay
}

// nextTake takes the lease by the row that was just read, or waits.
func (r *Reporter) nextTake(now time.Duration, alive []netip.Addr) (StoreCall, lease.Row, int64) {
	row, exists := r.lease.Row()
	may, at := r.lease.MayTake(now)
	if may && now < at+r.rankDelay(alive) {
		return NoCall, lease.Row{}, 0 // those before this one in the order may take it first
	}
	if may {
		return r.take(now, row, exists)
	}
	r.readAt = 0
	r.notBefore = max(at, now)
	if r.lease.Current() {
		if l, err := parseLedger(row.State); err == nil {
			n := News{Token: row.Token, Holder: l.holder(), Window: l.Last}
			if row.Released {
				n.Holder = netip.Addr{}
			}
			r.Hear(now, n)
		}
	}
	r.log(Event{Kind: Waiting, Token: row.Token, Holder: row.Holder, Took: at - now})
	return NoCall, lease.Row{}, 0
}

// take writes a row by which this gateway takes the lease. No window is fixed by it.
func (r *Reporter) take(now time.Duration, row lease.Row, exists bool) (StoreCall, lease.Row, int64) {
	var next ledger
	if exists {
		l, err := parseLedger(row.State)
		if err != nil {
			r.readAt, r.notBefore = 0, now+maxRetry
			r.log(Event{Kind: StoreFailed, Cause: err.Error()})
			return NoCall, lease.Row{}, 0
		}
		next = l
	}
	if !r.lease.Current() {
		next = r.inherit(now, next)
	}
	next.Address = r.settings.Address.String()
	r.proposed, r.planned = &next, nil
	r.storeBusy, r.readAt, r.mayBeMine = true, 0, true
	heard := int64(0)
	if r.knowsNews {
		heard = r.heard.Token
	}
	proposal, version := r.lease.Take(now, heard, next.encode())
	return WriteRow, proposal, version
}

// inherit returns the ledger that follows one that an earlier era has left. Its bodies may not be the last ones that were
// sent, as a write can be performed after the store came back; so only those are sent that were confirmed here.
func (r *Reporter) inherit(now time.Duration, before ledger) ledger {
	next := ledger{Last: max(before.Last, r.ledger.Last), Yielded: before.Yielded}
	if r.knowsNews {
		next.Last = max(next.Last, r.heard.Window)
	}
	if r.lease.Continues(now) {
		return ledger{Last: max(next.Last, r.ledger.Last), Yielded: r.ledger.Yielded, Bodies: r.ledger.clone().Bodies}
	}
	next.Last = max(next.Last, r.firstWindow-1)
	for _, b := range r.ledger.Bodies {
		if !b.Delivered && !b.Refused {
			next.add(b)
		}
	}
	return next
}

// nextLedger returns what the holder has to write now, or nil, and whether the lease is given back with it.
func (r *Reporter) nextLedger(now time.Duration, s Surroundings) (*ledger, bool) {
	next := r.ledger.clone()
	r.planned = nil
	switch {
	case r.stopping && r.callBusy:
		return nil, false
	case r.stopping:
		return &next, true
	case len(s.Alive) > 0 && r.mayYield(now) && r.unanswered > 0 && now-r.unanswered >= unansweredTime:
		next.Yielded = r.windowAt(now)
		return &next, true
	}
	for k := next.Last + 1; now >= r.endOf(k)+fixDelay; k++ {
		if now >= r.endOf(k)+r.settings.Late {
			overdue := max(k, r.windowAt(now-r.settings.Late)-1)
			r.plan(Event{Kind: Missed, Window: overdue, Windows: overdue - next.Last, Cause: "overdue before it was fixed"})
			k, next.Last = overdue, overdue
			continue
		}
		if !r.counts.Knows(k) {
			r.plan(Event{Kind: Missed, Window: k, Windows: 1, Cause: "no gateway that is known has counted in it"})
			next.Last = k
			continue
		}
		if r.mayYield(now) && r.unheard(k) {
			next = r.ledger.clone()
			next.Yielded, r.planned = k, nil
			return &next, true
		}
		missing := r.counts.Missing(k, s.Alive)
		if len(missing) > 0 && (now < r.endOf(k)+maxFixDelay || now < r.takenAt+settleTime) {
			break
		}
		next.add(r.fix(now, k, s.Name, missing))
		next.Last = k
	}
	if next.Last == r.ledger.Last && r.lease.Expiry()-now > renewEarly {
		return nil, false
	}
	return &next, false
}

// fix returns the body of a window.
func (r *Reporter) fix(now time.Duration, window int64, name func(Account) (string, bool), missing []netip.Addr) Body {
	total := r.counts.Total(window)
	body, unnamed := encodeReport(window, total, name)
	e := Event{Kind: Fixed, Window: window, Took: now - r.endOf(window), Accounts: len(total), Heard: r.counts.Heard(window), Missing: missing, Unnamed: unnamed}
	for _, n := range total {
		e.Counted += n
	}
	r.plan(e)
	return Body{Window: window, Body: body}
}

// mayYield reports whether the holder may give the lease away for being cut off. It serves nothing if all are.
func (r *Reporter) mayYield(now time.Duration) bool {
	return !r.callBusy && r.windowAt(now)-r.ledger.Yielded > yieldWindows
}

// unheard reports whether most of the peers that told their counts of the windows before have told none of a window.
func (r *Reporter) unheard(window int64) bool {
	before := max(r.counts.Heard(window-1), r.counts.Heard(window-2))
	return 2*(r.counts.Heard(window)+1) < before+1
}

// plan records an event that happens when the ledger that is being made is in the store.
func (r *Reporter) plan(e Event) { r.planned = append(r.planned, e) }

// write writes the holder's row.
func (r *Reporter) write(now time.Duration, next *ledger, release bool) (StoreCall, lease.Row, int64) {
	r.storeBusy, r.proposed, r.mayBeMine = true, next, true
	var row lease.Row
	var version int64
	if release {
		row, version = r.lease.Release(now, next.encode())
	} else {
		row, version = r.lease.Renew(now, next.encode())
	}
	return WriteRow, row, version
}

// StoreFailed records that a read has failed.
func (r *Reporter) StoreFailed(now time.Duration, cause string) {
	r.storeBusy = false
	r.storeRetry = min(max(2*r.storeRetry, firstRetry), maxRetry)
	r.storeRetryAt = now + r.storeRetry
	r.log(Event{Kind: StoreFailed, Cause: cause})
}

// Read records the row that was read, with its version; nil if there is none.
func (r *Reporter) Read(answer lease.Answer, row *lease.Row, version int64) {
	r.storeBusy, r.storeRetry = false, 0
	r.SawEra(answer.ReceivedAt, answer.Reading.Era)
	wasMine := r.mayBeMine
	r.lease.Read(answer, row, version)
	if !r.lease.Known() {
		r.storeRetryAt = answer.ReceivedAt + firstRetry
		return
	}
	r.readAt = answer.ReceivedAt
	if from, ok := r.lease.WaitsFrom(); ok {
		// A row of this era may have been replaced since it was first seen.
		r.firstWindow = max(r.firstWindow, r.windowAt(from))
	}
	if r.lease.Mine() {
		l, err := parseLedger(row.State)
		if err != nil {
			r.log(Event{Kind: StoreFailed, Cause: err.Error()})
			return
		}
		r.adopt(answer.ReceivedAt, l, row.Token)
		return
	}
	r.mayBeMine = false
	if wasMine && !r.lease.Unexpired(answer.ReceivedAt) {
		r.log(Event{Kind: Lost, Cause: "row read", Token: r.heard.Token})
	}
}

// Wrote records the end of a write and, if it was performed, the row's version.
func (r *Reporter) Wrote(outcome lease.Outcome, answer lease.Answer, version int64, cause string) {
	r.storeBusy = false
	proposed := r.proposed
	r.proposed = nil
	if outcome == lease.Unknown {
		r.StoreFailed(answer.ReceivedAt, cause)
	} else {
		r.storeRetry = 0
		r.SawEra(answer.ReceivedAt, answer.Reading.Era)
	}
	if !r.lease.Wrote(outcome, answer, version) || proposed == nil {
		return
	}
	row, _ := r.lease.Row()
	if row.Released {
		r.mayBeMine = false
		r.ledger, r.unanswered = *proposed, 0
		r.notBefore = answer.ReceivedAt + yieldPause
		r.log(Event{Kind: Released, Token: row.Token, Window: proposed.Last})
		r.Hear(answer.ReceivedAt, News{Token: row.Token, Window: proposed.Last})
		return
	}
	r.adopt(answer.ReceivedAt, *proposed, row.Token)
}

// adopt takes over a ledger that is confirmed to be in this gateway's row.
func (r *Reporter) adopt(now time.Duration, l ledger, token int64) {
	if token != r.heard.Token || r.heard.Holder != r.settings.Address {
		r.takenAt, r.unanswered = now, 0
		r.log(Event{Kind: Taken, Token: token, Window: l.Last})
	}
	before := r.ledger
	r.ledger = l.clone()
	for i := range r.ledger.Bodies {
		b := &r.ledger.Bodies[i]
		if old := before.body(b.Window); old != nil {
			// It may have been delivered while the write was under way.
			b.Delivered, b.Refused = b.Delivered || old.Delivered, b.Refused || old.Refused
		}
	}
	for _, e := range r.planned {
		if e.Window <= l.Last {
			e.Token = token
			r.log(e)
		}
	}
	r.planned = nil
	r.Hear(now, News{Token: token, Holder: r.settings.Address, Window: l.Last})
}
