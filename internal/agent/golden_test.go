package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestSession(t *testing.T) {
	sessions := []struct {
		name string
		play func(s *session)
	}{
		{"whole_answer", playWholeAnswer},
		{"lost_connection", playLostConnection},
		{"entry_gone", playEntryGone},
		{"entry_restarted", playEntryRestarted},
		{"crossed_messages", playCrossedMessages},
		{"agent_paused", playAgentPaused},
		{"drain_and_stop", playDrainAndStop},
		{"shutdown", playShutdown},
		{"newer_revision", playNewerRevision},
		{"higher_tier_displaces", playHigherTierDisplaces},
		{"full_of_higher_tiers", playFullOfHigherTiers},
		{"burst_of_one_class", playBurstOfOneClass},
		{"preemption", playPreemption},
		{"unreachable_endpoint", playUnreachableEndpoint},
		{"late_not_wanted", playLateNotWanted},
		{"answers_fill_memory", playAnswersFillMemory},
		{"straggler", playStraggler},
	}
	for _, tc := range sessions {
		t.Run(tc.name, func(t *testing.T) {
			s := newSession(t, 2)
			tc.play(s)
			s.golden()
		})
	}
}

// startRun reserves, hands over and starts one call.
func startRun(s *session, peer Peer, call uint64, idempotent bool) {
	s.in(reserveOf(peer, &pb.Reserve{Call: call, SlackMs: 500}))
	s.in(handOverOf(peer, &pb.HandOver{Call: call, Nonce: uint64(s.core.lastNonce), Idempotent: idempotent}))
}

func playWholeAnswer(s *session) {
	startRun(s, entryA, 1, true)
	s.wait(20 * time.Millisecond)
	s.in(EngineHead{Run: 1, Status: 200})
	s.in(EngineData{Run: 1, Data: []byte("salt"), Tokens: 1})
	s.in(EngineData{Run: 1, Data: []byte(" mine"), Tokens: 1})
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE, FinishReason: "stop", AnswerTokens: 2})
	s.in(ackOf(entryA, 1, 4, true))
	s.wait(2 * time.Second)
}

func playLostConnection(s *session) {
	startRun(s, entryA, 1, true)
	s.in(EngineData{Run: 1, Data: []byte("a"), Tokens: 1})
	s.in(EntryDown{Peer: entryA})
	s.in(EngineData{Run: 1, Data: []byte("b"), Tokens: 1})
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.wait(2 * time.Second)
	s.in(EntryUp{Peer: entryA})
	s.in(ackOf(entryA, 1, 1, false))
	s.wait(1100 * time.Millisecond)
	s.in(ackOf(entryA, 1, 3, true))
	s.wait(1100 * time.Millisecond)
}

func playEntryGone(s *session) {
	startRun(s, entryA, 1, true)
	startRun(s, entryA, 2, false)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 3}))
	s.in(EntryDown{Peer: entryA})
	s.wait(16 * time.Second)
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_CANCELLED})
	s.in(EngineEnd{Run: 2, Reason: pb.EndReason_END_COMPLETE})
}

func playEntryRestarted(s *session) {
	startRun(s, entryA, 1, true)
	startRun(s, entryA, 2, false)
	s.in(EntryUp{Peer: Peer{Entry: entryA.Entry, Incarnation: entryA.Incarnation + 1}})
	s.in(revokeOf(entryA, 1, 1)) // of the old life: nobody hears the answer
}

func playCrossedMessages(s *session) {
	s.in(cancelOf(entryA, 1))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 1}))
	s.in(handOverOf(entryA, &pb.HandOver{Call: 1, Nonce: 1}))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 2}))
	s.in(revokeOf(entryA, 2, 1))
	s.in(handOverOf(entryA, &pb.HandOver{Call: 2, Nonce: 1}))
	startRun(s, entryA, 3, true)
	s.in(revokeOf(entryA, 3, 2))
	s.in(handOverOf(entryA, &pb.HandOver{Call: 3, Nonce: 2}))
	s.in(handOverOf(entryA, &pb.HandOver{Call: 4, Nonce: 1, Incarnation: testIncarnation - 1}))
}

func playAgentPaused(s *session) {
	startRun(s, entryB, 1, true)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 2}))
	s.pause(20 * time.Second)
	s.wait(time.Millisecond) // the run of the entry that could not be heard goes on
	s.in(handOverOf(entryA, &pb.HandOver{Call: 2, Nonce: 2}))
}

func playDrainAndStop(s *session) {
	startRun(s, entryA, 1, false)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 2}))
	s.in(reserveOf(entryB, &pb.Reserve{Call: 3}))
	s.in(operateOf(entryB, "c1", pb.DesiredState_DESIRED_DRAINING, 1))
	s.in(handOverOf(entryA, &pb.HandOver{Call: 2, Nonce: 2, Idempotent: true}))
	s.in(reserveOf(entryB, &pb.Reserve{Call: 4}))
	s.in(endpointConfig(2, domain.EndpointServing)) // another change, made before this one was recorded
	s.in(reserveOf(entryB, &pb.Reserve{Call: 5}))
	s.in(operateOf(entryA, "c2", pb.DesiredState_DESIRED_STOPPED, 2))
	s.in(operateOf(entryB, "c1", pb.DesiredState_DESIRED_DRAINING, 1)) // a repeat
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.in(EngineEnd{Run: 2, Reason: pb.EndReason_END_COMPLETE})
	s.in(ackOf(entryA, 1, 1, true))
	s.wait(500 * time.Millisecond)
	s.in(ackOf(entryA, 2, 1, true))
}

func playShutdown(s *session) {
	startRun(s, entryA, 1, true)
	s.in(Shutdown{})
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	s.in(ackOf(entryA, 1, 1, true))
}

func playNewerRevision(s *session) {
	s.in(heartbeatOf(entryA, 3))
	s.in(heartbeatOf(entryB, 3))
	s.wait(1100 * time.Millisecond)
	s.in(heartbeatOf(entryB, 3))
	s.in(endpointConfig(3, domain.EndpointServing))
	s.in(endpointConfig(2, domain.EndpointDraining)) // never goes back
	s.in(heartbeatOf(entryA, 3))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 1}))
}

// fill takes both slots with calls 101 and 102 of tier 0.
func fill(s *session) {
	startRun(s, entryA, 101, true)
	startRun(s, entryA, 102, false)
}

func playHigherTierDisplaces(s *session) {
	s.core.cfg.MaxQueued = 2
	fill(s)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 1, Tier: 2, SlackMs: 100}))
	s.in(reserveOf(entryB, &pb.Reserve{Call: 2, Tier: 1, SlackMs: 100}))
	s.in(reserveOf(entryB, &pb.Reserve{Call: 3, Tier: 0, SlackMs: 100}))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 4, Tier: 2, SlackMs: 100}))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 5, Tier: 0, SlackMs: 100}))
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
}

// A class that finds the queue full of higher tiers is served by the guard all the same.
func playFullOfHigherTiers(s *session) {
	s.core.cfg.MaxQueued = 2
	fill(s)
	s.in(reserveOf(entryB, &pb.Reserve{Call: 1, Tier: 0, SlackMs: 100, Class: 1}))
	s.in(reserveOf(entryB, &pb.Reserve{Call: 2, Tier: 0, SlackMs: 100, Class: 1}))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 50, Tier: 2, SlackMs: 100, Class: 2}))
	for call := uint64(3); call < 22; call++ {
		s.in(EngineEnd{Run: RunID(call - 2), Reason: pb.EndReason_END_COMPLETE})
		s.in(handOverOf(entryB, &pb.HandOver{Call: call - 2, Nonce: call}))
		s.in(reserveOf(entryB, &pb.Reserve{Call: call, Tier: 0, SlackMs: 100, Class: 1}))
	}
}

// A tier 2 call waits through a burst of tier 0 and is served by the guard.
func playBurstOfOneClass(s *session) {
	fill(s)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 50, Tier: 2, SlackMs: 100, Class: 2}))
	for call := uint64(1); call < 20; call++ {
		s.in(reserveOf(entryB, &pb.Reserve{Call: call, Tier: 0, SlackMs: 100, Class: 1}))
		s.in(EngineEnd{Run: RunID(call), Reason: pb.EndReason_END_COMPLETE})
		s.in(handOverOf(entryB, &pb.HandOver{Call: call, Nonce: call + 2}))
	}
}

func playPreemption(s *session) {
	for call := uint64(1); call <= 2; call++ {
		s.in(reserveOf(entryA, &pb.Reserve{Call: call, Tier: 2, SlackMs: 5000}))
		s.in(handOverOf(entryA, &pb.HandOver{Call: call, Nonce: call, Idempotent: true, Preemptible: call == 2}))
		s.wait(10 * time.Millisecond)
	}
	s.in(reserveOf(entryA, &pb.Reserve{Call: 3, Tier: 2, SlackMs: 100})) // not for the same tier
	s.in(reserveOf(entryB, &pb.Reserve{Call: 4, Tier: 0, SlackMs: 100}))
	s.in(EngineEnd{Run: 2, Reason: pb.EndReason_END_CANCELLED})
}

func playUnreachableEndpoint(s *session) {
	startRun(s, entryA, 1, true)
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_NOT_SENT, Message: "connection refused"})
	s.in(reserveOf(entryA, &pb.Reserve{Call: 2}))
	s.in(reserveOf(entryA, &pb.Reserve{Call: 3}))
	s.wait(260 * time.Millisecond) // one probe
	s.in(handOverOf(entryA, &pb.HandOver{Call: 2, Nonce: 2, Idempotent: true}))
	s.in(EngineData{Run: 2, Data: []byte("a"), Tokens: 1})
}

func playLateNotWanted(s *session) {
	fill(s)
	late := reserveOf(entryA, &pb.Reserve{Call: 1, SlackMs: 100})
	late.Message.GetReserve().LateOk = false
	s.in(late)
	s.in(reserveOf(entryA, &pb.Reserve{Call: 2, SlackMs: 100}))
	s.wait(200 * time.Millisecond)
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
}

func playAnswersFillMemory(s *session) {
	s.core.cfg.MaxUnackedBytes = 500
	startRun(s, entryA, 1, true)
	startRun(s, entryB, 2, true)
	s.in(EntryDown{Peer: entryA})
	s.in(EngineData{Run: 2, Data: []byte("b")})
	s.in(EngineData{Run: 1, Data: make([]byte, 300)})
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_CANCELLED})
	s.in(EntryUp{Peer: entryA})
	s.in(ackOf(entryA, 1, 0, false))
	s.in(EntryDown{Peer: entryA})
	s.wait(16 * time.Second)
	s.in(EngineData{Run: 2, Data: []byte("c")})
	s.in(EntryUp{Peer: entryA})
	s.in(ackOf(entryA, 1, 0, false)) // dropped: entry A was gone
}

// The endpoint slows down twentyfold under two runs. The limit falls, so that
// the end of a run does not let the next reservation in, until the endpoint recovers.
func playStraggler(s *session) {
	s.core.cfg.ResendTimeout = time.Hour // the session acknowledges nothing
	s.core.load = newLoadState(Config{Slots: 2, MinSlots: 1, MaxSlots: 2})
	startRun(s, entryA, 1, true)
	startRun(s, entryA, 2, true)
	tokens := func(n int, every time.Duration) {
		s.in(reserveOf(entryB, &pb.Reserve{Call: 3, SlackMs: 60000}))
		for range n {
			s.wait(every)
			s.core.Step(s.now, EngineData{Run: 1, Data: []byte("a"), Tokens: 1})
			s.core.Step(s.now, EngineData{Run: 2, Data: []byte("a"), Tokens: 1})
			s.core.Take()
		}
		s.note("=", fmt.Sprintf("%d slots", s.core.slotLimit()))
	}
	tokens(100, 20*time.Millisecond)
	tokens(8, 400*time.Millisecond)
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	tokens(150, 20*time.Millisecond)
}
