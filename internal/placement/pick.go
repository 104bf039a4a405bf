package placement

import (
	"net/netip"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

// Query describes a request to place.
type Query struct {
	Service string
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// Parts are the parts of the prompt, in order; empty for plain services.
	Parts []Part
	// MaxTokens is the maximum number of tokens of the answer; 0 if not declared.
	MaxTokens int
	// ExpectedTokens is the expected number of tokens of the answer; 0 if not declared.
	ExpectedTokens int
	// Target is the time to the first event within which the answer is useful; 0 if none.
	Target time.Duration
	// GapTarget is the pause between two events within which a stream is useful; 0 if none.
	GapTarget time.Duration
	// Deadline is when the whole answer has to be complete; 0 if there is no deadline.
	Deadline domain.Instant
	// Overdue is whether the request can't meet Target any more.
	Overdue bool
	// Exclude are the endpoints that the request has already been sent to.
	Exclude []string

	// Version is the software version at which the endpoint has to be; 0 for any.
	Version streamversions.Version

	leavesAffinity bool // see mayLeaveAffinity
}

// Ticket is a request that has been placed on an endpoint, with the estimates
// behind the choice.
type Ticket struct {
	Endpoint Endpoint
	// Score is the sum of the endpoint's costs. Pick takes the candidate with the lowest.
	Score float64
	// Candidates is the number of usable endpoints.
	Candidates int
	// DecodePoolSize is the size of the decode pool.
	DecodePoolSize int
	// InPool is whether the endpoint counts as in the request's pool: it is in the
	// pool, there is no decode pool, or the request's pool is the prefill pool and
	// has no usable engine.
	InPool bool
	// AffinityRank is 1 for the primary and 2 for the secondary endpoint of the session, 3 and 4 for
	// those to which it goes if it is overdue, and 0 for others.
	AffinityRank int
	// Demand is the estimated number of requests that run or wait at the endpoint;
	// 0 for plain services.
	Demand int
	// Backlog is the estimated number of prompt tokens that the endpoint prefills
	// before those of the request.
	Backlog int
	// PrefillTokens is the estimated number of prompt tokens that it prefills for the request.
	PrefillTokens int
	// FetchFrom is the address of an engine from which the endpoint is to copy shared
	// parts of the prompt; zero for none. FetchTokens is the tokens of those that some engine surely has: the engine may have more
	// of them, which PrefillTokens counts.
	FetchFrom   netip.AddrPort
	FetchTokens int
	// PrefillSpeed is the estimated number of prompt tokens that it prefills per millisecond.
	PrefillSpeed float64
	// PrefillUtilization is the estimated share of its time that prefill takes.
	PrefillUtilization float64
	// PrefillCeiling is the limit of the prefill utilization for long prompts of its rank.
	PrefillCeiling float64
	// EventGap is the mean time between two events of its streams; 0 if not known.
	EventGap time.Duration
	// Spillover is why the request leaves the data centre.
	Spillover SpilloverReason

	rank            int
	deadline        domain.Instant // of the request; 0 if it has none
	target          time.Duration  // of the request; 0 if it has none
	endpointState   *endpointState
	load            load
	estimatedTokens int  // length of the answer
	hasPrompt       bool // false for plain services
	longPrompt      bool
	mayFetchMore    bool   // whether the endpoint probably fetches some of PrefillTokens
	sharedParts     []Part // of the prompt
	placedAt        domain.Instant
	byteReceived    bool
	ended           bool
	events          int  // stream events received
	prefilling      bool // whether the endpoint had a backlog at the last event
	lastEventAt     domain.Instant
}

// The costs of an endpoint add up to its score, in units of a full endpoint: an
// endpoint with all slots in use has a cost of 1.
const (
	// newPrefillWeight is the cost of a prompt token that a request adds, relative
	// to one in the backlog: its prefill also delays the streams that run there.
	newPrefillWeight = 10.0
	// fetchWeight is the cost of a token that an engine fetches, relative to one that
	// it prefills. A fetch takes a tenth of the time, but it uses the engines' links
	// and the copy takes memory from other cached parts.
	fetchWeight = 1.0
	// coldSecondaryWeight is the additional cost of a shared token that the secondary
	// endpoint prefills, relative to any other: the primary one may have it already.
	coldSecondaryWeight = 1.0
	// outsidePoolCost is the cost of an engine outside the request's pool.
	outsidePoolCost = 1.0
	// toleratedPauseChunks is the prefill, in chunks, that pauses a stream too
	// briefly to be noticed.
	toleratedPauseChunks = 1.0
	// chunkPauseCost is the cost of each further chunk for each decode-heavy
	// request that it pauses.
	chunkPauseCost = 0.25
	// remoteDataCentreCost breaks ties in favour of the local data centre.
	remoteDataCentreCost = 0.02
	// failureCost is the cost of an endpoint whose recent requests all failed.
	failureCost = 2.0
	// memoryCost is the cost of memory use above memoryCostThreshold: each further
	// 0.1 of an engine's memory costs 0.4.
	memoryCost = 4.0
	// memoryCostThreshold is the share of an engine's memory that requests may need
	// without cost. The rest caches earlier prompts.
	memoryCostThreshold = 0.6
	// responseTimeout is the time without received bytes after which an endpoint
	// with requests in progress counts as unresponsive: twice the 99th percentile
	// latency of plain requests.
	responseTimeout = 700 * time.Millisecond
	// defaultSlots is the number of slots of an endpoint that declares none.
	defaultSlots = 8
	// reportMaxAge is how long a reported load is used.
	reportMaxAge = 1500 * time.Millisecond
)

// Arrive records the arrival of a request and picks an endpoint for it, as Pick does.
func (t *Table) Arrive(now domain.Instant, q Query) *Ticket {
	t.recordArrival(now, q)
	return t.Pick(now, q)
}

// Pick chooses an endpoint and counts the request there. It returns nil if no
// endpoint can start the request in time.
func (t *Table) Pick(now domain.Instant, q Query) *Ticket {
	svc := t.services[q.Service]
	if svc == nil {
		return nil
	}
	usable := t.usable(now, svc, q)
	if len(usable) == 0 {
		return nil
	}
	if len(q.Parts) == 0 {
		return t.pickPlain(now, svc, usable, q)
	}
	ticket, endsTooLate := t.pickEngine(now, svc, usable, q)
	if ticket == nil && endsTooLate && q.mayLeaveAffinity(usable) {
		q.leavesAffinity = true
		ticket, _ = t.pickEngine(now, svc, usable, q)
	}
	return ticket
}

// pickPlain chooses among the usable endpoints of a plain service.
func (t *Table) pickPlain(now domain.Instant, svc *service, usable []*endpointState, q Query) *Ticket {
	var best *endpointState
	var bestScore float64
	x := t.crossings(now, svc, usable, q, func(*endpointState) bool { return true })
	for _, s := range usable {
		if !s.admitsPlain(now) {
			continue
		}
		x.admit(s)
		if score := t.baseScore(now, s) + s.workTimeScore(now) + x.of(s, 0); best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	if best == nil {
		return nil
	}
	return t.place(now, best, load{inFlight: 1}, Ticket{Score: bestScore, Candidates: len(usable), Spillover: x.reason(best)})
}

// pickEngine chooses among the usable engines of a model service. It also reports whether some engine would take the request if its
// answer did not end after the deadline there.
func (t *Table) pickEngine(now domain.Instant, svc *service, usable []*endpointState, q Query) (ticket *Ticket, endsTooLate bool) {
	l := t.computeLayout(now, svc, usable, q)
	var best *endpointState
	var bestCandidate candidate
	x := t.crossings(now, svc, usable, q, l.isForPool)
	t.examine(now, svc, l.choices(usable, q), usable, q, l, func(s *endpointState, c candidate, o Obstacle) {
		endsTooLate = endsTooLate || o == ObstacleDeadline
		if o != ObstacleNone {
			return
		}
		x.admit(s)
		c.score = t.engineScore(now, svc, s, q, c) + x.of(s, c.cachedTokens(q))
		if best == nil || c.score < bestCandidate.score {
			best, bestCandidate = s, c
		}
	})
	if best == nil {
		return nil, endsTooLate
	}
	t.recordParts(now, best, q.Parts)
	best.prefillRate.add(now, bestCandidate.prefillTokens)
	if isLongPrompt(q) {
		svc.prefillCeiling.observePlaced(now, q.Rank, bestCandidate.prefillTokens)
	}
	placed := Ticket{
		Score: bestCandidate.score, Candidates: len(usable), DecodePoolSize: l.decodePoolSize, InPool: bestCandidate.inPool,
		Backlog: int(best.backlogAhead(q)), PrefillTokens: int(bestCandidate.prefillTokens), longPrompt: isLongPrompt(q),
		AffinityRank: bestCandidate.affinityRank, Demand: best.demand(now),
		PrefillSpeed: svc.prefillSpeed.tokens(), PrefillUtilization: best.prefillUtilization(now, svc), PrefillCeiling: l.prefillLimit, EventGap: best.meanEventGap(now), estimatedTokens: q.estimatedTokens(), hasPrompt: true, rank: q.Rank, deadline: q.Deadline, target: q.Target,
		sharedParts: q.Parts[:len(q.Parts)-1], FetchTokens: bestCandidate.fetchTokens,
		Spillover: x.reason(best),
	}
	if likely, known := t.likelySource(now, svc, usable, l, best, bestCandidate, q); likely != nil {
		placed.FetchFrom, placed.mayFetchMore = likely.Address, known
	} else if bestCandidate.source != nil {
		placed.FetchFrom = bestCandidate.source.Address
	}
	return t.place(now, best, q.load(bestCandidate), placed), endsTooLate
}

// examine calls visit for each of some engines with its description as a choice for a
// request and what keeps it from the request. All usable engines are possible sources of parts.
func (t *Table) examine(now domain.Instant, svc *service, choices, usable []*endpointState, q Query, l layout, visit func(*endpointState, candidate, Obstacle)) {
	var source prefixSource
	sourceFound := false
	for _, s := range choices {
		c := l.candidate(s, q)
		if o := s.roomObstacle(now, svc, q); o != ObstacleNone {
			visit(s, c, o)
			continue
		}
		if !sourceFound {
			source, sourceFound = t.findSource(now, svc, usable, q.Parts), true
		}
		c.prefillPlan = t.planPrefill(now, s, q.Parts, source)
		visit(s, c, s.obstacle(now, svc, q, c))
	}
}

// load is the load that a request puts on its engine.
func (q Query) load(c candidate) load {
	l := load{inFlight: 1, memoryTokens: q.memoryTokens()}
	l.backlog[priorityLevel(q.Rank)] = int(c.prefillTokens)
	if isDecodeHeavy(q) {
		l.decodeHeavy = 1
	}
	return l
}

// layout is the pools of a service's engines and the affinity endpoints, as they
// apply to one request.
type layout struct {
	decodePoolSize    int              // number of engines in the decode pool
	pool              []*endpointState // engines of the request's pool
	poolRange         positions        // of these
	formerDecodePool  positions        // of former engines of the decode pool, up to the last one with decode-heavy requests
	affinityEndpoints affinityList
	// affinityWidth is the number of these that the request may go to.
	affinityWidth int
	// primaryHealthy is whether the primary endpoint is usable and its slowdown
	// below slowdownLimit.
	primaryHealthy bool
	// affinityUnhealthy is whether neither affinity endpoint is usable with a
	// slowdown below slowdownLimit.
	affinityUnhealthy bool
	// poolUnusable is whether the request's pool is the prefill pool and has no
	// usable engine.
	poolUnusable bool
	yield        yield
	// prefillLimit is the highest prefill utilization at which an engine takes a long prompt of the request's rank.
	prefillLimit float64
}

// positions is a range of the engines of a service that accept requests, in their order: from the first position up to, but not with,
// the second.
type positions struct{ from, to int }

// contains reports whether an engine is in the range. Its position is that of the last layout.
func (p positions) contains(s *endpointState) bool { return p.from <= s.position && s.position < p.to }

// computeLayout updates the size of the decode pool and returns the layout for a
// request.
func (t *Table) computeLayout(now domain.Instant, svc *service, usable []*endpointState, q Query) layout {
	serving := slices.DeleteFunc(slices.Clone(svc.endpoints), func(s *endpointState) bool { return !s.accepts() })
	for i, s := range serving {
		s.position = i
	}
	svc.prefillCeiling.capacity = float64(len(serving)) * svc.prefillSpeed.tokens() * 1000
	prefillDemand, peerPoolSizes := t.totalPrefillDemand(now, svc, q.Service)
	l := layout{yield: svc.yieldOf(now, q), decodePoolSize: svc.decodePool.update(now, serving, prefillDemand, svc.prefillSpeed.tokens(), peerPoolSizes)}
	l.prefillLimit = svc.prefillCeiling.limit(now, q.Rank)
	l.formerDecodePool = positions{l.decodePoolSize, max(l.decodePoolSize, svc.decodePool.occupiedEnd)}
	l.poolRange = positions{l.decodePoolSize, len(serving)}
	if isDecodeHeavy(q) && l.decodePoolSize > 0 {
		l.poolRange = positions{0, l.decodePoolSize}
	}
	l.pool = serving[l.poolRange.from:l.poolRange.to]
	l.affinityEndpoints, l.affinityWidth = affinityEndpoints(l.pool, q.Parts), svc.affinityWidthOf(now, q)
	healthy := func(s *endpointState) bool { return slices.Contains(usable, s) && s.slowdown(now, svc) < slowdownLimit }
	l.primaryHealthy = healthy(l.affinityEndpoints.primary())
	l.affinityUnhealthy = !l.primaryHealthy && !healthy(l.affinityEndpoints.secondary())
	l.poolUnusable = !isDecodeHeavy(q) && !slices.ContainsFunc(usable, l.poolRange.contains)
	return l
}

// candidate describes an engine as a choice for a request.
type candidate struct {
	inPool           bool // see Ticket.InPool
	outsideAffinity  bool // not an affinity endpoint, while one of these is healthy
	formerDecodePool bool // in layout.formerDecodePool
	affinityRank     int  // see affinityList.rank
	secondary        bool // secondary endpoint of a long prompt while the primary one is healthy
	yield            yield
	prefillLimit     float64 // see layout.prefillLimit
	prefillPlan
	score float64
}

// sharedPrefillTokens is the number of shared prompt tokens that the engine would prefill.
func (c candidate) sharedPrefillTokens(q Query) float64 {
	return c.prefillTokens - float64(q.Parts[len(q.Parts)-1].Tokens)
}

// candidate describes an engine as a choice for a request, without its prefill
// tokens and score.
func (l layout) candidate(s *endpointState, q Query) candidate {
	affinityRank := l.affinityEndpoints.rank(s)
	return candidate{
		inPool:           l.isForPool(s),
		outsideAffinity:  (affinityRank == 0 || affinityRank > l.affinityWidth) && !l.affinityUnhealthy,
		formerDecodePool: l.formerDecodePool.contains(s),
		affinityRank:     affinityRank,
		secondary:        isLongPrompt(q) && affinityRank == 2 && l.primaryHealthy,
		yield:            l.yield,
		prefillLimit:     l.prefillLimit,
	}
}

// engineScore is the sum of the costs of a request at an engine.
func (t *Table) engineScore(now domain.Instant, svc *service, s *endpointState, q Query, c candidate) float64 {
	score := t.baseScore(now, s) + s.memoryScore(svc.engine.MemoryTokens, q) + s.workTimeScore(now)
	backlog, fullBacklog := float64(s.backlog()), svc.fullBacklogTokens()
	if isDecodeHeavy(q) {
		// The prefill of less urgent prompts goes on after the request has started, and
		// pauses it. Their tokens count once as backlog and again with the weight of
		// new prefill.
		backlog += float64(s.backlogBehind(q)) * newPrefillWeight
	}
	ratio := s.slowdown(now, svc)
	score += float64(c.fetchTokens) * fetchWeight * newPrefillWeight / fullBacklog
	score += (backlog+c.prefillTokens*newPrefillWeight)/fullBacklog*ratio + (ratio-1)*slowdownCost
	if !c.inPool {
		score += outsidePoolCost
	}
	if c.secondary && c.source == nil {
		score += c.sharedPrefillTokens(q) * newPrefillWeight / fullBacklog * coldSecondaryWeight
	}
	return score + s.pauseScore(svc, q, c.prefillTokens)
}

// pauseScore is the cost of the pauses that a long prompt causes in the
// decode-heavy requests at an engine. After a change of the pool size, such
// requests also run outside the decode pool.
func (s *endpointState) pauseScore(svc *service, q Query, prefillTokens float64) float64 {
	if !isLongPrompt(q) || svc.busyGap.streamsToleratePrefill() {
		return 0
	}
	chunks := (float64(s.backlog())+prefillTokens)/prefillChunkTokens - toleratedPauseChunks
	return max(chunks, 0) * float64(s.decodeHeavyRequests()) * chunkPauseCost
}

// usable returns the endpoints that may take a request: those that neither drain
// nor are excluded nor have got all that their request limit allows, and among them, if
// there are any, those that are responsive and not in backoff.
func (t *Table) usable(now domain.Instant, svc *service, q Query) []*endpointState {
	all, prefillSpeed := t.homeOnly(svc.endpoints), svc.prefillSpeed.tokens()
	available := make([]*endpointState, 0, len(all))
	for _, s := range all {
		if t.eligible(now, s, q) && s.avoidUntil <= now && !s.unresponsive(now, prefillSpeed) {
			available = append(available, s)
		}
	}
	if len(available) > 0 {
		return available
	}
	for _, s := range all {
		if t.eligible(now, s, q) {
			available = append(available, s)
		}
	}
	return available
}

// eligible reports whether an endpoint may take a request if no other one can.
func (t *Table) eligible(now domain.Instant, s *endpointState, q Query) bool {
	return s.accepts() && !slices.Contains(q.Exclude, s.ID) && t.withinLimit(now, s) && !s.pause.active(now) && s.atVersion(q.Version)
}

// atVersion reports whether the endpoint's software is at a version; 0 is any.
func (e Endpoint) atVersion(version streamversions.Version) bool {
	return version == 0 || streamversions.VersionOf(e.Version) == version
}

// Serves reports whether a service has an endpoint at a software version that takes requests.
func (t *Table) Serves(service string, version streamversions.Version) bool {
	return t.HasCandidate(Query{Service: service, Version: version})
}

// HasCandidate reports whether a service has an endpoint that takes requests and to which a request was not sent yet.
func (t *Table) HasCandidate(q Query) bool {
	svc := t.services[q.Service]
	return svc != nil && slices.ContainsFunc(svc.endpoints, func(s *endpointState) bool {
		return s.accepts() && s.atVersion(q.Version) && !slices.Contains(q.Exclude, s.ID)
	})
}

// unresponsive reports whether an endpoint with requests in progress has sent
// nothing on any connection for responseTimeout and the time that an engine needs
// to prefill its backlog.
func (s *endpointState) unresponsive(now domain.Instant, prefillSpeed float64) bool {
	if s.local.inFlight == 0 {
		return false
	}
	prefillTime := time.Duration(float64(s.backlog()) / prefillSpeed * float64(time.Millisecond))
	return now.Sub(max(s.lastReceived, s.outstandingSince)) > responseTimeout+prefillTime
}

// baseScore is the share of an endpoint's slots in use, plus the costs of failures
// and of a remote data centre.
func (t *Table) baseScore(now domain.Instant, s *endpointState) float64 {
	score := float64(s.demand(now))/float64(s.slots()) + s.failureRate*failureCost
	if s.DataCentre != t.settings.DataCentre {
		score += remoteDataCentreCost
	}
	return score
}

// demand estimates the number of requests of all processes that run or wait at an
// endpoint: the number in a recent report, plus the change in this process's
// requests in progress since the report, but at least the number of requests that
// this process and its peers have in progress there.
func (s *endpointState) demand(now domain.Instant) int {
	counted := s.local.inFlight + s.peers.inFlight
	if !s.hasReport || now.Sub(s.reportedAt) > reportMaxAge {
		return counted
	}
	return max(s.reported.Running+s.reported.Waiting+s.local.inFlight-s.inFlightAtReport, counted)
}

func (s *endpointState) slots() int {
	if s.Slots > 0 {
		return s.Slots
	}
	return defaultSlots
}

// memoryTokens is the part of an engine's key-value cache, in tokens, that a request
// needs in addition to its shared parts.
func (q Query) memoryTokens() int { return q.Parts[len(q.Parts)-1].Tokens + q.MaxTokens }

// memoryScore is the cost of an engine's memory use with the request added.
// memoryTokens is the capacity of the engine; 0 if not known.
func (s *endpointState) memoryScore(memoryTokens int, q Query) float64 {
	if memoryTokens <= 0 {
		return 0
	}
	share := float64(s.memoryInUse()+q.memoryTokens()) / float64(memoryTokens)
	return max(share-memoryCostThreshold, 0) * memoryCost
}

// place counts a request at an endpoint and completes its ticket.
func (t *Table) place(now domain.Instant, s *endpointState, l load, ticket Ticket) *Ticket {
	ticket.Endpoint, ticket.endpointState, ticket.load, ticket.placedAt = s.Endpoint, s, l, now
	if s.local.inFlight == 0 {
		s.outstandingSince = now
	}
	s.local.add(l, 1)
	s.recordSent(now)
	t.service(s.Service).overflow.share.observe(now, ticket.Spillover)
	if s.pause.returning(now) {
		s.pause.probe = &ticket
	}
	return &ticket
}
