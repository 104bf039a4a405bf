package capacity

import (
	"fmt"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// tickInterval is the simulated time between two ticks of a core.
	tickInterval = 5 * time.Millisecond
	// callBodyBytes is the size of a call's body.
	callBodyBytes = 2048
	// operationSamples is the number of operations over which CPU time is averaged.
	operationSamples = 5000
	// changeSamples is the number of configuration changes, or of seconds of an
	// agent's heartbeats, over which CPU time is averaged.
	changeSamples = 100
	// endedCallWait is the simulated wait after which a core has dropped all ended
	// calls. It exceeds the time for which it retains them.
	endedCallWait = 2 * time.Minute
	// tokensPerFrame is the number of tokens in a data frame.
	tokensPerFrame = 4
)

// entryMeasures returns the measures of an entry's core and configuration.
func entryMeasures() []Measure {
	agents := []int{40, 200, targetAgents}
	accounts := []int{1000, 4000, targetAccounts}
	calls := []int{100, 300, 1000}
	return []Measure{
		{Name: "entry-memory-configuration", Title: "Live heap of a configuration with 860 endpoints and 400 entries",
			Size: "accounts", Unit: "bytes", Sizes: accounts, Run: configurationMemory},
		{Name: "entry-memory-accounts", Title: "Live heap of an entry's core for accounts that have sent it calls",
			Size: "accounts", Unit: "bytes", Sizes: accounts, Run: accountMemory},
		{Name: "entry-memory-agents", Title: "Live heap of an entry's core for linked agents",
			Size: "agents", Unit: "bytes", Sizes: agents, Run: linkedAgentMemory},
		{Name: "entry-memory-waiting", Title: "Live heap of an entry's core for waiting calls with 2 KiB bodies and reservations at agents",
			Size: "calls", Unit: "bytes", Sizes: calls, Run: waitingCallMemory},
		{Name: "entry-processor-decision", Title: "CPU time of an entry's core for a call's arrival, its reservation and its cancellation by the caller",
			Size: "agents", Unit: "microseconds per call", Sizes: agents, Run: decisionCPUTime},
		{Name: "entry-processor-heartbeat", Title: "CPU time of an entry's core for one heartbeat of an agent",
			Size: "agents", Unit: "microseconds per heartbeat", Sizes: agents, Run: heartbeatCPUTime},
		{Name: "entry-processor-frame", Title: "CPU time of an entry's core for one frame of 4 tokens, including its share of ticks and acknowledgements",
			Size: "open calls", Unit: "microseconds per frame", Sizes: calls, Run: frameCPUTime},
		{Name: "entry-processor-tick", Title: "CPU time of an entry's core for one tick with waiting calls and no timer due",
			Size: "waiting calls", Unit: "microseconds per tick", Sizes: calls, Run: tickCPUTime},
		{Name: "entry-processor-delta", Title: "CPU time to apply a change of one account's document to a configuration",
			Size: "accounts", Unit: "microseconds per change", Sizes: accounts, Run: accountChangeCPUTime},
		{Name: "entry-processor-install", Title: "CPU time of an entry's core to apply a changed configuration",
			Size: "agents", Unit: "microseconds per change", Sizes: agents, Run: configChangeCPUTime},
		{Name: "entry-processor-subset", Title: "CPU time to choose an entry's subset of 860 agents and its peers",
			Size: "entries", Unit: "microseconds per change", Sizes: []int{100, 200, targetEntries}, Run: subsetCPUTime},
		{Name: "entry-subset-agents", Title: "Mean number of agents, out of 860, that an entry is linked to",
			Size: "entries", Unit: "agents", Sizes: []int{100, 200, targetEntries}, Run: meanLinkedAgents, Deterministic: true},
		{Name: "entry-subset-peers", Title: "Mean number of other entries that an entry is linked to",
			Size: "entries", Unit: "entries", Sizes: []int{100, 200, targetEntries}, Run: meanLinkedPeers, Deterministic: true},
	}
}

// entryBench drives an entry's core with linked agents on a simulated clock.
type entryBench struct {
	core     *entry.Core
	set      *declaration.Set
	now      domain.Instant
	lastCall domain.CallID
}

// newEntryCore returns the core of an entry in the first data centre.
func newEntryCore(name string) *entry.Core {
	cfg := entry.DefaultConfig()
	cfg.EntryID = domain.EntryID(name)
	cfg.Incarnation = 1
	cfg.DataCentre = domain.DataCentre(dataCentreName(0))
	cfg.Seed = 1
	return entry.New(cfg)
}

// newEntryBench returns a bench whose agents are linked and have each sent a heartbeat
// that reports queued reservations.
func newEntryBench(size configSize) (*entryBench, error) {
	set, err := configuration(size)
	if err != nil {
		return nil, err
	}
	b := &entryBench{core: newEntryCore(entryName(0)), set: set, now: domain.Instant(time.Minute)}
	b.core.Step(b.now, entry.NewConfig{Config: set})
	for i := range size.agents {
		b.core.Step(b.now, entry.AgentUp{Agent: domain.EndpointID(endpointName(i)), Incarnation: 1})
		b.sendHeartbeat(i)
	}
	b.tick()
	return b, nil
}

// sendHeartbeat delivers a heartbeat of an agent to the core.
func (b *entryBench) sendHeartbeat(agent int) {
	message := &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: fullHeartbeat()}}
	b.core.Step(b.now, entry.AgentMessage{Agent: domain.EndpointID(endpointName(agent)), Message: message})
}

// tick ticks the core and discards its outputs.
func (b *entryBench) tick() {
	b.core.Tick(b.now)
	b.core.Take()
}

// addCall delivers a call of an account to the core and returns its ID.
func (b *entryBench) addCall(account int) domain.CallID {
	b.lastCall++
	b.core.Step(b.now, entry.CallArrived{Call: modelCall(b.lastCall, account)})
	return b.lastCall
}

// modelCall returns a call for the first model. Successive IDs cycle through the
// tiers and have different prompt prefixes: multiples of a prime instead of hashes.
func modelCall(id domain.CallID, account int) entry.Call {
	return entry.Call{
		ID: id, Request: domain.RequestID(fmt.Sprintf("00000000-0000-4000-8000-%012d", id)),
		Account: domain.AccountID(accountName(account)),
		Class:   domain.ClassName(fmt.Sprintf("tier-%d", int(id)%domain.TierCount)),
		Service: domain.ServiceName(serviceName(0)), Model: domain.ModelName(modelName(0)),
		Prefix: uint64(id) * 7919, MaxTokens: 2000, Body: make([]byte, callBodyBytes),
	}
}

func configurationMemory(accountCount int) (float64, error) {
	return memoryGrowth(func() (any, error) {
		return configuration(configSize{accounts: accountCount, agents: targetAgents, entries: targetEntries})
	})
}

// accountMemory measures the state that remains of accounts after their calls have
// expired.
func accountMemory(accountCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: accountCount, agents: 40, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	return memoryGrowth(func() (any, error) {
		for i := range accountCount {
			id := b.addCall(i)
			b.core.Step(b.now, entry.CallerGone{Call: id})
			b.core.Take()
		}
		b.now = b.now.Add(endedCallWait)
		b.tick()
		return b, nil
	})
}

func linkedAgentMemory(agentCount int) (float64, error) {
	set, err := configuration(configSize{accounts: 100, agents: agentCount, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	return memoryGrowth(func() (any, error) {
		b := &entryBench{core: newEntryCore(entryName(0)), set: set, now: domain.Instant(time.Minute)}
		b.core.Step(b.now, entry.NewConfig{Config: set})
		for i := range agentCount {
			b.core.Step(b.now, entry.AgentUp{Agent: domain.EndpointID(endpointName(i)), Incarnation: 1})
			b.sendHeartbeat(i)
		}
		b.tick()
		return b, nil
	})
}

func waitingCallMemory(callCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 1000, agents: 200, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	return memoryGrowth(func() (any, error) {
		for i := range callCount {
			b.addCall(i % 1000)
		}
		b.tick()
		return b, nil
	})
}

// decisionCPUTime measures calls that arrive and are cancelled after one tick.
func decisionCPUTime(agentCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 1000, agents: agentCount, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	return cpuTimePerCall(operationSamples, func(i int) {
		b.now = b.now.Add(time.Millisecond)
		id := b.addCall(i % 1000)
		b.core.Tick(b.now)
		b.core.Step(b.now, entry.CallerGone{Call: id})
		b.core.Take()
	}), nil
}

func heartbeatCPUTime(agentCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 100, agents: agentCount, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	return cpuTimePerCall(operationSamples, func(i int) {
		b.sendHeartbeat(i % agentCount)
		b.core.Take()
	}), nil
}

// frameCPUTime hands calls over to agents and delivers their frames in turn, ten per
// tick interval, with a tick after every tenth frame.
func frameCPUTime(callCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 1000, agents: 40, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	agentOf := map[domain.CallID]domain.EndpointID{}
	for i := range callCount {
		id := b.addCall(i % 1000)
		b.core.Tick(b.now)
		for _, out := range b.core.Take() {
			if send, ok := out.(entry.SendAgent); ok && send.Message.GetReserve() != nil && agentOf[id] == "" {
				agentOf[id] = send.Agent
			}
		}
		grant := &pb.Grant{Call: uint64(id), Attempt: 1, Nonce: uint64(id), TtlMs: 250}
		b.core.Step(b.now, entry.AgentMessage{Agent: agentOf[id], Message: &pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: grant}}})
	}
	b.tick()
	return cpuTimePerCall(operationSamples, func(i int) {
		b.now = b.now.Add(tickInterval / 10)
		id := domain.CallID(i%callCount + 1)
		frame := &pb.Frame{Call: uint64(id), Attempt: 1, Seq: uint64(i/callCount + 1), Part: &pb.Frame_Data{Data: frameData()}}
		b.core.Step(b.now, entry.AgentMessage{Agent: agentOf[id], Message: &pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: frame}}})
		if i%10 == 0 {
			b.core.Tick(b.now)
		}
		b.core.Take()
	}), nil
}

// frameData returns the data of one frame of an answer.
func frameData() *pb.Data {
	return &pb.Data{Data: []byte("the cage leaves "), Tokens: tokensPerFrame}
}

// tickCPUTime ticks every 10 µs of simulated time, so that no timer is due.
func tickCPUTime(callCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 1000, agents: 40, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	for i := range callCount {
		b.addCall(i % 1000)
	}
	b.tick()
	return cpuTimePerCall(operationSamples, func(int) {
		b.now = b.now.Add(10 * time.Microsecond)
		b.tick()
	}), nil
}

// accountChangeCPUTime measures changes of one account after another.
func accountChangeCPUTime(accountCount int) (float64, error) {
	set, err := configuration(configSize{accounts: accountCount, agents: targetAgents, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	var changeErr error
	used := cpuTimePerCall(changeSamples, func(i int) {
		next, err := withChangedAccount(set, i%accountCount)
		if err != nil {
			changeErr = err
			return
		}
		set = next
	})
	return used, changeErr
}

// withChangedAccount returns the next revision of a set, in which an account has
// a different burst limit.
func withChangedAccount(set *declaration.Set, i int) (*declaration.Set, error) {
	body := accountDeclaration(i)
	body.Limits.Burst = scalar(fmt.Sprint(100 + uint64(set.Revision())))
	doc, err := declaration.EncodeDocument(declaration.KeyOf(declaration.KindAccount, accountName(i)), body)
	if err != nil {
		return nil, err
	}
	return set.With(set.Revision()+1, []*pb.Document{doc})
}

func configChangeCPUTime(agentCount int) (float64, error) {
	b, err := newEntryBench(configSize{accounts: 1000, agents: agentCount, entries: targetEntries})
	if err != nil {
		return 0, err
	}
	sets := make([]*declaration.Set, 0, changeSamples+1)
	for i := range changeSamples + 1 {
		next, err := withChangedAccount(b.set, i)
		if err != nil {
			return 0, err
		}
		b.set = next
		sets = append(sets, next)
	}
	return cpuTimePerCall(changeSamples, func(i int) {
		b.core.Step(b.now, entry.NewConfig{Config: sets[i]})
		b.tick()
	}), nil
}
