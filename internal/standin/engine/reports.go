package engine

import (
	"time"
)

// Report is the engine's load at some moment past.
type Report struct {
	Running int `json:"running"`
	Queued  int `json:"queued"`
}

// CacheEvent says that a prompt prefix entered or left the cache.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"`
	Cached bool   `json:"cached"`
}

// CacheEvents is the answer to GET /cache-events. Numbers that are left out were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

type timedReport struct {
	at     time.Time
	report Report
}

// reportLog keeps the reports that are not yet old enough to be given out, and the newest that is.
type reportLog struct {
	entries []timedReport
}

func (l *reportLog) add(now time.Time, r Report, lag time.Duration) {
	l.entries = append(l.entries, timedReport{at: now, report: r})
	l.at(now, lag)
}

// at returns the newest report that is at least lag old, and forgets older ones.
func (l *reportLog) at(now time.Time, lag time.Duration) Report {
	found := -1
	for i, entry := range l.entries {
		if now.Sub(entry.at) < lag {
			break
		}
		found = i
	}
	if found < 0 {
		return Report{}
	}
	l.entries = l.entries[found:]
	return l.entries[0].report
}

// Cache events are kept up to maxCacheEvents, and each lostEventEvery-th is lost.
const (
	maxCacheEvents = 4096
	lostEventEvery = 17
)

type timedEvent struct {
	at    time.Time
	event CacheEvent
}

type eventLog struct {
	seq     uint64
	entries []timedEvent
}

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

// after returns the events numbered above seq that are at least lag old.
func (l *eventLog) after(seq uint64, now time.Time, lag time.Duration) []CacheEvent {
	out := []CacheEvent{}
	for _, entry := range l.entries {
		if entry.event.Seq > seq && now.Sub(entry.at) >= lag {
			out = append(out, entry.event)
		}
	}
	return out
}
