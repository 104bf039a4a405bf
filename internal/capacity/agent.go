package capacity

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// slotsPerAgent is the number of requests that an agent's endpoint runs at once.
const slotsPerAgent = 60

// agentMeasures returns the measures of an agent's core.
func agentMeasures() []Measure {
	entries := []int{10, 40, 400}
	queued := []int{100, 300, 1000}
	frames := []int{1000, 4000, 16000}
	return []Measure{
		{Name: "agent-memory-entries", Title: "Live heap of an agent's core for linked entries",
			Size: "entries", Unit: "bytes", Sizes: entries, Run: linkedEntryMemory},
		{Name: "agent-memory-queued", Title: "Live heap of an agent's core for queued reservations",
			Size: "reservations", Unit: "bytes", Sizes: queued, Run: queuedReservationMemory},
		{Name: "agent-memory-frames", Title: "Live heap of an agent's core for unacknowledged frames of 4 tokens in 60 runs",
			Size: "frames", Unit: "bytes", Sizes: frames, Run: frameMemory},
		{Name: "agent-processor-reserve", Title: "CPU time of an agent's core for one reservation and its withdrawal, with other reservations queued",
			Size: "queued", Unit: "microseconds per reservation", Sizes: queued, Run: reservationCPUTime},
		{Name: "agent-processor-heartbeat", Title: "CPU time of an agent's core for a heartbeat from and to each entry, with one tick",
			Size: "entries", Unit: "microseconds per second", Sizes: entries, Run: agentHeartbeatCPUTime},
		{Name: "agent-processor-frame", Title: "CPU time of an agent's core for one frame of 4 tokens, including its share of acknowledgements",
			Size: "runs", Unit: "microseconds per frame", Sizes: []int{15, 30, 60}, Run: agentFrameCPUTime},
		{Name: "agent-processor-tick", Title: "CPU time of an agent's core for one tick with a full endpoint and queued reservations",
			Size: "queued", Unit: "microseconds per tick", Sizes: queued, Run: agentTickCPUTime},
	}
}

// agentBench drives an agent's core with linked entries on a simulated clock. It
// keeps the hand-over and the entry of each run.
type agentBench struct {
	core      *agent.Core
	now       domain.Instant
	peers     []agent.Peer
	runs      []agent.RunID
	handOvers map[agent.RunID]*pb.HandOver
	peerOf    map[agent.RunID]agent.Peer
	lastCall  uint64
}

func newAgentCore(id string, slots int) *agent.Core {
	cfg := agent.DefaultConfig()
	cfg.EndpointID = domain.EndpointID(id)
	cfg.Incarnation = 1
	cfg.Slots = slots
	return agent.New(cfg)
}

// endpointConfig returns the configuration of an endpoint that serves the first
// model.
func endpointConfig(id string) agent.EndpointConfig {
	return agent.EndpointConfig{Revision: 1, Changed: 1, Kind: domain.ServiceModel, Endpoint: domain.Endpoint{
		ID: domain.EndpointID(id), Service: domain.ServiceName(serviceName(0)), Desired: domain.EndpointServing,
		Models: []domain.ModelName{domain.ModelName(modelName(0))},
	}}
}

func newAgentBench(entryCount int) *agentBench {
	b := &agentBench{
		core: newAgentCore(endpointName(0), slotsPerAgent), now: domain.Instant(time.Minute),
		handOvers: map[agent.RunID]*pb.HandOver{}, peerOf: map[agent.RunID]agent.Peer{},
	}
	b.core.Step(b.now, endpointConfig(endpointName(0)))
	for i := range entryCount {
		peer := agent.Peer{Entry: domain.EntryID(entryName(i)), Incarnation: 1}
		b.peers = append(b.peers, peer)
		b.core.Step(b.now, agent.EntryUp{Peer: peer})
	}
	b.tick()
	return b
}

// tick ticks the core and returns its outputs.
func (b *agentBench) tick() []agent.Output {
	b.core.Tick(b.now)
	return b.core.Take()
}

// reserve delivers a reservation for a new call from one of the entries. Each call
// has a different account: a multiple of a prime instead of the hash of an account ID.
func (b *agentBench) reserve() {
	b.lastCall++
	b.sendToAgent(b.peers[int(b.lastCall)%len(b.peers)], &pb.ToAgent{Kind: &pb.ToAgent_Reserve{Reserve: &pb.Reserve{
		Call: b.lastCall, Attempt: 1, Tier: uint32(b.lastCall % domain.TierCount), Account: uint32(b.lastCall * 7919), Class: uint32(b.lastCall % domain.TierCount),
		SlackMs: 600, Model: modelName(0), LateOk: true,
	}}})
}

func (b *agentBench) sendToAgent(peer agent.Peer, message *pb.ToAgent) {
	b.core.Step(b.now, agent.EntryMessage{Peer: peer, Message: message})
}

// startRuns reserves slots and hands calls over until the endpoint runs the given
// number. The core grants the slots over one or more ticks. After as many ticks as
// runs, startRuns returns without an error even if fewer have started.
func (b *agentBench) startRuns(runs int) {
	for range runs {
		b.reserve()
	}
	for range runs {
		for _, out := range b.tick() {
			b.acceptGrant(out)
		}
		if len(b.runs) >= runs {
			return
		}
	}
}

// acceptGrant answers a grant with a hand-over and records the started run. It
// ignores other outputs.
func (b *agentBench) acceptGrant(out agent.Output) {
	switch o := out.(type) {
	case agent.SendEntry:
		grant := o.Message.GetGrant()
		if grant == nil {
			return
		}
		b.sendToAgent(o.Peer, &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: &pb.HandOver{
			Call: grant.Call, Attempt: grant.Attempt, Nonce: grant.Nonce, Incarnation: 1, Idempotent: true,
			Model: modelName(0), Body: make([]byte, callBodyBytes),
		}}})
		for _, started := range b.core.Take() {
			if start, ok := started.(agent.EngineStart); ok {
				b.runs = append(b.runs, start.Run)
				b.handOvers[start.Run] = start.HandOver
				b.peerOf[start.Run] = o.Peer
			}
		}
	}
}

// addFrame delivers one frame of an answer from the endpoint.
func (b *agentBench) addFrame(run agent.RunID) {
	data := frameData()
	b.core.Step(b.now, agent.EngineData{Run: run, Data: data.Data, Tokens: data.Tokens})
}

func linkedEntryMemory(entryCount int) (float64, error) {
	return memoryGrowth(func() (any, error) { return newAgentBench(entryCount), nil })
}

func queuedReservationMemory(reservations int) (float64, error) {
	b := newAgentBench(40)
	b.startRuns(slotsPerAgent)
	return memoryGrowth(func() (any, error) {
		for range reservations {
			b.reserve()
		}
		b.core.Take()
		return b, nil
	})
}

func frameMemory(frames int) (float64, error) {
	b := newAgentBench(40)
	b.startRuns(slotsPerAgent)
	return memoryGrowth(func() (any, error) {
		for i := range frames {
			b.addFrame(b.runs[i%len(b.runs)])
		}
		b.core.Take()
		return b, nil
	})
}

// newQueuedBench returns an agent with a full endpoint and queued reservations.
func newQueuedBench(reservations int) *agentBench {
	b := newAgentBench(40)
	b.startRuns(slotsPerAgent)
	for range reservations {
		b.reserve()
	}
	b.tick()
	return b
}

func reservationCPUTime(reservations int) (float64, error) {
	b := newQueuedBench(reservations)
	return cpuTimePerCall(operationSamples, func(int) {
		b.reserve()
		withdraw := &pb.Withdraw{Call: b.lastCall, Attempt: 1}
		b.sendToAgent(b.peers[int(b.lastCall)%len(b.peers)], &pb.ToAgent{Kind: &pb.ToAgent_Withdraw{Withdraw: withdraw}})
		b.core.Take()
	}), nil
}

// agentHeartbeatCPUTime measures a second of heartbeats, which is one from and one to
// each entry.
func agentHeartbeatCPUTime(entryCount int) (float64, error) {
	b := newAgentBench(entryCount)
	heartbeat := &pb.ToAgent{Kind: &pb.ToAgent_Heartbeat{Heartbeat: &pb.EntryHeartbeat{Revision: 1}}}
	return cpuTimePerCall(changeSamples, func(int) {
		b.now = b.now.Add(time.Second)
		for _, peer := range b.peers {
			b.sendToAgent(peer, heartbeat)
		}
		b.tick()
	}), nil
}

// agentFrameCPUTime delivers frames of the runs in turn, ten per tick interval, and
// acknowledges every fourth frame of a run.
func agentFrameCPUTime(runCount int) (float64, error) {
	b := newAgentBench(40)
	b.startRuns(runCount)
	return cpuTimePerCall(operationSamples, func(i int) {
		run := b.runs[i%len(b.runs)]
		b.now = b.now.Add(tickInterval / 10)
		b.addFrame(run)
		if i/len(b.runs)%4 == 3 {
			ack := &pb.Ack{Call: b.handOvers[run].Call, Attempt: 1, Seq: uint64(i/len(b.runs) + 1)}
			b.sendToAgent(b.peerOf[run], &pb.ToAgent{Kind: &pb.ToAgent_Ack{Ack: ack}})
		}
		b.core.Take()
	}), nil
}

// agentTickCPUTime ticks every 10 µs of simulated time, so that no timer is due.
func agentTickCPUTime(reservations int) (float64, error) {
	b := newQueuedBench(reservations)
	return cpuTimePerCall(operationSamples, func(int) {
		b.now = b.now.Add(10 * time.Microsecond)
		b.tick()
	}), nil
}
