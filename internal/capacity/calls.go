package capacity

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcwire"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// callInterval is the time between two calls at 27.5 calls per second, the share of
	// one of 400 entries in 11,000.
	callInterval = time.Second * 1000 / 27500
	// answerFrames is the number of frames of an answer: 364 tokens, the mean at 4
	// million tokens and 11,000 requests per second, in frames of 4 tokens.
	// frameInterval is the time between two of them.
	answerFrames  = 91
	frameInterval = 60 * time.Millisecond
	// drpcMessageID is the ID of a message on a long-lived drpc stream. Its size
	// affects the size of the frame.
	drpcMessageID = 1 << 24
	// simulatedAgents is the number of agents that serve the calls.
	simulatedAgents = 8
)

// traffic counts the messages between one entry and its agents, without heartbeats.
// Data messages are hand-overs, their replies, frames and acknowledgements; all
// others are control messages.
type traffic struct {
	control, data                 int // bytes
	controlMessages, dataMessages int
	ended                         int // calls
}

// callMeasures returns the measures of messages that complete calls exchange between
// the cores of an entry and of agents.
func callMeasures() []Measure {
	sizes := []int{250, 500, 1000}
	measures := make([]Measure, 0, 6)
	for _, scenario := range []struct {
		name  string
		title string
		slots int
	}{
		{"idle", "agents with free slots", slotsPerAgent},
		// 72 slots at all agents. The calls that arrive, 27.5 per second with answers of
		// 5.5 s, would occupy 150.
		{"busy", "agents with too few slots, so that calls wait", 9},
	} {
		measure := func(count func(traffic) int) func(int) (float64, error) {
			return func(callCount int) (float64, error) {
				result, err := simulateCalls(callCount, scenario.slots)
				return float64(count(result)), err
			}
		}
		measures = append(measures,
			Measure{Name: "call-control-bytes-" + scenario.name, Deterministic: true, Sizes: sizes, Size: "calls", Unit: "bytes in both directions",
				Title: "Encoded control messages of complete calls with drpc framing, without heartbeats: " + scenario.title,
				Run:   measure(func(result traffic) int { return result.control })},
			Measure{Name: "call-control-messages-" + scenario.name, Deterministic: true, Sizes: sizes, Size: "calls", Unit: "messages in both directions",
				Title: "Control messages of complete calls, without heartbeats: " + scenario.title,
				Run:   measure(func(result traffic) int { return result.controlMessages })},
			Measure{Name: "call-data-bytes-" + scenario.name, Deterministic: true, Sizes: sizes, Size: "calls", Unit: "bytes in both directions",
				Title: "Encoded data messages (hand-overs, their replies, frames, acknowledgements) of complete calls with 2 KiB bodies and 364 tokens, with drpc framing: " + scenario.title,
				Run:   measure(func(result traffic) int { return result.data })},
		)
	}
	return measures
}

// framedSize returns the bytes of a message in its frame on a drpc stream, or 0 if
// it cannot be encoded.
func framedSize(message proto.Message) int {
	data, err := proto.Marshal(message)
	if err != nil {
		return 0
	}
	return len(drpcwire.AppendFrame(nil, drpcwire.Frame{
		Data: data, ID: drpcwire.ID{Stream: 1, Message: drpcMessageID}, Kind: drpcwire.KindMessage, Done: true,
	}))
}

// answerStream is the answer of a run in progress. due is the time of its next frame.
type answerStream struct {
	agent      int
	run        agent.RunID
	sentFrames int
	due        domain.Instant
}

// callSimulation simulates an entry, its agents and their endpoints on one clock.
type callSimulation struct {
	now     domain.Instant
	entry   *entry.Core
	agents  []*agent.Core
	indexOf map[domain.EndpointID]int
	answers []answerStream
	toEntry []entry.Input
	traffic traffic
}

// simulateCalls runs callCount calls to their end. It returns an error if calls have
// not ended an hour after the last arrival.
func simulateCalls(callCount, slots int) (traffic, error) {
	sim, err := newCallSimulation(slots)
	if err != nil {
		return traffic{}, err
	}
	nextArrival := sim.now
	for arrived := 0; sim.traffic.ended < callCount; {
		for arrived < callCount && !sim.now.Before(nextArrival) {
			arrived++
			sim.entry.Step(sim.now, entry.CallArrived{Call: modelCall(domain.CallID(arrived), arrived%1000)})
			nextArrival = nextArrival.Add(callInterval)
		}
		sim.tick()
		if sim.now > nextArrival.Add(time.Hour) {
			return traffic{}, errors.Newf("step=calls peer=entry %d of %d calls have ended", sim.traffic.ended, callCount)
		}
	}
	return sim.traffic, nil
}

// newCallSimulation returns an entry with linked agents, which all serve the first
// model.
func newCallSimulation(slots int) (*callSimulation, error) {
	set, err := configuration(configSize{accounts: 1000, agents: simulatedAgents * targetModels, entries: 1})
	if err != nil {
		return nil, err
	}
	sim := &callSimulation{now: domain.Instant(time.Minute), entry: newEntryCore(entryName(0)), indexOf: map[domain.EndpointID]int{}}
	sim.entry.Step(sim.now, entry.NewConfig{Config: set})
	for i := range simulatedAgents {
		id := endpointName(i * targetModels)
		core := newAgentCore(id, slots)
		core.Step(sim.now, endpointConfig(id))
		core.Step(sim.now, agent.EntryUp{Peer: agent.Peer{Entry: domain.EntryID(entryName(0)), Incarnation: 1}})
		sim.agents = append(sim.agents, core)
		sim.indexOf[domain.EndpointID(id)] = i
		sim.entry.Step(sim.now, entry.AgentUp{Agent: domain.EndpointID(id), Incarnation: 1})
	}
	return sim, nil
}

// tick advances the clock and ticks all cores. A message to the entry arrives in the
// next tick, a message to an agent at once.
func (sim *callSimulation) tick() {
	sim.now = sim.now.Add(tickInterval)
	for _, in := range sim.toEntry {
		sim.entry.Step(sim.now, in)
	}
	sim.toEntry = nil
	sim.entry.Tick(sim.now)
	for _, out := range sim.entry.Take() {
		sim.handleEntryOutput(out)
	}
	sim.deliverFrames()
	for i, core := range sim.agents {
		core.Tick(sim.now)
		for _, out := range core.Take() {
			sim.handleAgentOutput(i, out)
		}
	}
}

// handleEntryOutput counts ended calls and passes messages to agents.
func (sim *callSimulation) handleEntryOutput(out entry.Output) {
	switch o := out.(type) {
	case entry.CallerEnd:
		sim.traffic.ended++
	case entry.SendAgent:
		isData := o.Message.GetHandOver() != nil || o.Message.GetAck() != nil
		if o.Message.GetHeartbeat() == nil {
			sim.recordMessage(o.Message, isData)
		}
		peer := agent.Peer{Entry: domain.EntryID(entryName(0)), Incarnation: 1}
		sim.agents[sim.indexOf[o.Agent]].Step(sim.now, agent.EntryMessage{Peer: peer, Message: o.Message})
	}
}

// handleAgentOutput starts the answer of a run and queues messages for the entry.
func (sim *callSimulation) handleAgentOutput(agentIndex int, out agent.Output) {
	switch o := out.(type) {
	case agent.EngineStart:
		sim.answers = append(sim.answers, answerStream{agent: agentIndex, run: o.Run, due: sim.now.Add(frameInterval)})
	case agent.SendEntry:
		isData := o.Message.GetHandOverReply() != nil || o.Message.GetFrame() != nil
		if o.Message.GetHeartbeat() == nil {
			sim.recordMessage(o.Message, isData)
		}
		id := domain.EndpointID(endpointName(agentIndex * targetModels))
		sim.toEntry = append(sim.toEntry, entry.AgentMessage{Agent: id, Incarnation: 1, Message: o.Message})
	}
}

func (sim *callSimulation) recordMessage(message proto.Message, isData bool) {
	bytes := framedSize(message)
	if isData {
		sim.traffic.data += bytes
		sim.traffic.dataMessages++
		return
	}
	sim.traffic.control += bytes
	sim.traffic.controlMessages++
}

// deliverFrames passes the next frame to the agent for each answer whose next frame
// is due, and the end of the answer after its last frame.
func (sim *callSimulation) deliverFrames() {
	remaining := sim.answers[:0]
	for _, stream := range sim.answers {
		if sim.now.Before(stream.due) {
			remaining = append(remaining, stream)
			continue
		}
		agentCore := sim.agents[stream.agent]
		if stream.sentFrames == answerFrames {
			agentCore.Step(sim.now, agent.EngineEnd{
				Run: stream.run, Reason: pb.EndReason_END_COMPLETE, FinishReason: "stop", AnswerTokens: answerFrames * tokensPerFrame,
			})
			continue
		}
		frame := frameData()
		agentCore.Step(sim.now, agent.EngineData{Run: stream.run, Data: frame.Data, Tokens: frame.Tokens})
		stream.sentFrames++
		stream.due = sim.now.Add(frameInterval)
		remaining = append(remaining, stream)
	}
	sim.answers = remaining
}

// keyedCall returns a non-idempotent call of the plain service with an idempotency
// key.
func keyedCall(id domain.CallID, account int) entry.Call {
	call := modelCall(id, account)
	call.Class, call.Service, call.Model = "order", "orders", ""
	call.Key = domain.IdempotencyKey(fmt.Sprintf("key-%d", id))
	call.Method, call.Path = "POST", "/orders"
	return call
}
