package engine

import "slices"

// End is the way in which an execution ended.
type End string

// Ends of an execution. The zero value means that the execution is in progress.
const (
	EndFinished  End = "finished"
	EndCancelled End = "cancelled"
	EndCrashed   End = "crashed"
)

// Execution is one run of a request. It computed the answer tokens [From, To).
type Execution struct {
	RequestID string `json:"request_id"`
	From      int    `json:"from"`
	To        int    `json:"to"`
	End       End    `json:"end"`
}

// Counters holds an engine's totals since it was created.
type Counters struct {
	// Tokens is the number of answer tokens computed.
	Tokens uint64 `json:"tokens"`
	// WastedTokens is the number of tokens of cancelled or crashed executions and
	// of tokens computed again for the same request. See CountWaste.
	WastedTokens uint64 `json:"wasted_tokens"`
	// Duplicates is the number of executions that repeat tokens of their request.
	Duplicates uint64      `json:"duplicates"`
	Executions []Execution `json:"executions"`
	// Orders holds the orders applied, oldest first.
	Orders []Order `json:"orders"`
}

// counterState collects the data of Counters. The engine's mutex guards it.
type counterState struct {
	tokens    uint64
	byRequest map[string][]*Execution
	all       []*Execution // in the order of their start
}

func (c *counterState) addExecution(j *job) {
	id := j.execution.RequestID
	c.byRequest[id] = append(c.byRequest[id], j.execution)
	c.all = append(c.all, j.execution)
}

// Counters returns a copy of the engine's counters.
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

// CountWaste returns the number of tokens wasted in executions, which may come
// from several engines, and the number of executions that compute tokens of
// their request again. If an execution of a request has finished or is in
// progress, each of its tokens is useful once and wasted when computed again;
// otherwise all tokens of the request are wasted.
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

// countRequestWaste is CountWaste for the executions of one request. It sorts them.
func countRequestWaste(list []Execution) (tokens, duplicates uint64) {
	slices.SortFunc(list, func(a, b Execution) int { return a.From - b.From })
	total, maxTo := 0, 0
	useful := false
	for i, x := range list {
		total += x.To - x.From
		useful = useful || x.End == EndFinished || x.End == ""
		if i > 0 && x.From < maxTo && x.To > x.From {
			duplicates++
		}
		maxTo = max(maxTo, x.To)
	}
	if !useful {
		return uint64(total), duplicates
	}
	return uint64(total - (maxTo - list[0].From)), duplicates
}
