package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

func limitedConfig(l domain.Limits, entries ...domain.EntryID) *testConfig {
	config := newTestConfig("d1")
	config.entries = entries
	config.accounts[testAccount] = domain.Account{ID: testAccount, DefaultClass: "kiosk", Limits: l}
	return config
}

// admitted counts the calls from first to last that were not refused by the limits.
func (s *session) admitted(first, last domain.CallID) int {
	n := 0
	for id := first; id <= last; id++ {
		if end := s.end(id); end == nil || end.Failure.Code != CodeRateLimited {
			n++
		}
	}
	return n
}

func TestLimitsOfOneEntry(t *testing.T) {
	tests := []struct {
		name   string
		limits domain.Limits
		first  int // admitted of 10 simultaneous calls after a minute
		later  int // admitted of 10 more, 2 s later
	}{
		{"rate", domain.Limits{RequestsPerSecond: 2, Burst: 3}, 3, 3},
		{"rate without burst", domain.Limits{RequestsPerSecond: 2}, 2, 2},
		{"concurrency", domain.Limits{Concurrency: 4}, 4, 0},
		{"tokens", domain.Limits{TokensPerMinute: 600}, 6, 0},
		{"none", domain.Limits{}, 10, 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSession(t, limitedConfig(tt.limits, "e1"), "d1")
			s.now = s.now.Add(time.Minute)
			for id := domain.CallID(1); id <= 20; id++ {
				if id == 11 {
					assert.Equal(t, s.admitted(1, 10), tt.first)
					s.now = s.now.Add(2 * time.Second)
				}
				call := deskCall(id, "kiosk")
				call.Call.PromptTokens, call.Call.MaxTokens = 10, 90
				s.input(call)
			}
			assert.Equal(t, s.admitted(11, 20), tt.later)
			for id := domain.CallID(1); id <= 20; id++ {
				if end := s.end(id); end != nil {
					assert.Equal(t, end.Outcome, domain.OutcomeNotRun)
					assert.Assert(t, end.RetryAfter >= time.Second)
				}
			}
		})
	}
}

func TestEndedCallReturnsLimits(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{Concurrency: 1, TokensPerMinute: 100}, "e1"), "d1")
	s.now = s.now.Add(time.Minute)
	for id := domain.CallID(1); id <= 3; id++ { // each may use 100 tokens and uses none
		call := deskCall(id, "kiosk")
		call.Call.MaxTokens = 100
		s.input(call)
		assert.Assert(t, s.end(id) == nil)
		s.input(CallerGone{Call: id})
	}
}

func TestShareIsBorrowed(t *testing.T) {
	config := limitedConfig(domain.Limits{RequestsPerSecond: 2, Burst: 2}, "e1", "e2", "e3")
	holders, _ := policy.SplitLimit(testAccount, config.entries, 500_000) // half of policy.PartsPerLimit
	assert.DeepEqual(t, holders, []domain.EntryID{"e1", "e3"})            // the base share of e1 has room for one call
	s := newSession(t, config, "d1")
	s.now = s.now.Add(time.Minute)
	s.input(AgentUp{Agent: "d1", Incarnation: 1})
	s.input(deskCall(1, "kiosk"))
	s.input(deskCall(2, "itinerary"))
	s.input(deskCall(3, "kiosk"))
	s.input(shareAsk("e2"))           // refused, as own calls wait
	s.input(shareLoan("e3", 500_000)) // half of the limits
	s.advance(500 * time.Millisecond)
	assert.Equal(t, s.end(2).Failure.Code, CodeRateLimited)
	assert.Equal(t, len(s.reservedAgents(3)), 1) // the higher tier goes first
	s.advance(15 * time.Second)
	s.input(shareAsk("e2"))
	s.input(shareAsk("e2")) // a duplicate
	s.golden("share-borrowed")
}

func shareAsk(peer domain.EntryID) PeerMessage {
	return PeerMessage{Peer: peer, Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: &pb.ShareAsk{
		Account: string(testAccount), Parts: policy.PartsPerLimit}}}}
}

func shareLoan(peer domain.EntryID, parts uint32) PeerMessage {
	return PeerMessage{Peer: peer, Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: &pb.ShareLoan{
		Account: string(testAccount), Loan: 1, Parts: parts, TtlMs: 10_000}}}}
}

// parts returns the test account's usable share of its limits.
func (s *session) parts() uint32 {
	s.core.advance(s.now)
	ac := s.core.account(testAccount)
	s.core.refreshAccount(ac)
	return ac.parts
}

// TestRestartedEntryQueuesFirstCallsForRefill starts with empty buckets. Calls for
// which the buckets refill in time wait in order; one call more is refused.
func TestRestartedEntryQueuesFirstCallsForRefill(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{RequestsPerSecond: 10, Burst: 5}, "e1"), "d1")
	for id := domain.CallID(1); id <= 6; id++ {
		s.input(deskCall(id, "kiosk"))
	}
	assert.Assert(t, s.end(1) == nil)
	assert.Equal(t, s.end(6).Failure.Code, CodeRateLimited)
	s.advance(500 * time.Millisecond)
	assert.Equal(t, s.admitted(1, 6), 2) // half of the share counts as lent, which leaves 5 calls a second for 400 ms
	assert.Equal(t, len(s.reservedAgents(1)), 1)
}

func TestBurstDoesNotStarveOtherClasses(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{RequestsPerSecond: 20, Burst: 1}, "e1"), "d1")
	s.now = s.now.Add(time.Minute)
	s.input(AgentUp{Agent: "d1", Incarnation: 1})
	s.input(deskCall(1, "kiosk"))
	s.input(deskCall(2, "itinerary"))
	for id := domain.CallID(3); id <= 7; id++ {
		s.input(deskCall(id, "kiosk"))
	}
	s.advance(400 * time.Millisecond)
	var order []uint64
	for _, out := range s.out {
		if out, ok := out.(SendAgent); ok && out.Message.GetReserve() != nil {
			order = append(order, out.Message.GetReserve().GetCall())
		}
	}
	assert.DeepEqual(t, order, []uint64{1, 3, 4, 5, 2, 6, 7})
}

func TestEntryWithoutShareAdmitsNothing(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{TokensPerMinute: 600}, "e2"), "d1")
	s.input(deskCall(1, "kiosk"))
	s.advance(500 * time.Millisecond)
	assert.Equal(t, s.end(1).Failure.Code, CodeRateLimited)
}

func TestShareIncreaseWaitsForPreviousHolders(t *testing.T) {
	for _, active := range []bool{false, true} { // whether the account has made a call before
		s := newSession(t, limitedConfig(domain.Limits{Concurrency: 4}, "e1", "e2", "e3", "e4"), "d1")
		s.now = s.now.Add(time.Minute)
		if active {
			assert.Equal(t, s.parts(), uint32(policy.PartsPerLimit/4))
		}
		next := limitedConfig(domain.Limits{Concurrency: 4}, "e1")
		next.revision = 2
		s.input(NewConfig{Config: next})
		s.now = s.now.Add(shareIncreaseDelay - time.Millisecond)
		assert.Equal(t, s.parts(), uint32(policy.PartsPerLimit/4))
		s.now = s.now.Add(time.Millisecond)
		assert.Equal(t, s.parts(), uint32(policy.PartsPerLimit))
	}
}

func TestShareInUseIsNotLent(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{Concurrency: 4}, "e1"), "d1")
	s.now = s.now.Add(time.Minute)
	for id := domain.CallID(1); id <= 3; id++ {
		s.input(deskCall(id, "kiosk"))
	}
	s.input(shareAsk("e2")) // the loan would be for two calls; one is free
	assert.Equal(t, s.parts(), uint32(policy.PartsPerLimit))
}

// makeSequentialCalls makes calls one after the other, each cancelled by its caller
// after LimitWait, and returns how many were admitted.
func (s *session) makeSequentialCalls(first, last domain.CallID) int {
	s.input(AgentUp{Agent: "d1", Incarnation: 1})
	for id := first; id <= last; id++ {
		s.input(deskCall(id, "kiosk"))
		s.advance(s.core.settings.LimitWait)
		s.input(CallerGone{Call: id})
	}
	return s.admitted(first, last)
}

func TestRestartedEntryHasNoBurst(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{RequestsPerSecond: 0.001, Burst: 3}, "e1"), "d1")
	assert.Equal(t, s.makeSequentialCalls(1, 3), 0)
}

func TestLoanTransfersBucketLevel(t *testing.T) {
	for _, tt := range []struct {
		used  domain.CallID // calls used of a burst of 4
		parts uint32        // lent afterwards, of policy.PartsPerLimit
		left  int
	}{{0, 500_000, 2}, {2, 500_000, 0}, {3, 0, 1}} {
		s := newSession(t, limitedConfig(domain.Limits{RequestsPerSecond: 0.001, Burst: 4}, "e1"), "d1")
		s.now = s.now.Add(2 * time.Hour)
		assert.Equal(t, s.makeSequentialCalls(1, tt.used), int(tt.used))
		s.input(shareAsk("e2"))
		assert.Equal(t, s.parts(), policy.PartsPerLimit-tt.parts)
		assert.Equal(t, s.makeSequentialCalls(10, 14), tt.left)
	}
}

func TestExpiredLoanDoesNotRefill(t *testing.T) {
	s := newSession(t, limitedConfig(domain.Limits{RequestsPerSecond: 0.1, Burst: 2}, "e1", "e3"), "d1")
	s.now = s.now.Add(time.Minute)
	s.input(AgentUp{Agent: "d1", Incarnation: 1})
	s.input(deskCall(1, "kiosk"))
	s.input(deskCall(2, "kiosk"))
	s.input(shareLoan("e3", 500_000)) // half of the limits
	assert.Equal(t, s.admitted(1, 2), 2)
	s.now = s.now.Add(10 * time.Second) // the loan expired 200 ms ago
	s.input(deskCall(3, "kiosk"))
	s.advance(100 * time.Millisecond)
	s.input(PeerMessage{Peer: "e3", Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: &pb.ShareLoan{
		Account: string(testAccount), Loan: 2}}}})
	assert.Equal(t, s.core.calls.byID[3].stage, stageLimitWait)
	s.advance(200 * time.Millisecond) // the entry's own share has refilled
	assert.Equal(t, s.core.calls.byID[3].stage, stageReserving)
}

// shareMachine is a set of entries that lend each other parts of an account's
// limit. The network loses, duplicates and reorders messages; clock rates differ
// by up to 2 %; entries crash, restart, and are added and removed. The machine
// checks the sum of the shares and the number of admitted calls.
type shareMachine struct {
	config    *testConfig
	limits    domain.Limits
	now       domain.Instant
	instances map[domain.EntryID]*shareEntry
	network   []shareMessage
	nextID    domain.CallID
	admitted  int // calls admitted by all entries
}

type shareEntry struct {
	core        *Core
	alive       bool
	incarnation domain.Incarnation
	clockRate   float64 // relative to the machine's time
}

type shareMessage struct {
	from, to domain.EntryID
	sent     domain.Instant
	message  *pb.ToPeer
}

// maxMessageDelay bounds the time between sending and delivery of a message.
const maxMessageDelay = 3 * time.Second

var shareEntries = []domain.EntryID{"e1", "e2", "e3", "e4", "e5", "e6"}

func newShareMachine(t *rapid.T) *shareMachine {
	limits := domain.Limits{RequestsPerSecond: 0.5, Burst: rapid.SampledFrom([]float64{1, 3, 8, 40}).Draw(t, "burst")}
	m := &shareMachine{limits: limits, config: limitedConfig(limits, shareEntries[:5]...),
		now: domain.Instant(time.Second), instances: map[domain.EntryID]*shareEntry{}}
	for i, id := range shareEntries {
		m.instances[id] = &shareEntry{clockRate: 0.99 + 0.004*float64(i)}
		m.startEntry(id)
	}
	return m
}

// startEntry starts or restarts an entry with empty state.
func (m *shareMachine) startEntry(id domain.EntryID) {
	e := m.instances[id]
	e.incarnation += 1_000_000 // a start one second later, in microseconds
	cfg := DefaultConfig()
	cfg.EntryID, cfg.Incarnation, cfg.Seed = id, e.incarnation, 1
	e.core, e.alive = New(cfg), true
	e.core.Step(m.clock(e), NewConfig{Config: m.config})
	e.core.Step(m.clock(e), AgentUp{Agent: "d1", Incarnation: 1})
	kept := m.network[:0]
	for _, msg := range m.network { // messages on the entry's connections are lost
		if msg.from != id && msg.to != id {
			kept = append(kept, msg)
		}
	}
	m.network = kept
}

// clock returns the time by an entry's clock.
func (m *shareMachine) clock(e *shareEntry) domain.Instant {
	return domain.Instant(float64(m.now) * e.clockRate)
}

// step passes an input, if any, to an entry and processes its outputs. Each call
// that is admitted is cancelled at once.
func (m *shareMachine) step(id domain.EntryID, in Input) {
	e := m.instances[id]
	if in != nil {
		e.core.Step(m.clock(e), in)
	}
	e.core.Tick(m.clock(e))
	for _, out := range e.core.Take() {
		switch out := out.(type) {
		case SendPeer:
			m.network = append(m.network, shareMessage{from: id, to: out.Peer, sent: m.now, message: out.Message})
		case SendAgent:
			if r := out.Message.GetReserve(); r != nil {
				m.admitted++
				e.core.Step(m.clock(e), CallerGone{Call: domain.CallID(r.GetCall())})
				e.core.Take()
			}
		}
	}
}

func (m *shareMachine) drawEntry(t *rapid.T) domain.EntryID {
	return rapid.SampledFrom(shareEntries).Draw(t, "entry")
}

func (m *shareMachine) makeCall(t *rapid.T) {
	id := m.drawEntry(t)
	for range rapid.SampledFrom([]int{1, 6}).Draw(t, "calls") {
		if m.instances[id].alive {
			m.nextID++
			m.step(id, deskCall(m.nextID, "kiosk"))
		}
	}
}

func (m *shareMachine) deliver(t *rapid.T) {
	if len(m.network) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	msg := m.network[i]
	action := rapid.SampledFrom([]string{"deliver", "deliver", "deliver", "repeat", "lose"}).Draw(t, "fate")
	if action != "repeat" {
		m.network = append(m.network[:i], m.network[i+1:]...)
	}
	if action != "lose" && m.instances[msg.to].alive && m.now.Sub(msg.sent) <= maxMessageDelay {
		m.step(msg.to, PeerMessage{Peer: msg.from, Message: msg.message})
	}
}

func (m *shareMachine) passTime(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second, 9 * time.Second}).Draw(t, "time")
	m.now = m.now.Add(d)
	for _, id := range shareEntries {
		if m.instances[id].alive {
			m.step(id, AgentUp{Agent: "d1", Incarnation: 1})
		}
	}
}

func (m *shareMachine) crash(t *rapid.T) {
	id := m.drawEntry(t)
	m.instances[id].alive = false
	if rapid.Bool().Draw(t, "restart") {
		m.startEntry(id)
	}
}

// changeEntries puts a configuration with another set of entries in force, which
// reaches the entries one by one within 3 s.
func (m *shareMachine) changeEntries(t *rapid.T) {
	next := *m.config
	next.revision++
	next.entries = shareEntries[:rapid.IntRange(3, 6).Draw(t, "entries")]
	m.config = &next
	for _, id := range rapid.Permutation(shareEntries).Draw(t, "order") {
		m.now = m.now.Add(500 * time.Millisecond)
		if m.instances[id].alive {
			m.step(id, NewConfig{Config: m.config})
		}
	}
}

func (m *shareMachine) checkLimits(t *rapid.T) {
	sum := uint32(0)
	for _, id := range shareEntries {
		e := m.instances[id]
		if ac := e.core.accounts.byID[testAccount]; e.alive && ac != nil {
			e.core.advance(m.clock(e))
			e.core.refreshAccount(ac)
			sum += ac.parts
		}
	}
	if sum > policy.PartsPerLimit {
		t.Fatalf("the shares of all entries sum to %d millionths of the limit", sum)
	}
	// The fastest clock runs at a rate of 1.01. One call is the tolerance.
	allowed := m.limits.Burst + m.limits.RequestsPerSecond*1.01*time.Duration(m.now).Seconds()
	if float64(m.admitted) > allowed+1 {
		t.Fatalf("%d calls were admitted, the limit allows %.1f", m.admitted, allowed)
	}
}

// TestSharesNeverExceedTheLimit checks by random actions on a shareMachine that
// all entries together keep to the limit.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newShareMachine(t)
		t.Repeat(map[string]func(*rapid.T){ // an action under several names is drawn more often
			"call": m.makeCall, "call 2": m.makeCall, "deliver": m.deliver, "deliver 2": m.deliver, "deliver 3": m.deliver,
			"time": m.passTime, "time 2": m.passTime, "crash": m.crash, "change": m.changeEntries, "": m.checkLimits,
		})
	})
}
