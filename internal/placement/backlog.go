package placement

// PriorityLevels is the number of priorities that engines distinguish. Ranks of
// PriorityLevels-1 and above share the last one.
const PriorityLevels = 10

// Backlog is the prompt tokens that wait for prefill at an engine, by the priority
// of their requests. Engines prefill the prompts of urgent requests first.
type Backlog [PriorityLevels]int

// priorityLevel returns the engines' priority of a rank.
func priorityLevel(rank int) int { return min(max(rank, 0), PriorityLevels-1) }

// Total returns the tokens of all requests.
func (b Backlog) Total() int {
	total := 0
	for _, tokens := range b {
		total += tokens
	}
	return total
}

// upTo returns the tokens of the requests that are as urgent as a rank or more urgent.
func (b Backlog) upTo(rank int) int {
	total := 0
	for _, tokens := range b[:priorityLevel(rank)+1] {
		total += tokens
	}
	return total
}

// add adds other to b, or subtracts it if sign is -1.
func (b *Backlog) add(other Backlog, sign int) {
	for level := range b {
		b[level] += sign * other[level]
	}
}
