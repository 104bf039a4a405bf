package integration

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// fault injects one kind of fault into a session.
type fault struct {
	kind  faultKind
	begin func(sim *simulation)
	// end clears the fault; nil leaves that to recoverAll.
	end func(sim *simulation)
}

// Faults of agents are injected at one agent of each service.
const (
	faultyModelAgent = 0
	faultyPlainAgent = modelAgents
)

// onFaultyAgents applies fn to the agents at which faults are injected.
func onFaultyAgents(fn func(sim *simulation, n *agentNode)) func(*simulation) {
	return func(sim *simulation) {
		fn(sim, sim.agents[faultyModelAgent])
		fn(sim, sim.agents[faultyPlainAgent])
	}
}

// countedFault returns a fault that is counted when it begins. Other faults are
// counted where they take effect.
func countedFault(kind faultKind, fn func(*simulation)) fault {
	return fault{kind: kind, begin: func(sim *simulation) {
		sim.counts[kind]++
		fn(sim)
	}}
}

func (f fault) withEnd(end func(*simulation)) fault {
	f.end = end
	return f
}

func clearMessageFaults(sim *simulation) { sim.messageFaults = messageFaults{} }

func restoreStore(s *simulation) { s.store.down, s.store.slow, s.store.loseNext = false, false, 0 }

// faults returns a fault of each kind except faultReconnect, which follows from
// faultCut.
func faults() []fault {
	return []fault{
		{kind: faultDrop, begin: func(sim *simulation) { sim.messageFaults.drop = 0.2 }, end: clearMessageFaults},
		{kind: faultDuplicate, begin: func(sim *simulation) { sim.messageFaults.duplicate = 0.3 }, end: clearMessageFaults},
		{kind: faultDelay, begin: func(sim *simulation) { sim.messageFaults.delay = 0.3 }, end: clearMessageFaults},
		countedFault(faultCut, func(sim *simulation) {
			for _, l := range sim.links {
				l.cut = l.agent.index == faultyModelAgent || l.agent.index == faultyPlainAgent
			}
		}).withEnd(func(sim *simulation) {
			for _, l := range sim.links {
				l.cut = false
			}
		}),
		countedFault(faultReset, func(sim *simulation) {
			for _, l := range sim.links {
				sim.disconnect(l, true, true)
			}
		}),
		countedFault(faultAgentCrash, onFaultyAgents(func(_ *simulation, n *agentNode) {
			if n.alive {
				n.crash()
			}
		})).withEnd(onFaultyAgents(func(_ *simulation, n *agentNode) {
			if !n.alive {
				n.start()
			}
		})),
		countedFault(faultAgentPause, onFaultyAgents(func(_ *simulation, n *agentNode) { n.paused = n.alive })).
			withEnd(onFaultyAgents(func(_ *simulation, n *agentNode) {
				if n.paused {
					n.resume()
				}
			})),
		countedFault(faultEntryCrash, func(sim *simulation) { sim.crashEntry(sim.entries[0]) }),
		countedFault(faultEntryPause, func(sim *simulation) { sim.entries[0].paused = sim.entries[0].alive }).
			withEnd(func(sim *simulation) {
				if sim.entries[0].paused {
					sim.entries[0].resume()
				}
			}),
		countedFault(faultEngineCrash, onFaultyAgents(func(_ *simulation, n *agentNode) { n.failRuns() })),
		countedFault(faultEngineSlow, onFaultyAgents(func(_ *simulation, n *agentNode) { n.slow = 30 })).
			withEnd(onFaultyAgents(func(_ *simulation, n *agentNode) { n.slow = 1 })),
		{kind: faultEngineRefuse, begin: onFaultyAgents(func(_ *simulation, n *agentNode) { n.refuse = true }),
			end: onFaultyAgents(func(_ *simulation, n *agentNode) { n.refuse = false })},
		{kind: faultStoreDown, begin: func(sim *simulation) { sim.store.down = true }, end: restoreStore},
		{kind: faultStoreSlow, begin: func(sim *simulation) { sim.store.slow = true }, end: restoreStore},
		{kind: faultStoreLost, begin: func(sim *simulation) { sim.store.loseNext = 3 }, end: restoreStore},
		{kind: faultCallerGone, begin: func(sim *simulation) {
			for pick := range 3 {
				sim.disconnectCaller(pick)
			}
		}},
		countedFault(faultDrain, onFaultyAgents(func(sim *simulation, n *agentNode) { sim.sendDesiredState(n, pb.DesiredState_DESIRED_DRAINING) })),
		countedFault(faultAgentShutdown, onFaultyAgents(func(_ *simulation, n *agentNode) {
			if n.running() {
				n.stopping = true
				n.setDraining(true)
				n.input(agent.Shutdown{})
			}
		})),
		countedFault(faultEntryShutdown, func(sim *simulation) { sim.entries[0].input(entry.Shutdown{}) }),
	}
}

// offerCalls places calls of each class, one keyed call and a repeat of each
// keyed call at every entry.
func (sim *simulation) offerCalls() {
	for _, e := range sim.entries {
		for _, class := range classes {
			for range 3 {
				sim.call(e, "b", class, nil, false)
			}
		}
		sim.call(e, "a", classByName("issue"), nil, true)
		for _, ord := range append([]*order(nil), sim.keyedOrders...) {
			sim.call(e, "a", classByName("issue"), ord, true)
		}
	}
}

// runWithFaults runs one session under two overlapping faults and returns the
// simulation, whose oracle holds the violations. The first fault begins while calls
// are in progress, the second just after more calls arrive, while the first is being
// handled.
func runWithFaults(first, second fault, seed uint64, counts faultCounts) *simulation {
	sim := newSimulation(seed, counts)
	sim.offerCalls()
	sim.advance(70 * time.Millisecond)
	first.begin(sim)
	sim.advance(130 * time.Millisecond)
	sim.offerCalls()
	second.begin(sim)
	sim.advance(3 * time.Second)
	sim.offerCalls()
	for _, f := range []fault{first, second} {
		if f.end != nil {
			f.end(sim)
		}
	}
	sim.advance(time.Second)
	sim.offerCalls()
	sim.recoverAll()
	return sim
}

// TestPairsOfFaults guards against guarantees that hold under a single fault but
// are broken by a second one while the first is being handled. It runs a session
// for each ordered pair of faults, including a fault followed by itself.
func TestPairsOfFaults(t *testing.T) {
	counts := make(faultCounts)
	outcomes := make(map[domain.Outcome]int)
	all := faults()
	for i, first := range all {
		for j, second := range all {
			sim := runWithFaults(first, second, uint64(1+i*len(all)+j), counts)
			for _, v := range sim.oracle.faults {
				assert.Check(t, false, "%s, then %s: %s", first.kind, second.kind, v)
			}
			for o, n := range sim.oracle.outcomes {
				outcomes[o] += n
			}
		}
	}
	t.Logf("%d sessions, outcomes %v", len(all)*len(all), outcomes)
	logCounts(t, counts)
	for _, f := range all {
		assert.Check(t, counts[f.kind] > 0, fmt.Sprintf("the fault %q never happened", f.kind))
	}
}
