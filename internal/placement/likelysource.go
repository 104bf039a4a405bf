package placement

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

// The load pattern: a burst with cold caches at so many gateways that their states are relayed. What one of them has read of a session at an engine is known to the others a
// second later, when half of the session's requests have gone to another engine, and an engine in a burst turns over half of its memory in two
// seconds, after which its records count as unsure. The shared parts are prefilled again, though an engine has them.
//
// A fetch that finds nothing takes some milliseconds, and prefill of the parts some tens. So the engine is told to try where the parts
// probably are: at the engine that used them last, or at the first engine of the session, which gets its requests while it has room.

// minTriedTokens is the least number of shared tokens to prefill for which a fetch is tried: their prefill takes 10 to 20 ms, a fetch that finds nothing 3 ms.
const minTriedTokens = 1024

// likelySource returns a usable engine from which the chosen one is to try to fetch shared parts of a prompt that it would prefill otherwise,
// as no engine is sure to have them; nil for none. It also reports whether the engine is known to have used them.
func (t *Table) likelySource(now domain.Instant, svc *service, usable []*endpointState, l layout, best *endpointState, c candidate, q Query) (source *endpointState, known bool) {
	missing, parts := int(c.sharedPrefillTokens(q)), q.Parts
	if !t.relaying || !svc.engine.CanFetch || missing < minTriedTokens {
		return nil, false
	}
	var likely *endpointState
	most, usedAt := sharedTokens(parts)-missing, domain.Instant(0)
	lastShared := prefixindex.KeyOf(parts[len(parts)-2].ID)
	for _, s := range usable {
		if s == best {
			continue
		}
		tokens := prefixTokens(parts, func(key prefixindex.Key) bool { return s.parts.Expects(now, key, t.settings.CacheTTL) })
		if used := s.parts.UsedAt(lastShared); tokens > most || tokens == most && likely != nil && used > usedAt {
			likely, most, usedAt = s, tokens, used
		}
	}
	if primary := l.affinityEndpoints.primary(); most < sharedTokens(parts) && primary != best && slices.Contains(usable, primary) {
		return primary, false
	}
	return likely, likely != nil
}
