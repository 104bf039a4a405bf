package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func TestLowestTierIsShedFirst(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.core.settings.MaxWaitingCalls = 2
	s.input(deskCall(1, "itinerary"))
	s.input(deskCall(2, "itinerary"))
	s.input(deskCall(3, "itinerary")) // the newest call of the lowest tier
	s.input(deskCall(4, "kiosk"))     // sheds the newest call of the lowest tier
	s.input(deskCall(5, "kiosk"))
	s.input(deskCall(6, "kiosk")) // no call of a lower tier waits
	for _, id := range []domain.CallID{1, 2, 3, 6} {
		assert.Equal(t, s.end(id).Outcome, domain.OutcomeNotRun)
		assert.Equal(t, s.end(id).Failure.Code, CodeOverloaded)
		assert.Assert(t, s.end(id).RetryAfter > 0)
	}
	assert.Assert(t, s.end(4) == nil && s.end(5) == nil)
	assert.Equal(t, s.core.WaitingCalls(), 2)
	s.grantAndStart(4, 1)
	s.input(deskCall(7, "itinerary"))
	assert.Assert(t, s.end(7) == nil)
	s.golden("shed")
}

func TestTooLargeCallShedsNoOther(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.core.settings.MaxWaitingBytes = 10_000
	s.input(deskCall(1, "itinerary"))
	large := deskCall(2, "kiosk")
	large.Call.Body = make([]byte, 10_000)
	s.input(large)
	assert.Equal(t, s.end(2).Failure.Code, CodeOverloaded)
	assert.Assert(t, s.end(1) == nil)
}

func TestRefusingAgentIsSkippedUntilHeartbeat(t *testing.T) {
	s := newSession(t, newTestConfig("d1"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.fromAgent("d1", &pb.ReserveReply{Call: 1, Attempt: 1, Reason: pb.RefuseReason_REFUSE_DRAINING})
	s.input(deskCall(2, "kiosk"))
	s.advance(time.Second)
	assert.Equal(t, len(s.reservedAgents(1))+len(s.reservedAgents(2)), 1)
	s.fromAgent("d1", &pb.AgentHeartbeat{FreeSlots: 1, Slots: 4})
	s.advance(time.Second)
	assert.Equal(t, len(s.reservedAgents(1))+len(s.reservedAgents(2)), 3)
}

// TestNoCallIsShedForALowerTier admits, hands over and sheds calls of random tiers
// and sizes, and compares the tier of each shed call with those of all waiting calls.
func TestNoCallIsShedForALowerTier(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := newTestConfig("d1")
		for tier := domain.Tier(0); tier < domain.TierCount; tier++ {
			name := domain.ClassName(rune('a' + tier))
			config.classes[name] = domain.Class{Name: name, Service: "desk", Tier: tier, MaxWait: time.Hour}
		}
		cfg := DefaultConfig()
		cfg.EntryID, cfg.Incarnation, cfg.MaxWaitingCalls, cfg.MaxWaitingBytes = "e1", 1, 6, 20_000
		core := New(cfg)
		core.Step(1, NewConfig{Config: config})
		core.Step(1, AgentUp{Agent: "d1", Incarnation: 1})
		waiting := map[domain.CallID]domain.Tier{}
		sizes := map[domain.CallID]int{}
		for id := domain.CallID(1); id <= 40; id++ {
			tier := domain.Tier(rapid.IntRange(0, domain.TierCount-1).Draw(t, "tier"))
			call := deskCall(id, domain.ClassName(rune('a'+tier)))
			call.Call.Body = make([]byte, rapid.IntRange(0, 8000).Draw(t, "size"))
			waiting[id] = tier
			sizes[id] = callOverhead + len(call.Call.Body)
			core.Step(1, call)
			core.Tick(1)
			var shed []domain.CallID
			for _, out := range core.Take() {
				if end, ok := out.(CallerEnd); ok {
					shed = append(shed, end.Call)
				}
			}
			for _, s := range shed {
				shedTier := waiting[s]
				if s == id && bytesDownTo(waiting, sizes, shedTier) > cfg.MaxWaitingBytes {
					delete(waiting, s)
					continue // shedding all lower tiers would not free enough bytes
				}
				delete(waiting, s)
				for other, tier := range waiting {
					if shedTier.Higher(tier) {
						t.Fatalf("call %d of tier %d was shed while call %d of tier %d waits", s, shedTier, other, tier)
					}
				}
			}
			assert.Equal(t, core.WaitingCalls(), len(waiting))
			assert.Assert(t, bytesDownTo(waiting, sizes, domain.TierCount) <= cfg.MaxWaitingBytes)
			if rapid.Bool().Draw(t, "grant") {
				core.Step(1, AgentMessage{Agent: "d1", Message: toEntryMessage(&pb.Grant{Call: uint64(id), Attempt: 1, Nonce: uint64(id), TtlMs: 250})})
				if cl := core.calls.byID[id]; cl != nil && cl.stage == stageHandedOver {
					delete(waiting, id)
				}
			}
		}
	})
}

// bytesDownTo returns the bytes of the waiting calls of a tier and all higher tiers.
func bytesDownTo(waiting map[domain.CallID]domain.Tier, sizes map[domain.CallID]int, lowest domain.Tier) int {
	sum := 0
	for id, tier := range waiting {
		if !lowest.Higher(tier) {
			sum += sizes[id]
		}
	}
	return sum
}
