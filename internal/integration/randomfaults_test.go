package integration

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// fixedSeed makes CI runs reproducible. Long runs set -rapid.seed and -rapid.checks.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	if !set["rapid.seed"] {
		mustSetFlag("rapid.seed", fixedSeed)
	}
	if !set["rapid.checks"] {
		mustSetFlag("rapid.checks", "60")
	}
	if !set["rapid.steps"] {
		mustSetFlag("rapid.steps", "60")
	}
	mustSetFlag("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

func mustSetFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// actions holds the functions that rapid calls in random order: calls, faults and
// operations on one simulation.
type actions struct {
	sim *simulation
}

func (a actions) entry(t *rapid.T) *entryNode {
	return a.sim.entries[rapid.IntRange(0, len(a.sim.entries)-1).Draw(t, "entry")]
}

func (a actions) agent(t *rapid.T) *agentNode {
	return a.sim.agents[rapid.IntRange(0, len(a.sim.agents)-1).Draw(t, "agent")]
}

func (a actions) link(t *rapid.T) *link {
	return a.sim.links[rapid.IntRange(0, len(a.sim.links)-1).Draw(t, "link")]
}

func (a actions) call(t *rapid.T) {
	class := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
	account := domain.AccountID(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
	keyed := !class.Idempotent && rapid.Bool().Draw(t, "keyed")
	a.sim.call(a.entry(t), account, class, nil, keyed)
	a.advanceBriefly(t)
}

// repeat places a call with the key of an earlier call through any entry.
func (a actions) repeat(t *rapid.T) {
	if len(a.sim.keyedOrders) == 0 {
		t.Skip("no keyed call placed yet")
	}
	ord := a.sim.keyedOrders[rapid.IntRange(0, len(a.sim.keyedOrders)-1).Draw(t, "order")]
	a.sim.call(a.entry(t), "a", classByName("issue"), ord, true)
	a.advanceBriefly(t)
}

// burst places several calls at once, each through a random entry.
func (a actions) burst(t *rapid.T) {
	n := rapid.IntRange(2, 12).Draw(t, "calls")
	for range n {
		class := classes[rapid.IntRange(0, len(classes)-1).Draw(t, "class")]
		a.sim.call(a.entry(t), "b", class, nil, false)
	}
	a.advanceBriefly(t)
}

func (a actions) disconnectCaller(t *rapid.T) {
	a.sim.disconnectCaller(rapid.IntRange(0, 100).Draw(t, "caller"))
	a.advanceBriefly(t)
}

func (a actions) wait(t *rapid.T) {
	a.sim.advance(time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond)
}

// advanceBriefly advances the simulation by up to 120 ms after an action.
func (a actions) advanceBriefly(t *rapid.T) {
	a.sim.advance(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
}

// messageFaults sets or clears the probabilities of message faults.
func (a actions) messageFaults(t *rapid.T) {
	a.sim.messageFaults = rapid.SampledFrom([]messageFaults{
		{}, {drop: 0.05}, {duplicate: 0.2}, {delay: 0.2}, {drop: 0.1, duplicate: 0.1, delay: 0.1},
	}).Draw(t, "noise")
	a.advanceBriefly(t)
}

// cut cuts a link silently, or restores a cut one.
func (a actions) cut(t *rapid.T) {
	l := a.link(t)
	l.cut = !l.cut
	if l.cut {
		a.sim.counts[faultCut]++
	}
	a.advanceBriefly(t)
}

// reset disconnects a link and notifies both sides.
func (a actions) reset(t *rapid.T) {
	a.sim.counts[faultReset]++
	a.sim.disconnect(a.link(t), true, true)
	a.advanceBriefly(t)
}

// crashOrStartAgent crashes an agent, or starts a terminated one.
func (a actions) crashOrStartAgent(t *rapid.T) {
	n := a.agent(t)
	if n.alive {
		a.sim.counts[faultAgentCrash]++
		n.crash()
	} else {
		n.start()
	}
	a.advanceBriefly(t)
}

// pauseOrResumeAgent pauses an agent, or resumes a paused one.
func (a actions) pauseOrResumeAgent(t *rapid.T) {
	n := a.agent(t)
	switch {
	case n.paused:
		n.resume()
	case n.alive:
		a.sim.counts[faultAgentPause]++
		n.paused = true
	}
	a.advanceBriefly(t)
}

// crashEntry crashes an entry, or starts a terminated one.
func (a actions) crashEntry(t *rapid.T) {
	n := a.entry(t)
	if n.alive {
		a.sim.counts[faultEntryCrash]++
		a.sim.crashEntry(n)
	} else {
		n.start()
	}
	a.advanceBriefly(t)
}

// pauseOrResumeEntry pauses an entry, or resumes a paused one.
func (a actions) pauseOrResumeEntry(t *rapid.T) {
	n := a.entry(t)
	switch {
	case n.paused:
		n.resume()
	case n.alive:
		a.sim.counts[faultEntryPause]++
		n.paused = true
	}
	a.advanceBriefly(t)
}

// endpointFault breaks an endpoint's runs, slows it down, makes it refuse runs, or
// ("well") ends slowness and refusal.
func (a actions) endpointFault(t *rapid.T) {
	n := a.agent(t)
	switch rapid.SampledFrom([]string{"crash", "slow", "refuse", "well"}).Draw(t, "fault") {
	case "crash":
		if len(n.runs) > 0 {
			a.sim.counts[faultEngineCrash]++
		}
		n.failRuns()
	case "slow":
		a.sim.counts[faultEngineSlow]++
		n.slow = 20
	case "refuse":
		n.refuse = true
	case "well":
		n.slow, n.refuse = 1, false
	}
	a.advanceBriefly(t)
}

// storeFault makes the store unavailable or slow, makes it lose replies, or ("well")
// clears its faults.
func (a actions) storeFault(t *rapid.T) {
	s := a.sim.store
	switch rapid.SampledFrom([]string{"down", "slow", "lose", "well"}).Draw(t, "fault") {
	case "down":
		s.down = true
	case "slow":
		s.slow = true
	case "lose":
		s.loseNext = rapid.IntRange(1, 3).Draw(t, "replies")
	case "well":
		s.down, s.slow, s.loseNext = false, false, 0
	}
	a.advanceBriefly(t)
}

// requestDrain sends an agent an operator's request to drain, or to serve again if it
// is draining.
func (a actions) requestDrain(t *rapid.T) {
	n := a.agent(t)
	if n.drainAt != 0 {
		a.sim.sendDesiredState(n, pb.DesiredState_DESIRED_SERVING)
	} else {
		a.sim.counts[faultDrain]++
		a.sim.sendDesiredState(n, pb.DesiredState_DESIRED_DRAINING)
	}
	a.advanceBriefly(t)
}

// declareDrain gives all processes a configuration that declares an endpoint as
// draining, or as serving if it was declared otherwise.
func (a actions) declareDrain(t *rapid.T) {
	i := rapid.IntRange(0, len(a.sim.agents)-1).Draw(t, "agent")
	desired := domain.EndpointServing
	if a.sim.config.endpoints[i].Desired == domain.EndpointServing {
		a.sim.counts[faultDrain]++
		desired = domain.EndpointDraining
	}
	a.sim.declareDesired(i, desired)
	a.advanceBriefly(t)
}

// stopAgent sends Shutdown to an agent.
func (a actions) stopAgent(t *rapid.T) {
	n := a.agent(t)
	if n.running() {
		a.sim.counts[faultAgentShutdown]++
		n.stopping = true
		n.setDraining(true)
		n.input(agent.Shutdown{})
	}
	a.advanceBriefly(t)
}

// stopEntry sends Shutdown to an entry.
func (a actions) stopEntry(t *rapid.T) {
	n := a.entry(t)
	if n.running() {
		a.sim.counts[faultEntryShutdown]++
		n.input(entry.Shutdown{})
	}
	a.advanceBriefly(t)
}

// steps returns the actions by name. Rapid draws names uniformly, so actions that
// should be more frequent are listed under several names. The action named ""
// runs after each step.
func (a actions) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"call": a.call, "call2": a.call, "call3": a.call, "burst": a.burst, "repeat": a.repeat, "repeat2": a.repeat,
		"hangUp": a.disconnectCaller, "wait": a.wait, "noise": a.messageFaults, "cut": a.cut, "reset": a.reset,
		"crashAgent": a.crashOrStartAgent, "pauseAgent": a.pauseOrResumeAgent, "pauseAgent2": a.pauseOrResumeAgent,
		"crashEntry": a.crashEntry, "pauseEntry": a.pauseOrResumeEntry,
		"endpointFault": a.endpointFault, "storeFault": a.storeFault,
		"drain": a.requestDrain, "declareDrain": a.declareDrain, "stopAgent": a.stopAgent, "stopEntry": a.stopEntry,
		"": a.check,
	}
}

func (a actions) check(t *rapid.T) {
	if len(a.sim.oracle.faults) > 0 {
		t.Fatalf("violated: %v", a.sim.oracle.faults)
	}
}

// TestGuaranteesUnderFaults guards against combinations of faults that break a
// guarantee: lost or wrong answers, repeated non-idempotent executions, wrong
// outcomes. It runs random sessions with every kind of fault and checks the
// oracle after each step.
func TestGuaranteesUnderFaults(t *testing.T) {
	counts := make(faultCounts)
	outcomes := make(map[domain.Outcome]int)
	var calls, steps int
	rapid.Check(t, func(t *rapid.T) {
		a := actions{sim: newSimulation(rapid.Uint64().Draw(t, "seed"), counts)}
		all := a.steps()
		countedSteps := make(map[string]func(*rapid.T), len(all))
		for name, fn := range all {
			countedSteps[name] = func(t *rapid.T) {
				steps++
				fn(t)
			}
		}
		t.Repeat(countedSteps)
		a.sim.recoverAll()
		a.check(t)
		calls += len(a.sim.oracle.calls)
		for o, n := range a.sim.oracle.outcomes {
			outcomes[o] += n
		}
	})
	t.Logf("steps %d, calls %d, outcomes %v", steps, calls, outcomes)
	logCounts(t, counts)
	for _, kind := range allFaults {
		assert.Check(t, counts[kind] > 0, "the fault %q never happened", kind)
	}
}

func logCounts(t *testing.T, counts faultCounts) {
	lines := make([]string, 0, len(counts))
	for kind, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", kind, n))
	}
	sort.Strings(lines)
	for _, line := range lines {
		t.Log(line)
	}
}
