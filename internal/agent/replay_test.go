package agent

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// timedInput is one step of a recording. A nil input is a tick.
type timedInput struct {
	now domain.Instant
	in  Input
}

// applyInput passes one step of a recording to a core and returns the outputs.
func applyInput(core *Core, r timedInput) []Output {
	if r.in == nil {
		core.Tick(r.now)
	} else {
		core.Step(r.now, r.in)
	}
	return core.Take()
}

// replay runs a recording on a new core and returns its serialized outputs.
func replay(t assert.TestingT, cfg Config, recording []timedInput) []byte {
	core := New(cfg)
	var log []byte
	for _, r := range recording {
		for _, out := range applyInput(core, r) {
			send, ok := out.(SendEntry)
			if !ok {
				log = fmt.Appendf(log, "%T %v\n", out, out)
				continue
			}
			log = fmt.Append(log, send.Peer)
			var err error
			log, err = proto.MarshalOptions{Deterministic: true}.MarshalAppend(log, send.Message)
			assert.NilError(t, err)
		}
	}
	return log
}

// BenchmarkDecision measures one grant from a queue of constant length: the granted run
// ends at once, and a new reservation is queued.
func BenchmarkDecision(b *testing.B) {
	for _, queued := range []int{10, 100, 860} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			cfg := DefaultConfig()
			cfg.Incarnation = testIncarnation
			cfg.ReservationTTL = time.Hour
			cfg.EntryGracePeriod = time.Hour
			cfg.Slots, cfg.MinSlots, cfg.MaxSlots = 1, 1, 1
			core := New(cfg)
			now := domain.Instant(time.Second)
			peers := []Peer{entryA, entryB}
			core.Step(now, endpointConfig(1, domain.EndpointServing))
			core.Step(now, EntryUp{Peer: entryA})
			core.Step(now, EntryUp{Peer: entryB})
			call := uint64(0)
			reserve := func() {
				call++
				core.Step(now, reserveMessage(peers[call%2], &pb.Reserve{
					Call: call, Tier: uint32(call % 4), Class: uint32(call % 6), Account: uint32(call % 10), SlackMs: int64(call*37%5000) + 1000,
				}))
			}
			for range queued {
				reserve()
			}
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Millisecond)
				core.Tick(now)
				nonce := uint64(core.lastNonce)
				for key := range core.grants.all {
					core.Step(now, handOverMessage(key.peer, &pb.HandOver{Call: uint64(key.call), Nonce: nonce}))
					core.Step(now, EngineEnd{Run: RunID(i + 1), Reason: pb.EndReason_END_COMPLETE})
					core.Step(now, ackMessage(key.peer, uint64(key.call), 1, true))
				}
				core.Take()
				reserve()
			}
			b.StopTimer()
			assert.Equal(b, core.reservations.len(), queued)
		})
	}
}
