package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// BenchmarkReserve measures the choice of agents for one call, from its arrival to
// its reservations and its cancellation by the caller. 17,000 accounts and 860
// agents are the size that the design is meant for, as in internal/capacity.
func BenchmarkReserve(b *testing.B) {
	const accounts = 17_000
	for _, agents := range []int{10, 100, 860} {
		b.Run(fmt.Sprintf("agents=%d", agents), func(b *testing.B) {
			config := newTestConfig()
			names := make([]domain.AccountID, accounts)
			for i := range names {
				names[i] = domain.AccountID(fmt.Sprintf("account-%05d", i))
				config.accounts[names[i]] = domain.Account{ID: names[i], DefaultClass: "kiosk",
					Limits: domain.Limits{RequestsPerSecond: 1e6, Burst: 1e6, Concurrency: 1000}}
			}
			for i := range agents {
				id := domain.EndpointID(fmt.Sprintf("d%d", i))
				config.endpoints[id] = domain.Endpoint{ID: id, Service: "desk", Desired: domain.EndpointServing,
					DataCentre: domain.DataCentre(fmt.Sprintf("dc%d", i%4))}
			}
			core := benchCore(config)
			now := domain.Instant(time.Minute)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				call := deskCall(domain.CallID(i+1), "kiosk")
				call.Call.Account = names[i%accounts]
				core.Step(now, call)
				core.Tick(now)
				core.Step(now, CallerGone{Call: call.Call.ID})
				core.Take()
			}
		})
	}
}

// benchCore returns a core with a configuration whose endpoints are all connected
// and have reported their load: 0 to 2 free slots, by the last digit of the ID.
func benchCore(config *testConfig) *Core {
	cfg := DefaultConfig()
	cfg.EntryID, cfg.Incarnation, cfg.DataCentre, cfg.Seed = "e1", 1, "dc1", 1
	core := New(cfg)
	core.Step(0, NewConfig{Config: config})
	for id := range config.endpoints {
		core.Step(domain.Instant(time.Minute), AgentUp{Agent: id, Incarnation: 1})
		core.Step(domain.Instant(time.Minute), AgentMessage{Agent: id,
			Message: toEntryMessage(&pb.AgentHeartbeat{FreeSlots: uint32(id[len(id)-1]) % 3, Slots: 8, Queued: 1})})
	}
	core.Tick(domain.Instant(time.Minute))
	core.Take()
	return core
}

// BenchmarkFrame measures the delivery of one frame of an answer.
func BenchmarkFrame(b *testing.B) {
	core := benchCore(newTestConfig("d1"))
	now := domain.Instant(time.Minute)
	core.Step(now, deskCall(1, "kiosk"))
	core.Tick(now)
	core.Step(now, AgentMessage{Agent: "d1", Message: toEntryMessage(&pb.Grant{Call: 1, Attempt: 1, Nonce: 1, TtlMs: 250})})
	core.Take()
	b.ReportAllocs()
	for i := range b.N {
		core.Step(now, AgentMessage{Agent: "d1", Message: toEntryMessage(dataFrame(1, 1, uint64(i+1), "text"))})
		core.Tick(now)
		core.Take()
	}
}
