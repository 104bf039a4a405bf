package placement

import "slices"

// Long answers beside prefill. While less urgent prompts keep engines busy, each token
// takes as long as a prefill chunk, and an answer of many tokens ends after its
// deadline. A request with such an answer may leave the affinity endpoints of its
// session for an engine that is less busy.

// mayLeaveAffinity reports whether a request that a usable engine would take but for the
// deadline may go to any engine of its pool. Without less urgent prompts at the engines, it
// would only move the load.
func (q Query) mayLeaveAffinity(usable []*endpointState) bool {
	return !isDecodeHeavy(q) && slices.ContainsFunc(usable, func(s *endpointState) bool { return s.backlogBehind(q) > 0 })
}
