package placement

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Starvation. In overload that lasts, engines without work still take prompts of any urgency, while more urgent
// requests get no answer, as the engines of their sessions are busy. No less urgent long prompt starts then, unless it is shorter than theirs, at any
// engine, until only a small share of the more urgent requests is lost.

const (
	// maxLostShare is the share of the requests of a level that may be lost before less urgent prompts stop. A twelfth must not be
	// lost while these start.
	maxLostShare = 0.065
	// minLost is the least number of lost requests that counts as starvation.
	minLost = 5.0
	// shorterShare is the share of the mean length of the starving requests' prompts below which a prompt counts as shorter: single ones
	// vary around the mean.
	shorterShare = 0.6
	// promptLengthWeight is the weight of one prompt in the mean length of those of its level.
	promptLengthWeight = 0.1
	// starvationTimeConstant is the time constant in which lost requests are forgotten.
	starvationTimeConstant = 3 * time.Second
)

// starvation is the requests of one priority level that arrived and that were lost lately, at all processes.
type starvation struct {
	requests, lost float64
	updatedAt      domain.Instant
	promptTokens   float64 // mean length of the prompts that arrived at this process; 0 before the first
}

// observePrompt adds a prompt that has arrived here.
func (s *starvation) observePrompt(tokens int) {
	if s.promptTokens == 0 {
		s.promptTokens = float64(tokens)
		return
	}
	s.promptTokens += (float64(tokens) - s.promptTokens) * promptLengthWeight
}

// add adds counts.
func (s *starvation) add(now domain.Instant, counts levelCounts) {
	remaining := s.remaining(now)
	s.requests, s.lost = s.requests*remaining+float64(counts.requests), s.lost*remaining+float64(counts.lost)
	s.updatedAt = now
}

// starves reports whether too many requests are lost.
func (s *starvation) starves(now domain.Instant) bool {
	return s.lost*s.remaining(now) >= minLost && s.lost > maxLostShare*s.requests
}

// remaining is the part of the counts that is left since the last ones were added.
func (s *starvation) remaining(now domain.Instant) float64 {
	return math.Exp(-float64(now.Sub(s.updatedAt)) / float64(starvationTimeConstant))
}

// starvesBefore reports whether requests starve that are more urgent than one whose prompt is not shorter, as this process or a peer
// sees it.
func (svc *service) starvesBefore(now domain.Instant, q Query) bool {
	tokens := float64(promptTokens(q.Parts))
	for level := range priorityLevel(q.Rank) {
		s := &svc.prefillCeiling.starvation[level]
		if shorterShare*s.promptTokens < tokens && (svc.starvingPeers[level] > 0 || s.starves(now)) {
			return true
		}
	}
	return false
}

// starvingPeers is the number of peers that see requests of a service starve, by priority level.
type starvingPeers [PriorityLevels]int

// starvingPeersOf returns the numbers for a service with a hash, which need not be known yet.
func (t *Table) starvingPeersOf(service uint32) *starvingPeers {
	n := t.starvingPeers[service]
	if n == nil {
		n = &starvingPeers{}
		t.starvingPeers[service] = n
	}
	return n
}

// setPeerStarving replaces the levels of which a peer says that their requests starve.
func (t *Table) setPeerStarving(peer string, list []PeerLevel) {
	for _, l := range t.peerStarving[peer] {
		t.starvingPeersOf(l.Service)[l.Level]--
	}
	delete(t.peerStarving, peer)
	for _, l := range list {
		if l.Starving && l.Level >= 0 && l.Level < PriorityLevels {
			t.peerStarving[peer] = append(t.peerStarving[peer], l)
			t.starvingPeersOf(l.Service)[l.Level]++
		}
	}
}

// RecordRejected records that a request has been rejected after it found no endpoint, with what kept the endpoints from it.
func (t *Table) RecordRejected(now domain.Instant, q Query, obstacles Obstacles) {
	if len(q.Parts) > 0 && obstacles.load() {
		t.service(q.Service).prefillCeiling.observeLost(now, q.Rank)
	}
}

// neverBegan reports whether the caller of a request left because its answer did not begin, although the endpoint works: it
// has sent something to others.
func (ticket *Ticket) neverBegan(now domain.Instant, result Result) bool {
	left := result == ResultCancelled || result == ResultTimedOut
	return left && ticket.hasPrompt && !ticket.byteReceived && ticket.target > 0 && now.Sub(ticket.placedAt) > ticket.target &&
		now.Sub(ticket.endpointState.lastReceived) < responseTimeout
}
