package placement

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Spillover to other data centres. Requests stay in the data centre of their gateway while it has room, because traffic
// between data centres costs money and time. A crossing has a cost that is added to the score of each endpoint elsewhere. The cost falls
// to zero as the endpoints at home become shorter of capacity than those of the other data centre, so that the share that leaves follows the
// other one's surplus: as requests arrive there, its own shortage rises and the cost with it. Where all are short, all stay at home.
//
// A shortage counts at once and is forgotten slowly, so that single requests that end don't move the traffic back and forth.
//
// Requests whose shared parts are long go to the engine that has these, wherever it is: a crossing takes 1 to 2 ms, and prefill of
// 6,300 tokens 165 to 195 ms. Only the delay of a slow link counts against it. Short shared parts are prefilled once in each data centre.

// SpilloverMode says how placement treats the endpoints of other data centres.
type SpilloverMode uint8

// The modes.
const (
	// SpilloverAnywhere prefers the local data centre only among otherwise equal endpoints.
	SpilloverAnywhere SpilloverMode = iota
	// SpilloverAuto sends requests to other data centres when that pays.
	SpilloverAuto
	// SpilloverForbidden sends none.
	SpilloverForbidden
)

// Spillover is the policy for requests that leave the data centre. The zero value is SpilloverAnywhere.
type Spillover struct {
	Mode SpilloverMode
	// Price is a further cost of each KB that crosses, as a share of an endpoint's slots: how much busier an endpoint at home may be. It
	// applies in SpilloverAuto.
	Price float64
	// MinEndpoints is the number of endpoints of a service for each data centre, on average, from which SpilloverAuto applies to
	// it; 0 for any number.
	MinEndpoints int
}

// MinSpilloverEndpoints is the usual MinEndpoints. With three engines in each of four data centres the decode pool has an engine
// or two, and streams that stay near them got 0.88 and 0.82 of their value instead of 0.95 and 0.92 on two days.
const MinSpilloverEndpoints = 6

// modeFor returns the mode that applies to a service with a list of endpoints.
func (s Spillover) modeFor(list []*endpointState) SpilloverMode {
	if s.Mode != SpilloverAuto || s.MinEndpoints <= 0 {
		return s.Mode
	}
	dataCentres := make(map[string]bool)
	for _, e := range list {
		dataCentres[e.DataCentre] = true
	}
	if len(list) < s.MinEndpoints*len(dataCentres) {
		return SpilloverAnywhere
	}
	return SpilloverAuto
}

const (
	// crossingCost is the cost of a crossing while home has room: the endpoint at home may be as much busier as this share of its slots
	// without a disadvantage for callers.
	crossingCost = 0.4
	// crossingCostPerKB is the further cost of each KB.
	crossingCostPerKB = 0.01
	// bytesPerPromptToken, bytesPerOutputToken and plainBytes are the bytes on the wire, measured on the known deployments: 100 to 150 for an event
	// of 4 or 5 tokens.
	bytesPerPromptToken = 1.0
	bytesPerOutputToken = 30.0
	plainBytes          = 1500.0
	// shortPrefillTime is the time of prefill up to which shared parts are prefilled in each data centre.
	shortPrefillTime = 25 * time.Millisecond
	// A data centre begins to be short of capacity at the first utilization of its slots or the first share of the latency target spent waiting
	// for prefill, and is entirely short at the second.
	beginsUsed, endsUsed = 0.6, 0.9
	beginsWait, endsWait = 0.15, 0.4
	// shortageTimeConstant is the time constant in which a shortage is forgotten.
	shortageTimeConstant = 300 * time.Millisecond
	// linkCostShare is the share of the latency target by which a link delays answers at a cost of 1.
	linkCostShare = 0.25
	// defaultTarget stands for the target of requests that have none.
	defaultTarget = time.Second
)

// SpilloverReason says why a request has left the data centre.
type SpilloverReason uint8

// The reasons.
const (
	// SpilloverNone means that it has not left it.
	SpilloverNone SpilloverReason = iota
	// SpilloverNoEndpoint means that the data centre has no usable endpoint of the service.
	SpilloverNoEndpoint
	// SpilloverNoRoom means that no endpoint there can start the request in time.
	SpilloverNoRoom
	// SpilloverPrefix means that an engine elsewhere has long shared parts of the prompt, or is to get them.
	SpilloverPrefix
	// SpilloverCost means that endpoints there are so much busier that the crossing pays.
	SpilloverCost
)

// String returns the reason's name in logs and metrics.
func (r SpilloverReason) String() string {
	return [...]string{"none", "no_endpoint", "no_room", "prefix", "cost"}[r]
}

// siteLoad is the load of one data centre's endpoints that a kind of request may go to.
type siteLoad struct {
	endpoints int
	demand    float64       // running and waiting requests
	slots     float64       // divided by the slowdown of each endpoint
	wait      time.Duration // sum of the expected waits for prefill
}

// shortage is how short of capacity a data centre is for requests with a latency target, from 0 to 1. One without endpoints is entirely short.
func (l siteLoad) shortage(target time.Duration) float64 {
	if l.endpoints == 0 || l.slots <= 0 {
		return 1
	}
	wait := float64(l.wait) / float64(l.endpoints) / float64(target)
	return max(ramp(l.demand/l.slots, beginsUsed, endsUsed), ramp(wait, beginsWait, endsWait))
}

// ramp rises from 0 at begin to 1 at end.
func ramp(value, begin, end float64) float64 { return min(max((value-begin)/(end-begin), 0), 1) }

// heldShortage is a shortage that is forgotten with shortageTimeConstant.
type heldShortage struct {
	value float64
	at    domain.Instant
}

// observe returns the shortage after a further observation.
func (h *heldShortage) observe(now domain.Instant, shortage float64) float64 {
	h.value, h.at = max(shortage, h.current(now)), now
	return h.value
}

// current returns the shortage without a further observation.
func (h *heldShortage) current(now domain.Instant) float64 {
	return h.value * math.Exp(-float64(now.Sub(h.at))/float64(shortageTimeConstant))
}

// siteKey identifies the requests of a service that share the endpoints of a data centre.
type siteKey struct {
	dataCentre  string
	decodeHeavy bool
	level       int
	targetClass int
}

// targetClass divides targets into classes by powers of two: a wait that uses up a short target is little of a long one.
func targetClass(target time.Duration) int { return bits.Len64(uint64(max(target.Milliseconds(), 0))) }

// overflow is what is known of the data centres of one service.
type overflow struct {
	held  map[siteKey]*heldShortage
	links map[string]*linkDelay // by data centre
	share spilloverShare
}

// observe records a shortage and returns the one that applies.
func (o *overflow) observe(now domain.Instant, key siteKey, shortage float64) float64 {
	if o.held == nil {
		o.held = make(map[siteKey]*heldShortage)
	}
	h := o.held[key]
	if h == nil {
		h = &heldShortage{}
		o.held[key] = h
	}
	return h.observe(now, shortage)
}

// site is a data centre as one request sees it.
type site struct {
	dataCentre string
	load       siteLoad
	shortage   float64
	linkCost   float64 // of the delay of the link to it
}

// crossings are the costs of a request at the endpoints of other data centres. The zero value has none.
type crossings struct {
	home        string
	active      bool
	cost        float64 // while home has room
	fullBacklog float64 // see service.fullBacklogTokens
	fixed       float64 // in any case
	atHome      float64 // at home, where it is negative while engines outside the pool count as in it
	sites       []site  // home first; empty if inactive
	large       bool    // whether the shared parts of the prompt are long
	present     bool    // whether home has a usable endpoint
	hasRoom     bool    // whether one of these can start the request
}

// crossings returns the costs for a request. in reports whether an endpoint is one of those that the request is for.
func (t *Table) crossings(now domain.Instant, svc *service, usable []*endpointState, q Query, in func(*endpointState) bool) crossings {
	x := crossings{home: t.settings.DataCentre, present: slices.ContainsFunc(usable, t.isHome)}
	elsewhere := func(s *endpointState) bool { return !t.isHome(s) }
	if svc.spillover != SpilloverAuto || !slices.ContainsFunc(usable, elsewhere) {
		return x
	}
	x.active, x.large = true, q.hasLongSharedParts(svc)
	x.fixed = q.crossingKB() * t.settings.Spillover.Price
	x.cost, x.fullBacklog = crossingCost+q.crossingKB()*crossingCostPerKB, svc.fullBacklogTokens()
	x.sites = sitesOf(now, svc, x.home, usable, q, in)
	decodeHeavy := len(q.Parts) > 0 && isDecodeHeavy(q)
	poolIsElsewhere := decodeHeavy && !x.large && x.present && x.sites[0].load.endpoints == 0
	if poolIsElsewhere {
		x.sites[0] = sitesOf(now, svc, x.home, usable, q, t.isHome)[0]
	}
	target := cmp.Or(q.Target, defaultTarget)
	for i := range x.sites {
		site := &x.sites[i]
		site.linkCost = float64(svc.overflow.extraDelay(now, x.home, site.dataCentre)) / (linkCostShare * float64(target))
		if x.large {
			continue
		}
		key := siteKey{dataCentre: site.dataCentre, level: priorityLevel(q.Rank), decodeHeavy: decodeHeavy, targetClass: targetClass(target)}
		site.shortage = site.load.shortage(target)
		if q.mayUseAll() {
			site.shortage = svc.overflow.observe(now, key, site.shortage)
		}
	}
	if poolIsElsewhere {
		// In small deployments the decode pool is a single engine. Requests of other data centres don't cross to it while theirs has room.
		x.atHome = -outsidePoolCost * (1 - x.sites[0].shortage)
	}
	return x
}

// mayUseAll reports whether a request may go to any endpoint. One that may not sees loads that don't hold for others: a retry that excludes
// home's only endpoint finds none there.
func (q Query) mayUseAll() bool { return len(q.Exclude) == 0 && q.Version == 0 }

// sitesOf returns the data centres with the loads of the endpoints that a request is for, home first. The loads are not needed for long shared parts.
func sitesOf(now domain.Instant, svc *service, home string, usable []*endpointState, q Query, in func(*endpointState) bool) []site {
	sites, long := []site{{dataCentre: home}}, q.hasLongSharedParts(svc)
	for _, s := range usable {
		if !in(s) {
			continue
		}
		at := slices.IndexFunc(sites, func(other site) bool { return other.dataCentre == s.DataCentre })
		if at < 0 {
			at, sites = len(sites), append(sites, site{dataCentre: s.DataCentre})
		}
		if !long {
			sites[at].load.add(now, svc, s, q)
		}
	}
	return sites
}

// add adds the load of an endpoint, as it is for a request.
func (l *siteLoad) add(now domain.Instant, svc *service, s *endpointState, q Query) {
	ratio := s.slowdown(now, svc)
	l.endpoints++
	l.demand += float64(s.demand(now))
	l.slots += float64(s.slots()) / ratio
	if len(q.Parts) > 0 {
		l.wait += time.Duration(s.backlogAhead(q) / svc.prefillSpeed.tokens() * ratio * float64(time.Millisecond))
	}
}

// isHome reports whether an endpoint is in this process's data centre.
func (t *Table) isHome(s *endpointState) bool { return s.DataCentre == t.settings.DataCentre }

// crossingKB is the expected number of KB that a request and its answer take on the wire.
func (q Query) crossingKB() float64 {
	if len(q.Parts) == 0 {
		return plainBytes / 1000
	}
	return (float64(promptTokens(q.Parts))*bytesPerPromptToken + float64(q.estimatedTokens())*bytesPerOutputToken) / 1000
}

// hasLongSharedParts reports whether prefill of the shared parts of a prompt takes longer than shortPrefillTime.
func (q Query) hasLongSharedParts(svc *service) bool {
	return len(q.Parts) > 1 && float64(sharedTokens(q.Parts)) > svc.prefillSpeed.tokens()*float64(shortPrefillTime.Milliseconds())
}

// of returns the cost of an endpoint by its data centre for a request of which the endpoint has a number of shared tokens.
func (x *crossings) of(s *endpointState, cachedTokens float64) float64 {
	if !x.active || s.DataCentre == x.home {
		return x.atHome
	}
	at := slices.IndexFunc(x.sites, func(other site) bool { return other.dataCentre == s.DataCentre })
	switch {
	case x.large && at < 0:
		return x.fixed
	case x.large:
		return x.sites[at].linkCost + x.fixed
	case at < 0:
		// None of the endpoints there is one that the request is for.
		return x.cost + x.fixed
	}
	// Short parts are prefilled at home once, and are there for the next requests.
	cost := x.cost + cachedTokens*newPrefillWeight/x.fullBacklog
	surplus := max(x.sites[0].shortage-x.sites[at].shortage, 0)
	return cost*(1-surplus) + x.sites[at].linkCost + x.fixed
}

// isForPool reports whether an engine counts as in the pool of the request.
func (l layout) isForPool(s *endpointState) bool {
	return l.decodePoolSize == 0 || l.poolUnusable || l.poolRange.contains(s)
}

// cachedTokens is the number of shared prompt tokens that the engine has.
func (c candidate) cachedTokens(q Query) float64 {
	return float64(sharedTokens(q.Parts)-c.fetchTokens) - c.sharedPrefillTokens(q)
}

// admit records that an endpoint can start the request.
func (x *crossings) admit(s *endpointState) { x.hasRoom = x.hasRoom || s.DataCentre == x.home }

// reason returns why a request leaves for an endpoint.
func (x *crossings) reason(s *endpointState) SpilloverReason {
	switch {
	case s.DataCentre == x.home:
		return SpilloverNone
	case !x.present:
		return SpilloverNoEndpoint
	case x.large:
		return SpilloverPrefix
	case !x.hasRoom:
		return SpilloverNoRoom
	default:
		return SpilloverCost
	}
}

// homeOnly returns the endpoints of a list in this process's data centre, if no request may leave it.
func (t *Table) homeOnly(list []*endpointState) []*endpointState {
	if t.settings.Spillover.Mode != SpilloverForbidden {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), func(s *endpointState) bool { return !t.isHome(s) })
}

// order sorts the endpoints of a service by their hashes or, unless the data centres are ignored, so that the first ones of any number
// are spread over the data centres by the numbers of endpoints there: the decode pool then has its share of each.
func (t *Table) order(list []*endpointState) {
	slices.SortFunc(list, func(a, b *endpointState) int {
		return cmp.Or(cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID))
	})
	if t.settings.Spillover.modeFor(list) == SpilloverAnywhere {
		return
	}
	total, seen := make(map[string]int), make(map[string]int)
	for _, s := range list {
		total[s.DataCentre]++
	}
	place := make(map[*endpointState]float64, len(list))
	for _, s := range list {
		place[s] = (float64(seen[s.DataCentre]) + 0.5) / float64(total[s.DataCentre])
		seen[s.DataCentre]++
	}
	slices.SortStableFunc(list, func(a, b *endpointState) int { return cmp.Compare(place[a], place[b]) })
}
