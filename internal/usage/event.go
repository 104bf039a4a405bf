package usage

import (
	"net/netip"
	"time"
)

// maxEvents bounds the events between two calls of Events.
const maxEvents = 100

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	HolderChanged EventKind = iota // another gateway holds the lease, or none
	Taken                          // this gateway has taken the lease
	Released                       // this gateway has given it back
	Lost                           // this gateway holds it no more
	Fixed                          // the body of a window is in the store
	Delivered                      // the provider has accepted it
	Refused                        // the provider never will
	Missed                         // a window is overdue without that
	CallFailed                     // a call to the provider failed
	StoreFailed                    // a call to the store failed, or its row can't be used
	Waiting                        // another gateway holds the lease, by the row
	ClockSet                       // the time of day has jumped for long
)

// Event is something for the log and the metrics.
type Event struct {
	Kind   EventKind
	Window int64
	Token  int64
	Peer   netip.Addr    // holder
	Holder string        // name of the holder in the row
	Took   time.Duration // after the window's end; for ClockSet, the jump
	Cause  string
	Status int
	// Counted are the requests and Accounts their accounts. Heard are the peers that have told their counts, and Missing
	// those that run and have not.
	Counted         uint64
	Accounts, Heard int
	Missing         []netip.Addr
	Unnamed         []Account // accounts whose names are not known
	Windows         int64     // number of windows missed, up to Window
}

// String returns the name of the kind in logs.
func (k EventKind) String() string {
	return [...]string{"holder changed", "taken", "released", "lost", "fixed", "delivered", "refused", "missed", "call failed", "store failed", "waiting", "clock set"}[k]
}
