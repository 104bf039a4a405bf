package placement

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// Request limits. An endpoint in need names in its answers how many requests per second
// it takes from all processes together. The processes divide the limit without asking
// each other: in any window an endpoint takes a whole number of requests, its quota, and
// each process has a share of it that follows from the endpoint's identifier and the
// processes that it knows. The invariant: if all processes know the limit and the
// same processes, their shares add up to the quota. A process that knows fewer takes a larger
// share, so that processes are remembered for some time after their last sign.

const (
	// limitWindow is the length of the window of a quota. It is longer for a limit that
	// allows less than one request in it.
	limitWindow = 5 * time.Second
	// minLimit is the lowest limit per second that is kept. Without any request, its end
	// would not be noticed.
	minLimit = 0.1
	// limitTolerance is the ratio of the requests that an endpoint may have got in the
	// last window to its quota above which it gets no more until they are a window ago.
	limitTolerance = 1.2
	// sentMargin is the number of requests in the last window by which each process may have
	// sent more than this one.
	sentMargin = 2
	// joinTime is how long after its first call of SetProcesses a process sends nothing
	// to endpoints with a limit, because it doesn't know all others yet.
	joinTime = 4 * time.Second
	// endedLimitAge is how long the end of a limit is announced to peers.
	endedLimitAge = 10 * time.Second
	// limitRecordAge is how long the record of an endpoint without an entry is kept.
	limitRecordAge = time.Minute
)

// requestLimit is the number of requests per second that an endpoint takes from all
// processes together, as its answers name it. The zero value is no limit.
type requestLimit struct {
	named     bool
	perSecond float64
	seenAt    domain.Instant // arrival, here or at a peer, of the last answer that confirmed the limit or its absence
	holdUntil domain.Instant // no request is sent before this time
	own       statedLimit
}

// statedLimit is what an endpoint's last answer to this process said of its limit.
type statedLimit struct {
	named     bool
	perSecond float64
	at        domain.Instant // arrival of the answer
	endedAt   domain.Instant // arrival of the first answer without a limit that was known, here or at a peer; 0 if there was none
}

// limitRecord is what this process knows of an endpoint's limit and pause and what it has sent there. It
// outlasts the registry entry, which can be missing for a moment.
type limitRecord struct {
	address netip.AddrPort
	start   int64
	usedAt  domain.Instant // when the endpoint was last added
	limit   requestLimit
	sent    []domain.Instant // requests of this process in the last window of limit, oldest first
	pause   pause
}

// limitRecordOf returns the record of an endpoint that is added, and discards those of
// endpoints that were removed long ago.
func (t *Table) limitRecordOf(now domain.Instant, e Endpoint) *limitRecord {
	for id, r := range t.limitRecords {
		if t.byID[id] == nil && now.Sub(max(r.usedAt, r.limit.seenAt, r.pause.until)) > limitRecordAge {
			delete(t.limitRecords, id)
		}
	}
	r := t.limitRecords[e.ID]
	if r == nil || r.address != e.Address || r.start != e.Start {
		r = &limitRecord{address: e.Address, start: e.Start}
		t.limitRecords[e.ID] = r
	}
	r.usedAt = now
	return r
}

// window is the length of the window of the endpoint's quota.
func (l requestLimit) window() time.Duration {
	if !l.named {
		return limitWindow
	}
	return max(limitWindow, time.Duration(float64(time.Second)/max(l.perSecond, minLimit)))
}

// quota is the number of requests that the endpoint takes in any window.
func (l requestLimit) quota() int {
	return max(1, int(l.perSecond*l.window().Seconds()))
}

// quotaShare returns the part of an endpoint's quota that this process may use.
func (t *Table) quotaShare(s *endpointState) int {
	quota, processes := s.limit.quota(), len(t.otherProcesses)+1
	share := quota / processes
	// The processes with the highest rendezvous scores for the endpoint get what is left.
	own, rank := policy.Mix64(t.process^s.idHash), 0
	for _, other := range t.otherProcesses {
		if policy.Mix64(other^s.idHash) > own {
			rank++
		}
	}
	if rank < quota%processes {
		share++
	}
	return share
}

// withinLimit reports whether this process may send an endpoint a request now.
func (t *Table) withinLimit(now domain.Instant, s *endpointState) bool {
	if !s.limit.named {
		return true
	}
	joined := t.joinedAt > 0 && now.Sub(t.joinedAt) >= joinTime
	return joined && now >= s.limit.holdUntil && s.sentSince(now.Add(-s.limit.window())) < t.quotaShare(s)
}

// never is the time of an event that is not known to come.
const never = domain.Instant(math.MaxInt64)

// limitFreeAt returns when this process may send an endpoint a request, as far as its limit says;
// never if it has no share of it.
func (t *Table) limitFreeAt(now domain.Instant, s *endpointState) domain.Instant {
	if t.withinLimit(now, s) {
		return now
	}
	share := t.quotaShare(s)
	if t.joinedAt == 0 || share == 0 {
		return never
	}
	at := max(t.joinedAt.Add(joinTime), s.limit.holdUntil, now)
	if n := len(s.sent); n >= share {
		// The request after which share-1 others are in the window has to leave it.
		at = max(at, s.sent[n-share].Add(s.limit.window()))
	}
	return at
}

// sentSince returns the number of requests that this process has sent to the endpoint
// after a time, at most one window ago.
func (r *limitRecord) sentSince(from domain.Instant) int {
	first, _ := slices.BinarySearch(r.sent, from+1)
	return len(r.sent) - first
}

// recordSent records a request that this process sends to the endpoint.
func (r *limitRecord) recordSent(now domain.Instant) {
	expired := len(r.sent) - r.sentSince(now.Add(-r.limit.window()))
	r.sent = append(slices.Delete(r.sent, 0, expired), now)
}

// SetProcesses sets the processes that send requests to the same endpoints: a number for
// this one, and different ones for the others, on which all processes agree. Before
// the first call, and for joinTime after it, endpoints with a limit get no request.
func (t *Table) SetProcesses(now domain.Instant, own uint64, others []uint64) {
	if t.joinedAt == 0 {
		t.joinedAt = now
	}
	t.process, t.otherProcesses = own, others
}

// RecordLimit records the limit that an endpoint named in its answer to a request, or
// +Inf if it named none. It reports whether the limit has changed. An answer without a
// limit ends it only if the request was placed after the limit was last seen: otherwise
// the answer may have been sent before.
func (t *Table) RecordLimit(now domain.Instant, ticket *Ticket, perSecond float64) bool {
	s, named := ticket.endpointState, !math.IsInf(perSecond, 1)
	if !named && ticket.placedAt <= s.limit.seenAt {
		return false
	}
	own := &s.limit.own
	if !named && (own.named || s.limit.named) {
		// Processes without a share of the quota learn its end from others only.
		own.endedAt = now
	}
	own.named, own.perSecond, own.at = named, perSecond, now
	return t.setLimit(now, s, named, perSecond, now)
}

// setLimit replaces the limit of an endpoint and reports whether it has changed. After a
// change that the requests of the last window exceed, the endpoint gets none until they
// are a window ago.
func (t *Table) setLimit(now domain.Instant, s *endpointState, named bool, perSecond float64, seenAt domain.Instant) bool {
	old := s.limit
	s.limit.named, s.limit.perSecond, s.limit.seenAt = named, perSecond, seenAt
	if !named {
		return old.named
	}
	if old.named && old.perSecond == perSecond {
		return false
	}
	sentByAll := (s.sentSince(now.Add(-limitWindow)) + sentMargin) * (len(t.otherProcesses) + 1)
	if old.named {
		sentByAll = old.quota()
	}
	if float64(sentByAll) > limitTolerance*float64(s.limit.quota()) {
		s.limit.holdUntil = now.Add(s.limit.window())
	}
	return true
}

// PeerLimit is the limit of an endpoint that a process knows.
type PeerLimit struct {
	// Endpoint is the low 32 bits of the hash of the endpoint's identifier.
	Endpoint uint32
	// PerSecond is the limit in requests per second; negative if the endpoint no longer
	// names one.
	PerSecond float64
	// Age is the time since an answer last confirmed it.
	Age time.Duration
}

// ownLimits returns what endpoints have said of their limits to this process, in the order of
// their hashes. What peers have said is not repeated: the time in transit would add up.
func (t *Table) ownLimits(now domain.Instant) []PeerLimit {
	var limits []PeerLimit
	for _, s := range t.byID {
		own := s.limit.own
		l := PeerLimit{Endpoint: s.hash(), PerSecond: own.perSecond, Age: now.Sub(own.at)}
		switch {
		case own.named && s.limit.named:
		case !own.named && own.endedAt > 0 && now.Sub(own.endedAt) <= endedLimitAge:
			l.PerSecond = -1
		default:
			continue
		}
		limits = append(limits, l)
	}
	slices.SortFunc(limits, func(a, b PeerLimit) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return limits
}

// ChangedLimit is a limit of an endpoint that was learned from a peer.
type ChangedLimit struct {
	Endpoint string
	// PerSecond is the limit in requests per second; +Inf if it has ended.
	PerSecond float64
}

// addPeerLimits applies what endpoints have said to a peer later than to this process. It
// returns the limits that have changed.
func (t *Table) addPeerLimits(now domain.Instant, limits []PeerLimit) []ChangedLimit {
	var changed []ChangedLimit
	for _, l := range limits {
		s, seenAt := t.byHash[l.Endpoint], now.Add(-l.Age)
		if s == nil || seenAt <= s.limit.seenAt {
			continue
		}
		if !t.setLimit(now, s, l.PerSecond >= 0, l.PerSecond, seenAt) {
			continue
		}
		c := ChangedLimit{Endpoint: s.ID, PerSecond: l.PerSecond}
		if l.PerSecond < 0 {
			c.PerSecond = math.Inf(1)
		}
		changed = append(changed, c)
	}
	return changed
}
