// Package waitqueue holds the requests of a gateway that no endpoint can start in
// time yet. The gateway adds and removes them and calls Dispatch periodically, when it is Due,
// which places them in order of urgency and rejects the expired ones. The package
// has no I/O, clock or goroutine: callers pass the time.
package waitqueue

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Placer chooses an endpoint for a request. It returns nil if none can start it in time.
type Placer interface {
	Pick(now domain.Instant, q placement.Query) *placement.Ticket
	// BlockedBefore is how long before its latest start a request counts as blocked.
	BlockedBefore() time.Duration
	// RecordBlocked records that a request gets no answer in time unless others yield to it now.
	RecordBlocked(now domain.Instant, q placement.Query)
	// RecordAtRisk records that a late request gets no answer unless others yield to it now.
	RecordAtRisk(now domain.Instant, q placement.Query)
}

// Waiter is a queued request.
type Waiter struct {
	Query placement.Query
	// Class has the requests that take about the same work at the same endpoints, such as those of a route.
	Class string
	// Arrived is when the request arrived at this process.
	Arrived domain.Instant
	// LatestStart is the latest start at which the answer can still meet its target.
	LatestStart domain.Instant
	// ExpiresAt is when the request is rejected unless it has been placed.
	ExpiresAt domain.Instant
	// Ticket is set when the request has been placed. It stays nil on rejection.
	Ticket *placement.Ticket
	// Blocked is whether RecordBlocked has been called for the request, on this attempt or an earlier one.
	Blocked bool
	// AtRisk is whether RecordAtRisk has been called for the request.
	AtRisk bool
	// Picks is the number of times that Dispatch has tried to place the request.
	Picks int
}

// Queue holds the queued requests of a process. The zero value is an empty queue.
// It is not safe for concurrent use.
type Queue struct {
	waiters    []*Waiter
	starts     map[string]*startRate // by class
	restsUntil domain.Instant        // see Due
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.waiters) }

// Enter queues a request that no endpoint can start now, and reports whether it did: one that is not expected to start while that is of use
// to its caller is better off without the wait.
func (q *Queue) Enter(now domain.Instant, w *Waiter, p Placer) bool {
	hopeless := q.IsHopeless(now, w)
	w.recordBlocked(now, hopeless, p)
	if hopeless {
		return false
	}
	q.Add(w)
	return true
}

// recordBlocked calls RecordBlocked once others have to yield for the request to start in time.
func (w *Waiter) recordBlocked(now domain.Instant, hopeless bool, p Placer) {
	if !w.Blocked && (hopeless || w.LatestStart.Sub(now) < p.BlockedBefore()) {
		w.Blocked = true
		p.RecordBlocked(now, w.Query)
	}
}

// Add queues a request.
func (q *Queue) Add(w *Waiter) { q.waiters = append(q.waiters, w) }

// Remove removes a request whose caller has left.
func (q *Queue) Remove(w *Waiter) {
	q.waiters = slices.DeleteFunc(q.waiters, func(other *Waiter) bool { return other == w })
}

// maxFailedPicks bounds the requests of one service for which a Dispatch finds no
// endpoint, because each of these Picks examines all endpoints of the service. The
// rest of the service's requests are not tried again before the next Dispatch;
// expired ones are rejected.
const maxFailedPicks = 12

// Dispatch places requests, most urgent first, and removes and returns those that
// have been placed or, without a ticket, rejected.
func (q *Queue) Dispatch(now domain.Instant, p Placer) []*Waiter {
	if len(q.waiters) == 0 {
		return nil
	}
	slices.SortStableFunc(q.waiters, func(a, b *Waiter) int { return compare(now, a, b) })
	failedPicks := make(map[string]int)
	var finished []*Waiter
	remaining := q.waiters[:0]
	for _, w := range q.waiters {
		if failedPicks[w.Query.Service] < maxFailedPicks {
			w.Picks++
			w.Query.Overdue = now > w.LatestStart
			w.Ticket = p.Pick(now, w.Query)
			if w.Ticket == nil {
				failedPicks[w.Query.Service]++
			} else {
				q.Started(now, w.Class)
			}
		}
		if w.Ticket == nil {
			w.recordBlocked(now, false, p)
		}
		if w.Ticket == nil && !w.AtRisk && now > max(w.LatestStart, w.ExpiresAt.Add(-placement.YieldTime)) {
			w.AtRisk = true
			p.RecordAtRisk(now, w.Query)
		}
		if w.Ticket != nil || w.ExpiresAt <= now {
			finished = append(finished, w)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(q.waiters[len(remaining):])
	q.waiters = remaining
	return finished
}

// compare orders two requests by rank, then those that can still meet their
// target before late ones, then by arrival.
func compare(now domain.Instant, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.Query.Rank, b.Query.Rank),
		cmp.Compare(lateness(now, a), lateness(now, b)),
		cmp.Compare(a.Arrived, b.Arrived),
	)
}

// lateness is 1 for requests that can no longer meet their target, else 0.
func lateness(now domain.Instant, w *Waiter) int {
	if now > w.LatestStart {
		return 1
	}
	return 0
}
