package replay

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

const (
	tick         = 5 * time.Millisecond
	digestEvery  = 100 * time.Millisecond
	modelService = "desk"
	// holdShare and returnedHoldShare are how long a request may wait at a
	// gateway, of the time that its caller has left; inTimeShare is the share of
	// the target by which it should have been placed. They are the gateway's.
	holdShare, returnedHoldShare, inTimeShare = 0.25, 0.1, 0.7
	// retryAfter is when a caller that was turned away is told to return.
	retryAfter = 400 * time.Millisecond
	// maxTries is how often a caller asks.
	maxTries = 2
)

// stream is a kind of request and how many come in a second.
type stream struct {
	name     string
	rank     int
	system   int // tokens of a part that a quarter of the sessions share
	shared   int // tokens of the session's part
	sessions int
	own      int // mean tokens of the request's own part
	output   int // mean tokens
	target   time.Duration
	gap      time.Duration
	limit    time.Duration
	rate     func(t time.Duration) float64
}

// steady is a rate that doesn't change; burst is one that is multiplied for a while.
func steady(perSecond float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return perSecond }
}

func burst(perSecond, times float64, from, to time.Duration) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return perSecond * times
		}
		return perSecond
	}
}

func long(rate func(time.Duration) float64) stream {
	return stream{
		name: "long", rank: 2, system: 2520, shared: 3780, sessions: 260, own: 2890, output: 52,
		target: 1200 * time.Millisecond, gap: 800 * time.Millisecond, limit: 5 * time.Second, rate: rate,
	}
}

func short(rate func(time.Duration) float64) stream {
	return stream{
		name: "short", rank: 1, system: 341, shared: 227, sessions: 320, own: 1800, output: 24,
		target: 500 * time.Millisecond, gap: 300 * time.Millisecond, limit: 3 * time.Second, rate: rate,
	}
}

func notes(rate func(time.Duration) float64) stream {
	return stream{
		name: "notes", rank: 0, system: 103, shared: 69, sessions: 155, own: 543, output: 280,
		target: 300 * time.Millisecond, gap: 200 * time.Millisecond, limit: 15 * time.Second, rate: rate,
	}
}

// world is gateways and engines in one clock.
type world struct {
	random   *rand.Rand
	gateways []*gatewayModel
	engines  []*engine
	requests []*request
	now      time.Duration
	parts    uint64
}

type gatewayModel struct {
	table  *placement.Table
	queue  waitqueue.Queue
	waiter map[*waitqueue.Waiter]*request
	cut    bool
}

func newWorld(seed uint64, gateways, engines int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, seed)), parts: 1 << 40}
	known := make(map[uint64]bool)
	for i := range engines {
		w.engines = append(w.engines, &engine{id: fmt.Sprintf("engine-%02d", i), parts: make(map[uint64]*kept), known: known})
	}
	for range gateways {
		g := &gatewayModel{
			table:  placement.New(placement.Settings{CacheLife: 30 * time.Second}),
			waiter: make(map[*waitqueue.Waiter]*request),
		}
		g.table.SetEngine(modelService, 370_000)
		for i, e := range w.engines {
			g.table.Put(1, placement.Endpoint{ID: e.id, Service: modelService, Slots: engineSlots, Start: int64(i)})
		}
		w.gateways = append(w.gateways, g)
	}
	return w
}

func (w *world) instant() domain.Instant { return domain.Instant(w.now) + 1 }

// play runs streams of requests for a while.
func (w *world) play(length time.Duration, streams ...stream) {
	for end := w.now + length; w.now < end; w.now += tick {
		for _, s := range streams {
			for range w.poisson(s.rate(w.now) * tick.Seconds()) {
				w.arrive(s)
			}
		}
		w.advance()
	}
}

// drain lets what is in progress end.
func (w *world) drain() {
	for end := w.now + 16*time.Second; w.now < end; w.now += tick {
		w.advance()
	}
}

func (w *world) advance() {
	for _, e := range w.engines {
		e.step(w.now+tick, w.event)
	}
	if w.now%digestEvery == 0 {
		w.exchange()
	}
	for _, g := range w.gateways {
		for _, done := range g.queue.Dispatch(w.instant(), g.table) {
			q := g.waiter[done]
			delete(g.waiter, done)
			if done.Ticket == nil {
				w.turnedAway(q)
				continue
			}
			w.send(q, done.Ticket)
		}
	}
	w.giveUp()
	for _, q := range w.requests {
		if q.back > 0 && w.now >= q.back {
			q.back = 0
			q.gateway = w.random.IntN(len(w.gateways))
			w.offer(q)
		}
	}
}

// turnedAway lets a caller return once, after the time that it is told or a
// third of what it has left.
func (w *world) turnedAway(q *request) {
	if q.tries < maxTries {
		q.back = w.now + min(retryAfter, (q.arrived+q.limit-w.now)/3)
	}
}

// giveUp ends the tickets of callers that have left.
func (w *world) giveUp() {
	for _, q := range w.requests {
		if q.ticket != nil && !q.ended && q.left(w.now) {
			q.ended = true
			w.gateways[q.gateway].table.End(w.instant(), q.ticket, placement.ResultCancelled)
		}
	}
}

func (w *world) exchange() {
	for i, from := range w.gateways {
		digest := from.table.Digest(w.instant())
		for j, to := range w.gateways {
			if i != j && !from.cut && !to.cut {
				to.table.PeerDigest(fmt.Sprint(i), digest)
			}
		}
	}
}

func (w *world) arrive(s stream) {
	number := w.random.IntN(s.sessions)
	session := uint64(number) + uint64(len(s.name))<<20
	system := uint64(number%4) + uint64(len(s.name))<<30
	w.parts++
	output := max(1, w.spread(s.output))
	q := &request{
		kind: s.name, gateway: w.random.IntN(len(w.gateways)), arrived: w.now, gap: s.gap, limit: s.limit, output: output,
		query: placement.Query{
			Service: modelService, Rank: s.rank, Target: s.target, Output: maxSpread * s.output, Expected: w.estimate(output),
			Deadline: w.instant().Add(s.limit),
			Parts: []placement.Part{
				{ID: system, Tokens: s.system}, {ID: session, Tokens: s.shared}, {ID: w.parts, Tokens: max(1, w.spread(s.own))},
			},
		},
	}
	w.requests = append(w.requests, q)
	w.offer(q)
}

// offer hands a request to its gateway.
func (w *world) offer(q *request) {
	q.tries++
	g := w.gateways[q.gateway]
	g.table.Asked(w.instant(), q.query)
	if t := g.table.Pick(w.instant(), q.query); t != nil {
		w.send(q, t)
		return
	}
	share := holdShare
	if q.tries > 1 {
		share = returnedHoldShare
	}
	limit := domain.Instant(q.arrived + q.limit)
	waiter := &waitqueue.Waiter{
		Query: q.query, Arrived: w.instant(),
		InTime: domain.Instant(q.arrived + time.Duration(float64(q.query.Target)*inTimeShare)),
		Until:  w.instant().Add(time.Duration(float64(limit.Sub(w.instant())) * share)),
	}
	g.waiter[waiter] = q
	g.queue.Add(waiter)
}

func (w *world) send(q *request, t *placement.Ticket) {
	q.ticket = t
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == t.Endpoint.ID })
	w.engines[i].accept(w.now, q)
}

func (w *world) event(r *run, at time.Duration, last bool) {
	q := r.request
	if q.ended {
		return
	}
	g := w.gateways[q.gateway]
	g.table.Heard(domain.Instant(at)+1, q.ticket, 1)
	if q.first == 0 {
		q.first = at
	} else {
		q.pause = max(q.pause, at-r.last)
	}
	r.last = at
	if last {
		q.done, q.ended = true, true
		g.table.End(domain.Instant(at)+1, q.ticket, placement.ResultServed)
	}
}

const (
	// maxSpread is the most that spread draws, in means.
	maxSpread = 4
	// estimateSpread is how far callers' estimates of their answers are off, as
	// the deviation of the logarithm.
	estimateSpread = 0.5
)

// spread draws from an exponential around a mean.
func (w *world) spread(mean int) int {
	return int(min(w.random.ExpFloat64(), maxSpread) * float64(mean))
}

// estimate is what a caller expects of an answer: right at the median.
func (w *world) estimate(output int) int {
	return max(1, int(float64(output)*math.Exp(estimateSpread*w.random.NormFloat64())))
}

func (w *world) poisson(mean float64) int {
	limit, product, n := math.Exp(-mean), w.random.Float64(), 0
	for product > limit {
		product *= w.random.Float64()
		n++
	}
	return n
}

// share returns the share of a kind's requests for which a condition holds,
// among those that arrived in a span.
func (w *world) share(kind string, from, to time.Duration, holds func(*request) bool) float64 {
	n, held := 0, 0
	for _, q := range w.requests {
		if q.kind == kind && q.arrived >= from && q.arrived < to {
			n++
			if holds(q) {
				held++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return float64(held) / float64(n)
}

// readOnce is the share of what the engines read that no engine had read before.
func (w *world) readOnce() float64 {
	read, reread := 0, 0
	for _, e := range w.engines {
		read += e.read
		reread += e.reread
	}
	return 1 - float64(reread)/float64(read)
}
