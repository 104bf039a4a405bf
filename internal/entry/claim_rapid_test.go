package entry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// claimMachine is two entries that share a table service. The service loses
// replies, delays writes and becomes unavailable; the entries restart. The machine
// counts the runs of each key.
type claimMachine struct {
	config        *testConfig
	store         *fakeStore
	now           domain.Instant
	entryNodes    [2]*claimEntry
	delayedWrites []table.Request
	runs          map[domain.IdempotencyKey]int
	handled       map[string]bool // attempts that the agent has replied to
	started       map[string]bool // calls that have run, by callName
	nextID        domain.CallID
	nonce         uint64
}

// claimEntry is one incarnation of an entry and what its core has emitted.
type claimEntry struct {
	id          domain.EntryID
	incarnation domain.Incarnation
	core        *Core
	keys        map[domain.CallID]domain.IdempotencyKey
	ended       map[domain.CallID]bool
	data        map[domain.CallID]string
	store       []StoreRequest
	reserves    []*pb.Reserve
	handOvers   []*pb.HandOver
}

func newClaimMachine() *claimMachine {
	m := &claimMachine{config: newTestConfig("t1"), store: newFakeStore(), now: domain.Instant(time.Second),
		runs: map[domain.IdempotencyKey]int{}, handled: map[string]bool{}, started: map[string]bool{}}
	m.startEntry(0, 1)
	m.startEntry(1, 1)
	return m
}

// startEntry starts or restarts an entry with empty state.
func (m *claimMachine) startEntry(i int, incarnation domain.Incarnation) {
	cfg := DefaultConfig()
	cfg.EntryID, cfg.Incarnation, cfg.Seed = m.config.entries[i], incarnation, 1
	m.entryNodes[i] = &claimEntry{id: cfg.EntryID, incarnation: incarnation, core: New(cfg),
		keys:  map[domain.CallID]domain.IdempotencyKey{},
		ended: map[domain.CallID]bool{}, data: map[domain.CallID]string{}}
	m.entryNodes[i].core.Step(m.now, NewConfig{Config: m.config})
	m.entryNodes[i].core.Step(m.now, AgentUp{Agent: "t1", Incarnation: 1})
}

func (m *claimMachine) step(t *rapid.T, n *claimEntry, in Input) {
	n.core.Step(m.now, in)
	n.core.Tick(m.now)
	for _, out := range n.core.Take() {
		switch out := out.(type) {
		case StoreRequest:
			n.store = append(n.store, out)
		case SendAgent:
			if r := out.Message.GetReserve(); r != nil {
				n.reserves = append(n.reserves, r)
			}
			if h := out.Message.GetHandOver(); h != nil {
				n.handOvers = append(n.handOvers, h)
			}
		case CallerData:
			n.data[out.Call] += string(out.Data)
		case CallerEnd:
			m.checkEnd(t, n, out)
		}
	}
}

func (m *claimMachine) callName(n *claimEntry, id domain.CallID) string {
	return fmt.Sprintf("%s/%d/%d", n.id, n.incarnation, id)
}

// checkEnd fails the test if a call's outcome contradicts the runs of its key.
func (m *claimMachine) checkEnd(t *rapid.T, n *claimEntry, end CallerEnd) {
	if n.ended[end.Call] {
		t.Fatalf("call %d of %s ended twice", end.Call, n.id)
	}
	n.ended[end.Call] = true
	key := n.keys[end.Call]
	switch end.Outcome {
	case domain.OutcomeNotRun:
		if m.started[m.callName(n, end.Call)] {
			t.Fatalf("call %d of %s has run but ended not-run", end.Call, n.id)
		}
	case domain.OutcomeComplete:
		if m.runs[key] != 1 || n.data[end.Call] != "answer to "+string(key) {
			t.Fatalf("key %s: %d runs, answer %q", key, m.runs[key], n.data[end.Call])
		}
	}
}

func (m *claimMachine) drawEntry(t *rapid.T) *claimEntry {
	return m.entryNodes[rapid.IntRange(0, 1).Draw(t, "entry")]
}

// drawEntryWith draws an entry for which has returns true. It skips the action if
// there is none.
func (m *claimMachine) drawEntryWith(t *rapid.T, has func(*claimEntry) bool) *claimEntry {
	first := rapid.IntRange(0, 1).Draw(t, "entry")
	for _, n := range []*claimEntry{m.entryNodes[first], m.entryNodes[1-first]} {
		if has(n) {
			return n
		}
	}
	t.Skip("no entry qualifies")
	return nil
}

func (m *claimMachine) makeCall(t *rapid.T) {
	n := m.drawEntry(t)
	m.nextID++
	key := rapid.SampledFrom([]domain.IdempotencyKey{"a", "b"}).Draw(t, "key")
	n.keys[m.nextID] = key
	m.step(t, n, ticketCall(m.nextID, key))
	m.advance(t, 10*time.Millisecond)
}

// reply replies to the oldest store request of an entry, or loses the reply.
func (m *claimMachine) reply(t *rapid.T) {
	n := m.drawEntryWith(t, func(n *claimEntry) bool { return len(n.store) > 0 })
	r := n.store[0]
	n.store = n.store[1:]
	reply := table.Reply{Status: table.StatusLost}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "ok", "lost, applied", "lost, delayed", "lost", "unavailable"}).Draw(t, "fate") {
	case "ok":
		reply = m.store.apply(r.Request)
	case "lost, applied":
		m.store.apply(r.Request)
	case "lost, delayed":
		m.delayedWrites = append(m.delayedWrites, r.Request)
	case "unavailable":
		reply.Status = table.StatusUnavailable
	}
	m.step(t, n, StoreReply{ID: r.ID, Reply: reply})
	m.advance(t, 10*time.Millisecond)
}

func (m *claimMachine) applyDelayedWrite(t *rapid.T) {
	if len(m.delayedWrites) == 0 {
		t.Skip("none")
	}
	m.store.apply(m.delayedWrites[0])
	m.delayedWrites = m.delayedWrites[1:]
}

func (m *claimMachine) grant(t *rapid.T) {
	n := m.drawEntryWith(t, func(n *claimEntry) bool { return len(n.reserves) > 0 })
	r := n.reserves[0]
	n.reserves = n.reserves[1:]
	m.nonce++
	m.step(t, n, AgentMessage{Agent: "t1", Message: toEntryMessage(&pb.Grant{Call: r.GetCall(), Attempt: r.GetAttempt(), Nonce: m.nonce, TtlMs: 250})})
}

// runHandOver handles the oldest hand-over of an entry as the agent.
func (m *claimMachine) runHandOver(t *rapid.T) {
	n := m.drawEntryWith(t, func(n *claimEntry) bool { return len(n.handOvers) > 0 })
	h := n.handOvers[0]
	n.handOvers = n.handOvers[1:]
	id := domain.CallID(h.GetCall())
	key := n.keys[id]
	attempt := fmt.Sprintf("%s attempt %d", m.callName(n, id), h.GetAttempt())
	if m.handled[attempt] {
		t.Skip("duplicate hand-over")
	}
	m.handled[attempt] = true
	send := func(msg any) { m.step(t, n, AgentMessage{Agent: "t1", Message: toEntryMessage(msg)}) }
	switch rapid.SampledFrom([]string{"whole", "whole", "refused", "broken", "no reply"}).Draw(t, "run") {
	case "refused":
		send(&pb.HandOverReply{Call: h.GetCall(), Attempt: h.GetAttempt(), State: pb.StartState_NEVER_STARTED})
		return
	case "whole":
		m.runs[key]++
		m.started[m.callName(n, id)] = true
		text := "answer to " + string(key)
		send(dataFrame(h.GetCall(), h.GetAttempt(), 1, text))
		send(endFrame(h.GetCall(), h.GetAttempt(), 2, pb.EndReason_END_COMPLETE, text))
	case "broken":
		m.runs[key]++
		m.started[m.callName(n, id)] = true
		send(endFrame(h.GetCall(), h.GetAttempt(), 1, pb.EndReason_END_BROKEN, ""))
	case "no reply":
		m.runs[key]++
		m.started[m.callName(n, id)] = true
	}
	if m.runs[key] > 1 {
		t.Fatalf("key %s was run %d times", key, m.runs[key])
	}
}

func (m *claimMachine) passTime(t *rapid.T) {
	m.advance(t, rapid.SampledFrom([]time.Duration{10 * time.Millisecond, 50 * time.Millisecond, time.Second, 25 * time.Second}).Draw(t, "time"))
}

// advance moves the time forward in steps of at most 500 ms, with a heartbeat of
// the agent at each.
func (m *claimMachine) advance(t *rapid.T, d time.Duration) {
	for end := m.now.Add(d); m.now < end; {
		m.now = m.now.Add(min(d, 500*time.Millisecond))
		m.store.time = m.store.time.Add(min(d, 500*time.Millisecond))
		for _, n := range m.entryNodes {
			m.step(t, n, AgentMessage{Agent: "t1", Message: toEntryMessage(&pb.AgentHeartbeat{Slots: 4, FreeSlots: 4})})
		}
	}
}

func (m *claimMachine) restartEntry(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	for _, r := range m.entryNodes[i].store {
		m.delayedWrites = append(m.delayedWrites, r.Request)
	}
	m.startEntry(i, m.entryNodes[i].incarnation+1)
}

func (m *claimMachine) cancelCall(t *rapid.T) {
	n := m.drawEntry(t)
	if m.nextID > 0 {
		m.step(t, n, CallerGone{Call: m.nextID})
	}
}

// TestKeysRunAtMostOnce checks by random actions on a claimMachine that the call of
// each key runs at most once.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimMachine()
		t.Repeat(map[string]func(*rapid.T){ // an action under several names is drawn more often
			"call": m.makeCall, "call 2": m.makeCall, "reply": m.reply, "reply 2": m.reply, "reply 3": m.reply,
			"late": m.applyDelayedWrite, "grant": m.grant, "grant 2": m.grant, "run": m.runHandOver, "run 2": m.runHandOver, "time": m.passTime, "restart": m.restartEntry, "cancel call": m.cancelCall,
		})
	})
}
