package placement

import "github.com/dunlinpulley/dunlinpulley/internal/policy"

// The load pattern that homes answer: sessions come back every few seconds
// through any gateway, and what an engine has kept of their prompts need not be
// read again. Gateways don't tell each other who has what; they agree by
// rendezvous hashing on the endpoints where a session belongs.

const (
	// firstHomeDiscount and secondHomeDiscount are the shares of a prompt that
	// are expected to be read at the first two endpoints of a session.
	firstHomeDiscount  = 0.1
	secondHomeDiscount = 0.75
)

// homeSet is the first two endpoints of a request's shared parts.
type homeSet struct{ first, second *state }

func homes(side []*state, parts []Part) homeSet {
	var h homeSet
	if len(parts) < 2 {
		return h
	}
	key := policy.Mix(parts[len(parts)-2].ID)
	var firstScore, secondScore uint64
	for _, s := range side {
		score := policy.Mix(s.rank ^ key)
		switch {
		case h.first == nil || score > firstScore:
			h.second, secondScore = h.first, firstScore
			h.first, firstScore = s, score
		case h.second == nil || score > secondScore:
			h.second, secondScore = s, score
		}
	}
	return h
}

// number is the place of an endpoint among the homes, from 1; 0 for others.
func (h homeSet) number(s *state) int {
	switch s {
	case h.first:
		return 1
	case h.second:
		return 2
	default:
		return 0
	}
}

// discount is the share of the uncached tokens that an endpoint is expected to read.
func (h homeSet) discount(s *state) float64 {
	switch s {
	case h.first:
		return firstHomeDiscount
	case h.second:
		return secondHomeDiscount
	default:
		return 1
	}
}
