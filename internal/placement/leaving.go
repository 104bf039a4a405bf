package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// leavingMemory is how long it is remembered that an endpoint without a registry entry has said
// that it leaves. Its entry may be missing for a moment only, or come back with an old copy of
// the registry.
const leavingMemory = 5 * time.Minute

// leaving is what an endpoint has said of its leaving.
type leaving struct {
	start int64          // Endpoint.Start of the process that leaves
	at    domain.Instant // answer that said so
	own   bool           // whether the answer was to this process
}

// PeerLeaving is an endpoint that has told a process that it leaves.
type PeerLeaving struct {
	// Endpoint is the low 32 bits of the hash of the endpoint's identifier.
	Endpoint uint32
	// Start is Endpoint.Start of the process that leaves.
	Start int64
	// Age is the time since the answer that said so.
	Age time.Duration
}

// accepts reports whether the endpoint takes new requests, as far as its registry entry and its
// answers say.
func (s *endpointState) accepts() bool { return !s.Draining && !s.leaving }

// Accepts reports whether an endpoint is known and takes new requests.
func (t *Table) Accepts(id string) bool {
	s := t.byID[id]
	return s != nil && s.accepts()
}

// RecordLeaving records that an endpoint has said in its answer to a request that it leaves. The
// endpoint gets no further request, whatever its registry entry says, until a later start of
// it is registered. It reports whether that was not known.
func (t *Table) RecordLeaving(now domain.Instant, ticket *Ticket) bool {
	return t.leave(EndpointHash(ticket.Endpoint.ID), leaving{start: ticket.Endpoint.Start, at: now, own: true})
}

// leave records the leaving of an endpoint that is given by its hash.
func (t *Table) leave(endpoint uint32, l leaving) bool {
	known, ok := t.leavings[endpoint]
	if ok && known.start >= l.start && (known.own || !l.own) {
		return false
	}
	t.leavings[endpoint] = l
	if s := t.byHash[endpoint]; s != nil && s.Start <= l.start {
		changed := !s.leaving
		s.leaving = true
		return changed
	}
	return false
}

// applyLeaving sets whether an endpoint leaves after its registry entry was put. A later start
// ends the leaving of the process before it.
func (t *Table) applyLeaving(now domain.Instant, s *endpointState) {
	for endpoint, l := range t.leavings {
		if t.byHash[endpoint] == nil && now.Sub(l.at) > leavingMemory {
			delete(t.leavings, endpoint)
		}
	}
	l, ok := t.leavings[s.hash()]
	if ok && s.Start > l.start {
		delete(t.leavings, s.hash())
		ok = false
	}
	s.leaving = ok
}

// ownLeavings returns the endpoints that have told this process that they leave, in the order of
// their hashes. What peers were told is not repeated: they tell it themselves.
func (t *Table) ownLeavings(now domain.Instant) []PeerLeaving {
	var list []PeerLeaving
	for endpoint, l := range t.leavings {
		if l.own && (t.byHash[endpoint] != nil || now.Sub(l.at) <= leavingMemory) {
			list = append(list, PeerLeaving{Endpoint: endpoint, Start: l.start, Age: now.Sub(l.at)})
		}
	}
	slices.SortFunc(list, func(a, b PeerLeaving) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// addPeerLeavings applies what endpoints have told a peer of their leaving. It returns the
// identifiers of those of which it was not known.
func (t *Table) addPeerLeavings(now domain.Instant, list []PeerLeaving) []string {
	var changed []string
	for _, l := range list {
		if l.Age <= leavingMemory && t.leave(l.Endpoint, leaving{start: l.Start, at: now.Add(-max(l.Age, 0))}) {
			changed = append(changed, t.byHash[l.Endpoint].ID)
		}
	}
	return changed
}
