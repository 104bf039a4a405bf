package placement

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Long answers beside prefill. While less urgent prompts keep engines busy, each token
// takes as long as a prefill chunk, and an answer of many tokens ends after its
// deadline. A request with such an answer may leave the affinity endpoints of its
// session for an engine that is less busy, and also go to an engine of the decode pool that
// can prefill it in one chunk.

// maxVisitorUtilization is the prefill utilization above which an engine of the decode pool
// takes no such request: chunks in a row would pause its streams.
const maxVisitorUtilization = 0.15

// mayLeaveAffinity reports whether a request that a usable engine would take but for the
// deadline may go to any engine. Without less urgent prompts at the engines, it
// would only move the load.
func (q Query) mayLeaveAffinity(usable []*endpointState) bool {
	return !isDecodeHeavy(q) && slices.ContainsFunc(usable, func(s *endpointState) bool { return s.backlogBehind(q) > 0 })
}

// admitsVisitor reports whether an engine of the decode pool takes a request of the prefill
// pool whose answer would end too late there.
func (s *endpointState) admitsVisitor(now domain.Instant, svc *service, q Query, c candidate) bool {
	return q.leavesAffinity && c.prefillTokens <= prefillChunkTokens && s.prefillUtilization(now, svc) <= maxVisitorUtilization
}

// expectedEventGap is the expected time between two events of a request's answer. An engine that
// has less urgent prompts to prefill is going to be as slow as prefilling engines are, whatever its
// streams have shown so far. 0 means that it is not known.
func (s *endpointState) expectedEventGap(now domain.Instant, svc *service, q Query) time.Duration {
	gap := s.meanEventGap(now)
	if gap > 0 && s.backlogBehind(q) > 0 && !isDecodeHeavy(q) && svc.busyGap.gaps >= minBusyGaps {
		gap = max(gap, svc.busyGap.gap.mean)
	}
	return gap
}
