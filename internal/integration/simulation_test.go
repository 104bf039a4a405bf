package integration

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// simulation runs all processes, the network between them, the store and the
// oracle in one thread. The same seed and actions give the same session.
type simulation struct {
	time          scheduler
	rng           *rand.Rand
	entries       []*entryNode
	agents        []*agentNode
	links         []*link
	store         *store
	oracle        *oracle
	config        *fixedConfig
	messageFaults messageFaults
	counts        faultCounts
	processStarts int
	keyedOrders   []*order // orders with an idempotency key, for repeated calls
	lastID        int      // of calls and operator requests
	trace         *trace
}

func newSimulation(seed uint64, counts faultCounts) *simulation {
	sim := &simulation{rng: newRand(seed), counts: counts, config: newConfig()}
	sim.store = &store{sim: sim, rows: make(map[table.Get]table.Row)}
	sim.oracle = &oracle{sim: sim, byRequest: make(map[string]*callRecord), outcomes: make(map[domain.Outcome]int)}
	for i := range entries {
		n := &entryNode{process: process{sim: sim}, id: domain.EntryID(fmt.Sprintf("entry-%d", i))}
		sim.entries = append(sim.entries, n)
	}
	for i := range sim.config.endpoints {
		n := &agentNode{process: process{sim: sim}, index: i, id: sim.config.endpoints[i].ID, slow: 1}
		sim.agents = append(sim.agents, n)
	}
	for _, e := range sim.entries {
		for _, a := range sim.agents {
			sim.links = append(sim.links, &link{entry: e, agent: a})
		}
	}
	for _, e := range sim.entries {
		e.start()
	}
	for _, a := range sim.agents {
		a.start()
	}
	sim.advance(200 * time.Millisecond)
	return sim
}

// advance runs the simulation for d and ticks each running process every tick.
func (sim *simulation) advance(d time.Duration) {
	end := sim.time.now.Add(d)
	for sim.time.now < end {
		sim.time.runUntil(sim.time.now.Add(tick))
		sim.dialLinks()
		for _, e := range sim.entries {
			if e.running() {
				e.core.Tick(e.clock())
				e.flush()
			}
		}
		for _, a := range sim.agents {
			if a.running() {
				a.core.Tick(a.clock())
				a.flush()
			}
		}
	}
}

func (sim *simulation) linkBetween(e *entryNode, id domain.EndpointID) *link {
	for _, l := range sim.links {
		if l.entry == e && l.agent.id == id {
			return l
		}
	}
	panic("no link to " + string(id))
}

func (sim *simulation) entryByID(id domain.EntryID) *entryNode {
	for _, e := range sim.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// call places a call at entry e, if e is running. If repeat is not nil, the call
// belongs to that order instead of a new one. A keyed call carries the order's
// idempotency key and belongs to account "a"; account is ignored.
func (sim *simulation) call(e *entryNode, account domain.AccountID, class domain.Class, repeat *order, keyed bool) {
	if !e.running() {
		return
	}
	sim.lastID++
	request := fmt.Sprintf("r%d", sim.lastID)
	ord := repeat
	if ord == nil {
		ord = &order{name: "order-" + request, idempotent: class.Idempotent}
		if keyed {
			sim.keyedOrders = append(sim.keyedOrders, ord)
		}
	}
	c := entry.Call{
		ID: domain.CallID(sim.lastID), Request: domain.RequestID(request), Account: account, Class: class.Name,
		Service: class.Service, Prefix: sim.rng.Uint64() % 4, Fingerprint: 1, PromptTokens: 10, Body: []byte("{}"),
	}
	if class.Service == modelService {
		c.Model = model
	} else {
		c.Method, c.Path = "POST", "/"
	}
	if keyed {
		c.Key = domain.IdempotencyKey(ord.name)
		c.Account = "a"
	}
	sim.oracle.add(e, c, ord)
	e.input(entry.CallArrived{Call: c})
}

// disconnectCaller disconnects one of the callers whose calls are in progress;
// pick selects it, modulo their number.
func (sim *simulation) disconnectCaller(pick int) {
	var active []*callRecord
	for _, r := range sim.oracle.calls {
		if !r.ended && !r.callerGone && r.node.running() && r.entryIncarnation == r.node.incarnation {
			active = append(active, r)
		}
	}
	if len(active) == 0 {
		return
	}
	r := active[pick%len(active)]
	r.callerGone = true
	sim.counts[faultCallerGone]++
	r.node.input(entry.CallerGone{Call: r.call.ID})
}

// sendDesiredState delivers an operator's request for a desired state to agent a,
// as a message from a connected entry that bypasses the simulated network. It does
// nothing if the agent is not running or no running entry is connected to it.
func (sim *simulation) sendDesiredState(a *agentNode, desired pb.DesiredState) {
	if !a.running() {
		return
	}
	var from *entryNode
	for _, e := range sim.entries {
		if e.running() && sim.linkBetween(e, a.id).up {
			from = e
		}
	}
	if from == nil {
		return
	}
	sim.lastID++
	op := &pb.Operate{Change: fmt.Sprintf("op-%d", sim.lastID), Desired: desired, Revision: uint64(sim.config.revision)}
	peer := agent.Peer{Entry: from.id, Incarnation: from.incarnation}
	a.input(agent.EntryMessage{Peer: peer, Message: &pb.ToAgent{Kind: &pb.ToAgent_Operate{Operate: op}}})
	a.setDraining(desired != pb.DesiredState_DESIRED_SERVING)
}

// declareDesired gives all processes a new configuration, in which endpoint i has
// the desired state.
func (sim *simulation) declareDesired(i int, desired domain.DesiredState) {
	sim.config = sim.config.withDesired(i, desired)
	for _, e := range sim.entries {
		e.input(entry.NewConfig{Config: sim.config})
	}
	for _, a := range sim.agents {
		a.configure()
	}
}

// crashEntry terminates an entry, which also ends its callers' connections. The
// agents detect the lost links, except those that were cut silently.
func (sim *simulation) crashEntry(e *entryNode) {
	e.terminate()
	for _, l := range sim.links {
		if l.entry == e {
			sim.disconnect(l, false, !l.cut)
		}
	}
}

// recoverAll clears all faults, resumes paused processes, starts terminated ones,
// and checks that after recoveryTime each call has ended.
func (sim *simulation) recoverAll() {
	sim.messageFaults = messageFaults{}
	sim.store.down, sim.store.slow, sim.store.loseNext = false, false, 0
	for _, l := range sim.links {
		l.cut = false
	}
	for _, a := range sim.agents {
		a.slow, a.refuse = 1, false
		if a.paused {
			a.resume()
		}
		if !a.alive {
			a.start()
		}
	}
	for _, e := range sim.entries {
		if e.paused {
			e.resume()
		}
		if !e.alive {
			e.start()
		}
	}
	sim.advance(recoveryTime)
	sim.oracle.checkAllEnded()
}

// recoveryTime is longer than any call can take once faults have cleared.
const recoveryTime = 90 * time.Second
