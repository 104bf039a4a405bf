package placement

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// MaxPause bounds the pause that an endpoint can ask for.
	MaxPause = 10 * time.Minute
	// returnTime is how long after a pause an endpoint gets one request at a time, unless one is
	// answered before: it may refuse them again.
	returnTime = time.Second
)

// pause is the time for which an endpoint that has refused a request wants no other one from
// this process, and its return. The zero value is none.
type pause struct {
	until domain.Instant
	probe *Ticket // request in progress since the end of the pause, which decides whether others follow
	ended bool    // whether the end of the pause was reported
}

// active reports whether the endpoint gets no request now.
func (p *pause) active(now domain.Instant) bool {
	return now < p.until || p.returning(now) && p.probe != nil
}

// returning reports whether the endpoint gets one request at a time.
func (p *pause) returning(now domain.Instant) bool {
	return p.until > 0 && now >= p.until && now < p.until.Add(returnTime)
}

// RecordPause records that an endpoint has refused a request and wants no other one from this
// process for a time, at most MaxPause. A pause that ends earlier than a known one changes nothing.
// It reports whether the endpoint pauses longer than was known.
func (t *Table) RecordPause(now domain.Instant, ticket *Ticket, length time.Duration) bool {
	p, until := &ticket.endpointState.pause, now.Add(min(length, MaxPause))
	if until <= max(p.until, now) {
		return false
	}
	*p = pause{until: until}
	return true
}

// EndedPauses returns the identifiers of the endpoints whose pauses have ended since the last call.
func (t *Table) EndedPauses(now domain.Instant) []string {
	var ids []string
	for id, s := range t.byID {
		if s.pause.until > 0 && s.pause.until <= now && !s.pause.ended {
			s.pause.ended = true
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// answered records that the endpoint has answered a request. If it is the one that decides on the
// end of a pause, others follow.
func (p *pause) answered(ticket *Ticket) {
	if p.probe == ticket {
		p.until, p.probe = 0, nil
	}
}

// failed records that a request has ended without an answer.
func (p *pause) failed(ticket *Ticket) {
	if p.probe == ticket {
		p.probe = nil
	}
}

// Withdrawn reports whether the endpoint of a request has said since its placement that it
// pauses or leaves. The request must not be sent then.
func (t *Table) Withdrawn(now domain.Instant, ticket *Ticket) bool {
	s := ticket.endpointState
	return s.leaving || now < s.pause.until
}

// ComesBack returns when the first endpoint that could take a request can be sent one, if pauses and
// request limits keep the request from all of them; 0 if another one is left, or if none is
// known to come back.
func (t *Table) ComesBack(now domain.Instant, q Query) domain.Instant {
	svc, first := t.services[q.Service], domain.Instant(0)
	if svc == nil {
		return 0
	}
	for _, s := range svc.endpoints {
		if !s.accepts() || !s.atVersion(q.Version) || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		at := max(s.pause.until, t.limitFreeAt(now, s))
		switch {
		case at <= now:
			return 0
		case at == never:
		case first == 0 || at < first:
			first = at
		}
	}
	return first
}
