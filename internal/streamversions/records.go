// Package streamversions decides at which software version a stream may go on that a caller
// takes up again. Endpoints of several versions can serve side by side, and what two
// versions write does not fit together. Each gateway keeps Records of the streams that
// began at it or that its peers told it of, and Services, the versions that serve. The
// package has no I/O, clock or goroutine: callers pass the time.
//
// Invariants:
//
//   - Decide allows a version only if a gateway has seen the stream begin there, or if a process knows that no other
//     version has served for as long as a stream can be taken up, and the registry as of after the stream broke off
//     has no other one.
//   - It allows that version at each process that can read the registry, whichever other processes are lost, as long as
//     one that answers has known the service for so long.
package streamversions

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Version identifies a software version of endpoints: a hash of its name. 0 means none.
type Version uint32

// VersionOf returns the version with a name.
func VersionOf(name string) Version { return Version(uint32(xxhash.Sum64String(name)) | 1) }

// Stream identifies a stream: a hash of the ID of the request that brought its first event.
type Stream uint64

// StreamOf returns the stream whose first event was brought by the request with an ID.
func StreamOf(requestID string) Stream { return Stream(xxhash.Sum64String(requestID)) }

// Record is the version at which a stream began, and how much longer a caller may take the
// stream up. Version is 0 if several versions were told.
type Record struct {
	Stream  Stream
	Version Version
	Left    time.Duration
}

// maxRecords bounds the records that a process keeps. Further streams are not recorded.
const maxRecords = 1 << 17

// MaxLeft bounds Record.Left: a stream can be taken up for so long after its first event.
const MaxLeft = 5 * time.Minute

// Records are the versions of streams that may be taken up. They are not safe for concurrent use.
type Records struct {
	entries map[Stream]recordEntry
}

type recordEntry struct {
	version Version
	until   domain.Instant
}

// NewRecords returns empty records.
func NewRecords() *Records { return &Records{entries: make(map[Stream]recordEntry)} }

// Add adds or extends a record. It reports false if there is no room for it.
func (r *Records) Add(now domain.Instant, record Record) bool {
	until := now.Add(min(max(record.Left, 0), MaxLeft))
	old, known := r.entries[record.Stream]
	if !known {
		if len(r.entries) >= maxRecords {
			return false
		}
		r.entries[record.Stream] = recordEntry{record.Version, until}
		return true
	}
	if old.version != record.Version {
		old.version = 0
	}
	r.entries[record.Stream] = recordEntry{old.version, max(old.until, until)}
	return true
}

// Version returns the version at which a stream began. ok is false if there is no record of it.
func (r *Records) Version(now domain.Instant, stream Stream) (version Version, ok bool) {
	entry, ok := r.entries[stream]
	if !ok || entry.until < now {
		return 0, false
	}
	return entry.version, true
}

// All returns the records that have not expired.
func (r *Records) All(now domain.Instant) []Record {
	all := make([]Record, 0, len(r.entries))
	for stream, entry := range r.entries {
		if entry.until >= now {
			all = append(all, Record{Stream: stream, Version: entry.version, Left: entry.until.Sub(now)})
		}
	}
	return all
}

// Len returns the number of records, expired ones included.
func (r *Records) Len() int { return len(r.entries) }

// Expire discards the records whose time is over.
func (r *Records) Expire(now domain.Instant) {
	for stream, entry := range r.entries {
		if entry.until < now {
			delete(r.entries, stream)
		}
	}
}
