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
	instances     [2]*claimEntry
	delayedWrites []table.Request
	runs          map[domain.IdempotencyKey]int
	handled       map[string]bool // attempts whose hand-over the agent has received
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
	m.instances[i] = &claimEntry{id: cfg.EntryID, incarnation: incarnation, core: New(cfg),
		keys:  map[domain.CallID]domain.IdempotencyKey{},
		ended: map[domain.CallID]bool{}, data: map[domain.CallID]string{}}
	m.instances[i].core.Step(m.now, NewConfig{Config: m.config})
	m.instances[i].core.Step(m.now, AgentUp{Agent: "t1", Incarnation: 1})
}

func (m *claimMachine) step(t *rapid.T, e *claimEntry, in Input) {
	e.core.Step(m.now, in)
	e.core.Tick(m.now)
	for _, out := range e.core.Take() {
		switch out := out.(type) {
		case StoreRequest:
			e.store = append(e.store, out)
		case SendAgent:
			if r := out.Message.GetReserve(); r != nil {
				e.reserves = append(e.reserves, r)
			}
			if h := out.Message.GetHandOver(); h != nil {
				e.handOvers = append(e.handOvers, h)
			}
		case CallerData:
			e.data[out.Call] += string(out.Data)
		case CallerEnd:
			m.checkEnd(t, e, out)
		}
	}
}

func (m *claimMachine) callName(e *claimEntry, id domain.CallID) string {
	return fmt.Sprintf("%s/%d/%d", e.id, e.incarnation, id)
}

// checkEnd fails the test if a call's outcome contradicts the runs of its key.
func (m *claimMachine) checkEnd(t *rapid.T, e *claimEntry, end CallerEnd) {
	if e.ended[end.Call] {
		t.Fatalf("call %d of %s ended twice", end.Call, e.id)
	}
	e.ended[end.Call] = true
	key := e.keys[end.Call]
	switch end.Outcome {
	case domain.OutcomeNotRun:
		if m.started[m.callName(e, end.Call)] {
			t.Fatalf("call %d of %s has run but ended not-run", end.Call, e.id)
		}
	case domain.OutcomeComplete:
		if m.runs[key] != 1 || e.data[end.Call] != "answer to "+string(key) {
			t.Fatalf("key %s: %d runs, answer %q", key, m.runs[key], e.data[end.Call])
		}
	}
}

func (m *claimMachine) drawEntry(t *rapid.T) *claimEntry {
	return m.instances[rapid.IntRange(0, 1).Draw(t, "entry")]
}

// drawEntryWith draws an entry for which has returns true. It skips the action if
// there is none.
func (m *claimMachine) drawEntryWith(t *rapid.T, has func(*claimEntry) bool) *claimEntry {
	first := rapid.IntRange(0, 1).Draw(t, "entry")
	for _, e := range []*claimEntry{m.instances[first], m.instances[1-first]} {
		if has(e) {
			return e
		}
	}
	t.Skip("no entry qualifies")
	return nil
}

func (m *claimMachine) makeCall(t *rapid.T) {
	e := m.drawEntry(t)
	m.nextID++
	key := rapid.SampledFrom([]domain.IdempotencyKey{"a", "b"}).Draw(t, "key")
	e.keys[m.nextID] = key
	m.step(t, e, ticketCall(m.nextID, key))
	m.advance(t, 10*time.Millisecond)
}

// reply replies to the oldest store request of an entry, or loses the reply.
func (m *claimMachine) reply(t *rapid.T) {
	e := m.drawEntryWith(t, func(e *claimEntry) bool { return len(e.store) > 0 })
	r := e.store[0]
	e.store = e.store[1:]
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
	m.step(t, e, StoreReply{ID: r.ID, Reply: reply})
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
	e := m.drawEntryWith(t, func(e *claimEntry) bool { return len(e.reserves) > 0 })
	r := e.reserves[0]
	e.reserves = e.reserves[1:]
	m.nonce++
	m.step(t, e, AgentMessage{Agent: "t1", Message: toEntryMessage(&pb.Grant{Call: r.GetCall(), Attempt: r.GetAttempt(), Nonce: m.nonce, TtlMs: 250})})
}

// runHandOver handles the oldest hand-over of an entry as the agent.
func (m *claimMachine) runHandOver(t *rapid.T) {
	e := m.drawEntryWith(t, func(e *claimEntry) bool { return len(e.handOvers) > 0 })
	h := e.handOvers[0]
	e.handOvers = e.handOvers[1:]
	id := domain.CallID(h.GetCall())
	key := e.keys[id]
	attempt := fmt.Sprintf("%s attempt %d", m.callName(e, id), h.GetAttempt())
	if m.handled[attempt] {
		t.Skip("duplicate hand-over")
	}
	m.handled[attempt] = true
	send := func(msg any) { m.step(t, e, AgentMessage{Agent: "t1", Message: toEntryMessage(msg)}) }
	switch rapid.SampledFrom([]string{"whole", "whole", "refused", "broken", "no reply"}).Draw(t, "run") {
	case "refused":
		send(&pb.HandOverReply{Call: h.GetCall(), Attempt: h.GetAttempt(), State: pb.StartState_NEVER_STARTED})
		return
	case "whole":
		m.runs[key]++
		m.started[m.callName(e, id)] = true
		text := "answer to " + string(key)
		send(dataFrame(h.GetCall(), h.GetAttempt(), 1, text))
		send(endFrame(h.GetCall(), h.GetAttempt(), 2, pb.EndReason_END_COMPLETE, text))
	case "broken":
		m.runs[key]++
		m.started[m.callName(e, id)] = true
		send(endFrame(h.GetCall(), h.GetAttempt(), 1, pb.EndReason_END_BROKEN, ""))
	case "no reply":
		m.runs[key]++
		m.started[m.callName(e, id)] = true
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
		for _, e := range m.instances {
			m.step(t, e, AgentMessage{Agent: "t1", Message: toEntryMessage(&pb.AgentHeartbeat{Slots: 4, FreeSlots: 4})})
		}
	}
}

func (m *claimMachine) restartEntry(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "entry")
	for _, r := range m.instances[i].store {
		m.delayedWrites = append(m.delayedWrites, r.Request)
	}
	m.startEntry(i, m.instances[i].incarnation+1)
}

func (m *claimMachine) cancelCall(t *rapid.T) {
	e := m.drawEntry(t)
	if m.nextID > 0 {
		m.step(t, e, CallerGone{Call: m.nextID})
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
