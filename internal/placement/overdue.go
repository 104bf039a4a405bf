package placement

import "github.com/dunlinpulley/dunlinpulley/internal/domain"

// Overdue requests. In overload a request can wait in a gateway's queue until it can't meet its target any more, as the two
// engines of its session are busy. A late answer is better than none: while less urgent requests arrive, whose
// prompts take the time that the shared parts of the session cost, it may also go to the next engines of the session's affinity list. It
// may not go to any engine: all that wait at all gateways would go to the one that has room, before these
// hear of each other.

// pairWidth is the number of endpoints of its affinity list that a request may go to before it is overdue.
const pairWidth = 2

// affinityWidthOf returns the number of endpoints of its affinity list that a request may go to.
func (svc *service) affinityWidthOf(now domain.Instant, q Query) int {
	if q.Overdue && svc.prefillCeiling.levelsBelow(now, priorityLevel(q.Rank)) > 0 {
		return affinityWidth
	}
	return pairWidth
}
