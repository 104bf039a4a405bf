package agent

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// If the limit has fallen below the number of held slots, one preemption does not make a
// slot available and would only waste work.
func TestNoPreemptionAboveLimit(t *testing.T) {
	cfg := DefaultConfig()
	cfg.Incarnation = testIncarnation
	cfg.Slots = 2
	s := newSessionWithConfig(t, cfg)
	for call := uint64(1); call <= 2; call++ {
		s.input(reserveMessage(entryA, &pb.Reserve{Call: call, Tier: 2}))
		s.input(handOverMessage(entryA, &pb.HandOver{Call: call, Nonce: call, Idempotent: true, Preemptible: true}))
	}
	s.core.load.limit.RecordFailure()
	s.advance(time.Second)
	assert.Equal(t, s.core.slotLimit(), 1)
	s.input(reserveMessage(entryB, &pb.Reserve{Call: 3, SlackMs: 200}))
	assert.Assert(t, !s.core.preempting())
	s.input(EngineEnd{Run: 1, Reason: pb.EndReason_END_COMPLETE})
	assert.Assert(t, s.core.preempting())
}
