// Package lease decides which gateway does the duties that one at a time does. The lease is one row of the platform's
// store, which is changed only by compare-and-set. It comes with a fencing token that rises at each change of holder. The
// package has no I/O, clock or goroutine: callers read and write the row and pass the time. A Lease carries the state of
// the duties as bytes that it doesn't interpret, so that one write renews it and changes that state.
package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
)

// EraShift is the number of bits of a token below the era of the store. Within an era the tokens rise one by one.
const EraShift = 32

// tokenStep is the time on the store's clock in which the tokens of an era rise by one at least. They last for six years.
const tokenStep = 100 * time.Millisecond

// freshTime is how long after a reading of the row this gateway writes by it, unless its lease lasts. The store may have
// come back from a copy since, and given out the row's version again.
const freshTime = 3 * time.Second

// maxFormer bounds the former holders in a row.
const maxFormer = 16

// Settings are the settings of a Lease.
type Settings struct {
	// Holder is the name of this gateway, and Start the start of its process, which no other process has.
	Holder string
	Start  int64
	// Length is the time from a renewal to the end of the lease.
	Length time.Duration
	// Reentry is the time for which a gateway that held the lease before another one can't take it again.
	Reentry time.Duration
	// Margin is the time by which the clocks of the store and of gateways may differ during a lease.
	Margin time.Duration
}

// Row is the content of the row.
type Row struct {
	Holder string `json:"holder"`
	Start  int64  `json:"start"`
	Token  int64  `json:"token"`
	// Until is the end of the lease, in milliseconds on the store's clock.
	Until int64 `json:"lease_until"`
	// Era is the store's era in which the row was written.
	Era int64 `json:"era"`
	// Released is whether the holder has given the lease back. Until is the time of that then.
	Released bool `json:"released,omitempty"`
	// Former are the holders before that held the lease a moment ago.
	Former []Former `json:"former,omitempty"`
	// State is the state of the duties.
	State json.RawMessage `json:"state,omitempty"`
}

// Former is a former holder, and when it held the lease last, in milliseconds on the store's clock.
type Former struct {
	Holder string `json:"holder"`
	Until  int64  `json:"until"`
}

// Parse decodes the value of the row.
func Parse(value []byte) (Row, error) {
	var r Row
	if err := json.Unmarshal(value, &r); err != nil {
		return Row{}, errors.Wrapf(err, "step=decode lease value=%q", value[:min(len(value), 200)])
	}
	if r.Holder == "" || r.Token <= 0 {
		return Row{}, errors.Newf("step=decode lease holder=%q token=%d; allowed: a name and a positive number", r.Holder, r.Token)
	}
	return r, nil
}

// Answer is when an answer of the store was asked for and came, on the local steady clock, and its reading of the
// store's clock.
type Answer struct {
	SentAt, ReceivedAt time.Duration
	Reading            confirmation.StoreTime
}

// Lease is what one gateway knows of the lease. It is not safe for concurrent use.
type Lease struct {
	settings Settings

	row     Row   // as last read or written
	version int64 // of the row in the store; 0 if there is no row
	answer  Answer
	known   bool // whether no write of this gateway may have changed the row since
	pending *Row // that is being written

	held   bool
	mine   Row           // last one that was confirmed to be this gateway's
	expiry time.Duration // of that, on the local clock, not after the true one

	era      int64 // latest of the store that was seen
	eraKnown bool
	waitFor  waitKey
	waitFrom time.Duration // when the row waitFor was first read
	waits    bool
}

// waitKey identifies a row, or its absence, that another era left behind.
type waitKey struct{ era, version int64 }

// New returns a Lease that knows nothing.
func New(s Settings) *Lease { return &Lease{settings: s} }

// SawEra records the store's era in an answer to any call. It reports whether that is a new one.
func (l *Lease) SawEra(era int64) bool {
	if l.eraKnown && era <= l.era {
		return false
	}
	l.era, l.eraKnown, l.known = era, true, false
	return true
}

// Era returns the latest era that was seen.
func (l *Lease) Era() int64 { return l.era }

// Read records the row with its version in the store; nil if there is none.
func (l *Lease) Read(answer Answer, row *Row, version int64) {
	l.SawEra(answer.Reading.Era)
	if answer.Reading.Era < l.era || answer.Reading.Millis <= 0 {
		return // sent before the store came back from a copy
	}
	l.answer, l.known, l.pending = answer, true, nil
	l.row, l.version = Row{}, 0
	if row != nil {
		l.row, l.version = *row, version
	}
	switch {
	case l.Mine():
		l.hold(answer)
	case l.current():
		l.held = false
	default:
		if key := (waitKey{l.era, l.version}); !l.waits || key != l.waitFor {
			l.waitFor, l.waitFrom, l.waits = key, answer.ReceivedAt, true
		}
	}
}

// current reports whether the row is of the store's present era.
func (l *Lease) current() bool { return l.version != 0 && l.row.Era == l.era }

// hold records that the row is this gateway's, as of an answer.
func (l *Lease) hold(answer Answer) {
	// Only the answer itself counts, as clocks drift apart over days.
	var clock confirmation.Clock
	clock.Observe(answer.SentAt, answer.Reading)
	expiry, ok := clock.Local(confirmation.StoreTime{Era: l.row.Era, Millis: l.row.Until})
	l.held, l.mine, l.expiry = ok, l.row, expiry
}

// Known reports whether the row is known: no write of this gateway is without an answer.
func (l *Lease) Known() bool { return l.known }

// Row returns the row as last read or written, and whether there is one.
func (l *Lease) Row() (Row, bool) { return l.row, l.version != 0 }

// Mine reports whether the row is known to be this gateway's, be it expired or not.
func (l *Lease) Mine() bool {
	return l.known && l.current() && !l.row.Released && l.row.Holder == l.settings.Holder && l.row.Start == l.settings.Start
}

// Fresh reports whether the row may be written by what is known of it. Otherwise it has to be read again.
func (l *Lease) Fresh(now time.Duration) bool {
	return l.known && (l.Unexpired(now) || now-l.answer.ReceivedAt < freshTime)
}

// WaitsFrom returns when a row that another era has left, or its absence, was first read; false if the row is of this era.
func (l *Lease) WaitsFrom() (time.Duration, bool) {
	return l.waitFrom, l.known && l.waits && !l.current()
}

// Current reports whether the row is known and of the store's present era.
func (l *Lease) Current() bool { return l.known && l.current() }

// Unexpired reports whether this gateway held the lease and no other one can have taken it.
func (l *Lease) Unexpired(now time.Duration) bool { return l.held && now < l.expiry }

// Valid reports whether this gateway may act for a time from now, and under which token.
func (l *Lease) Valid(now, need time.Duration) (token int64, ok bool) {
	return l.mine.Token, l.held && l.Mine() && now+need <= l.expiry
}

// Expiry returns the end of the lease on the local clock.
func (l *Lease) Expiry() time.Duration { return l.expiry }

// Continues reports whether the lease is held here and the store came back from a copy since: no other gateway can hold
// it, as each waits for a whole lease.
func (l *Lease) Continues(now time.Duration) bool {
	return l.known && !l.current() && l.row.Era < l.era && l.Unexpired(now)
}

// MayTake reports whether this gateway may take the lease, and from when on it may. If that is later, the row has to be
// read again then: only the store's own answer says whether the lease of another one has ended.
func (l *Lease) MayTake(now time.Duration) (bool, time.Duration) {
	switch {
	case !l.known:
		return false, now
	case l.Continues(now):
		return true, 0
	case !l.current():
		if l.version == 0 && l.era == 0 {
			return true, 0
		}
		at := l.waitFrom + max(l.settings.Length, l.settings.Reentry) + l.settings.Margin
		return now >= at, at
	}
	free := int64(0)
	if !l.row.Released {
		free = l.row.Until + l.settings.Margin.Milliseconds()
	}
	for _, f := range l.row.Former {
		if f.Holder == l.settings.Holder && l.row.Holder != l.settings.Holder {
			free = max(free, f.Until+(l.settings.Reentry+l.settings.Margin).Milliseconds())
		}
	}
	at := l.answer.ReceivedAt + time.Duration(free-l.answer.Reading.Millis)*time.Millisecond
	return l.answer.Reading.Millis >= free, at
}

// Take returns the row by which this gateway takes the lease, and the version that the row in the store must have. Its
// token is above that of the row and above another one that was heard of. It also follows the store's clock: after a return
// from a copy versions are given out again, so that a write of the era before can replace the row and the token in it.
func (l *Lease) Take(now time.Duration, heard int64, state []byte) (Row, int64) {
	counter := min(l.answer.Reading.Millis/tokenStep.Milliseconds(), 1<<(EraShift-1))
	for _, token := range []int64{l.row.Token, l.mine.Token, heard} {
		counter = max(counter, token&(1<<EraShift-1))
	}
	row := Row{Holder: l.settings.Holder, Start: l.settings.Start, Token: l.era<<EraShift + counter + 1, Former: l.former(now)}
	return l.propose(now, row, state)
}

// former returns the former holders after a change of holder now.
func (l *Lease) former(now time.Duration) []Former {
	var list []Former
	add := func(holder string, until int64) {
		if holder != l.settings.Holder && until+(l.settings.Reentry+l.settings.Margin).Milliseconds() > l.answer.Reading.Millis {
			list = append(list, Former{Holder: holder, Until: until})
		}
	}
	switch {
	case l.current():
		add(l.row.Holder, l.row.Until)
		for _, f := range l.row.Former {
			if f.Holder != l.row.Holder {
				add(f.Holder, f.Until)
			}
		}
	case l.Continues(now):
		// The times of another era can't be compared.
		for _, f := range l.mine.Former {
			add(f.Holder, l.answer.Reading.Millis)
		}
	}
	return list[:min(len(list), maxFormer)]
}

// Renew returns the row by which this gateway renews its lease, as Take does. Mine must hold.
func (l *Lease) Renew(now time.Duration, state []byte) (Row, int64) {
	return l.propose(now, l.row, state)
}

// Release returns the row by which this gateway gives its lease back, as Take does. Mine must hold.
func (l *Lease) Release(now time.Duration, state []byte) (Row, int64) {
	row, version := l.propose(now, l.row, state)
	row.Released, row.Until = true, l.storeNow(now)
	*l.pending = row
	return row, version
}

// propose completes a row that is going to be written.
func (l *Lease) propose(now time.Duration, row Row, state []byte) (Row, int64) {
	row.Era, row.State = l.era, state
	row.Until = l.storeNow(now) + l.settings.Length.Milliseconds()
	row.Former = slices.Clone(row.Former)
	l.pending = &row
	return row, l.version
}

// storeNow returns the store's clock, or a time after it by as much as the last answer took.
func (l *Lease) storeNow(now time.Duration) int64 {
	return l.answer.Reading.Millis + (now - l.answer.SentAt).Milliseconds()
}

// Outcome says how a write ended.
type Outcome uint8

const (
	// Unknown means that the write may be performed now or later.
	Unknown Outcome = iota
	// Written means that it was performed.
	Written
	// Conflict means that its condition did not hold.
	Conflict
)

// Wrote records the end of a write and, if it was performed, the row's version. It reports whether the row is known to
// be as written. Otherwise it has to be read before anything else.
func (l *Lease) Wrote(outcome Outcome, answer Answer, version int64) bool {
	row := l.pending
	l.pending, l.known = nil, false
	if outcome == Unknown || row == nil {
		return false
	}
	l.SawEra(answer.Reading.Era)
	if outcome == Conflict || answer.Reading.Era != row.Era || row.Era != l.era || answer.Reading.Millis <= 0 || version <= 0 {
		return false
	}
	l.row, l.version, l.answer, l.known = *row, version, answer, true
	if row.Released {
		l.held = false
		return true
	}
	l.hold(answer)
	return true
}
