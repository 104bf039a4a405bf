package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestSession(t *testing.T) {
	scenarios := []struct {
		name string
		run  func(s *session)
	}{
		{"whole_answer", scenarioWholeAnswer},
		{"lost_connection", scenarioLostConnection},
		{"entry_gone", scenarioEntryGone},
		{"entry_restarted", scenarioEntryRestarted},
		{"crossed_messages", scenarioReorderedMessages},
		{"agent_paused", scenarioAgentPaused},
		{"drain_and_stop", scenarioDrainAndStop},
		{"shutdown", scenarioShutdown},
		{"newer_revision", scenarioNewerRevision},
		{"higher_tier_displaces", scenarioHigherTierDisplaces},
		{"full_of_higher_tiers", scenarioQueueFullOfHigherTiers},
		{"burst_of_one_class", scenarioBurstOfOneClass},
		{"preemption", scenarioPreemption},
		{"unreachable_endpoint", scenarioUnreachableEndpoint},
		{"late_not_wanted", scenarioLateAnswerNotWanted},
		{"answers_fill_memory", scenarioUnackedFramesFillMemory},
		{"straggler", scenarioSlowEndpoint},
	}
	for _, tc := range scenarios {
		t.Run(tc.name, func(t *testing.T) {
			s := newSession(t, 2)
			tc.run(s)
			s.golden()
		})
	}
}

// reserveAndStart reserves a slot for a call and hands the call over.
func reserveAndStart(s *session, peer Peer, call uint64, idempotent bool) {
	s.input(reserveMessage(peer, &pb.Reserve{Call: call, SlackMs: 500}))
	s.input(handOverMessage(peer, &pb.HandOver{Call: call, Nonce: uint64(s.core.lastNonce), Idempotent: idempotent}))
}

func scenarioWholeAnswer(s *session) {
	reserveAndStart(s, entryA, 1, true)
	s.advance(20 * time.Millisecond)
	s.input(EngineHead{Run: 1, Status: 200})
	s.input(EngineData{Run: 1, Data: []byte("salt"), Tokens: 1})
	s.input(EngineData{Run: 1, Data: []byte(" mine"), Tokens: 1})
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE, FinishReason: "stop", AnswerTokens: 2})
	s.input(ackMessage(entryA, 1, 4, true))
	s.advance(2 * time.Second)
}

func scenarioLostConnection(s *session) {
	reserveAndStart(s, entryA, 1, true)
	s.input(EngineData{Run: 1, Data: []byte("a"), Tokens: 1})
	s.input(EntryDown{Peer: entryA})
	s.input(EngineData{Run: 1, Data: []byte("b"), Tokens: 1})
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.advance(2 * time.Second)
	s.input(EntryUp{Peer: entryA})
	s.input(ackMessage(entryA, 1, 1, false))
	s.advance(1100 * time.Millisecond)
	s.input(ackMessage(entryA, 1, 3, true))
	s.advance(1100 * time.Millisecond)
}

func scenarioEntryGone(s *session) {
	reserveAndStart(s, entryA, 1, true)
	reserveAndStart(s, entryA, 2, false)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 3}))
	s.input(EntryDown{Peer: entryA})
	s.advance(16 * time.Second)
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_CANCELLED})
	s.input(EngineEnd{Run: 2, Reason: pb.EndReason_END_COMPLETE})
}

func scenarioEntryRestarted(s *session) {
	reserveAndStart(s, entryA, 1, true)
	reserveAndStart(s, entryA, 2, false)
	s.input(EntryUp{Peer: Peer{Entry: entryA.Entry, Incarnation: entryA.Incarnation + 1}})
	s.input(revokeMessage(entryA, 1, 1)) // from the old incarnation: gets no reply
}

func scenarioReorderedMessages(s *session) {
	s.input(cancelMessage(entryA, 1))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 1}))
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 1, Nonce: 1}))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 2}))
	s.input(revokeMessage(entryA, 2, 1))
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 2, Nonce: 1}))
	reserveAndStart(s, entryA, 3, true)
	s.input(revokeMessage(entryA, 3, 2))
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 3, Nonce: 2}))
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 4, Nonce: 1, Incarnation: testIncarnation - 1}))
}

func scenarioAgentPaused(s *session) {
	reserveAndStart(s, entryB, 1, true)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 2}))
	s.pause(20 * time.Second)
	s.advance(time.Millisecond) // entry B was silent only because of the pause: its run continues
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 2, Nonce: 2}))
}

func scenarioDrainAndStop(s *session) {
	reserveAndStart(s, entryA, 1, false)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 2}))
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 3}))
	s.input(operateMessage(entryB, "c1", pb.DesiredState_DESIRED_DRAINING, 1))
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 2, Nonce: 2, Idempotent: true}))
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 4}))
	s.input(endpointConfig(2, domain.EndpointServing)) // made before the operator's change was recorded
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 5}))
	s.input(operateMessage(entryA, "c2", pb.DesiredState_DESIRED_STOPPED, 2))
	s.input(operateMessage(entryB, "c1", pb.DesiredState_DESIRED_DRAINING, 1)) // repeated message
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.input(EngineEnd{Run: 2, Reason: pb.EndReason_END_COMPLETE})
	s.input(ackMessage(entryA, 1, 1, true))
	s.advance(500 * time.Millisecond)
	s.input(ackMessage(entryA, 2, 1, true))
}

func scenarioShutdown(s *session) {
	reserveAndStart(s, entryA, 1, true)
	s.input(Shutdown{})
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.input(ackMessage(entryA, 1, 1, true))
}

func scenarioNewerRevision(s *session) {
	s.input(heartbeatMessage(entryA, 3))
	s.input(heartbeatMessage(entryB, 3))
	s.advance(1100 * time.Millisecond)
	s.input(heartbeatMessage(entryB, 3))
	s.input(endpointConfig(3, domain.EndpointServing))
	s.input(endpointConfig(2, domain.EndpointDraining)) // older revision: ignored
	s.input(heartbeatMessage(entryA, 3))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 1}))
}

// fillSlots starts runs of calls 101 and 102, of tier 0, in both slots.
func fillSlots(s *session) {
	reserveAndStart(s, entryA, 101, true)
	reserveAndStart(s, entryA, 102, false)
}

func scenarioHigherTierDisplaces(s *session) {
	s.core.cfg.MaxQueued = 2
	fillSlots(s)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 1, Tier: 2, SlackMs: 100}))
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 2, Tier: 1, SlackMs: 100}))
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 3, Tier: 0, SlackMs: 100}))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 4, Tier: 2, SlackMs: 100}))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 5, Tier: 0, SlackMs: 100}))
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
}

// The starvation guard serves a class whose reservation was refused because the queue was
// full of higher tiers.
func scenarioQueueFullOfHigherTiers(s *session) {
	s.core.cfg.MaxQueued = 2
	fillSlots(s)
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 1, Tier: 0, SlackMs: 100, Class: 1}))
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 2, Tier: 0, SlackMs: 100, Class: 1}))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 50, Tier: 2, SlackMs: 100, Class: 2}))
	for call := uint64(3); call < 22; call++ { // more grants than GuardMinGap
		s.input(EngineEnd{Run: RunID(call - 2), Reason: pb.EndReason_END_COMPLETE})
		s.input(handOverMessage(entryB, &pb.HandOver{Call: call - 2, Nonce: call}))
		s.input(reserveMessage(entryB, &pb.Reserve{Call: call, Tier: 0, SlackMs: 100, Class: 1}))
	}
}

// The starvation guard serves a call of tier 2 during a burst of tier 0.
func scenarioBurstOfOneClass(s *session) {
	fillSlots(s)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 50, Tier: 2, SlackMs: 100, Class: 2}))
	for call := uint64(1); call < 20; call++ { // more grants than GuardMinGap
		s.input(reserveMessage(entryB, &pb.Reserve{Call: call, Tier: 0, SlackMs: 100, Class: 1}))
		s.input(EngineEnd{Run: RunID(call), Reason: pb.EndReason_END_COMPLETE})
		s.input(handOverMessage(entryB, &pb.HandOver{Call: call, Nonce: call + 2}))
	}
}

func scenarioPreemption(s *session) {
	for call := uint64(1); call <= 2; call++ {
		s.input(reserveMessage(entryA, &pb.Reserve{Call: call, Tier: 2, SlackMs: 5000}))
		s.input(handOverMessage(entryA, &pb.HandOver{Call: call, Nonce: call, Idempotent: true, Preemptible: call == 2}))
		s.advance(10 * time.Millisecond)
	}
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 3, Tier: 2, SlackMs: 100})) // does not preempt its own tier
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 4, Tier: 0, SlackMs: 100}))
	s.input(EngineEnd{Run: 2, Reason: pb.EndReason_END_CANCELLED})
}

func scenarioUnreachableEndpoint(s *session) {
	reserveAndStart(s, entryA, 1, true)
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_NOT_SENT, Message: "connection refused"})
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 2}))
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 3}))
	s.advance(260 * time.Millisecond) // one slot to probe the endpoint
	s.input(handOverMessage(entryA, &pb.HandOver{Call: 2, Nonce: 2, Idempotent: true}))
	s.input(EngineData{Run: 2, Data: []byte("a"), Tokens: 1})
}

func scenarioLateAnswerNotWanted(s *session) {
	fillSlots(s)
	late := reserveMessage(entryA, &pb.Reserve{Call: 1, SlackMs: 100})
	late.Message.GetReserve().LateOk = false
	s.input(late)
	s.input(reserveMessage(entryA, &pb.Reserve{Call: 2, SlackMs: 100}))
	s.advance(200 * time.Millisecond)
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
}

func scenarioUnackedFramesFillMemory(s *session) {
	s.core.cfg.MaxUnackedBytes = 500
	reserveAndStart(s, entryA, 1, true)
	reserveAndStart(s, entryB, 2, true)
	s.input(EntryDown{Peer: entryA})
	s.input(EngineData{Run: 2, Data: []byte("b")})
	s.input(EngineData{Run: 1, Data: make([]byte, 300)})
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_CANCELLED})
	s.input(EntryUp{Peer: entryA})
	s.input(ackMessage(entryA, 1, 0, false))
	s.input(EntryDown{Peer: entryA})
	s.advance(16 * time.Second)
	s.input(EngineData{Run: 2, Data: []byte("c")})
	s.input(EntryUp{Peer: entryA})
	s.input(ackMessage(entryA, 1, 0, false)) // frames were dropped while entry A was gone
}

// The endpoint becomes 20 times slower during two runs. The limit falls, so the end of a
// run does not cause a grant until the endpoint has recovered.
func scenarioSlowEndpoint(s *session) {
	s.core.cfg.ResendTimeout = time.Hour // this scenario sends no acknowledgements
	s.core.load = newLoadState(Config{Slots: 2, MinSlots: 1, MaxSlots: 2})
	reserveAndStart(s, entryA, 1, true)
	reserveAndStart(s, entryA, 2, true)
	streamTokens := func(n int, interval time.Duration) {
		s.input(reserveMessage(entryB, &pb.Reserve{Call: 3, SlackMs: 60000}))
		for range n {
			s.advance(interval)
			s.core.Step(s.now, EngineData{Run: 1, Data: []byte("a"), Tokens: 1})
			s.core.Step(s.now, EngineData{Run: 2, Data: []byte("a"), Tokens: 1})
			s.core.Take()
		}
		s.record("=", fmt.Sprintf("%d slots", s.core.slotLimit()))
	}
	streamTokens(100, 20*time.Millisecond)
	streamTokens(8, 400*time.Millisecond)
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	streamTokens(150, 20*time.Millisecond)
}
