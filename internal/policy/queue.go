// Package policy implements the scheduling and admission rules of the entry and
// agent cores: prefix affinity, token buckets, retry budgets, adaptive concurrency
// limits, fair queueing, starvation protection, preemption and loans between limit
// shares. It also selects the links of entries (AgentLinks, PeerLinks) and provides the
// hash function Mix64.
//
// All state is in the values that callers hold; the package has none of its own.
// It does no I/O and uses no clock or random source: callers pass the time. The
// types are not safe for concurrent use.
package policy

import (
	"iter"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// QueuedRequest is a request in the queue of an endpoint.
type QueuedRequest struct {
	Tier domain.Tier
	// Class is a hash of the request class.
	Class uint32
	// Flow is the fair queueing state of the client account in the tier.
	Flow *Flow
	// Deadline is the time by which the latency target of the class must be met.
	Deadline domain.Instant
	// ArrivalSeq is a unique number that rises with each arrival.
	ArrivalSeq uint64
}

// Scheduler selects queued requests for an endpoint. Its fields describe the endpoint
// at the time of one decision.
type Scheduler struct {
	Now domain.Instant
	// TimeToTarget is the expected time from a grant to the event that the latency
	// target covers: the first token or the whole answer.
	TimeToTarget time.Duration
	// MaxLead is the maximum slot time by which a client account may be ahead of
	// its fair share and still be served.
	MaxLead time.Duration
}

// MeetsDeadline reports whether a request granted now is expected to meet its target.
func (s Scheduler) MeetsDeadline(r *QueuedRequest) bool {
	return !r.Deadline.Before(s.Now.Add(s.TimeToTarget))
}

// Pick returns the request to serve next, or nil if there are none, and the lowest
// virtual time of the client accounts with requests in its group: the requests of the
// same tier that are also expected to meet, or also to miss, their target.
//
// Invariant: requests are served by tier; within a tier, requests that can still
// meet their target come first; among those, the earliest deadline of the client
// accounts that are at most MaxLead ahead of their fair share. A request is never
// passed over for one of a lower tier.
func (s Scheduler) Pick(requests iter.Seq[*QueuedRequest]) (*QueuedRequest, time.Duration) {
	leader, minVirtualTime := s.leadingGroup(requests)
	if leader == nil {
		return nil, 0
	}
	var best *QueuedRequest
	for r := range requests {
		if s.compareUrgency(r, leader) != 0 || r.Flow.VirtualTime > minVirtualTime+s.MaxLead {
			continue
		}
		if best == nil || earlierDeadline(r, best) {
			best = r
		}
	}
	return best, minVirtualTime
}

// leadingGroup returns a request of the most urgent group (see compareUrgency) and
// the lowest virtual time in that group.
func (s Scheduler) leadingGroup(requests iter.Seq[*QueuedRequest]) (*QueuedRequest, time.Duration) {
	var leader *QueuedRequest
	var minVirtualTime time.Duration
	for r := range requests {
		comparison := -1
		if leader != nil {
			comparison = s.compareUrgency(r, leader)
		}
		switch {
		case comparison < 0:
			leader, minVirtualTime = r, r.Flow.VirtualTime
		case comparison == 0:
			minVirtualTime = min(minVirtualTime, r.Flow.VirtualTime)
		}
	}
	return leader, minVirtualTime
}

// compareUrgency returns a negative number if a is served before b because of its
// tier or because only a can meet its target, and 0 if a and b are in one group.
func (s Scheduler) compareUrgency(a, b *QueuedRequest) int {
	if a.Tier != b.Tier {
		return int(a.Tier) - int(b.Tier)
	}
	switch aOnTime, bOnTime := s.MeetsDeadline(a), s.MeetsDeadline(b); {
	case aOnTime == bOnTime:
		return 0
	case aOnTime:
		return -1
	}
	return 1
}

// earlierDeadline orders requests of one group by deadline, then by arrival.
func earlierDeadline(a, b *QueuedRequest) bool {
	if a.Deadline != b.Deadline {
		return a.Deadline.Before(b.Deadline)
	}
	return a.ArrivalSeq < b.ArrivalSeq
}

// DisplacementVictim returns the queued request to displace from a full queue in
// favour of a new request, or nil if the new request is to be refused.
//
// Invariant: the victim is of the lowest queued tier and never of a higher tier than
// the new request. A request of the same tier is displaced only if its client account
// has at least two more queued requests than the account of the new request. With one
// more, the exchange would only swap the two accounts' numbers of queued requests.
func DisplacementVictim(incoming *QueuedRequest, requests iter.Seq[*QueuedRequest]) *QueuedRequest {
	var victim *QueuedRequest
	for r := range requests {
		if victim == nil || displacedBefore(r, victim) {
			victim = r
		}
	}
	switch {
	case victim == nil || victim.Tier.Higher(incoming.Tier):
		return nil
	case victim.Tier == incoming.Tier && victim.Flow.Queued < incoming.Flow.Queued+2:
		return nil
	}
	return victim
}

// displacedBefore reports whether a is displaced before b: the lower tier first, then
// the account with more queued requests, then the later deadline.
func displacedBefore(a, b *QueuedRequest) bool {
	if a.Tier != b.Tier {
		return b.Tier.Higher(a.Tier)
	}
	if a.Flow.Queued != b.Flow.Queued {
		return a.Flow.Queued > b.Flow.Queued
	}
	return earlierDeadline(b, a)
}

// Bounds of the retry delay that a refused caller is given.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// RetryAfter returns the retry delay of a refused request: the expected wait behind
// the requests ahead of it, within bounds.
func RetryAfter(ahead, slots int, serviceTime time.Duration) time.Duration {
	wait := ExpectedWait(ahead, slots, serviceTime)
	return max(minRetryAfter, min(maxRetryAfter, wait))
}

// ExpectedWait returns the expected time until a slot is free for a request with ahead
// requests before it in the queue. A slots value of 0 counts as 1.
func ExpectedWait(ahead, slots int, serviceTime time.Duration) time.Duration {
	return serviceTime * time.Duration(ahead+1) / time.Duration(max(1, slots))
}
