// Package confirmation lets gateways share the confirmations that the store gives of
// the newest configuration. One gateway's answer from the store then serves all, and
// each needs to ask only when no other has done so lately. The package has no I/O,
// clock or goroutine: callers pass the time.
package confirmation

import "time"

// StoreTime is a reading of the store's steady clock. Readings of different eras can't
// be compared.
type StoreTime struct {
	Era int64
	// Millis is in milliseconds; 0 if not known.
	Millis int64
}

// Confirmation says that a version of the configuration was the newest at a time. The
// zero value says nothing.
type Confirmation struct {
	Version int64
	At      StoreTime
	// KeyRequired is whether requests need keys although the configuration has no list of client accounts, as an earlier one had.
	KeyRequired bool
}

// Newer reports whether c says more than other: a later version, or the same one at a
// later time.
func (c Confirmation) Newer(other Confirmation) bool {
	if c.At.Era != other.At.Era {
		return c.At.Era > other.At.Era
	}
	if c.Version != other.Version {
		return c.Version > other.Version
	}
	return c.At.Millis > other.At.Millis
}

// Clock converts readings of the store's clock to those of a local steady clock. The
// zero value knows no reading.
type Clock struct {
	era    int64
	offset time.Duration // local time minus store time, at most
	known  bool
}

// Observe records that the store read its clock after a request that was sent at a
// local time. Of the readings of one era, the one closest to its request counts.
func (c *Clock) Observe(sentAt time.Duration, reading StoreTime) {
	if reading.Millis <= 0 || c.known && reading.Era < c.era {
		return
	}
	offset := sentAt - millis(reading)
	if !c.known || reading.Era > c.era || offset > c.offset {
		*c = Clock{era: reading.Era, offset: offset, known: true}
	}
}

// Local returns a local time that is not after a store time, or false if the clock has
// no reading of its era.
func (c *Clock) Local(at StoreTime) (time.Duration, bool) {
	return millis(at) + c.offset, c.known && at.Era == c.era && at.Millis > 0
}

func millis(t StoreTime) time.Duration { return time.Duration(t.Millis) * time.Millisecond }

const (
	// maxAgeShare is the share of the time in which revoked keys must be rejected after
	// which a confirmation is renewed, if neither the store nor a peer has done so.
	maxAgeShare = 0.2
	// maxAgeSpread is the largest random addition to this, as a share of it, so that one
	// gateway asks first and the others learn the answer from it.
	maxAgeSpread = 0.6
	// sharedAgeShare and sharedAgeSpread replace these for a process that others ask for: their answers come over two hops.
	sharedAgeShare  = 0.45
	sharedAgeSpread = 0.2
	// minInterval is the least time between two requests to the store.
	minInterval = 400 * time.Millisecond
	// maxSharedInterval is the time up to which the interval grows while requests of a process that others ask for too bring nothing: they
	// tell it when the store answers again.
	maxSharedInterval = 1600 * time.Millisecond
)

// Asker says when a gateway asks the store for a confirmation.
type Asker struct {
	maxAge    time.Duration // 0: never
	sharedAge time.Duration // maxAge while shared
	shared    bool          // see SetShared
	lastAsked time.Duration
	asked     bool
	interval  time.Duration // from the last request to the next one; 0 before the first
}

// NewAsker returns an Asker for keys that must be rejected within keyValidity of their
// revocation; 0 means no limit. spread, from 0 to 1, differs between gateways.
func NewAsker(keyValidity time.Duration, spread float64) Asker {
	age := func(share, most float64) time.Duration {
		return time.Duration(float64(keyValidity) * share * (1 + spread*most))
	}
	return Asker{maxAge: age(maxAgeShare, maxAgeSpread), sharedAge: age(sharedAgeShare, sharedAgeSpread)}
}

// SetShared sets whether other processes ask for this one too, so that it asks only if they don't.
func (a *Asker) SetShared(shared bool) { a.shared = shared }

// Due reports whether to ask now, as the newest confirmation has an age. If so, it counts
// as asked.
func (a *Asker) Due(now, age time.Duration) bool {
	if a.maxAge == 0 {
		return false
	}
	if !a.shared {
		return age >= a.maxAge && a.Allowed(now)
	}
	if a.asked && now-age >= a.lastAsked {
		a.interval = 0 // there is a confirmation since
	}
	if age < a.sharedAge || a.asked && now-a.lastAsked < a.interval || !a.Allowed(now) {
		return false
	}
	a.interval = min(max(2*a.interval, minInterval), maxSharedInterval)
	return true
}

// Allowed reports whether enough time has passed since the last request to the store. If
// so, another one counts as made.
func (a *Asker) Allowed(now time.Duration) bool {
	if a.asked && now-a.lastAsked < minInterval {
		return false
	}
	a.lastAsked, a.asked = now, true
	return true
}
