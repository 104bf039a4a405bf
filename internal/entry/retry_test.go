package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestBrokenStreamResumesOnAnotherAgent(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	first := s.grantAndStart(1, 1)
	s.fromAgent(first, dataFrame(1, 1, 1, "hello "))
	s.fromAgent(first, endFrame(1, 1, 2, pb.EndReason_END_BROKEN, "hello "))
	second := s.grantAndStart(1, 2)
	assert.Assert(t, first != second)
	_, m := s.lastHandOver(1)
	assert.Equal(t, m.GetResumeText(), "hello ")
	assert.Equal(t, m.GetResumeTokens(), uint32(1))
	s.fromAgent(first, dataFrame(1, 1, 2, "crossed"))
	s.fromAgent(second, dataFrame(1, 2, 1, "world"))
	s.fromAgent(second, endFrame(1, 2, 2, pb.EndReason_END_COMPLETE, "world"))
	assert.Equal(t, s.received(1), "hello world")
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Equal(t, s.end(1).AnswerTokens, uint32(2))
	s.golden("broken-stream")
}

func TestDisconnectedAgentBeforeFirstToken(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	first := s.grantAndStart(1, 1)
	s.input(AgentDown{Agent: first})
	s.advance(510 * time.Millisecond)
	second := s.grantAndStart(1, 2)
	assert.Assert(t, first != second)
	s.fromAgent(second, endFrame(1, 2, 1, pb.EndReason_END_COMPLETE, ""))
	s.input(AgentUp{Agent: first, Incarnation: 1})
	s.fromAgent(first, dataFrame(1, 1, 1, "late"))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Equal(t, s.received(1), "")
	s.golden("lost-agent")
}

func TestDisconnectedAgentIsAwaitedWithoutRetries(t *testing.T) {
	config := newTestConfig("d1", "d2")
	singleAttempt := config.classes["kiosk"]
	singleAttempt.Retry.Attempts = 1
	config.classes["kiosk"] = singleAttempt
	s := newSession(t, config, "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	a := s.grantAndStart(1, 1)
	s.input(AgentDown{Agent: a})
	s.advance(10 * time.Second)
	s.input(AgentUp{Agent: a, Incarnation: 1})
	s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_COMPLETE, ""))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
}

func TestExhaustedRetriesEndUnknown(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	for attempt := uint32(1); attempt <= 3; attempt++ {
		a := s.grantAndStart(1, uint64(attempt))
		s.fromAgent(a, endFrame(1, attempt, 1, pb.EndReason_END_BROKEN, ""))
		s.advance(600 * time.Millisecond)
	}
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeUnknown)
	assert.Equal(t, s.handOvers(1), 3)
}

func TestCorruptedAnswerEndsPartial(t *testing.T) {
	missingFrame := endFrame(1, 1, 2, pb.EndReason_END_COMPLETE, "hello")
	missingFrame.GetEnd().Frames = 2
	for _, end := range []*pb.Frame{endFrame(1, 1, 2, pb.EndReason_END_COMPLETE, "other"), missingFrame} {
		s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
		s.input(deskCall(1, "kiosk"))
		a := s.grantAndStart(1, 1)
		s.fromAgent(a, dataFrame(1, 1, 1, "hello"))
		s.fromAgent(a, end)
		assert.Equal(t, s.end(1).Outcome, domain.OutcomePartial)
		assert.Equal(t, s.end(1).Failure.Code, CodeAnswerInterrupted)
		assert.Equal(t, s.handOvers(1), 1)
	}
}

// TestNonIdempotentCallRunsOnce checks the events that can follow the hand-over of
// a non-idempotent call.
func TestNonIdempotentCallRunsOnce(t *testing.T) {
	tests := []struct {
		name      string
		event     func(s *session, a domain.EndpointID)
		outcome   domain.Outcome // none while the call is open
		handOvers int
	}{
		{"never started", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, &pb.HandOverReply{Call: 1, Attempt: 1, State: pb.StartState_NEVER_STARTED})
			s.advance(time.Second)
			s.grantAndStart(1, 2)
		}, domain.OutcomeNone, 2},
		{"never started, of another incarnation", func(s *session, a domain.EndpointID) {
			s.input(AgentMessage{Agent: a, Incarnation: 2,
				Message: toEntryMessage(&pb.HandOverReply{Call: 1, Attempt: 1, State: pb.StartState_NEVER_STARTED})})
			s.advance(time.Second)
			_, attempt := s.lastReservation(1)
			assert.Equal(s.t, attempt, uint32(1))
		}, domain.OutcomeNone, 1},
		{"never started, after it had started", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, &pb.HandOverReply{Call: 1, Attempt: 1, State: pb.StartState_STARTED})
			s.fromAgent(a, &pb.RevokeReply{Call: 1, Attempt: 1, State: pb.StartState_NEVER_STARTED})
			_, attempt := s.lastReservation(1)
			assert.Equal(s.t, attempt, uint32(1))
		}, domain.OutcomeNone, 1},
		{"forgotten", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, &pb.RevokeReply{Call: 1, Attempt: 1, State: pb.StartState_FORGOTTEN})
			s.advance(time.Second)
		}, domain.OutcomeUnknown, 1},
		{"restarted", func(s *session, a domain.EndpointID) {
			s.input(AgentUp{Agent: a, Incarnation: 2})
			s.advance(time.Second)
		}, domain.OutcomeUnknown, 1},
		{"lost for 19 s", func(s *session, a domain.EndpointID) {
			s.input(AgentDown{Agent: a})
			s.advance(19 * time.Second)
		}, domain.OutcomeNone, 1},
		{"lost for 21 s", func(s *session, a domain.EndpointID) {
			s.input(AgentDown{Agent: a})
			s.advance(21 * time.Second)
		}, domain.OutcomeUnknown, 1},
		{"broken", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_BROKEN, ""))
			s.advance(time.Second)
		}, domain.OutcomeUnknown, 1},
		{"not sent", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_NOT_SENT, ""))
			s.advance(time.Second)
			s.grantAndStart(1, 2)
		}, domain.OutcomeNone, 2},
		{"invalid", func(s *session, a domain.EndpointID) {
			s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_INVALID, ""))
		}, domain.OutcomeNotRun, 1},
		{"cut", func(s *session, a domain.EndpointID) { // broken after the head
			s.fromAgent(a, headFrame(1, 1, 200))
			s.fromAgent(a, endFrame(1, 1, 2, pb.EndReason_END_BROKEN, ""))
			s.advance(time.Second)
		}, domain.OutcomePartial, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSession(t, newTestConfig("t1", "t2"), "t1", "t2")
			s.input(ticketCall(1, ""))
			a, attempt := s.lastReservation(1)
			s.fromAgent(a, &pb.Grant{Call: 1, Attempt: attempt, Nonce: 1, TtlMs: 250})
			tt.event(s, a)
			got := domain.OutcomeNone
			if end := s.end(1); end != nil {
				got = end.Outcome
			}
			assert.Equal(t, got, tt.outcome)
			assert.Equal(t, s.handOvers(1), tt.handOvers)
		})
	}
}

func TestNoSecondRunAfterLastToken(t *testing.T) {
	tests := []struct {
		name  string
		limit uint32
		event func(s *session, a domain.EndpointID)
	}{
		{"token limit reached, agent restarted", 2, func(s *session, a domain.EndpointID) {
			s.input(AgentUp{Agent: a, Incarnation: 2})
		}},
		{"finished, then broken", 9, func(s *session, a domain.EndpointID) {
			s.fromAgent(a, dataFrame(1, 1, 3, "!"))
			end := endFrame(1, 1, 4, pb.EndReason_END_BROKEN, "hello world!")
			end.GetEnd().FinishReason = "stop"
			s.fromAgent(a, end)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
			input := deskCall(1, "kiosk")
			input.Call.MaxTokens = tt.limit
			s.input(input)
			a := s.grantAndStart(1, 1)
			s.fromAgent(a, dataFrame(1, 1, 1, "hello "))
			s.fromAgent(a, dataFrame(1, 1, 2, "world"))
			tt.event(s, a)
			s.advance(time.Second)
			assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
			assert.Equal(t, s.handOvers(1), 1)
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2", "d3"), "d1", "d2", "d3")
	handOvers := 0
	for id := domain.CallID(1); id <= 40; id++ {
		s.input(deskCall(id, "kiosk"))
		for s.end(id) == nil {
			a, attempt := s.lastReservation(id)
			s.fromAgent(a, &pb.Grant{Call: uint64(id), Attempt: attempt, Nonce: uint64(id), TtlMs: 250})
			s.fromAgent(a, endFrame(uint64(id), attempt, 1, pb.EndReason_END_BROKEN, ""))
			s.advance(10 * time.Millisecond)
		}
		handOvers += s.handOvers(id)
	}
	// The first attempts, the retries by BudgetRatio 0.5, and the budget's 10 initial retries.
	assert.Equal(t, handOvers, 40+40/2+10)
}

func TestTruncatedRuneIsNotResumed(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	a := s.grantAndStart(1, 1)
	s.fromAgent(a, dataFrame(1, 1, 1, "\xec\x84"))
	s.input(AgentUp{Agent: a, Incarnation: 2})
	assert.Equal(t, s.end(1).Outcome, domain.OutcomePartial)
}

// TestPreemptionDoesNotCountAsAttempt preempts a call more often than its retry
// policy has attempts. The call resumes each time, and its last attempt is handed
// over as not preemptible.
func TestPreemptionDoesNotCountAsAttempt(t *testing.T) {
	config := newTestConfig("d1", "d2", "d3")
	class := config.classes["itinerary"]
	class.Preemptible = true
	class.Retry = domain.RetryPolicy{Attempts: 1}
	config.classes["itinerary"] = class
	s := newSession(t, config, "d1", "d2", "d3")
	s.input(deskCall(1, "itinerary"))
	limit := int(s.core.settings.MaxPreemptions)
	var agent domain.EndpointID
	for i := range limit + 1 {
		attempt := domain.Attempt(i + 1)
		agent = s.grantAndStart(1, uint64(attempt))
		s.fromAgent(agent, dataFrame(1, uint32(attempt), 1, "word "))
		assert.Equal(t, s.core.calls.byID[1].preemptions, uint32(i))
		if i < limit {
			s.fromAgent(agent, endFrame(1, uint32(attempt), 2, pb.EndReason_END_PREEMPTED, "word "))
			s.advance(time.Second)
		}
	}
	s.fromAgent(agent, endFrame(1, uint32(limit+1), 2, pb.EndReason_END_COMPLETE, "word "))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Equal(t, s.received(1), "word word word word ")
	s.golden("preempted")
}
