package waitqueue

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// The load pattern: many requests wait, at many endpoints, on a host with little processor time. What a Dispatch takes grows with both. The
// requests that arrive meanwhile have to be read, and callers that have left to be noticed, so that the tries of the queue get a bounded part of the time.

const (
	// restPerTime is the rest after a Dispatch, as a multiple of the time that it took: it gets a quarter of the time at most.
	restPerTime = 3
	// maxRest bounds the rest after a Dispatch in which the process stood still.
	maxRest = 300 * time.Millisecond
)

// Due reports whether the next Dispatch may begin.
func (q *Queue) Due(now domain.Instant) bool { return now >= q.restsUntil }

// Worked records the time that a Dispatch took.
func (q *Queue) Worked(began, ended domain.Instant) {
	q.restsUntil = ended.Add(min(restPerTime*ended.Sub(began), maxRest))
}
