package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// reservedAgents returns the agents that a call asked for a slot, in order.
func (s *session) reservedAgents(id domain.CallID) []domain.EndpointID {
	var ids []domain.EndpointID
	for _, out := range s.out {
		if out, ok := out.(SendAgent); ok && out.Message.GetReserve().GetCall() == uint64(id) {
			ids = append(ids, out.Agent)
		}
	}
	return ids
}

func TestOnlyServingAgentsAreAsked(t *testing.T) {
	config := newTestConfig("d1", "d2", "d3", "d4", "d5")
	drained := config.endpoints["d2"]
	drained.Desired = domain.EndpointDraining
	config.endpoints["d2"] = drained
	s := newSession(t, config, "d1", "d2", "d3", "d4", "d5")
	s.fromAgent("d3", &pb.AgentHeartbeat{FreeSlots: 4, Slots: 4, Draining: true})
	s.input(AgentDown{Agent: "d4"})
	s.input(AvoidedAgents{Agents: []domain.EndpointID{"d5"}})
	for id := domain.CallID(1); id <= 20; id++ {
		s.input(deskCall(id, "kiosk"))
	}
	s.advance(500 * time.Millisecond)
	for id := domain.CallID(1); id <= 20; id++ {
		assert.DeepEqual(t, s.reservedAgents(id), []domain.EndpointID{"d1"})
	}
	// The avoided agent is asked only when there is no other.
	s.fromAgent("d1", &pb.AgentHeartbeat{FreeSlots: 4, Slots: 4, Draining: true})
	assert.DeepEqual(t, s.reservedAgents(1), []domain.EndpointID{"d1", "d5"})
}

func TestUnavailableAgentLosesReservation(t *testing.T) {
	for name, event := range map[string]func(s *session, a domain.EndpointID){
		"leaving": func(s *session, a domain.EndpointID) { s.input(AvoidedAgents{Agents: []domain.EndpointID{a}}) },
		"drain":   func(s *session, a domain.EndpointID) { s.fromAgent(a, &pb.AgentHeartbeat{Slots: 4, Draining: true}) },
		"down":    func(s *session, a domain.EndpointID) { s.input(AgentDown{Agent: a}) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
			s.input(deskCall(1, "kiosk"))
			a, _ := s.lastReservation(1)
			event(s, a)
			next, _ := s.lastReservation(1)
			assert.Assert(t, next != a)
			s.fromAgent(a, &pb.Grant{Call: 1, Attempt: 1, Nonce: 1, TtlMs: 250})
			assert.Equal(t, s.handOvers(1), 0)
		})
	}
}

func TestHigherTiersAddReservationsSooner(t *testing.T) {
	agents := []domain.EndpointID{"d1", "d2", "d3", "d4", "d5", "d6", "d7", "d8"}
	s := newSession(t, newTestConfig(agents...), agents...)
	s.input(deskCall(1, "kiosk"))
	s.input(deskCall(2, "itinerary"))
	s.advance(100 * time.Millisecond)
	assert.Assert(t, len(s.reservedAgents(1)) > len(s.reservedAgents(2)))
	s.advance(1500 * time.Millisecond)
	assert.Equal(t, len(s.reservedAgents(1)), s.core.settings.MaxReservations)
}

func TestLeastLoadedIsAskedNext(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2", "d3"), "d1", "d2", "d3")
	s.input(deskCall(1, "kiosk"))
	first, _ := s.lastReservation(1)
	others := map[domain.EndpointID][]domain.EndpointID{"d1": {"d2", "d3"}, "d2": {"d1", "d3"}, "d3": {"d1", "d2"}}[first]
	s.fromAgent(others[0], &pb.AgentHeartbeat{FreeSlots: 0, Slots: 4, Queued: 2})
	s.fromAgent(others[1], &pb.AgentHeartbeat{FreeSlots: 1, Slots: 4})
	s.advance(30 * time.Millisecond)
	assert.DeepEqual(t, s.reservedAgents(1), []domain.EndpointID{first, others[1]})
	// A report made after this entry's reservation already includes it, so the
	// reservation is not deducted from the free slots of the report.
	s.fromAgent(first, &pb.AgentHeartbeat{FreeSlots: 1, Slots: 4})
	assert.Assert(t, s.core.agents.byID[first].hasFreeSlot())
	s.fromAgent(others[0], &pb.AgentHeartbeat{FreeSlots: 1, Slots: 4, Queued: 1})
	assert.Assert(t, !s.core.agents.byID[others[0]].hasFreeSlot())
	s.input(deskCall(2, "kiosk"))
	assert.Assert(t, !s.core.agents.byID[s.reservedAgents(2)[0]].hasFreeSlot())
}

func TestPrefixAffinity(t *testing.T) {
	agents := []domain.EndpointID{"d1", "d2", "d3", "d4"}
	s := newSession(t, newTestConfig(agents...), agents...)
	first := map[domain.EndpointID]bool{}
	for id := domain.CallID(1); id <= 4; id++ {
		call := deskCall(id, "kiosk")
		call.Call.Prefix = 77
		s.input(call)
		first[s.reservedAgents(id)[0]] = true
	}
	assert.Equal(t, len(first), 1)
}

func TestUnmatchedGrantsAreWithdrawn(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	a, _ := s.lastReservation(1)
	other := domain.EndpointID("d1")
	if a == other {
		other = "d2"
	}
	s.fromAgent(other, &pb.Grant{Call: 1, Attempt: 1, Nonce: 1, TtlMs: 250}) // not asked
	s.fromAgent(a, &pb.Grant{Call: 1, Attempt: 9, Nonce: 2, TtlMs: 250})     // another attempt
	s.fromAgent(a, &pb.Grant{Call: 7, Attempt: 1, Nonce: 3, TtlMs: 250})     // another call
	assert.Equal(t, s.handOvers(1), 0)
	s.fromAgent(a, &pb.Grant{Call: 1, Attempt: 1, Nonce: 4, TtlMs: 250})
	s.fromAgent(a, &pb.Grant{Call: 1, Attempt: 1, Nonce: 4, TtlMs: 250}) // a duplicate
	assert.Equal(t, s.handOvers(1), 1)
	s.golden("grants-not-taken")
}

func TestUnansweredHandOverIsResentThenRevoked(t *testing.T) {
	s := newSession(t, newTestConfig("t1"), "t1")
	s.input(ticketCall(1, ""))
	s.fromAgent("t1", &pb.Grant{Call: 1, Attempt: 1, Nonce: 1, TtlMs: 250})
	s.advance(1500 * time.Millisecond)
	s.fromAgent("t1", &pb.RevokeReply{Call: 1, Attempt: 1, State: pb.StartState_NEVER_STARTED})
	s.advance(5 * time.Second)
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeNotRun)
	s.golden("hand-over-unanswered")
}

func TestRevisionNeverDecreases(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	newer, older := newTestConfig("d1"), newTestConfig("d1")
	newer.revision, older.revision = 5, 4
	s.input(NewConfig{Config: newer})
	s.input(NewConfig{Config: older})
	assert.Equal(t, s.core.Revision(), domain.Revision(5))
}

// TestGrantAfterRefusalIsAccepted covers an agent's starvation guard, which may
// grant a slot to a call that its full queue refused.
func TestGrantAfterRefusalIsAccepted(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.fromAgent("d1", &pb.ReserveReply{Call: 1, Attempt: 1, Reason: pb.RefuseReason_REFUSE_FULL})
	s.fromAgent("d1", &pb.Grant{Call: 1, Attempt: 1, Nonce: 1, TtlMs: 250})
	assert.Equal(t, s.handOvers(1), 1)
}

// TestSlowAgentIsAskedLast has a slow and a fast agent. A call whose target the
// slow agent can't meet asks the fast one first, regardless of prefix affinity.
// Calls with a looser target ask either.
func TestSlowAgentIsAskedLast(t *testing.T) {
	config := newTestConfig("d1", "d2")
	relaxed := config.classes["itinerary"]
	relaxed.FirstToken = time.Minute
	config.classes["itinerary"] = relaxed
	s := newSession(t, config, "d1", "d2")
	s.fromAgent("d1", &pb.AgentHeartbeat{FreeSlots: 40, Slots: 40, FirstTokenUs: 900_000})
	s.fromAgent("d2", &pb.AgentHeartbeat{FreeSlots: 40, Slots: 40, FirstTokenUs: 90_000})
	asked := map[domain.ClassName]map[domain.EndpointID]bool{"kiosk": {}, "itinerary": {}}
	for id := domain.CallID(1); id <= 16; id++ {
		class := domain.ClassName("kiosk")
		if id%2 == 0 {
			class = "itinerary"
		}
		call := deskCall(id, class)
		call.Call.Prefix = uint64(id) * 0x9e3779b97f4a7c15 // a distinct 64-bit hash for each call
		s.input(call)
		asked[class][s.reservedAgents(id)[0]] = true
	}
	assert.DeepEqual(t, asked["kiosk"], map[domain.EndpointID]bool{"d2": true})
	assert.DeepEqual(t, asked["itinerary"], map[domain.EndpointID]bool{"d1": true, "d2": true})
}
