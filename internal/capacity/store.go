package capacity

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// pollMeasureSeconds is the simulated time over which reads by polling entries are
	// counted.
	pollMeasureSeconds = 60
	// keyedCallSeconds is the simulated time over which keyed calls arrive.
	keyedCallSeconds = 20
	// startupTimeout bounds the simulated time until all agents have loaded their
	// models.
	startupTimeout = 6 * time.Hour
)

// storeMeasures returns the measures of requests to the table service. Each get and
// scan of a transaction counts as one read, and each write as one write, as in the
// stand-in's counters.
func storeMeasures() []Measure {
	keyed := []int{10, 40, 160}
	return []Measure{
		{Name: "store-reads-polls", Title: "Reads per second of entries that poll an unchanged configuration",
			Size: "entries", Unit: "reads per second", Sizes: []int{25, 100, targetEntries}, Run: pollReads, Deterministic: true},
		{Name: "store-writes-keyed", Title: "Writes of one entry for keyed calls: claims and outcomes",
			Size: "calls per second", Unit: "writes per second", Sizes: keyed, Run: keyedStoreRate(func(c *countingStore) int { return c.writes }), Deterministic: true},
		{Name: "store-transactions-keyed", Title: "Write transactions of one entry for keyed calls, with writes grouped into transactions",
			Size: "calls per second", Unit: "transactions per second", Sizes: keyed, Run: keyedStoreRate(func(c *countingStore) int { return c.transactions }), Deterministic: true},
		{Name: "store-reads-agents", Title: "Reads of agents from their start until all have loaded their models, taking turns at the weight store",
			Size: "agents", Unit: "reads", Sizes: []int{5, 10, 20}, Run: startupStoreUse(func(s startupResult) float64 { return float64(s.store.reads) }), Deterministic: true},
		{Name: "store-writes-agents", Title: "Writes of agents from their start until all have loaded their models, taking turns at the weight store",
			Size: "agents", Unit: "writes", Sizes: []int{5, 10, 20}, Run: startupStoreUse(func(s startupResult) float64 { return float64(s.store.writes) }), Deterministic: true},
		{Name: "store-time-agents", Title: "Time from the start of agents until all have loaded their models, taking turns at the weight store",
			Size: "agents", Unit: "seconds of simulated time", Sizes: []int{5, 10, 20}, Run: startupStoreUse(func(s startupResult) float64 { return s.time.Seconds() }), Deterministic: true},
	}
}

// countingStore is a stand-in table service that counts requests. epoch is the
// wall-clock time at the start of the simulated clock.
type countingStore struct {
	platform     *platform.Platform
	reads        int
	writes       int
	transactions int
	epoch        time.Time
}

func newCountingStore() *countingStore {
	return &countingStore{platform: platform.New(platform.Options{}), epoch: time.Unix(1_800_000_000, 0)}
}

// transact executes a request at a time of the simulated clock.
func (s *countingStore) transact(now domain.Instant, request table.Request) table.Reply {
	s.reads += len(request.Gets) + len(request.Scans)
	s.writes += len(request.Writes)
	if len(request.Writes) > 0 {
		s.transactions++
	}
	reply := s.platform.Transact(&request)
	reply.Time = s.epoch.Add(time.Duration(now))
	return reply
}

// pollReads returns the reads per second of entries without links. It counts after
// a warm-up of the same length.
func pollReads(entryCount int) (float64, error) {
	network, err := newPeerNetwork(entryCount, noPeers)
	if err != nil {
		return 0, err
	}
	network.runUntil(pollMeasureSeconds*time.Second, func() bool { return false })
	network.store.reads = 0
	network.runUntil(pollMeasureSeconds*time.Second, func() bool { return false })
	return float64(network.store.reads) / pollMeasureSeconds, nil
}

// keyedStoreRate returns a function that runs keyed calls at a rate per second and
// returns a count of the table service per second.
func keyedStoreRate(count func(*countingStore) int) func(int) (float64, error) {
	return func(perSecond int) (float64, error) {
		store := newCountingStore()
		config, err := configuration(configSize{accounts: 1000, agents: targetModels, entries: 1})
		if err != nil {
			return 0, err
		}
		core := newEntryCore(entryName(0))
		now := domain.Instant(time.Minute)
		core.Step(now, entry.NewConfig{Config: config})
		core.Step(now, entry.AgentUp{Agent: "orders-1", Incarnation: 1})
		calls := perSecond * keyedCallSeconds
		interval := time.Second / time.Duration(perSecond)
		nextArrival := now
		ended := 0
		var pending []entry.Input
		for arrived := 0; ended < calls; {
			now = now.Add(tickInterval)
			for arrived < calls && !now.Before(nextArrival) {
				arrived++
				core.Step(now, entry.CallArrived{Call: keyedCall(domain.CallID(arrived), arrived%1000)})
				nextArrival = nextArrival.Add(interval)
			}
			for _, input := range pending {
				core.Step(now, input)
			}
			pending = nil
			core.Tick(now)
			for _, out := range core.Take() {
				switch o := out.(type) {
				case entry.CallerEnd:
					if o.Outcome != domain.OutcomeComplete {
						return 0, errors.Newf("step=%s peer=orders-1 %s", o.Failure.Step, o.Failure.Message)
					}
					ended++
				case entry.StoreRequest:
					pending = append(pending, entry.StoreReply{ID: o.ID, Reply: store.transact(now, o.Request)})
				case entry.SendAgent:
					pending = append(pending, ordersAgentReplies(o.Message)...)
				}
			}
		}
		return float64(count(store)) / keyedCallSeconds, nil
	}
}

// ordersAgentReplies returns what an agent of the plain service orders answers to a
// message of the entry. The agent has a free slot, and its endpoint completes each
// call at once with an empty answer.
func ordersAgentReplies(message *pb.ToAgent) []entry.Input {
	toEntry := func(message *pb.ToEntry) entry.Input {
		return entry.AgentMessage{Agent: "orders-1", Incarnation: 1, Message: message}
	}
	frame := func(call, seq uint64) *pb.Frame { return &pb.Frame{Call: call, Attempt: 1, Seq: seq} }
	if reserve := message.GetReserve(); reserve != nil {
		grant := &pb.Grant{Call: reserve.Call, Attempt: reserve.Attempt, Nonce: reserve.Call, TtlMs: 250}
		return []entry.Input{toEntry(&pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: grant}})}
	}
	if handOver := message.GetHandOver(); handOver != nil {
		reply := &pb.HandOverReply{Call: handOver.Call, Attempt: handOver.Attempt, State: pb.StartState_STARTED}
		head, end := frame(handOver.Call, 1), frame(handOver.Call, 2)
		head.Part = &pb.Frame_Head{Head: &pb.Head{Status: 200}}
		end.Part = &pb.Frame_End{End: &pb.End{Reason: pb.EndReason_END_COMPLETE, Frames: 1, Checksum: emptyChecksum}}
		return []entry.Input{
			toEntry(&pb.ToEntry{Kind: &pb.ToEntry_HandOverReply{HandOverReply: reply}}),
			toEntry(&pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: head}}),
			toEntry(&pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: end}}),
		}
	}
	return nil
}

// emptyChecksum is the xxhash64 of an empty answer.
const emptyChecksum = 0xef46db3751d8e999

// startupResult holds the store requests and the simulated time of agents' startup.
type startupResult struct {
	store *countingStore
	time  time.Duration
}

// startupStoreUse returns a function that starts agents at the same time, each with a
// model to load, and returns a quantity of the result.
func startupStoreUse(quantity func(startupResult) float64) func(int) (float64, error) {
	return func(agentCount int) (float64, error) {
		result := startupResult{store: newCountingStore()}
		start := domain.Instant(time.Minute)
		now := start
		cores := make([]*agent.Core, agentCount)
		pending := make([][]agent.Input, agentCount)
		for i := range cores {
			cores[i] = newAgentCore(endpointName(i), slotsPerAgent)
			cores[i].Step(now, endpointConfig(endpointName(i)))
		}
		for loaded := 0; loaded < agentCount; {
			now = now.Add(tickInterval)
			if now.Sub(start) > startupTimeout {
				return 0, errors.Newf("step=load peer=weights %d of %d agents have loaded their models", loaded, agentCount)
			}
			for i, core := range cores {
				for _, input := range pending[i] {
					core.Step(now, input)
				}
				pending[i] = nil
				core.Tick(now)
				for _, out := range core.Take() {
					switch o := out.(type) {
					case agent.StoreRequest:
						pending[i] = append(pending[i], agent.StoreReply{ID: o.ID, Reply: result.store.transact(now, o.Request)})
					case agent.Order:
						loaded++
						pending[i] = append(pending[i], agent.OrderEnd{Order: o.Order, OK: true})
					}
				}
			}
		}
		result.time = now.Sub(start)
		return quantity(result), nil
	}
}

// accountChangeRequest returns an operator's change of the burst limit of one account.
// Its time is the epoch of newCountingStore.
func accountChangeRequest(account int) (revision.Apply, error) {
	body := accountDeclaration(account)
	body.Limits.Burst = scalar("200")
	doc, err := encodeAccount(account, body)
	if err != nil {
		return revision.Apply{}, err
	}
	return revision.Apply{
		ID: uint64(account + 1), Operator: "operator-0", Change: domain.ChangeID(fmt.Sprintf("change-%d", account)), AnyBase: true,
		Documents: []*pb.Document{doc}, At: time.Unix(1_800_000_000, 0),
	}, nil
}
