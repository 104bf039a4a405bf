package load

import (
	"github.com/dunlinpulley/dunlinpulley/internal/app"
)

// addCounters adds what the stand-ins have counted to the report.
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

// countEngineWork counts the tokens that are of no use: all but one run of each
// token of the answers that came whole.
func (r *Report) countEngineWork(d *app.Deployment, byRequest map[string]*result) {
	computed, useful := 0, 0
	ran := make(map[string]bool)
	for _, e := range d.Engines {
		for _, x := range e.Counters().Executions {
			computed += x.To - x.From
			ran[x.RequestID] = true
		}
	}
	for id := range ran {
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

func (r *Report) countServiceRuns(d *app.Deployment, byRequest map[string]*result) {
	orders := make(map[string]int)
	for _, s := range d.Services {
		counters := s.Counters()
		for order, n := range counters.ByOrder {
			orders[order] += n
		}
		for id := range counters.ByRequest {
			result := byRequest[id]
			if result != nil && result.outcome == outcomeNotRun {
				r.FalseNotRuns++
			}
		}
	}
	for _, n := range orders {
		r.DuplicateRuns += n - 1
	}
}
