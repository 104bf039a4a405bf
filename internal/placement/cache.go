package placement

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

const (
	// partExpiryInterval is the time between two removals of expired prompt parts.
	partExpiryInterval = 5 * time.Second
	// evictionShare is the share of an engine's free memory after whose prefill an unused
	// part may have been evicted: fetched parts and output tokens take the rest.
	evictionShare = 0.5
	// maxAnnouncements bounds the parts announced in one digest.
	maxAnnouncements = 64
)

// PeerPart is a prompt part that a process knows to be in the cache of an endpoint.
type PeerPart struct {
	// Endpoint is the low 32 bits of the hash of the endpoint's identifier.
	Endpoint uint32
	Part     prefixindex.Key
}

// sureFor is how long after its last use an engine is taken to have a part that
// others fetch from it: until prefill has filled evictionShare of the memory that
// requests in progress leave free.
func (t *Table) sureFor(now domain.Instant, svc *service, s *endpointState) time.Duration {
	rate := s.prefillRate.value(now) + float64(s.peers.prefillRate)
	free := float64(svc.engine.MemoryTokens - s.memoryInUse())
	if svc.engine.MemoryTokens <= 0 || rate <= 0 {
		return t.settings.CacheTTL
	}
	return time.Duration(min(t.settings.CacheTTL.Seconds(), evictionShare*max(free, 0)/rate) * float64(time.Second))
}

// prefixTokens returns the tokens of the leading shared parts of a prompt for which
// has is true.
func prefixTokens(parts []Part, has func(prefixindex.Key) bool) int {
	tokens := 0
	for _, p := range parts[:len(parts)-1] {
		if !has(prefixindex.KeyOf(p.ID)) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// prefixSource is an engine that has prefilled leading shared parts of a prompt,
// from which others can fetch them. The zero value is none.
type prefixSource struct {
	endpoint *endpointState
	tokens   int
}

// findSource returns the usable engine with the longest known prefix of a prompt,
// the one with the shortest backlog if there are several. There is none if the
// service's engines can't fetch.
func (t *Table) findSource(now domain.Instant, svc *service, usable []*endpointState, parts []Part) prefixSource {
	var source prefixSource
	if !svc.engine.CanFetch {
		return source
	}
	for _, s := range usable {
		// Most engines have none of the parts, at whatever age.
		if prefixTokens(parts, func(key prefixindex.Key) bool { return s.parts.Holds(now, key, t.settings.CacheTTL) }) == 0 {
			continue
		}
		maxAge := t.sureFor(now, svc, s)
		tokens := prefixTokens(parts, func(key prefixindex.Key) bool { return s.parts.Holds(now, key, maxAge) })
		if tokens > source.tokens || tokens > 0 && tokens == source.tokens && s.backlog() < source.endpoint.backlog() {
			source = prefixSource{endpoint: s, tokens: tokens}
		}
	}
	return source
}

// prefillPlan is how the prompt of a request gets into the memory of an engine.
type prefillPlan struct {
	prefillTokens float64        // estimated tokens to prefill, with the request's own part
	fetchTokens   int            // tokens of shared parts to fetch
	source        *endpointState // engine to fetch them from; nil for none
}

// planPrefill estimates what an engine has to prefill and fetch for a prompt.
func (t *Table) planPrefill(now domain.Instant, s *endpointState, parts []Part, source prefixSource) prefillPlan {
	cached := prefixTokens(parts, func(key prefixindex.Key) bool { return s.parts.Expects(now, key, t.settings.CacheTTL) })
	plan := prefillPlan{}
	if source.endpoint != nil && source.endpoint != s && source.tokens > cached {
		plan.source, plan.fetchTokens = source.endpoint, source.tokens-cached
		cached = source.tokens
	}
	plan.prefillTokens = float64(promptTokens(parts) - cached)
	return plan
}

// recordParts records the placement of a prompt's shared parts at an endpoint. Once per
// partExpiryInterval it also drops the expired parts of all endpoints.
func (t *Table) recordParts(now domain.Instant, s *endpointState, parts []Part) {
	for _, p := range parts[:len(parts)-1] {
		s.parts.Placed(now, prefixindex.KeyOf(p.ID))
	}
	if now.Sub(t.lastPartExpiry) < partExpiryInterval {
		return
	}
	t.lastPartExpiry = now
	for _, other := range t.byID {
		other.parts.Expire(now, t.settings.CacheTTL)
	}
}

// recordRead records that the engine of a ticket has its prompt's shared parts, and
// queues the announcements to the peers.
func (t *Table) recordRead(now domain.Instant, ticket *Ticket) {
	s := ticket.endpointState
	for _, p := range ticket.sharedParts {
		key := prefixindex.KeyOf(p.ID)
		if !s.parts.Read(now, key) || t.byID[s.ID] != s || len(t.announcements) >= maxAnnouncements || t.relaying && p.Tokens < minRelayedPartTokens {
			continue
		}
		announced := PeerPart{Endpoint: s.hash(), Part: key}
		t.announcements = append(t.announcements, announced)
		if t.relaying {
			t.relayPart(announced)
		}
	}
}

// takeAnnouncements returns the parts to announce and those of the last call, which
// are repeated once because a digest may get lost.
func (t *Table) takeAnnouncements() []PeerPart {
	parts := append(t.repeatedAnnouncements, t.announcements...)
	t.repeatedAnnouncements, t.announcements = t.announcements, nil
	return parts
}

// addPeerParts records the parts that a peer announced, and has them passed on if the peer's digest is.
func (t *Table) addPeerParts(now domain.Instant, parts []PeerPart, relayed bool) {
	for _, p := range parts {
		s := t.byHash[p.Endpoint]
		if s == nil {
			continue
		}
		s.parts.Announced(now, p.Part)
		if relayed && t.relaying && !slices.Contains(t.relayedParts, p) {
			t.relayPart(p)
		}
	}
}

// recordArrival records the arrival of a request, whether or not it can be placed. Unless
// it is plain or decode-heavy, it counts towards the prefill demand of its service.
func (t *Table) recordArrival(now domain.Instant, q Query) {
	if len(q.Parts) == 0 {
		return
	}
	t.service(q.Service).prefillCeiling.observe(now, q.Rank)
	t.service(q.Service).prefillCeiling.starvation[priorityLevel(q.Rank)].observeArrival(q)
	if isDecodeHeavy(q) {
		t.service(q.Service).busyGap.accept(now, q.GapTarget)
		return
	}
	// The estimate assumes that the primary endpoint takes the request.
	uniqueTokens := q.Parts[len(q.Parts)-1].Tokens
	t.service(q.Service).prefillDemand.add(now, float64(uniqueTokens)+float64(sharedTokens(q.Parts))*primaryPrefillShare)
}
