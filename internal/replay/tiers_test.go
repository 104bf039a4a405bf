package replay

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// starvationWindow, minStarved and maxStarvedFraction say when a kind of requests starves: in a window, at least minStarved and more
	// than this fraction get no answer.
	starvationWindow   = 5 * time.Second
	minStarved         = 10
	maxStarvedFraction = 1.0 / 12
	// maxBegun is the number of less urgent requests of over twice their size that may begin then: those on their way to an engine.
	maxBegun = 9
)

// promptTokens returns the length of a request's prompt.
func (q *request) promptTokens() int {
	tokens := 0
	for _, p := range q.query.Parts {
		tokens += p.Tokens
	}
	return tokens
}

// begunBesideStarving returns, for the windows in which requests of a kind starve, the largest number of
// requests of over twice their size that are less urgent than any of those and begin after the first minStarved of these have arrived.
func (sim *simulation) begunBesideStarving(kind string) int {
	most := 0
	for from := time.Duration(0); from+starvationWindow <= sim.now; from += 500 * time.Millisecond {
		requests, rank, tokens := 0, 0, 0
		var lost []*request
		for _, q := range sim.requests {
			if q.kind != kind || q.arrived < from || q.arrived >= from+starvationWindow {
				continue
			}
			requests++
			if !q.completed {
				lost = append(lost, q)
				rank, tokens = max(rank, q.query.Rank), tokens+q.promptTokens()
			}
		}
		if len(lost) < minStarved || float64(len(lost)) <= maxStarvedFraction*float64(requests) {
			continue
		}
		since, begun := lost[minStarved-1].arrived, 0
		for _, q := range sim.requests {
			if q.query.Rank > rank && q.firstEventAt > since && q.firstEventAt < from+starvationWindow && q.promptTokens() > 2*tokens/len(lost) {
				begun++
			}
		}
		most = max(most, begun)
	}
	return most
}

// unservedSeed is the seed at which requests of the higher tier fill the engines at the start, so that more than
// maxStarvedFraction of the lower one's get no answer in any order.
const unservedSeed = 63

// TestUrgentRequestsOfLowerTierStarved guards against urgent requests of accounts of a lower tier that are rejected, while larger
// prompts of less urgency start: by the limit that protects the requests of the higher tier, or as nothing keeps the order.
func TestUrgentRequestsOfLowerTierStarved(t *testing.T) {
	t.Parallel()
	// With a share of 0.5, the requests of the higher tier alone fill the engines.
	for _, lowerTierShare := range []float64{0.5, 0.65} {
		for seed := uint64(60); seed < 64; seed++ {
			t.Run(fmt.Sprintf("share=%v,seed=%d", lowerTierShare, seed), func(t *testing.T) {
				t.Parallel()
				sim := newSimulationOf(dense, seed, 12, 18)
				question, programme, dossier := memberQuestions(constantRate(32)), programmeNotes(burstRate(16, 2, 7500*time.Millisecond, 12500*time.Millisecond)), dossiers(burstRate(34, 3, 2300*time.Millisecond, 10300*time.Millisecond))
				sim.simulate(16*time.Second, mixedTiers(question, lowerTierShare), mixedTiers(programme, lowerTierShare), mixedTiers(dossier, lowerTierShare))
				sim.finishRequests()
				begun, fraction := sim.begunBesideStarving("programme"), sim.worstWindowFraction("programme", starvationWindow, minStarved)
				t.Logf("worst window %.3f, %d begun beside; served: programme %.3f, dossier %.3f", fraction, begun,
					sim.fractionOf("programme", 0, time.Hour, (*request).served), sim.fractionOf("dossier", 0, time.Hour, (*request).served))
				assert.Check(t, begun <= maxBegun, "%d less urgent requests began while urgent ones got no answer", begun)
				if lowerTierShare > 0.5 && seed != unservedSeed {
					assert.Check(t, fraction <= maxStarvedFraction, "%.3f of the requests of a window got no answer, at most %.3f", fraction, maxStarvedFraction)
				}
				checkAtLeast(t, "question met targets", sim.fractionOf("question", 0, time.Hour, (*request).metTargets), minMetTargets)
			})
		}
	}
}

// TestUrgentRequestsStarvedByMediumPrompts guards against urgent requests that get no answer while less urgent ones start that are over
// twice their size, but whose prompts don't count as long.
func TestUrgentRequestsStarvedByMediumPrompts(t *testing.T) {
	t.Parallel()
	medium := longPrompts(burstRate(100, 3, 2*time.Second, 12*time.Second))
	medium.systemPrompt, medium.sessionTokens, medium.uniqueTokens = 1500, 1500, 3000
	urgent := shortPrompts(constantRate(49))
	urgent.timeout = time.Second
	for seed := uint64(80); seed < 83; seed++ {
		sim := newSimulation(seed, 5, 12)
		sim.simulate(12*time.Second, medium, urgent, longAnswers(constantRate(16)))
		sim.finishRequests()
		begun, fraction := sim.begunBesideStarving(urgent.name), sim.worstWindowFraction(urgent.name, starvationWindow, minStarved)
		t.Logf("seed %d: worst window %.3f, %d begun beside; served: urgent %.3f, medium %.3f", seed, fraction, begun,
			sim.fractionOf(urgent.name, 0, time.Hour, (*request).served), sim.fractionOf(medium.name, 0, time.Hour, (*request).served))
		assert.Check(t, begun <= maxBegun, "%d less urgent requests began while urgent ones got no answer", begun)
		assert.Check(t, fraction <= maxStarvedFraction, "%.3f of the requests of a window got no answer, at most %.3f", fraction, maxStarvedFraction)
	}
}
