package load

import (
	"github.com/dunlinpulley/dunlinpulley/internal/app"
)

// addCounters adds the work that the stand-ins have counted to the report.
func (r *Report) addCounters(d *app.Deployment, results []result) {
	byRequest := make(map[string]*result, len(results))
	for i := range results {
		if results[i].requestID != "" {
			byRequest[results[i].requestID] = &results[i]
		}
	}
	r.countEngineWork(d, byRequest)
	r.countServiceRuns(d, byRequest)
}

// countEngineWork computes the share of wasted tokens, and counts the calls that an
// engine executed though they ended as not-run. Each token of a complete, correct
// answer is useful once; all other computed tokens are wasted.
func (r *Report) countEngineWork(d *app.Deployment, byRequest map[string]*result) {
	computed, useful := 0, 0
	executed := make(map[string]bool)
	for _, e := range d.Engines {
		for _, execution := range e.Counters().Executions {
			computed += execution.To - execution.From
			executed[execution.RequestID] = true
		}
	}
	for id := range executed {
		result := byRequest[id]
		if result == nil {
			continue
		}
		if result.isComplete() && !result.wrongText() {
			useful += len(result.arrival.expected)
		}
		if result.outcome == outcomeNotRun {
			r.FalseNotRuns++
		}
	}
	if computed > 0 {
		r.WastedWorkRatio = float64(computed-useful) / float64(computed)
	}
}

// countServiceRuns counts repeated executions of non-idempotent calls, and the calls
// that a plain service executed though they ended as not-run.
func (r *Report) countServiceRuns(d *app.Deployment, byRequest map[string]*result) {
	executionsByCall := make(map[string]int)
	for _, s := range d.Services {
		counters := s.Counters()
		for call, n := range counters.ByOrder {
			executionsByCall[call] += n
		}
		for id := range counters.ByRequest {
			result := byRequest[id]
			if result != nil && result.outcome == outcomeNotRun {
				r.FalseNotRuns++
			}
		}
	}
	for _, n := range executionsByCall {
		r.DuplicateRuns += n - 1
	}
}
