// Package waitqueue holds the requests that no endpoint can start in time yet,
// and says which goes next and which is turned away. It has no I/O, clock or
// goroutine.
package waitqueue

import (
	"cmp"
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Placer chooses an endpoint for a request, or none.
type Placer interface {
	Pick(now domain.Instant, q placement.Query) *placement.Ticket
}

// Waiter is a request that waits.
type Waiter struct {
	Query placement.Query
	// Arrived is when the request arrived here.
	Arrived domain.Instant
	// InTime is the latest start by which the answer can still be in time.
	InTime domain.Instant
	// Until is when the request is turned away if it has not started.
	Until domain.Instant
	// Ticket is set when the request has been placed.
	Ticket *placement.Ticket
}

// Queue is the waiting requests of a process.
type Queue struct {
	waiting []*Waiter
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.waiting) }

// Add makes a request wait.
func (q *Queue) Add(w *Waiter) { q.waiting = append(q.waiting, w) }

// Remove takes out a request whose caller has left.
func (q *Queue) Remove(w *Waiter) {
	q.waiting = slices.DeleteFunc(q.waiting, func(o *Waiter) bool { return o == w })
}

// maxMisses is the number of requests in a row, of one service, for which no
// endpoint is found before the rest of that service is left for the next time.
const maxMisses = 12

// Dispatch places what can start, most urgent first, and returns the requests
// that are done with: placed, or turned away without a ticket.
func (q *Queue) Dispatch(now domain.Instant, p Placer) []*Waiter {
	if len(q.waiting) == 0 {
		return nil
	}
	slices.SortStableFunc(q.waiting, func(a, b *Waiter) int { return compare(now, a, b) })
	misses := make(map[string]int)
	var done []*Waiter
	kept := q.waiting[:0]
	for _, w := range q.waiting {
		if misses[w.Query.Service] < maxMisses {
			w.Ticket = p.Pick(now, w.Query)
			if w.Ticket == nil {
				misses[w.Query.Service]++
			}
		}
		if w.Ticket != nil || w.Until <= now {
			done = append(done, w)
			continue
		}
		kept = append(kept, w)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
	return done
}

// compare orders two requests: by rank, then those that can still be in time,
// then by arrival.
func compare(now domain.Instant, a, b *Waiter) int {
	return cmp.Or(
		cmp.Compare(a.Query.Rank, b.Query.Rank),
		cmp.Compare(lateness(now, a), lateness(now, b)),
		cmp.Compare(a.Arrived, b.Arrived),
	)
}

func lateness(now domain.Instant, w *Waiter) int {
	if now > w.InTime {
		return 1
	}
	return 0
}
