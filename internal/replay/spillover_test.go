package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// sitesLoad returns the three classes of the deployments, at a multiple of a load that fills a third of 27 engines.
func sitesLoad(times float64) []workload {
	long, short, notes := longPrompts(constantRate(30*times)), shortPrompts(constantRate(45*times)), longAnswers(constantRate(35*times))
	long.target, long.eventGapTarget = 2*time.Second, time.Second
	short.eventGapTarget, notes.eventGapTarget = 400*time.Millisecond, 250*time.Millisecond
	return []workload{long, short, notes}
}

// logSites logs what the callers of each class got and how many of their requests crossed.
func logSites(t *testing.T, sim *simulation) {
	t.Helper()
	for _, kind := range []string{"long", "short", "notes"} {
		t.Logf("%s: met targets %.3f, served %.3f, crossed %.3f", kind, sim.fractionOf(kind, 0, time.Hour, (*request).metTargets),
			sim.fractionOf(kind, 0, time.Hour, (*request).served), sim.crossedFrom(kind, "", 0, time.Hour))
	}
	t.Logf("tokens not prefilled again %.3f", sim.uniquePrefillFraction())
}

// TestRequestsStayAtHome guards against traffic between data centres that serves nobody, up to a load at which the engines are nearly
// full: requests with short shared parts stay at home, and as many meet their targets as without regard to data centres.
func TestRequestsStayAtHome(t *testing.T) {
	for _, times := range []float64{1, 2.5} {
		var before, after *simulation
		for _, mode := range []placement.SpilloverMode{placement.SpilloverAnywhere, placement.SpilloverAuto} {
			before, after = after, newSitesSimulation(100, mode, 3, 9, 9, 9)
			after.simulate(15*time.Second, sitesLoad(times)...)
			after.finishRequests()
			logSites(t, after)
		}
		for _, kind := range []string{"short", "notes"} {
			assert.Check(t, before.crossedFrom(kind, "", 0, time.Hour) > 0.3)
			assert.Check(t, after.crossedFrom(kind, "", 0, time.Hour) < 0.05)
		}
		for _, kind := range []string{"long", "short", "notes"} {
			met := func(sim *simulation) float64 { return sim.fractionOf(kind, 0, time.Hour, (*request).metTargets) }
			checkAtLeast(t, kind+" met targets", met(after), met(before)-0.01)
		}
	}
}
