package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	started      = pb.StartState_STARTED
	neverStarted = pb.StartState_NEVER_STARTED
	forgotten    = pb.StartState_FORGOTTEN
)

// Calls 1 and 2 of entry A hold the grants with nonces 1 and 2. Each hand-over that is
// not accepted violates one condition of handleHandOver.
func TestHandOverConditions(t *testing.T) {
	valid := func() *pb.HandOver { return &pb.HandOver{Call: 1, Nonce: 1} }
	end := EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE}
	cases := []struct {
		name       string
		before     []Input
		pause      time.Duration
		peer       Peer
		handOver   *pb.HandOver
		want       pb.StartState
		startCount int
	}{
		{"good", nil, 0, entryA, valid(), started, 1},
		{"just before expiry", nil, 250*time.Millisecond - 1, entryA, valid(), started, 1},
		{"at expiry", nil, 250 * time.Millisecond, entryA, valid(), neverStarted, 0},
		{"repeat", []Input{handOverMessage(entryA, valid())}, 0, entryA, valid(), started, 0},
		{"nonce used by another call", []Input{handOverMessage(entryA, valid())}, 0, entryA, &pb.HandOver{Call: 3, Nonce: 1}, neverStarted, 0},
		{"nonce of another grant", nil, 0, entryA, &pb.HandOver{Call: 1, Nonce: 2}, neverStarted, 0},
		{"another attempt", nil, 0, entryA, &pb.HandOver{Call: 1, Attempt: 2, Nonce: 1}, neverStarted, 0},
		{"another entry", nil, 0, entryB, valid(), neverStarted, 0},
		{"earlier incarnation", nil, 0, entryA, &pb.HandOver{Call: 1, Nonce: 1, Incarnation: testIncarnation - 1}, forgotten, 0},
		{"after withdraw", []Input{withdrawMessage(entryA, 1)}, 0, entryA, valid(), neverStarted, 0},
		{"after revoke", []Input{revokeMessage(entryA, 1, 1)}, 0, entryA, valid(), neverStarted, 0},
		{"reserved again after revoke", []Input{revokeMessage(entryA, 1, 1), reserveMessage(entryA, &pb.Reserve{Call: 1})}, 0,
			entryA, &pb.HandOver{Call: 1, Nonce: 3}, neverStarted, 0},
		{"record of the run dropped", []Input{handOverMessage(entryA, valid()), end, ackMessage(entryA, 1, 1, true)}, 10 * time.Minute, entryA, valid(), forgotten, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newSession(t, 2)
			s.input(reserveMessage(entryA, &pb.Reserve{Call: 1}))
			s.input(reserveMessage(entryA, &pb.Reserve{Call: 2}))
			for _, input := range tc.before {
				s.input(input)
			}
			s.pause(tc.pause)
			if tc.pause >= time.Minute {
				s.input(EntryUp{Peer: tc.peer}) // the tick drops old records
			}
			out := s.input(handOverMessage(tc.peer, tc.handOver))
			assert.Equal(t, handOverState(out), tc.want)
			assert.Equal(t, startCount(out), tc.startCount)
		})
	}
}
