package placement

import "time"

// The cost of a backlog follows from the time that its prefill takes. Were it a fixed number of tokens, engines that
// prefill at a third of the speed would look three times as free as they are, and a burst of short prompts would be
// spread by slots in use alone, which delays the streams of those that get several at once.

const (
	// fullBacklogTime is the prefill time of a backlog with a cost of 1.
	fullBacklogTime = 420 * time.Millisecond
	// maxFullBacklogTokens bounds it in tokens: what engines at 95 tokens/ms prefill in fullBacklogTime.
	maxFullBacklogTokens = 40_000.0
)

// fullBacklogTokens is the backlog with a cost of 1 at the engines of a service.
func (svc *service) fullBacklogTokens() float64 {
	return min(maxFullBacklogTokens, svc.prefillSpeed.tokens()*float64(fullBacklogTime.Milliseconds()))
}
