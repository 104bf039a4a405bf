// Package prefixindex records which prompt parts an engine has in its key-value
// cache, as far as one process knows: parts of requests that it placed there, parts
// whose prefill it saw complete, and those that peers announced. The engine
// evicts parts without notice, so a record counts only for a limited time after the
// part's last use. The package has no I/O, clock or goroutine: callers pass the time.
package prefixindex

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Key identifies a prompt part in an Index and between processes. Two parts with
// the same key count as one; the estimate of what has to be prefilled is then too low.
type Key uint32

// KeyOf returns the key of a part's identifier: its low 32 bits.
func KeyOf(id uint64) Key { return Key(uint32(id)) }

// announceInterval is the least time between two announcements of a part at one
// engine. It is well below the time for which a record counts.
const announceInterval = 5 * time.Second

// record is what is known of one part. Times are 0 if the event did not happen.
type record struct {
	placedAt    domain.Instant // last placement of a request with the part
	readAt      domain.Instant // last time that the part was known to be prefilled
	announcedAt domain.Instant // last announcement by this process or a peer
}

// Index is the records of one engine. Its zero value is empty. It is not safe for
// concurrent use.
type Index struct{ records map[Key]record }

// update changes the record of a part.
func (x *Index) update(key Key, change func(*record)) {
	if x.records == nil {
		x.records = make(map[Key]record)
	}
	r := x.records[key]
	change(&r)
	x.records[key] = r
}

// Placed records that a request with a part was placed on the engine, which
// prefills the part unless it has it.
func (x *Index) Placed(now domain.Instant, key Key) {
	x.update(key, func(r *record) { r.placedAt = now })
}

// Read records that the engine has prefilled a part, as the answer to a request
// with it has begun. It reports whether the part should be announced to the peers.
func (x *Index) Read(now domain.Instant, key Key) (announce bool) {
	x.update(key, func(r *record) {
		announce = r.announcedAt == 0 || now.Sub(r.announcedAt) >= announceInterval
		if announce {
			r.announcedAt = now
		}
		r.readAt = now
	})
	return announce
}

// Announced records that a peer announced a part.
func (x *Index) Announced(now domain.Instant, key Key) {
	x.update(key, func(r *record) { r.readAt, r.announcedAt = now, now })
}

// Holds reports whether the engine has prefilled a part and used it within maxAge.
func (x *Index) Holds(now domain.Instant, key Key, maxAge time.Duration) bool {
	r := x.records[key]
	return r.readAt > 0 && now.Sub(r.readAt) <= maxAge
}

// Expects reports whether a request with a part was placed on the engine, or used
// the part there, within maxAge.
func (x *Index) Expects(now domain.Instant, key Key, maxAge time.Duration) bool {
	used := x.UsedAt(key)
	return used > 0 && now.Sub(used) <= maxAge
}

// UsedAt returns when a part was last placed or known to be prefilled; 0 if neither is known.
func (x *Index) UsedAt(key Key) domain.Instant {
	r := x.records[key]
	return max(r.placedAt, r.readAt)
}

// Len returns the number of parts with a record.
func (x *Index) Len() int { return len(x.records) }

// Expire removes the records of parts that were last used more than maxAge ago.
func (x *Index) Expire(now domain.Instant, maxAge time.Duration) {
	for key, r := range x.records {
		if now.Sub(max(r.placedAt, r.readAt)) > maxAge {
			delete(x.records, key)
		}
	}
}

// Clear removes all records: the engine's cache may be empty.
func (x *Index) Clear() { clear(x.records) }
