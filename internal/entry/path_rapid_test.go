package entry

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// pathMachine is a core and agents that follow docs/PROTOCOL.md. The network
// between them loses, duplicates and reorders messages. The machine compares each
// call's data with the complete answer and counts the call's runs.
type pathMachine struct {
	core     *Core
	now      domain.Instant
	agents   []*pathAgent
	toCore   []Input                            // in transit to the core
	toAgents []SendAgent                        // in transit to the agents
	classes  map[domain.CallID]domain.ClassName // of all calls made
	data     map[domain.CallID]string           // delivered to the caller
	ends     map[domain.CallID]CallerEnd
	runs     map[domain.CallID]int // attempts started at agents
}

// pathAgent is an agent of a pathMachine.
type pathAgent struct {
	id           domain.EndpointID
	incarnation  domain.Incarnation
	nonce        uint64
	queue        []*pb.Reserve
	granted      map[string]uint64 // nonce of each grant, by attemptName
	neverStarted map[string]bool   // attempts reported as NEVER_STARTED
	runs         map[string]*pathRun
}

// pathRun is a started attempt at an agent.
type pathRun struct {
	call      domain.CallID
	attempt   uint32
	remaining string      // text not sent yet
	sent      string      // text sent in data frames
	frames    []*pb.Frame // sent frames, for resending
	ended     bool        // the End frame was sent
}

func completeAnswer(id domain.CallID) string { return fmt.Sprintf("answer %d.", id) }

func attemptName(call uint64, attempt uint32) string { return fmt.Sprintf("%d/%d", call, attempt) }

func newPathMachine() *pathMachine {
	ids := []domain.EndpointID{"d1", "d2", "t1", "t2"}
	cfg := DefaultConfig()
	cfg.EntryID, cfg.Incarnation, cfg.Seed = "e1", 1, 1
	m := &pathMachine{core: New(cfg), now: domain.Instant(time.Second), classes: map[domain.CallID]domain.ClassName{},
		data: map[domain.CallID]string{}, ends: map[domain.CallID]CallerEnd{}, runs: map[domain.CallID]int{}}
	m.core.Step(m.now, NewConfig{Config: newTestConfig(ids...)})
	for _, id := range ids {
		a := &pathAgent{id: id}
		m.agents = append(m.agents, a)
		m.startAgent(a)
	}
	return m
}

// startAgent starts or restarts an agent with a new incarnation and empty state.
func (m *pathMachine) startAgent(a *pathAgent) {
	*a = pathAgent{id: a.id, incarnation: a.incarnation + 1, granted: map[string]uint64{}, neverStarted: map[string]bool{}, runs: map[string]*pathRun{}}
	m.core.Step(m.now, AgentUp{Agent: a.id, Incarnation: a.incarnation})
}

func (m *pathMachine) drawAgent(t *rapid.T) *pathAgent {
	return rapid.SampledFrom(m.agents).Draw(t, "agent")
}

// step passes an input, if any, to the core and checks its outputs to callers.
func (m *pathMachine) step(t *rapid.T, in Input) {
	if in != nil {
		m.core.Step(m.now, in)
	}
	m.core.Tick(m.now)
	for _, out := range m.core.Take() {
		switch out := out.(type) {
		case SendAgent:
			m.toAgents = append(m.toAgents, out)
		case CallerData:
			m.data[out.Call] += string(out.Data)
			if _, ended := m.ends[out.Call]; ended || !strings.HasPrefix(completeAnswer(out.Call), m.data[out.Call]) {
				t.Fatalf("call %d got %q", out.Call, m.data[out.Call])
			}
		case CallerEnd:
			m.checkEnd(t, out)
		}
	}
}

// checkEnd fails the test if a call's outcome contradicts its delivered data and runs.
func (m *pathMachine) checkEnd(t *rapid.T, end CallerEnd) {
	if _, ended := m.ends[end.Call]; ended {
		t.Fatalf("call %d ended twice", end.Call)
	}
	m.ends[end.Call] = end
	data := m.data[end.Call]
	invalid := false
	switch end.Outcome {
	case domain.OutcomeComplete:
		invalid = data != completeAnswer(end.Call)
	case domain.OutcomeNotRun:
		invalid = data != "" || m.runs[end.Call] > 0
	case domain.OutcomePartial:
		invalid = data == ""
	case domain.OutcomeUnknown:
		invalid = data != ""
	default:
		invalid = true
	}
	if invalid {
		t.Fatalf("call %d ended %v with %q after %d runs", end.Call, end, data, m.runs[end.Call])
	}
}

// sendToEntry puts a message of an agent in transit to the core.
func (m *pathMachine) sendToEntry(a *pathAgent, msg any) {
	m.toCore = append(m.toCore, AgentMessage{Agent: a.id, Incarnation: a.incarnation, Message: toEntryMessage(msg)})
}

// handleMessage handles a message at an agent according to the protocol.
func (m *pathMachine) handleMessage(t *rapid.T, a *pathAgent, msg *pb.ToAgent) {
	if r := msg.GetReserve(); r != nil {
		a.queue = append(a.queue, r)
	}
	if w := msg.GetWithdraw(); w != nil {
		delete(a.granted, attemptName(w.GetCall(), w.GetAttempt()))
	}
	if r := msg.GetRevoke(); r != nil {
		m.sendToEntry(a, &pb.RevokeReply{Call: r.GetCall(), Attempt: r.GetAttempt(), State: a.startState(r.GetCall(), r.GetAttempt(), r.GetIncarnation())})
	}
	if k := msg.GetAck(); k != nil {
		if run := a.runs[attemptName(k.GetCall(), k.GetAttempt())]; run != nil {
			for _, f := range run.frames {
				if f.GetSeq() > k.GetSeq() && !k.GetDone() {
					m.sendToEntry(a, f)
				}
			}
		}
	}
	h := msg.GetHandOver()
	if h == nil {
		return
	}
	name := attemptName(h.GetCall(), h.GetAttempt())
	nonce, ok := a.granted[name]
	if a.runs[name] == nil && ok && nonce == h.GetNonce() && h.GetIncarnation() == uint64(a.incarnation) && !a.neverStarted[name] {
		id := domain.CallID(h.GetCall())
		m.runs[id]++
		if m.classes[id] == "ticket" && m.runs[id] > 1 {
			t.Fatalf("ticket call %d was run twice", id)
		}
		assert.Assert(t, strings.HasPrefix(completeAnswer(id), h.GetResumeText()))
		a.runs[name] = &pathRun{call: id, attempt: h.GetAttempt(), remaining: strings.TrimPrefix(completeAnswer(id), h.GetResumeText())}
	}
	m.sendToEntry(a, &pb.HandOverReply{Call: h.GetCall(), Attempt: h.GetAttempt(), State: a.startState(h.GetCall(), h.GetAttempt(), h.GetIncarnation())})
}

// startState returns the state of an attempt. An attempt reported as never
// started can't be started later.
func (a *pathAgent) startState(call uint64, attempt uint32, incarnation uint64) pb.StartState {
	name := attemptName(call, attempt)
	switch {
	case incarnation != uint64(a.incarnation):
		return pb.StartState_FORGOTTEN
	case a.runs[name] != nil:
		return pb.StartState_STARTED
	}
	a.neverStarted[name] = true
	return pb.StartState_NEVER_STARTED
}

// sendNextFrame sends the next data frame of a run. It sends the End frame if the
// text is complete or end is set.
func (m *pathMachine) sendNextFrame(a *pathAgent, r *pathRun, end pb.EndReason) {
	f := dataFrame(uint64(r.call), r.attempt, uint64(len(r.frames)+1), "")
	if n := min(len(r.remaining), 4); n > 0 && end == 0 {
		f.GetData().Data = []byte(r.remaining[:n])
		r.sent, r.remaining = r.sent+r.remaining[:n], r.remaining[n:]
	} else {
		end = max(end, pb.EndReason_END_COMPLETE)
		f = endFrame(uint64(r.call), r.attempt, f.GetSeq(), end, r.sent)
		r.ended = true
	}
	r.frames = append(r.frames, f)
	m.sendToEntry(a, f)
}

// openRuns returns the runs that have not ended, sorted by attempt name.
func (a *pathAgent) openRuns() []*pathRun {
	var openRuns []*pathRun
	for _, r := range a.runs {
		if !r.ended {
			openRuns = append(openRuns, r)
		}
	}
	sort.Slice(openRuns, func(i, j int) bool {
		return attemptName(uint64(openRuns[i].call), openRuns[i].attempt) < attemptName(uint64(openRuns[j].call), openRuns[j].attempt)
	})
	return openRuns
}

// grant grants all reservations queued at an agent.
func (m *pathMachine) grant(a *pathAgent) {
	for _, r := range a.queue {
		a.nonce++
		a.granted[attemptName(r.GetCall(), r.GetAttempt())] = a.nonce
		m.sendToEntry(a, &pb.Grant{Call: r.GetCall(), Attempt: r.GetAttempt(), Nonce: a.nonce, TtlMs: 250})
	}
	a.queue = nil
}

// passTime moves the time forward and delivers a heartbeat of each agent.
func (m *pathMachine) passTime(t *rapid.T, d time.Duration) {
	m.now = m.now.Add(d)
	for _, a := range m.agents {
		m.step(t, AgentMessage{Agent: a.id, Incarnation: a.incarnation, Message: toEntryMessage(&pb.AgentHeartbeat{FreeSlots: 4, Slots: 4})})
	}
}

func (m *pathMachine) byID(id domain.EndpointID) *pathAgent {
	for _, a := range m.agents {
		if a.id == id {
			return a
		}
	}
	return nil
}

// finishAll stops all faults, and fails the test if calls are open after 10 s.
func (m *pathMachine) finishAll(t *rapid.T) {
	for _, a := range m.agents {
		m.step(t, AgentUp{Agent: a.id, Incarnation: a.incarnation})
	}
	for range 100 {
		inputs, outputs := m.toCore, m.toAgents
		m.toCore, m.toAgents = nil, nil
		for _, input := range inputs {
			m.step(t, input)
		}
		for _, output := range outputs {
			m.handleMessage(t, m.byID(output.Agent), output.Message)
		}
		for _, a := range m.agents {
			m.grant(a)
			for _, r := range a.openRuns() {
				m.sendNextFrame(a, r, 0)
			}
		}
		m.passTime(t, 100*time.Millisecond)
	}
	if m.core.OpenCalls() > 0 {
		t.Fatalf("%d calls are open after all faults have ended", m.core.OpenCalls())
	}
}

// TestCallersReceiveOwnCompleteAnswer checks by random actions on a pathMachine
// that each caller receives only its own answer, and an outcome that matches it.
func TestCallersReceiveOwnCompleteAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPathMachine()
		deliver := func(t *rapid.T) {
			if n := len(m.toCore) + len(m.toAgents); n > 0 {
				i := rapid.IntRange(0, n-1).Draw(t, "message")
				repeat := rapid.IntRange(0, 5).Draw(t, "repeat") == 0
				lose := rapid.IntRange(0, 9).Draw(t, "lose") == 0
				if i < len(m.toCore) {
					in := m.toCore[i]
					if !repeat {
						m.toCore = append(m.toCore[:i:i], m.toCore[i+1:]...)
					}
					if !lose {
						m.step(t, in)
					}
					return
				}
				i -= len(m.toCore)
				out := m.toAgents[i]
				if !repeat {
					m.toAgents = append(m.toAgents[:i:i], m.toAgents[i+1:]...)
				}
				if !lose {
					m.handleMessage(t, m.byID(out.Agent), out.Message)
				}
			}
		}
		run := func(end pb.EndReason) func(*rapid.T) {
			return func(t *rapid.T) {
				a := m.drawAgent(t)
				if openRuns := a.openRuns(); len(openRuns) > 0 {
					m.sendNextFrame(a, openRuns[0], end)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){ // an action under several names is drawn more often
			"call": func(t *rapid.T) {
				id := domain.CallID(len(m.classes) + 1)
				m.classes[id] = rapid.SampledFrom([]domain.ClassName{"kiosk", "ticket"}).Draw(t, "class")
				in := deskCall(id, m.classes[id])
				if m.classes[id] == "ticket" {
					in = ticketCall(id, "")
				}
				m.step(t, in)
			},
			"deliver": deliver, "deliver 2": deliver, "deliver 3": deliver, "deliver 4": deliver, "deliver 5": deliver,
			"grant": func(t *rapid.T) { m.grant(m.drawAgent(t)) }, "grant 2": func(t *rapid.T) { m.grant(m.drawAgent(t)) },
			"run": run(0), "run 2": run(0), "break": run(pb.EndReason_END_BROKEN),
			"restart": func(t *rapid.T) { m.startAgent(m.drawAgent(t)); m.step(t, nil) },
			"down":    func(t *rapid.T) { m.step(t, AgentDown{Agent: m.drawAgent(t).id}) },
			"up": func(t *rapid.T) {
				a := m.drawAgent(t)
				m.step(t, AgentUp{Agent: a.id, Incarnation: a.incarnation})
			},
			"time": func(t *rapid.T) {
				m.passTime(t, rapid.SampledFrom([]time.Duration{50 * time.Millisecond, time.Second, 3 * time.Second}).Draw(t, "time"))
			},
			"cancel call": func(t *rapid.T) {
				m.step(t, CallerGone{Call: domain.CallID(rapid.IntRange(0, len(m.classes)).Draw(t, "call"))})
			},
		})
		m.finishAll(t)
	})
}
