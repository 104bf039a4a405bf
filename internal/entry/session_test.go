package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestCompleteCall(t *testing.T) {
	s := newSession(t, newTestConfig("d1", "d2"), "d1", "d2")
	s.input(deskCall(1, "kiosk"))
	s.advance(30 * time.Millisecond)
	a := s.grantAndStart(1, 1)
	s.fromAgent(a, dataFrame(1, 1, 2, "world"))
	s.fromAgent(a, dataFrame(1, 1, 1, "hello "))
	s.fromAgent(a, dataFrame(1, 1, 1, "hello "))
	s.advance(60 * time.Millisecond)
	s.fromAgent(a, dataFrame(1, 2, 3, "other attempt"))
	s.fromAgent(a, dataFrame(9, 1, 3, "other call"))
	s.fromAgent(a, endFrame(1, 1, 3, pb.EndReason_END_COMPLETE, "hello world"))
	s.fromAgent(a, endFrame(1, 1, 3, pb.EndReason_END_COMPLETE, "hello world"))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Equal(t, s.received(1), "hello world")
	assert.Assert(t, s.core.Idle())
	s.golden("whole-call")
}

func TestNoGrantInTime(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.fromAgent("d1", &pb.ReserveReply{Call: 1, Attempt: 1, Reason: pb.RefuseReason_REFUSE_FULL, RetryAfterMs: 9000})
	s.advance(2500 * time.Millisecond)
	s.fromAgent("d1", &pb.AgentHeartbeat{Slots: 4, Queued: 19, ServiceUs: 400_000})
	s.advance(2500 * time.Millisecond)
	end := s.end(1)
	assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
	assert.Equal(t, end.Failure.Code, CodeOverloaded)
	assert.Equal(t, end.RetryAfter, 2*time.Second)
	s.golden("no-grant-in-time")
}

func TestCallerGone(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.input(CallerGone{Call: 1})
	s.input(deskCall(2, "kiosk"))
	a := s.grantAndStart(2, 1)
	s.input(CallerGone{Call: 2})
	s.fromAgent(a, dataFrame(2, 1, 1, "late"))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeNotRun)
	assert.Equal(t, s.end(2).Outcome, domain.OutcomeUnknown)
	assert.Equal(t, s.received(2), "")
	s.golden("caller-gone")
}

func TestSilentAgent(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	a := s.grantAndStart(1, 1)
	s.fromAgent(a, dataFrame(1, 1, 1, "hello "))
	s.advance(3 * time.Second)
	s.input(AgentUp{Agent: a, Incarnation: 1})
	s.fromAgent(a, dataFrame(1, 1, 2, "world"))
	s.fromAgent(a, endFrame(1, 1, 3, pb.EndReason_END_COMPLETE, "hello world"))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	s.golden("silent-agent")
}

// TestSilentAnswersStream covers a failed Answers stream while Control carries heartbeats.
func TestSilentAnswersStream(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	a := s.grantAndStart(1, 1)
	sendHeartbeats := func(seconds int) {
		for range 2 * seconds {
			if !s.core.agents.byID[a].connected {
				return // the core replaces the connection; DisconnectTimeout must not pass before AgentUp
			}
			s.advance(500 * time.Millisecond)
			s.fromAgent(a, &pb.AgentHeartbeat{FreeSlots: 3, Slots: 4})
		}
	}
	sendHeartbeats(2)
	s.fromAgent(a, &pb.HandOverReply{Call: 1, Attempt: 1, State: pb.StartState_STARTED}) // a late reply counts
	sendHeartbeats(4)
	s.input(AgentUp{Agent: a, Incarnation: 1}) // a new connection restarts the timeout
	sendHeartbeats(4)
	assert.Assert(t, s.core.agents.byID[a].connected)
	sendHeartbeats(2)
	assert.Assert(t, !s.core.agents.byID[a].connected)
	s.input(AgentUp{Agent: a, Incarnation: 1})
	s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_COMPLETE, ""))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	s.golden("silent-answers")
}

// TestSilentControlStream covers a failed Control stream while Answers carries frames.
func TestSilentControlStream(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	a := s.grantAndStart(1, 1)
	for seq := uint64(1); seq <= 8; seq++ {
		s.advance(500 * time.Millisecond)
		s.fromAgent(a, dataFrame(1, 1, seq, "x"))
	}
	assert.Assert(t, !s.core.agents.byID[a].connected)
}

func TestShutdownRefusesNewCallsAndFinishesOthers(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.input(Shutdown{})
	s.input(deskCall(2, "kiosk"))
	assert.Equal(t, s.end(2).Failure.Code, CodeShuttingDown)
	assert.Assert(t, !s.core.Idle())
	a := s.grantAndStart(1, 1)
	s.fromAgent(a, endFrame(1, 1, 1, pb.EndReason_END_COMPLETE, ""))
	assert.Equal(t, s.end(1).Outcome, domain.OutcomeComplete)
	assert.Assert(t, s.core.Idle())
}
