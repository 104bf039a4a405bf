package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const (
	gateways = 4
	engines  = 12
	// minMetTargets is the minimum fraction of requests that meet their targets if the
	// engines have the capacity for them: of the highest tier, and at low load of all.
	minMetTargets = 0.99
)

func checkAtLeast(t *testing.T, metric string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f (at least %.3f)", metric, got, want)
	assert.Check(t, got >= want, "%s: %.3f, want at least %.3f", metric, got, want)
}

// TestLowLoad guards against placement rules that delay requests although the
// engines have spare capacity.
func TestLowLoad(t *testing.T) {
	t.Parallel()
	sim := newSimulation(1, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(constantRate(25)), shortPrompts(constantRate(30)), longAnswers(constantRate(10)))
	sim.finishRequests()
	for _, kind := range []string{"long", "short", "notes"} {
		checkAtLeast(t, kind+" met targets", sim.fractionOf(kind, 0, time.Hour, (*request).metTargets), minMetTargets)
	}
}

// TestBurstOfLongPrompts guards against a burst of long prompts whose prefill
// pauses urgent streams, and against answers that are cancelled at the timeout.
func TestBurstOfLongPrompts(t *testing.T) {
	t.Parallel()
	sim := newSimulation(2, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(burstRate(60, 2.5, 5*time.Second, 14*time.Second)), shortPrompts(constantRate(45)), longAnswers(constantRate(15)))
	sim.finishRequests()
	checkAtLeast(t, "notes met targets", sim.fractionOf("notes", 0, time.Hour, (*request).metTargets), minMetTargets)
	checkAtLeast(t, "short met targets", sim.fractionOf("short", 0, time.Hour, (*request).metTargets), 0.9)
	// Requests sent to an engine should complete: work for callers that disconnect is wasted.
	sent := func(q *request) bool { return q.ticket != nil }
	wasted := sim.fractionOf("long", 0, time.Hour, func(q *request) bool { return sent(q) && !q.completed })
	checkAtLeast(t, "long not wasted", 1-wasted, 0.9)
}

// TestPrefillIsNotWastedInOverload guards against prefill for callers that time
// out first: under sustained prefill overload, requests that are sent to an engine
// must complete.
func TestPrefillIsNotWastedInOverload(t *testing.T) {
	t.Parallel()
	sim := newSimulation(8, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(constantRate(180)), shortPrompts(constantRate(49)), longAnswers(constantRate(16)))
	sim.finishRequests()
	sent, wasted := 0, 0
	for _, q := range sim.requests {
		if q.kind == "long" && q.ticket != nil {
			sent++
			if !q.completed {
				wasted++
			}
		}
	}
	checkAtLeast(t, "sent requests completed", 1-float64(wasted)/float64(sent), 0.95)
}

// TestLongOutputsLeaveEnginesForPrefill guards against decode-heavy requests that
// spread over all engines, where they slow down prefill: in a burst of them beside
// many long prompts, the decode pool must be filled before other engines.
func TestLongOutputsLeaveEnginesForPrefill(t *testing.T) {
	t.Parallel()
	sim := newSimulation(9, gateways, engines)
	sim.simulate(15*time.Second, longPrompts(constantRate(130)), shortPrompts(constantRate(49)), longAnswers(burstRate(16, 3, 4*time.Second, 12*time.Second)))
	sim.finishRequests()
	served := func(q *request) bool { return q.completed }
	checkAtLeast(t, "long served", sim.fractionOf("long", 0, time.Hour, served), 0.8)
	checkAtLeast(t, "notes met targets", sim.fractionOf("notes", 0, time.Hour, (*request).metTargets), 0.9)
}

// TestSessionsStayAtAffinityEndpoints guards against repeated prefill of shared
// parts when sessions move between engines in a burst.
func TestSessionsStayAtAffinityEndpoints(t *testing.T) {
	t.Parallel()
	sim := newSimulation(3, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(burstRate(40, 2.5, 5*time.Second, 14*time.Second)), longAnswers(constantRate(15)))
	sim.finishRequests()
	checkAtLeast(t, "tokens not prefilled again", sim.uniquePrefillFraction(), 0.75)
}

// TestBusyAffinityEndpointsKeepSessions guards against sessions that leave busy
// affinity endpoints in overload. All engines are busy then, so spillover only
// causes their shared parts to be prefilled again.
func TestBusyAffinityEndpointsKeepSessions(t *testing.T) {
	t.Parallel()
	sim := newSimulation(10, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(constantRate(200)), shortPrompts(constantRate(49)), longAnswers(constantRate(16)))
	sim.finishRequests()
	checkAtLeast(t, "tokens not prefilled again", sim.uniquePrefillFraction(), 0.95)
	checkAtLeast(t, "long served", sim.fractionOf("long", 0, time.Hour, func(q *request) bool { return q.completed }), 0.6)
}

// TestBurstOfLongOutputs guards against a decode pool that follows a burst of
// decode-heavy requests too slowly; it should grow within one or two seconds.
func TestBurstOfLongOutputs(t *testing.T) {
	t.Parallel()
	sim := newSimulation(4, gateways, engines)
	sim.simulate(20*time.Second, longPrompts(constantRate(35)), longAnswers(burstRate(15, 2, 6*time.Second, 12*time.Second)))
	sim.finishRequests()
	checkAtLeast(t, "notes met targets", sim.fractionOf("notes", 0, time.Hour, (*request).metTargets), 0.97)
}

// TestSlowEngines guards against requests placed on engines whose steps take five
// times as long, which their queue lengths do not show.
func TestSlowEngines(t *testing.T) {
	t.Parallel()
	sim := newSimulation(11, gateways, engines)
	load := []workload{longPrompts(constantRate(40)), shortPrompts(constantRate(49)), longAnswers(constantRate(16))}
	sim.simulate(4*time.Second, load...)
	for _, e := range sim.engines[:3] {
		e.slowdown = 5
	}
	sim.simulate(12*time.Second, load...)
	sim.finishRequests()
	for _, kind := range []string{"long", "short", "notes"} {
		checkAtLeast(t, kind+" met targets", sim.fractionOf(kind, 0, time.Hour, (*request).metTargets), 0.95)
	}
}

// TestIsolatedGateway guards against late urgent streams when a gateway exchanges
// no digests with its peers.
func TestIsolatedGateway(t *testing.T) {
	t.Parallel()
	sim := newSimulation(5, gateways, engines)
	sim.simulate(4*time.Second, longPrompts(constantRate(30)), longAnswers(constantRate(12)))
	sim.gateways[0].isolated = true
	sim.simulate(8*time.Second, longPrompts(constantRate(30)), longAnswers(constantRate(12)))
	sim.finishRequests()
	checkAtLeast(t, "notes met targets", sim.fractionOf("notes", 0, time.Hour, (*request).metTargets), 0.95)
}

// TestNoPriorityInversionInOverload guards against a workload that is served less
// often than a less urgent one of the same service.
func TestNoPriorityInversionInOverload(t *testing.T) {
	t.Parallel()
	sim := newSimulation(6, gateways, engines)
	sim.simulate(15*time.Second, longPrompts(constantRate(150)), shortPrompts(constantRate(60)), longAnswers(constantRate(20)))
	sim.finishRequests()
	served := func(q *request) bool { return q.completed }
	top, middle, low := sim.fractionOf("notes", 0, time.Hour, served), sim.fractionOf("short", 0, time.Hour, served), sim.fractionOf("long", 0, time.Hour, served)
	t.Logf("served: notes %.3f, short %.3f, long %.3f", top, middle, low)
	assert.Assert(t, cmp.Comparison(func() cmp.Result {
		if top >= middle-0.05 && middle >= low-0.05 {
			return cmp.ResultSuccess
		}
		return cmp.ResultFailure("a workload is served less often than a less urgent one")
	}))
	checkAtLeast(t, "long served", low, 0.3)
}

// TestUrgentLongPromptsBeforeLessUrgent guards against long prompts that are rejected
// because less urgent requests with a longer target keep the backlogs above what
// the urgent ones may wait for: in a burst of the less urgent ones with cold
// caches, the urgent ones must be served first.
func TestUrgentLongPromptsBeforeLessUrgent(t *testing.T) {
	t.Parallel()
	sim := newSimulationOf(dense, 21, 5, 18)
	sim.simulate(12*time.Second, dossiers(burstRate(23, 2.5, 0, 9*time.Second)), programmeNotes(constantRate(17)), memberQuestions(constantRate(35)))
	sim.finishRequests()
	served := func(q *request) bool { return q.completed }
	checkAtLeast(t, "programme served", sim.fractionOf("programme", 0, time.Hour, served), 0.97)
	checkAtLeast(t, "programme met targets", sim.fractionOf("programme", 0, time.Hour, (*request).metTargets), 0.8)
	checkAtLeast(t, "dossier served", sim.fractionOf("dossier", 0, time.Hour, served), 0.8)
}

// TestUrgentRequestsStarvedByLessUrgentPrefill guards against urgent requests that are
// rejected because less urgent prompts, whose prefill lengthens all answers, are still
// placed: no window of five seconds may lose more than a twelfth of a kind of
// requests while less urgent ones start.
func TestUrgentRequestsStarvedByLessUrgentPrefill(t *testing.T) {
	t.Parallel()
	checkUrgentServed(t, 40, mixtureOfExperts, 12, 3*time.Second, longPrompts(burstRate(64, 3, 2*time.Second, 12*time.Second)), shortPrompts(constantRate(49)), longAnswers(constantRate(16)))
}

// TestUrgentRequestsStarvedUnderShortDeadlines guards against the same where the urgent
// requests have less time than declared, as after a change of their route's timeout.
func TestUrgentRequestsStarvedUnderShortDeadlines(t *testing.T) {
	t.Parallel()
	t.Run("short prompts", func(t *testing.T) {
		checkUrgentServed(t, 40, mixtureOfExperts, 12, time.Second, longPrompts(burstRate(64, 3, 2*time.Second, 12*time.Second)), shortPrompts(constantRate(49)), longAnswers(constantRate(16)))
	})
	t.Run("long prompts", func(t *testing.T) {
		checkUrgentServed(t, 40, dense, 18, 2*time.Second, dossiers(burstRate(23, 2.5, 2*time.Second, 12*time.Second)), programmeNotes(constantRate(17)), memberQuestions(constantRate(35)))
	})
}

// TestUrgentLongPromptsStarvedAtColdStart guards against the same with other draws, in which
// more of the urgent requests arrive while the engines' caches are cold and nothing has been learnt.
func TestUrgentLongPromptsStarvedAtColdStart(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{50, 53} {
		checkUrgentServed(t, seed, dense, 18, 2*time.Second, dossiers(burstRate(23, 2.5, 2*time.Second, 12*time.Second)), programmeNotes(constantRate(17)), memberQuestions(constantRate(35)))
	}
}

// checkUrgentServed checks in three simulations, from a seed on, that the urgent workload, with a given
// timeout, is served beside a less urgent and a more urgent one.
func checkUrgentServed(t *testing.T, firstSeed uint64, engine engineSpec, engines int, timeout time.Duration, lessUrgent, urgent, mostUrgent workload) {
	t.Helper()
	const window, minFailures, maxFraction = 5 * time.Second, 10, 1.0 / 12
	urgent.timeout = timeout
	for seed := firstSeed; seed < firstSeed+3; seed++ {
		sim := newSimulationOf(engine, seed, 5, engines)
		sim.simulate(12*time.Second, lessUrgent, urgent, mostUrgent)
		sim.finishRequests()
		fraction := sim.worstWindowFraction(urgent.name, window, minFailures)
		t.Logf("seed %d: worst window %.3f, served: urgent %.3f, less urgent %.3f, most urgent in time %.3f", seed, fraction,
			sim.fractionOf(urgent.name, 0, time.Hour, (*request).served), sim.fractionOf(lessUrgent.name, 0, time.Hour, (*request).served), sim.fractionOf(mostUrgent.name, 0, time.Hour, (*request).metTargets))
		assert.Check(t, fraction <= maxFraction, "seed %d: %.3f of the %s requests of a window got no answer, at most %.3f", seed, fraction, urgent.name, maxFraction)
		checkAtLeast(t, mostUrgent.name+" met targets", sim.fractionOf(mostUrgent.name, 0, time.Hour, (*request).metTargets), minMetTargets)
	}
}

// TestSharedPartsAreFetched guards against shared parts that are prefilled again
// wherever a session goes when its engine is busy, although another engine has them.
func TestSharedPartsAreFetched(t *testing.T) {
	t.Parallel()
	sim := newSimulationOf(dense, 22, 5, 18)
	sim.simulate(20*time.Second, dossiers(burstRate(23, 2, 8*time.Second, 14*time.Second)), programmeNotes(constantRate(17)), memberQuestions(constantRate(35)))
	sim.finishRequests()
	checkAtLeast(t, "tokens not prefilled again", sim.uniquePrefillFraction(), 0.95)
	checkAtLeast(t, "dossier met targets", sim.fractionOf("dossier", 5*time.Second, time.Hour, (*request).metTargets), 0.9)
}

// TestDeterminism guards against placement that depends on map order or another
// source of randomness: the same load and seed must give the same decisions.
func TestDeterminism(t *testing.T) {
	t.Parallel()
	simulate := func() []string {
		sim := newSimulation(7, gateways, engines)
		sim.simulate(5*time.Second, longPrompts(constantRate(60)), shortPrompts(constantRate(40)), longAnswers(constantRate(15)))
		var placements []string
		for _, q := range sim.requests {
			if q.ticket != nil {
				placements = append(placements, q.ticket.Endpoint.ID)
			} else {
				placements = append(placements, "")
			}
		}
		return placements
	}
	assert.DeepEqual(t, simulate(), simulate())
}
