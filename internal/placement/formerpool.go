package placement

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// Streams that outlive their pool. In a burst the decode pool changes its size by an engine or two several times a
// second, and the engines that leave it run streams for seconds. Prompts of any length that wait there for
// prefill would pause all of them.

// protectsStreams reports whether an engine takes no request of the prefill pool because it is or was in the decode
// pool. In the pool it takes such a request only with a prompt that is not long and while it has nothing to pause.
// After it has left the pool it takes any when its streams have ended.
func (s *endpointState) protectsStreams(now domain.Instant, svc *service, q Query, c candidate) bool {
	if isDecodeHeavy(q) || s.admitsVisitor(now, svc, q, c) {
		return false
	}
	streams := s.decodeHeavyRequests() > 0
	return c.formerDecodePool && streams || !c.inPool && (isLongPrompt(q) || streams)
}
