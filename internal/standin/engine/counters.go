package engine

import "slices"

// End says how an execution ended.
type End string

// The ends of an execution. It is empty while the execution runs.
const (
	EndFinished  End = "finished"
	EndCancelled End = "cancelled"
	EndCrashed   End = "crashed"
)

// Execution is one run of a request: the tokens from From up to, not including, To.
type Execution struct {
	RequestID string `json:"request_id"`
	From      int    `json:"from"`
	To        int    `json:"to"`
	End       End    `json:"end"`
}

// Counters is what an engine has done so far.
type Counters struct {
	// Tokens is the number of answer tokens computed.
	Tokens uint64 `json:"tokens"`
	// WastedTokens are those of cancelled or crashed executions, and those
	// computed again for the same request.
	WastedTokens uint64 `json:"wasted_tokens"`
	// Duplicates is the number of executions that repeat tokens of the same request.
	Duplicates uint64      `json:"duplicates"`
	Executions []Execution `json:"executions"`
	// Orders are the orders that took effect.
	Orders []Order `json:"orders"`
}

type counterState struct {
	tokens    uint64
	byRequest map[string][]*Execution
	all       []*Execution
}

func (c *counterState) addExecution(j *job) {
	id := j.execution.RequestID
	c.byRequest[id] = append(c.byRequest[id], j.execution)
	c.all = append(c.all, j.execution)
}

// Counters returns the counters.
func (e *Engine) Counters() Counters {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := Counters{Tokens: e.counters.tokens, Orders: slices.Clone(e.orders.applied)}
	for _, x := range e.counters.all {
		out.Executions = append(out.Executions, *x)
	}
	out.WastedTokens, out.Duplicates = CountWaste(out.Executions)
	return out
}

// CountWaste returns the tokens wasted in executions, which may come from several
// engines, and the number of executions that repeat tokens. The tokens of a
// request that was finished are useful once; those of any other are wasted,
// but for requests that still run.
func CountWaste(executions []Execution) (tokens, duplicates uint64) {
	byRequest := make(map[string][]Execution)
	for _, x := range executions {
		byRequest[x.RequestID] = append(byRequest[x.RequestID], x)
	}
	for _, list := range byRequest {
		t, d := countRequestWaste(list)
		tokens += t
		duplicates += d
	}
	return tokens, duplicates
}

func countRequestWaste(list []Execution) (tokens, duplicates uint64) {
	slices.SortFunc(list, func(a, b Execution) int { return a.From - b.From })
	total, reach := 0, 0
	kept := false
	for i, x := range list {
		total += x.To - x.From
		kept = kept || x.End == EndFinished || x.End == ""
		if i > 0 && x.From < reach && x.To > x.From {
			duplicates++
		}
		reach = max(reach, x.To)
	}
	if !kept {
		return uint64(total), duplicates
	}
	return uint64(total - (reach - list[0].From)), duplicates
}
