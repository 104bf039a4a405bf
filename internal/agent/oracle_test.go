package agent

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// stage is where an attempt stands by what was said between entry and agent.
type stage uint8

const (
	over stage = iota // withdrawn, expired, forgotten or ended
	queued
	refused // the newest of its class that a full queue refused
	granted
	running
)

// asked is one attempt as the entry knows it.
type asked struct {
	key         attemptKey
	tier        domain.Tier
	class       uint32
	stage       stage
	heardAt     domain.Instant
	nonce       uint64
	expires     domain.Instant
	idempotent  bool
	preemptible bool
	run         RunID
	started     bool // at any time
	barred      bool // told NEVER_STARTED
	unwanted    bool // the entry cancelled it
	low         bool // granted while a higher tier waited
}

// oracle repeats the promises of the agent on a plain model: what was asked, what
// the agent said, and what must follow.
type oracle struct {
	t         *rapid.T
	core      *Core
	cfg       Config
	now       domain.Instant
	up        map[Peer]bool
	calls     []*asked // call n is at n-1; odd calls are of entry A
	nonce     uint64
	sinceLow  int // grants since the last one while a higher tier waited
	recording []timedInput
	// passed counts by class the grants to others while it waited, but for
	// those while the guard had no slot left.
	passed [3]int
}

func newOracle(t *rapid.T) *oracle {
	cfg := DefaultConfig()
	cfg.Incarnation = testIncarnation
	cfg.Slots, cfg.MinSlots, cfg.MaxSlots = 3, 3, 3
	cfg.MaxQueued = 6
	cfg.GuardMinGap = 4
	up := map[Peer]bool{entryA: true, entryB: true}
	o := &oracle{t: t, core: New(cfg), cfg: cfg, now: domain.Instant(time.Second), up: up}
	o.step(endpointConfig(1, domain.EndpointServing))
	o.step(EntryUp{Peer: entryA})
	o.step(EntryUp{Peer: entryB})
	return o
}

// in returns the attempts of a stage that meet a condition.
func (o *oracle) in(s stage, is func(*asked) bool) []*asked {
	var list []*asked
	for _, a := range o.calls {
		if a.stage == s && is(a) {
			list = append(list, a)
		}
	}
	return list
}

func all(*asked) bool { return true }

func (o *oracle) step(in Input) {
	o.feed(in)
	o.feed(nil)
}

// feed records an input, nil for a tick, gives it to the core and checks the outputs.
func (o *oracle) feed(in Input) {
	r := timedInput{now: o.now, in: in}
	o.recording = append(o.recording, r)
	for _, out := range feed(o.core, r) {
		switch out := out.(type) {
		case SendEntry:
			o.checkSend(out)
		case EngineStart:
			o.checkStart(out)
		case EngineCancel:
			o.checkCancel(out)
		}
	}
	isLow := func(a *asked) bool { return a.low }
	low := len(o.in(granted, isLow)) + len(o.in(running, isLow))
	held := len(o.in(granted, all)) + len(o.in(running, all))
	if low > 1 || held > o.cfg.Slots || len(o.in(queued, all)) > o.cfg.MaxQueued {
		o.t.Fatalf("%d slots held, %d of them over a higher tier; %d queued", held, low, len(o.in(queued, all)))
	}
	if n := slices.Max(o.passed[:]); n > (len(o.passed)+1)*(int(o.cfg.GuardMinGap)+1) {
		o.t.Fatalf("passed over by %v grants", o.passed)
	}
}

func (o *oracle) checkSend(out SendEntry) {
	switch m := out.Message.GetKind().(type) {
	case *pb.ToEntry_Grant:
		o.checkGrant(o.calls[m.Grant.GetCall()-1], m.Grant)
	case *pb.ToEntry_ReserveReply:
		o.checkRefusal(o.calls[m.ReserveReply.GetCall()-1], m.ReserveReply.GetReason())
	case *pb.ToEntry_HandOverReply:
		o.checkWord(o.calls[m.HandOverReply.GetCall()-1], m.HandOverReply.GetState())
	case *pb.ToEntry_RevokeReply:
		o.checkWord(o.calls[m.RevokeReply.GetCall()-1], m.RevokeReply.GetState())
	}
}

func (o *oracle) checkGrant(a *asked, m *pb.Grant) {
	waits := a.stage == queued || a.stage == refused
	if !waits || a.barred || a.started || m.GetNonce() <= o.nonce {
		o.t.Fatalf("grant %v for %+v", m, a)
	}
	a.stage = granted
	a.nonce, o.nonce = m.GetNonce(), m.GetNonce()
	a.expires = o.now.Add(time.Duration(m.GetTtlMs()) * time.Millisecond)
	a.low = len(o.in(queued, func(q *asked) bool { return o.up[q.key.peer] && q.tier.Higher(a.tier) })) > 0
	if a.low && o.sinceLow < int(o.cfg.GuardMinGap) {
		o.t.Fatalf("tier %d granted over a higher one, %d grants after the last such", a.tier, o.sinceLow)
	}
	o.sinceLow++
	if a.low {
		o.sinceLow = 0
	}
	for class := range o.passed {
		waiting := o.in(queued, func(q *asked) bool { return o.up[q.key.peer] && q.class == uint32(class) })
		if a.class == uint32(class) || len(waiting) == 0 {
			o.passed[class] = 0
		} else if a.low || o.core.guardHeldSlots == 0 {
			o.passed[class]++
		}
	}
}

func (o *oracle) checkRefusal(a *asked, reason pb.RefuseReason) {
	higher := o.in(queued, func(q *asked) bool { return q.tier.Higher(a.tier) })
	lower := o.in(queued, func(q *asked) bool { return a.tier.Higher(q.tier) })
	full := len(o.in(queued, all)) > o.cfg.MaxQueued
	displaced := reason == pb.RefuseReason_REFUSE_DISPLACED
	if a.stage != queued || !full || len(lower) > 0 || (displaced && len(higher) == 0) {
		o.t.Fatalf("%v for %+v with %d higher, %d lower, full %t", reason, a, len(higher), len(lower), full)
	}
	for _, older := range o.in(refused, func(r *asked) bool { return r.class == a.class }) {
		older.stage = over
	}
	a.stage = refused
	a.heardAt = o.now
}

func (o *oracle) checkWord(a *asked, state pb.StartState) {
	switch {
	case state == forgotten, state == neverStarted && a.started:
		o.t.Fatalf("%v for %+v", state, a)
	case state == neverStarted:
		a.barred = true
		a.stage = over
	}
}

func (o *oracle) checkStart(out EngineStart) {
	a := o.calls[out.HandOver.GetCall()-1]
	if a.stage != granted || a.barred || a.started || o.now >= a.expires || a.nonce != out.HandOver.GetNonce() {
		o.t.Fatalf("started %+v with %v", a, out.HandOver)
	}
	a.stage = running
	a.started = true
	a.idempotent = out.HandOver.GetIdempotent()
	a.preemptible = out.HandOver.GetPreemptible()
	a.run = out.Run
}

func (o *oracle) checkCancel(out EngineCancel) {
	a := o.in(running, func(a *asked) bool { return a.run == out.Run })[0]
	higher := o.in(queued, func(q *asked) bool { return q.tier.Higher(a.tier) })
	allowed := a.unwanted || (a.preemptible && len(higher) > 0)
	if !a.idempotent || !allowed {
		o.t.Fatalf("cancelled %+v", a)
	}
}

// pass lets time pass and forgets what the agent is to forget.
func (o *oracle) pass(d time.Duration) {
	o.now = o.now.Add(d)
	for _, a := range o.calls {
		silent := o.now.Sub(a.heardAt)
		switch {
		case a.stage == granted && o.now >= a.expires,
			a.stage == queued && silent >= o.cfg.ReservationTTL,
			a.stage == refused && silent >= o.cfg.RefusedTTL:
			a.stage = over
		}
	}
}

func (o *oracle) reserve(t *rapid.T, tier uint32) {
	call := uint64(len(o.calls) + 1)
	key := attemptKey{peer: []Peer{entryB, entryA}[call%2], call: domain.CallID(call), attempt: 1}
	o.calls = append(o.calls, &asked{key: key, tier: domain.Tier(tier), class: tier, stage: queued, heardAt: o.now})
	o.step(reserveOf(key.peer, &pb.Reserve{
		Call: call, Tier: tier, Class: tier,
		Account: rapid.Uint32Range(0, 3).Draw(t, "account"),
		SlackMs: rapid.Int64Range(-500, 3000).Draw(t, "slack"),
	}))
}

// with returns an action on one of the attempts of a stage.
func (o *oracle) with(s stage, is func(*asked) bool, act func(*rapid.T, *asked)) func(*rapid.T) {
	return func(t *rapid.T) {
		if list := o.in(s, is); len(list) > 0 {
			act(t, rapid.SampledFrom(list).Draw(t, "attempt"))
		}
	}
}

func (o *oracle) handOver(t *rapid.T, a *asked) {
	o.step(handOverOf(a.key.peer, &pb.HandOver{
		Call:        uint64(a.key.call),
		Nonce:       a.nonce + uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "wrong")),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
	}))
}

// late hands over after the expiry, before the core has had a tick.
func (o *oracle) late(t *rapid.T, a *asked) {
	o.pass(o.cfg.GrantTTL)
	o.handOver(t, a)
}

func (o *oracle) end(_ *rapid.T, a *asked) {
	a.stage = over
	o.step(EngineEnd{Run: a.run, Reason: pb.EndReason_END_COMPLETE})
}

func (o *oracle) repeat(_ *rapid.T, a *asked) {
	a.heardAt = o.now
	o.step(reserveOf(a.key.peer, &pb.Reserve{Call: uint64(a.key.call)}))
}

// churn keeps the highest tier waiting while slots come free, with all else repeated in time.
func (o *oracle) churn(t *rapid.T) {
	for range 8 {
		o.reserve(t, 0)
		o.with(granted, all, o.handOver)(t)
		o.with(running, all, o.end)(t)
		for _, a := range o.in(queued, all) {
			o.repeat(t, a)
		}
	}
}

// Also, the same inputs give the same outputs, byte for byte.
func TestOracle(t *testing.T) {
	isStarted := func(a *asked) bool { return a.started }
	isBarred := func(a *asked) bool { return a.barred }
	rapid.Check(t, func(t *rapid.T) {
		o := newOracle(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve":  func(t *rapid.T) { o.reserve(t, rapid.Uint32Range(0, 2).Draw(t, "tier")) },
			"handOver": o.with(granted, all, o.handOver),
			"late":     o.with(granted, all, o.late),
			"end":      o.with(running, all, o.end),
			"repeat":   o.with(queued, all, o.repeat),
			"churn":    o.churn,
			"replay":   o.with(running, all, o.handOver),
			"replay2":  o.with(over, isStarted, o.handOver),
			"again":    o.with(over, isBarred, o.repeat),
			"revoke": o.with(granted, all, func(_ *rapid.T, a *asked) {
				o.step(revokeOf(a.key.peer, uint64(a.key.call), a.nonce))
			}),
			"withdraw": o.with(queued, all, func(_ *rapid.T, a *asked) {
				a.stage = over
				o.step(withdrawOf(a.key.peer, uint64(a.key.call)))
			}),
			"cancel": o.with(running, all, func(_ *rapid.T, a *asked) {
				a.unwanted = true
				o.step(cancelOf(a.key.peer, uint64(a.key.call)))
			}),
			"data": o.with(running, all, func(_ *rapid.T, a *asked) {
				o.step(EngineData{Run: a.run, Data: []byte("x"), Tokens: 1})
			}),
			"entry": func(*rapid.T) {
				o.up[entryB] = !o.up[entryB]
				if o.up[entryB] {
					o.step(EntryUp{Peer: entryB})
				} else {
					o.step(EntryDown{Peer: entryB})
				}
			},
			"pass": func(t *rapid.T) {
				o.step(heartbeatOf(entryA, 1))
				o.step(heartbeatOf(entryB, 1))
				o.pass(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				o.feed(nil)
			},
		})
		first := replay(t, o.cfg, o.recording)
		assert.Assert(t, bytes.Equal(first, replay(t, o.cfg, o.recording)), "outputs differ")
	})
}
