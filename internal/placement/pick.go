package placement

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// Query describes a request to place.
type Query struct {
	Service string
	Tier    int
	// Parts are the parts of the prompt, in order; none for plain services.
	Parts []Part
	// Output is the most tokens that the request may make.
	Output int
	// Exclude are endpoints that have had the request.
	Exclude []string
}

// Ticket is a request that has been placed on an endpoint.
type Ticket struct {
	Endpoint Endpoint
	// Score is the cost by which the endpoint was chosen; the lowest wins.
	Score float64
	// Candidates is the number of endpoints that were compared.
	Candidates int

	state    *state
	unread   int
	decoding bool
	first    bool
	ended    bool
}

const (
	// uncachedWeight is the cost of a prompt token to read beside one that waits
	// to be read: reading also delays the streams that run there.
	uncachedWeight = 6.0
	// prefillHorizon is the prompt tokens that cost as much as a full endpoint,
	// about 0.4 s of reading at the engines' declared rates.
	prefillHorizon = 40_000.0
	// crossingCost is the cost of a request on the other side of the split, in
	// shares of a full endpoint.
	crossingCost = 0.5
	// decodeShare is the share of the endpoints that long outputs go to first.
	decodeShare = 0.25
	// decodeRatio is the prompt tokens for each output token below which a
	// request suffers from its neighbours' prompts more than it makes them suffer.
	decodeRatio = 20
	// remoteCost breaks ties in favour of the own data centre.
	remoteCost = 0.02
	// failureCost is the cost of an endpoint whose recent requests all failed.
	failureCost = 2.0
	// defaultSlots is used for an endpoint that declares none.
	defaultSlots = 8
	// reportLife is how long a reported load is used.
	reportLife = 1500 * time.Millisecond
)

// Pick chooses an endpoint and counts the request there. It returns nil when no
// endpoint may be used.
func (t *Table) Pick(now domain.Instant, q Query) *Ticket {
	all := t.services[q.Service]
	usable := t.usable(now, all, q)
	if len(usable) == 0 {
		return nil
	}
	decode := decodeHeavy(q)
	split := decodeEndpoints(len(all))
	home := t.home(all, q, split)
	var best *state
	var bestScore float64
	for _, s := range usable {
		score := t.score(now, s, q, s == home)
		if len(q.Parts) > 0 && split > 0 && (slices.Index(all, s) < split) != decode {
			score += crossingCost
		}
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return t.place(now, best, q, decode, bestScore, len(usable))
}

// usable filters the endpoints that may have a request: those neither draining
// nor tried, and of them those not avoided, if there are any.
func (t *Table) usable(now domain.Instant, all []*state, q Query) []*state {
	var open, sound []*state
	for _, s := range all {
		if s.Draining || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		open = append(open, s)
		if s.avoid <= now {
			sound = append(sound, s)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return open
}

func (t *Table) score(now domain.Instant, s *state, q Query, home bool) float64 {
	score := float64(s.demand(now)) / float64(s.slots())
	score += s.failures * failureCost
	if s.DataCentre != t.settings.DataCentre {
		score += remoteCost
	}
	if len(q.Parts) == 0 {
		return score
	}
	uncached := float64(t.uncached(now, s, q.Parts))
	if home {
		uncached *= homeDiscount
	}
	return score + (float64(s.unread)+uncached*uncachedWeight)/prefillHorizon
}

// demand estimates the requests that run or wait at an endpoint, of all processes.
func (s *state) demand(now domain.Instant) int {
	if !s.hasReport || now.Sub(s.reportedAt) > reportLife {
		return s.inFlight
	}
	return max(s.reported.Running+s.reported.Waiting+s.inFlight-s.inFlightAtReport, s.inFlight)
}

func (s *state) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

func (t *Table) place(now domain.Instant, s *state, q Query, decode bool, score float64, candidates int) *Ticket {
	ticket := &Ticket{Endpoint: s.Endpoint, Score: score, Candidates: candidates, state: s, decoding: decode}
	ticket.unread = t.uncached(now, s, q.Parts)
	if s.inFlight == 0 {
		s.asked = now
	}
	s.inFlight++
	s.unread += ticket.unread
	if decode {
		s.decoding++
	}
	t.remember(now, s, q.Parts)
	return ticket
}

// decodeHeavy reports whether a request makes many tokens from a short prompt.
func decodeHeavy(q Query) bool {
	prompt := 0
	for _, p := range q.Parts {
		prompt += p.Tokens
	}
	return q.Output > 0 && prompt < decodeRatio*q.Output
}

// decodeEndpoints returns how many endpoints of a service, in the order of
// their ranks, long outputs go to first.
func decodeEndpoints(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, int(float64(n)*decodeShare+0.5))
}

// home returns the endpoint that a request's shared parts belong to by
// rendezvous hashing, on the request's side of the split.
func (t *Table) home(all []*state, q Query, split int) *state {
	if len(q.Parts) < 2 {
		return nil
	}
	side := all[split:]
	if decodeHeavy(q) && split > 0 {
		side = all[:split]
	}
	key := q.Parts[len(q.Parts)-2].ID
	var best *state
	var bestScore uint64
	for _, s := range side {
		if s.Draining {
			continue
		}
		if score := policy.Mix(s.rank ^ policy.Mix(key)); best == nil || score > bestScore {
			best, bestScore = s, score
		}
	}
	return best
}
