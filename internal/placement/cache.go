package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// sweepInterval is the time between two removals of expired parts.
	sweepInterval = 5 * time.Second
)

// unread estimates the prompt tokens that an endpoint has to read: the last
// part, which is the request's own, and the shared ones that it is not known to
// have been given lately. discount is the share of these that it is expected
// not to have been given by others either.
func (t *Table) unread(now domain.Instant, s *state, parts []Part, discount float64) float64 {
	shared, missed := 0, false
	for _, p := range parts[:len(parts)-1] {
		used, ok := s.parts[p.ID]
		if !ok || now.Sub(used) > t.settings.CacheLife {
			missed = true
		}
		if missed {
			shared += p.Tokens
		}
	}
	return float64(shared)*discount + float64(parts[len(parts)-1].Tokens)
}

// remember notes the parts that an endpoint is about to read.
func (t *Table) remember(now domain.Instant, s *state, parts []Part) {
	for _, p := range parts[:len(parts)-1] {
		s.parts[p.ID] = now
	}
	if now.Sub(t.swept) < sweepInterval {
		return
	}
	t.swept = now
	for _, other := range t.byID {
		for id, used := range other.parts {
			if now.Sub(used) > t.settings.CacheLife {
				delete(other.parts, id)
			}
		}
	}
}

// Asked notes that a request has arrived, whether it can be placed or not.
func (t *Table) Asked(now domain.Instant, q Query) {
	if len(q.Parts) == 0 || decodeHeavy(q) {
		return
	}
	own := q.Parts[len(q.Parts)-1].Tokens
	t.service(q.Service).reading.add(now, float64(own)+float64(sharedTokens(q.Parts))*firstHomeDiscount)
}
