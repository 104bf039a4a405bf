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

// stage is the state of an attempt according to the messages between entry and agent.
type stage uint8

const (
	finished stage = iota // withdrawn, expired, forgotten or ended
	queued
	refused // the last of its class that a full queue refused
	granted
	running
)

// modelAttempt is the expected state of an attempt.
type modelAttempt struct {
	key            attemptKey
	tier           domain.Tier
	class          uint32
	stage          stage
	refreshedAt    domain.Instant
	nonce          uint64
	expiresAt      domain.Instant
	idempotent     bool
	preemptible    bool
	run            RunID
	started        bool // EngineStart was seen
	neverStart     bool // the agent replied NEVER_STARTED
	cancelled      bool // by its entry
	overHigherTier bool // granted while a request of a higher tier was queued
}

// modelChecker checks the outputs of a core against a simple model, which tracks the
// requests of the entries, the replies of the agent and the guarantees that follow.
type modelChecker struct {
	t                         *rapid.T
	core                      *Core
	cfg                       Config
	now                       domain.Instant
	connected                 map[Peer]bool
	attempts                  []*modelAttempt // call n is at index n-1; odd calls belong to entry A
	nonce                     uint64          // highest nonce granted
	grantsSinceOverHigherTier int             // grants since the last one with overHigherTier
	recording                 []timedInput
	// skippedGrants counts, by class, the grants to other classes while the class was
	// queued, without those made while the starvation guard held all its slots.
	skippedGrants [3]int
}

// newModelChecker starts an agent with 3 slots and connects two entries.
func newModelChecker(t *rapid.T) *modelChecker {
	cfg := DefaultConfig()
	cfg.Incarnation = testIncarnation
	cfg.Slots, cfg.MinSlots, cfg.MaxSlots = 3, 3, 3
	cfg.MaxQueued = 6
	cfg.GuardMinGap = 4
	connected := map[Peer]bool{entryA: true, entryB: true}
	c := &modelChecker{t: t, core: New(cfg), cfg: cfg, now: domain.Instant(time.Second), connected: connected}
	c.step(endpointConfig(1, domain.EndpointServing))
	c.step(EntryUp{Peer: entryA})
	c.step(EntryUp{Peer: entryB})
	return c
}

// in returns the attempts in a stage that match a condition.
func (c *modelChecker) in(s stage, match func(*modelAttempt) bool) []*modelAttempt {
	var list []*modelAttempt
	for _, a := range c.attempts {
		if a.stage == s && match(a) {
			list = append(list, a)
		}
	}
	return list
}

// anyAttempt matches every attempt.
func anyAttempt(*modelAttempt) bool { return true }

// step passes an input and then a tick to the core.
func (c *modelChecker) step(in Input) {
	c.applyInput(in)
	c.applyInput(nil)
}

// applyInput records an input (nil for a tick), passes it to the core and checks the
// outputs.
func (c *modelChecker) applyInput(in Input) {
	r := timedInput{now: c.now, in: in}
	c.recording = append(c.recording, r)
	for _, out := range applyInput(c.core, r) {
		switch out := out.(type) {
		case SendEntry:
			c.checkSend(out)
		case EngineStart:
			c.checkStart(out)
		case EngineCancel:
			c.checkCancel(out)
		}
	}
	isOverHigherTier := func(a *modelAttempt) bool { return a.overHigherTier }
	overHigherTier := len(c.in(granted, isOverHigherTier)) + len(c.in(running, isOverHigherTier))
	held := len(c.in(granted, anyAttempt)) + len(c.in(running, anyAttempt))
	// policy.GuardSlots of 3 slots is 1.
	if overHigherTier > 1 || held > c.cfg.Slots || len(c.in(queued, anyAttempt)) > c.cfg.MaxQueued {
		c.t.Fatalf("%d slots held, %d of them granted over a higher tier; %d queued", held, overHigherTier, len(c.in(queued, anyAttempt)))
	}
	if n := slices.Max(c.skippedGrants[:]); n > (len(c.skippedGrants)+1)*(int(c.cfg.GuardMinGap)+1) {
		c.t.Fatalf("classes were passed over for %v grants", c.skippedGrants)
	}
}

func (c *modelChecker) checkSend(out SendEntry) {
	switch m := out.Message.GetKind().(type) {
	case *pb.ToEntry_Grant:
		c.checkGrant(c.attempts[m.Grant.GetCall()-1], m.Grant)
	case *pb.ToEntry_ReserveReply:
		c.checkRefusal(c.attempts[m.ReserveReply.GetCall()-1], m.ReserveReply.GetReason())
	case *pb.ToEntry_HandOverReply:
		c.checkStartState(c.attempts[m.HandOverReply.GetCall()-1], m.HandOverReply.GetState())
	case *pb.ToEntry_RevokeReply:
		c.checkStartState(c.attempts[m.RevokeReply.GetCall()-1], m.RevokeReply.GetState())
	}
}

func (c *modelChecker) checkGrant(a *modelAttempt, m *pb.Grant) {
	eligible := a.stage == queued || a.stage == refused
	if !eligible || a.neverStart || a.started || m.GetNonce() <= c.nonce {
		c.t.Fatalf("grant %v for %+v", m, a)
	}
	a.stage = granted
	a.nonce, c.nonce = m.GetNonce(), m.GetNonce()
	a.expiresAt = c.now.Add(time.Duration(m.GetTtlMs()) * time.Millisecond)
	a.overHigherTier = len(c.in(queued, func(q *modelAttempt) bool { return c.connected[q.key.peer] && q.tier.Higher(a.tier) })) > 0
	if a.overHigherTier && c.grantsSinceOverHigherTier < int(c.cfg.GuardMinGap) {
		c.t.Fatalf("tier %d granted over a higher tier %d grants after the last such grant", a.tier, c.grantsSinceOverHigherTier)
	}
	c.grantsSinceOverHigherTier++
	if a.overHigherTier {
		c.grantsSinceOverHigherTier = 0
	}
	for class := range c.skippedGrants {
		waiting := c.in(queued, func(q *modelAttempt) bool { return c.connected[q.key.peer] && q.class == uint32(class) })
		if a.class == uint32(class) || len(waiting) == 0 {
			c.skippedGrants[class] = 0
		} else if a.overHigherTier || c.core.guardHeldSlots == 0 {
			c.skippedGrants[class]++
		}
	}
}

// checkRefusal checks a refusal. The refused attempt still counts as queued in the model.
func (c *modelChecker) checkRefusal(a *modelAttempt, reason pb.RefuseReason) {
	higher := c.in(queued, func(q *modelAttempt) bool { return q.tier.Higher(a.tier) })
	lower := c.in(queued, func(q *modelAttempt) bool { return a.tier.Higher(q.tier) })
	full := len(c.in(queued, anyAttempt)) > c.cfg.MaxQueued
	displaced := reason == pb.RefuseReason_REFUSE_DISPLACED
	if a.stage != queued || !full || len(lower) > 0 || (displaced && len(higher) == 0) {
		c.t.Fatalf("%v for %+v with %d higher, %d lower, full %t", reason, a, len(higher), len(lower), full)
	}
	for _, previous := range c.in(refused, func(r *modelAttempt) bool { return r.class == a.class }) {
		previous.stage = finished
	}
	a.stage = refused
	a.refreshedAt = c.now
}

func (c *modelChecker) checkStartState(a *modelAttempt, state pb.StartState) {
	switch {
	case state == forgotten, state == neverStarted && a.started:
		c.t.Fatalf("%v for %+v", state, a)
	case state == neverStarted:
		a.neverStart = true
		a.stage = finished
	}
}

func (c *modelChecker) checkStart(out EngineStart) {
	a := c.attempts[out.HandOver.GetCall()-1]
	if a.stage != granted || a.neverStart || a.started || c.now >= a.expiresAt || a.nonce != out.HandOver.GetNonce() {
		c.t.Fatalf("started %+v with %v", a, out.HandOver)
	}
	a.stage = running
	a.started = true
	a.idempotent = out.HandOver.GetIdempotent()
	a.preemptible = out.HandOver.GetPreemptible()
	a.run = out.Run
}

func (c *modelChecker) checkCancel(out EngineCancel) {
	a := c.in(running, func(a *modelAttempt) bool { return a.run == out.Run })[0]
	higher := c.in(queued, func(q *modelAttempt) bool { return q.tier.Higher(a.tier) })
	allowed := a.cancelled || (a.preemptible && len(higher) > 0)
	if !a.idempotent || !allowed {
		c.t.Fatalf("cancelled %+v", a)
	}
}

// advance moves the clock forward and expires grants, reservations and refusals.
func (c *modelChecker) advance(d time.Duration) {
	c.now = c.now.Add(d)
	for _, a := range c.attempts {
		age := c.now.Sub(a.refreshedAt)
		switch {
		case a.stage == granted && c.now >= a.expiresAt,
			a.stage == queued && age >= c.cfg.ReservationTTL,
			a.stage == refused && age >= c.cfg.RefusedTTL:
			a.stage = finished
		}
	}
}

func (c *modelChecker) reserve(t *rapid.T, tier uint32) {
	call := uint64(len(c.attempts) + 1)
	key := attemptKey{peer: []Peer{entryB, entryA}[call%2], call: domain.CallID(call), attempt: 1}
	c.attempts = append(c.attempts, &modelAttempt{key: key, tier: domain.Tier(tier), class: tier, stage: queued, refreshedAt: c.now})
	c.step(reserveMessage(key.peer, &pb.Reserve{
		Call: call, Tier: tier, Class: tier,
		Account: rapid.Uint32Range(0, 3).Draw(t, "account"),
		SlackMs: rapid.Int64Range(-500, 3000).Draw(t, "slack"),
	}))
}

// withAttempt returns an action on a random matching attempt, if there is one.
func (c *modelChecker) withAttempt(s stage, match func(*modelAttempt) bool, act func(*rapid.T, *modelAttempt)) func(*rapid.T) {
	return func(t *rapid.T) {
		if list := c.in(s, match); len(list) > 0 {
			act(t, rapid.SampledFrom(list).Draw(t, "attempt"))
		}
	}
}

func (c *modelChecker) handOver(t *rapid.T, a *modelAttempt) {
	c.step(handOverMessage(a.key.peer, &pb.HandOver{
		Call:        uint64(a.key.call),
		Nonce:       a.nonce + uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 1}).Draw(t, "wrong")),
		Idempotent:  rapid.Bool().Draw(t, "idempotent"),
		Preemptible: rapid.Bool().Draw(t, "preemptible"),
	}))
}

// handOverLate hands over an attempt after its grant has expired, before a tick removes
// the grant.
func (c *modelChecker) handOverLate(t *rapid.T, a *modelAttempt) {
	c.advance(c.cfg.GrantTTL)
	c.handOver(t, a)
}

func (c *modelChecker) end(_ *rapid.T, a *modelAttempt) {
	a.stage = finished
	c.step(EngineEnd{Run: a.run, Reason: pb.EndReason_END_COMPLETE})
}

func (c *modelChecker) repeat(_ *rapid.T, a *modelAttempt) {
	a.refreshedAt = c.now
	c.step(reserveMessage(a.key.peer, &pb.Reserve{Call: uint64(a.key.call)}))
}

// saturate keeps reservations of the highest tier queued while slots become free, and
// refreshes all queued reservations.
func (c *modelChecker) saturate(t *rapid.T) {
	for range 8 {
		c.reserve(t, 0)
		c.withAttempt(granted, anyAttempt, c.handOver)(t)
		c.withAttempt(running, anyAttempt, c.end)(t)
		for _, a := range c.in(queued, anyAttempt) {
			c.repeat(t, a)
		}
	}
}

// TestCoreMatchesModel runs random inputs against the model. It then checks that a replay
// of the same inputs gives the same outputs, byte for byte.
func TestCoreMatchesModel(t *testing.T) {
	isStarted := func(a *modelAttempt) bool { return a.started }
	mustNeverStart := func(a *modelAttempt) bool { return a.neverStart }
	rapid.Check(t, func(t *rapid.T) {
		c := newModelChecker(t)
		t.Repeat(map[string]func(*rapid.T){
			"reserve":  func(t *rapid.T) { c.reserve(t, rapid.Uint32Range(0, 2).Draw(t, "tier")) },
			"handOver": c.withAttempt(granted, anyAttempt, c.handOver),
			"late":     c.withAttempt(granted, anyAttempt, c.handOverLate),
			"end":      c.withAttempt(running, anyAttempt, c.end),
			"repeat":   c.withAttempt(queued, anyAttempt, c.repeat),
			"churn":    c.saturate,
			// Repeats the hand-over of a running attempt.
			"replay": c.withAttempt(running, anyAttempt, c.handOver),
			// Repeats the hand-over of a started attempt that has finished.
			"replay2": c.withAttempt(finished, isStarted, c.handOver),
			// Reserves again for an attempt that must never start.
			"again": c.withAttempt(finished, mustNeverStart, c.repeat),
			"revoke": c.withAttempt(granted, anyAttempt, func(_ *rapid.T, a *modelAttempt) {
				c.step(revokeMessage(a.key.peer, uint64(a.key.call), a.nonce))
			}),
			"withdraw": c.withAttempt(queued, anyAttempt, func(_ *rapid.T, a *modelAttempt) {
				a.stage = finished
				c.step(withdrawMessage(a.key.peer, uint64(a.key.call)))
			}),
			"cancel": c.withAttempt(running, anyAttempt, func(_ *rapid.T, a *modelAttempt) {
				a.cancelled = true
				c.step(cancelMessage(a.key.peer, uint64(a.key.call)))
			}),
			"data": c.withAttempt(running, anyAttempt, func(_ *rapid.T, a *modelAttempt) {
				c.step(EngineData{Run: a.run, Data: []byte("x"), Tokens: 1})
			}),
			// Connects or disconnects entry B.
			"entry": func(*rapid.T) {
				c.connected[entryB] = !c.connected[entryB]
				if c.connected[entryB] {
					c.step(EntryUp{Peer: entryB})
				} else {
					c.step(EntryDown{Peer: entryB})
				}
			},
			// Advances the clock.
			"pass": func(t *rapid.T) {
				c.step(heartbeatMessage(entryA, 1))
				c.step(heartbeatMessage(entryB, 1))
				c.advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
				c.applyInput(nil)
			},
		})
		outputs := replay(t, c.cfg, c.recording)
		assert.Assert(t, bytes.Equal(outputs, replay(t, c.cfg, c.recording)), "outputs differ")
	})
}
