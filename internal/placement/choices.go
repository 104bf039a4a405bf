package placement

// The load pattern: many requests wait at a large fleet, and each is tried again and again. A long prompt of a session goes to the few engines of its
// affinity list only, so that a try examines these and none of the others.

// staysInAffinity reports whether a request goes to the engines of its affinity list only, as far as its pool is concerned.
func (q Query) staysInAffinity() bool {
	return !isDecodeHeavy(q) && !q.leavesAffinity && sharedTokens(q.Parts) > prefillChunkTokens
}

// choices returns those of the usable engines that may be able to take a request, in their order. Every other one has an obstacle: ObstacleAffinity
// in the request's pool, and ObstaclePool, which holds for long prompts, outside.
func (l layout) choices(usable []*endpointState, q Query) []*endpointState {
	if l.affinityUnhealthy || len(l.affinityEndpoints) == 0 || !isLongPrompt(q) || !q.staysInAffinity() {
		return usable
	}
	choices := make([]*endpointState, 0, affinityWidth)
	for _, s := range usable {
		if rank := l.affinityEndpoints.rank(s); rank > 0 && rank <= l.affinityWidth {
			choices = append(choices, s)
		}
	}
	return choices
}
