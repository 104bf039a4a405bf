package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// sweepInterval is the time between two removals of expired parts.
	sweepInterval = 5 * time.Second
)

// uncached estimates the prompt tokens that an endpoint has to read: all from
// the first part on that it has not been given lately.
func (t *Table) uncached(now domain.Instant, s *state, parts []Part) int {
	tokens, missed := 0, false
	for _, p := range parts {
		used, ok := s.parts[p.ID]
		if !ok || now.Sub(used) > t.settings.CacheLife {
			missed = true
		}
		if missed {
			tokens += p.Tokens
		}
	}
	return tokens
}

// remember notes the parts that an endpoint is about to read.
func (t *Table) remember(now domain.Instant, s *state, parts []Part) {
	for _, p := range parts {
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
