// Package departures remembers endpoints that are known to drain or to be gone. The
// store's tables may come back from a copy some seconds old, which lists such
// endpoints as if they were in use; they must get no requests until they register
// again. The package has no I/O, clock or goroutine: callers pass the time.
package departures

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// memory is how long a departure is remembered. It exceeds the age of copies from
	// which the store comes back.
	memory = 60 * time.Second
	// holdTime is how long an entry that a copy lists for an endpoint known to be gone is
	// held back. Entries of endpoints that don't renew them are removed sooner, after
	// three intervals of about 1.2 s; one that is still there belongs to a running
	// endpoint.
	holdTime = 6 * time.Second
)

// departure is what is known of an endpoint that has left or is leaving.
type departure struct {
	start int64 // Endpoint.Start of the departed process
	at    domain.Instant
	gone  bool // otherwise it drains
}

// Log is the remembered departures of the endpoints of one registry. It is not safe
// for concurrent use.
type Log struct{ departures map[string]departure }

// New returns an empty log.
func New() *Log { return &Log{departures: make(map[string]departure)} }

// Registered records that an endpoint has written its entry: it is in use, or it drains.
func (l *Log) Registered(now domain.Instant, id string, start int64, draining bool) {
	if !draining {
		delete(l.departures, id)
		return
	}
	l.departures[id] = departure{start: start, at: now}
}

// Gone records that an endpoint's entry was removed.
func (l *Log) Gone(now domain.Instant, id string, start int64) {
	l.departures[id] = departure{start: start, at: now, gone: true}
}

// Verdict is how to treat an entry of a copy.
type Verdict uint8

// The verdicts.
const (
	// Accept means that nothing newer is known.
	Accept Verdict = iota
	// Drains means that the endpoint is known to drain.
	Drains
	// Hold means that the endpoint is known to be gone. The entry may be applied after
	// HoldTime, unless the endpoint writes it or it is removed before.
	Hold
)

// HoldTime returns how long an entry with the verdict Hold is held back.
func HoldTime() time.Duration { return holdTime }

// Judge returns the verdict on an endpoint's entry in a copy. A later start of the
// endpoint than the departed one is accepted.
func (l *Log) Judge(id string, start int64) Verdict {
	d, ok := l.departures[id]
	switch {
	case !ok || start > d.start:
		return Accept
	case d.gone:
		return Hold
	default:
		return Drains
	}
}

// Expire forgets old departures.
func (l *Log) Expire(now domain.Instant) {
	for id, d := range l.departures {
		if now.Sub(d.at) > memory {
			delete(l.departures, id)
		}
	}
}
