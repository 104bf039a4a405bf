package placement

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// partExpiryInterval is the time between two removals of expired prompt parts.
	partExpiryInterval = 5 * time.Second
)

// prefillTokens estimates the prompt tokens that an endpoint has to prefill: the
// last part, which is unique to the request, and the shared parts after the cached
// prefix. A part counts as cached for the configured time after this process placed
// it there. prefillShare scales the uncached shared tokens, because other processes
// may have placed them there.
func (t *Table) prefillTokens(now domain.Instant, s *endpointState, parts []Part, prefillShare float64) float64 {
	shared, missed := 0, false
	for _, p := range parts[:len(parts)-1] {
		used, ok := s.parts[p.ID]
		if !ok || now.Sub(used) > t.settings.CacheTTL {
			missed = true
		}
		if missed {
			shared += p.Tokens
		}
	}
	return float64(shared)*prefillShare + float64(parts[len(parts)-1].Tokens)
}

// recordParts records the use of a prompt's shared parts at an endpoint. Once per
// partExpiryInterval it also drops the expired parts of all endpoints.
func (t *Table) recordParts(now domain.Instant, s *endpointState, parts []Part) {
	for _, p := range parts[:len(parts)-1] {
		s.parts[p.ID] = now
	}
	if now.Sub(t.lastPartExpiry) < partExpiryInterval {
		return
	}
	t.lastPartExpiry = now
	for _, other := range t.byID {
		for id, used := range other.parts {
			if now.Sub(used) > t.settings.CacheTTL {
				delete(other.parts, id)
			}
		}
	}
}

// RecordArrival records the arrival of a request, whether or not it can be placed. Unless
// it is plain or decode-heavy, it counts towards the prefill demand of its service.
func (t *Table) RecordArrival(now domain.Instant, q Query) {
	if len(q.Parts) == 0 || isDecodeHeavy(q) {
		return
	}
	// The estimate assumes that the primary endpoint takes the request.
	uniqueTokens := q.Parts[len(q.Parts)-1].Tokens
	t.service(q.Service).prefillDemand.add(now, float64(uniqueTokens)+float64(sharedTokens(q.Parts))*primaryPrefillShare)
}
