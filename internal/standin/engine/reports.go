package engine

import (
	"time"
)

// Load is the engine's load, in requests, at a point in time: the response to
// GET /load.
type Load struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheEvent reports that a prompt prefix entered (Cached) or left the cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Cached bool   `json:"cached"`
}

// CacheEvents is the response to GET /cache-events. A gap in the sequence numbers
// means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// timedReport is a report and the time at which it was made.
type timedReport struct {
	at     time.Time
	report Load
}

// reportLog holds the newest report that is old enough to be visible, and all later
// ones, oldest first.
type reportLog struct {
	entries []timedReport
}

// add appends a report and drops those that at would drop.
func (l *reportLog) add(now time.Time, r Load, lag time.Duration) {
	l.entries = append(l.entries, timedReport{at: now, report: r})
	l.at(now, lag) // drops the reports that are no longer needed
}

// at returns the newest report that is at least lag old at time now, or a zero
// Load if there is none. It drops the reports before it.
func (l *reportLog) at(now time.Time, lag time.Duration) Load {
	newest := -1
	for i, timed := range l.entries {
		if now.Sub(timed.at) < lag {
			break
		}
		newest = i
	}
	if newest < 0 {
		return Load{}
	}
	l.entries = l.entries[newest:]
	return l.entries[0].report
}

// The log holds the last maxCacheEvents events. Every lostEventEvery-th event is
// lost, to exercise the detection of gaps.
const (
	maxCacheEvents = 4096
	lostEventEvery = 17
)

// timedEvent is a cache event and its time.
type timedEvent struct {
	at    time.Time
	event CacheEvent
}

// eventLog holds the recent cache events, oldest first.
type eventLog struct {
	seq     uint64 // of the last event, lost or not
	entries []timedEvent
}

// add numbers an event and appends it, unless it is one that is to be lost.
func (l *eventLog) add(prefix uint64, cached bool) {
	l.seq++
	if l.seq%lostEventEvery == 0 {
		return
	}
	event := CacheEvent{Seq: l.seq, Prefix: prefix, Cached: cached}
	l.entries = append(l.entries, timedEvent{at: time.Now(), event: event})
	if len(l.entries) > maxCacheEvents {
		l.entries = l.entries[len(l.entries)-maxCacheEvents:]
	}
}

// after returns the events with sequence numbers above seq that are at least lag
// old at time now.
func (l *eventLog) after(seq uint64, now time.Time, lag time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, timed := range l.entries {
		if timed.event.Seq > seq && now.Sub(timed.at) >= lag {
			out = append(out, timed.event)
		}
	}
	return out
}
