package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// starvationWindow, minStarved and maxStarvedFraction say when a kind of requests is starved: in a window, at least minStarved and more
	// than this fraction get no answer while less urgent ones start.
	starvationWindow   = 5 * time.Second
	minStarved         = 10
	maxStarvedFraction = 1.0 / 12
)

// TestUrgentRequestsOfLowerTierStarved guards against urgent requests of accounts of a lower tier that are rejected by the limit that protects those of
// the higher tier, while larger requests of routes of less urgency start.
func TestUrgentRequestsOfLowerTierStarved(t *testing.T) {
	for seed := uint64(60); seed < 64; seed++ {
		sim := newSimulationOf(dense, seed, 12, 18)
		question, programme, dossier := mixedTiers(memberQuestions(constantRate(32))), mixedTiers(programmeNotes(burstRate(16, 2, 7500*time.Millisecond, 12500*time.Millisecond))), mixedTiers(dossiers(burstRate(34, 3, 2300*time.Millisecond, 10300*time.Millisecond)))
		sim.simulate(16*time.Second, question, programme, dossier)
		sim.finishRequests()
		for _, tier := range []int{0, 1} {
			ofTier := func(kind string, served bool) float64 {
				return sim.fractionOf(kind, 0, time.Hour, func(q *request) bool { return q.query.Rank/tierRanks == tier && (!served || q.completed) })
			}
			t.Logf("seed %d tier %d: served question %.3f programme %.3f dossier %.3f", seed, tier, ofTier("question", true)/ofTier("question", false), ofTier("programme", true)/ofTier("programme", false), ofTier("dossier", true)/ofTier("dossier", false))
		}
		fraction := sim.worstWindowFraction("programme", starvationWindow, minStarved)
		t.Logf("seed %d: worst window %.3f, question met targets %.3f", seed, fraction, sim.fractionOf("question", 0, time.Hour, (*request).metTargets))
		assert.Check(t, fraction <= maxStarvedFraction, "seed %d: %.3f of the requests of a window got no answer, at most %.3f", seed, fraction, maxStarvedFraction)
	}
}
