// Package registryrelay decides when a process asks the store for changes of the registry, if others hand them on. Many processes that
// all ask are many calls, each of which has a price, and all of them ask again at each change. So a few read the registry and hand on
// what has changed; all tell each other which version was the newest when.
//
// The invariant: a process that is no reader asks the store itself as soon as it has not heard for MaxAge that its version was the
// newest, or has lacked a change for Patience that others have.
//
// The package has no I/O, clock or goroutine: callers pass the time, as a boot-clock time.
package registryrelay

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
)

const (
	// MaxAge is how old the last confirmation of the registry may be before a process asks the store itself. Together with the
	// time in which a call on a silent connection ends, it is below the time in which endpoints that drain must get nothing.
	MaxAge = 2 * time.Second
	// Patience is how long a change that others have may be on its way.
	Patience = 250 * time.Millisecond
)

// Role is how a process learns of changes of the registry.
type Role uint8

const (
	// Alone means that the process asks the store for itself.
	Alone Role = iota
	// Reader means that it asks the store and hands changes on.
	Reader
	// HandedOn means that readers hand changes on to it.
	HandedOn
)

// String returns the role as logs name it.
func (r Role) String() string { return [...]string{"alone", "reader", "handed on"}[r] }

// Changes are the changes of the registry from one version to another, in the encoding of the store.
type Changes struct {
	Era, From, To int64
	// Doubted is whether the registry could not be read until a moment ago, so that entries may be missing only because
	// they could not be renewed.
	Doubted bool
	Rows    []Row
}

// Row is a changed entry of the registry. Value is opaque but to what reads the store.
type Row struct {
	Key     string
	Version int64
	Removed bool
	Value   []byte
}

// Follower is what one process knows of the newest registry. Its zero value knows nothing and reads the registry itself. It is not safe
// for concurrent use.
type Follower struct {
	role        Role
	era         int64         // position up to which all changes are applied
	version     int64         //
	confirmedAt time.Duration // when that was last known to be the newest
	confirmed   bool
	behind      bool // whether others have a later position
	behindSince time.Duration
}

// SetRole sets the process's role, and reports whether it has changed.
func (f *Follower) SetRole(role Role) bool {
	changed := f.role != role
	f.role = role
	return changed
}

// Role returns the process's role.
func (f *Follower) Role() Role { return f.role }

// Applied records that all changes up to a position are applied, which was the newest at a time.
func (f *Follower) Applied(at time.Duration, era, version int64) {
	if era < f.era || era == f.era && version < f.version {
		return
	}
	f.era, f.version, f.behind = era, version, false
	f.confirm(at)
}

// confirm records that the position was the newest at a time.
func (f *Follower) confirm(at time.Duration) {
	if !f.confirmed || at > f.confirmedAt {
		f.confirmedAt, f.confirmed = at, true
	}
}

// Heard records what a peer says was the newest at a time. It reports whether that is the process's own position.
func (f *Follower) Heard(now time.Duration, c confirmation.Confirmation, at time.Duration) bool {
	if c.At.Era > f.era || c.At.Era == f.era && c.Version > f.version {
		if !f.behind {
			f.behind, f.behindSince = true, now
		}
		return false
	}
	if c.At.Era < f.era {
		return false
	}
	f.confirm(at)
	return true
}

// Takes reports whether changes fit the position, so that they can be applied.
func (f *Follower) Takes(c Changes) bool {
	return c.Era == f.era && c.From <= f.version && c.To > f.version
}

// AskAt returns when to ask the store, if nothing is heard until then. A time in the past means now.
func (f *Follower) AskAt() time.Duration {
	if f.role != HandedOn || !f.confirmed {
		return 0
	}
	at := f.confirmedAt + MaxAge
	if f.behind {
		at = min(at, f.behindSince+Patience)
	}
	return at
}
