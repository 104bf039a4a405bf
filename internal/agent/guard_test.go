package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	started      = pb.StartState_STARTED
	neverStarted = pb.StartState_NEVER_STARTED
	forgotten    = pb.StartState_FORGOTTEN
)

// Call 1 of entry A holds the grant with nonce 1, as call 2 does with nonce 2.
// Each hand-over but the good ones lacks one thing that the acceptance rule asks for.
func TestHandOverGuards(t *testing.T) {
	good := func() *pb.HandOver { return &pb.HandOver{Call: 1, Nonce: 1} }
	end := EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE}
	cases := []struct {
		name   string
		before []Input
		pause  time.Duration
		peer   Peer
		hand   *pb.HandOver
		word   pb.StartState
		starts int
	}{
		{"good", nil, 0, entryA, good(), started, 1},
		{"just before expiry", nil, 250*time.Millisecond - 1, entryA, good(), started, 1},
		{"at expiry", nil, 250 * time.Millisecond, entryA, good(), neverStarted, 0},
		{"repeat", []Input{handOverOf(entryA, good())}, 0, entryA, good(), started, 0},
		{"nonce used by another call", []Input{handOverOf(entryA, good())}, 0, entryA, &pb.HandOver{Call: 3, Nonce: 1}, neverStarted, 0},
		{"nonce of another grant", nil, 0, entryA, &pb.HandOver{Call: 1, Nonce: 2}, neverStarted, 0},
		{"another attempt", nil, 0, entryA, &pb.HandOver{Call: 1, Attempt: 2, Nonce: 1}, neverStarted, 0},
		{"another entry", nil, 0, entryB, good(), neverStarted, 0},
		{"earlier incarnation", nil, 0, entryA, &pb.HandOver{Call: 1, Nonce: 1, Incarnation: testIncarnation - 1}, forgotten, 0},
		{"after withdraw", []Input{withdrawOf(entryA, 1)}, 0, entryA, good(), neverStarted, 0},
		{"after revoke", []Input{revokeOf(entryA, 1, 1)}, 0, entryA, good(), neverStarted, 0},
		{"reserved again after revoke", []Input{revokeOf(entryA, 1, 1), reserveOf(entryA, &pb.Reserve{Call: 1})}, 0,
			entryA, &pb.HandOver{Call: 1, Nonce: 3}, neverStarted, 0},
		{"run forgotten", []Input{handOverOf(entryA, good()), end, ackOf(entryA, 1, 1, true)}, 10 * time.Minute, entryA, good(), forgotten, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSession(t, 2)
			s.in(reserveOf(entryA, &pb.Reserve{Call: 1}))
			s.in(reserveOf(entryA, &pb.Reserve{Call: 2}))
			for _, in := range tc.before {
				s.in(in)
			}
			s.pause(tc.pause)
			if tc.pause >= time.Minute {
				s.in(EntryUp{Peer: tc.peer}) // ticks, so that records are dropped
			}
			out := s.in(handOverOf(tc.peer, tc.hand))
			assert.Equal(t, handOverWord(out), tc.word)
			assert.Equal(t, starts(out), tc.starts)
		})
	}
}

// Where the limit has fallen below the slots held, one preemption frees no slot,
// so it would waste work for nothing.
func TestNoPreemptionAboveLimit(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Incarnation = testIncarnation
	cfg.Slots = 2
	s := newSessionOf(t, cfg)
	for call := uint64(1); call <= 2; call++ {
		s.in(reserveOf(entryA, &pb.Reserve{Call: call, Tier: 2}))
		s.in(handOverOf(entryA, &pb.HandOver{Call: call, Nonce: call, Idempotent: true, Preemptible: true}))
	}
	s.core.load.limit.RecordFailure()
	s.wait(time.Second)
	assert.Equal(t, s.core.slotLimit(), 1)
	s.in(reserveOf(entryB, &pb.Reserve{Call: 3, SlackMs: 200}))
	assert.Assert(t, !s.core.preempting())
	s.in(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	assert.Assert(t, s.core.preempting())
}

// An order that was given before the endpoint's declaration last changed may
// have been sent late, and must not undo what came after it.
func TestAStaleOrderIsNotTaken(t *testing.T) {
	s := newSession(t, 1)
	config := endpointConfig(5, domain.EndpointServing)
	config.Changed = 5
	s.in(config)
	s.in(operateOf(entryA, "late", pb.DesiredState_DESIRED_DRAINING, 4))
	assert.Equal(t, s.core.desired.state().String(), "serving")
	s.in(operateOf(entryA, "new", pb.DesiredState_DESIRED_DRAINING, 5))
	assert.Equal(t, s.core.desired.state().String(), "draining")
}
