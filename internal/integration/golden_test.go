package integration

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dunlinpulley/dunlinpulley/internal/agent"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// trace is the text record of a session's outputs, without heartbeats.
type trace struct{ b strings.Builder }

func (sim *simulation) tracef(format string, args ...any) {
	if sim.trace == nil {
		return
	}
	fmt.Fprintf(&sim.trace.b, "%9.3f  %s\n", time.Duration(sim.time.now).Seconds(), fmt.Sprintf(format, args...))
}

func (sim *simulation) traceEntry(n *entryNode, out entry.Output) {
	switch o := out.(type) {
	case entry.SendAgent:
		if text := describeToAgent(o.Message); text != "" {
			sim.tracef("%s > %s: %s", n.id, o.Agent, text)
		}
	case entry.Reconnect:
		sim.tracef("%s reconnects to %s", n.id, o.Agent)
	case entry.StoreRequest:
		sim.tracef("%s > store: %d conditions, %d writes, %d gets", n.id,
			len(o.Request.Conditions), len(o.Request.Writes), len(o.Request.Gets))
	case entry.CallerHead:
		sim.tracef("%s > caller of call %d: status %d", n.id, o.Call, o.Status)
	case entry.CallerData:
		sim.tracef("%s > caller of call %d: %q", n.id, o.Call, o.Data)
	case entry.CallerEnd:
		sim.tracef("%s > caller of call %d: end, %s %s", n.id, o.Call, o.Outcome, o.Failure.Code)
	}
}

func (sim *simulation) traceAgent(n *agentNode, out agent.Output) {
	switch o := out.(type) {
	case agent.SendEntry:
		if text := describeToEntry(o.Message); text != "" {
			sim.tracef("%s > %s: %s", n.id, o.Peer.Entry, text)
		}
	case agent.EngineStart:
		sim.tracef("%s starts run %d of %s after %d tokens", n.id, o.Run, o.HandOver.RequestId, o.HandOver.ResumeTokens)
	case agent.EngineCancel:
		sim.tracef("%s cancels run %d", n.id, o.Run)
	case agent.Exit:
		sim.tracef("%s exits", n.id)
	}
}

func describeToAgent(m *pb.ToAgent) string {
	switch k := m.Kind.(type) {
	case *pb.ToAgent_Reserve:
		return fmt.Sprintf("reserve %d/%d tier %d", k.Reserve.Call, k.Reserve.Attempt, k.Reserve.Tier)
	case *pb.ToAgent_Withdraw:
		return fmt.Sprintf("withdraw %d/%d", k.Withdraw.Call, k.Withdraw.Attempt)
	case *pb.ToAgent_Revoke:
		return fmt.Sprintf("revoke %d/%d nonce %d", k.Revoke.Call, k.Revoke.Attempt, k.Revoke.Nonce)
	case *pb.ToAgent_HandOver:
		h := k.HandOver
		return fmt.Sprintf("hand over %d/%d nonce %d, %d tokens delivered", h.Call, h.Attempt, h.Nonce, h.ResumeTokens)
	case *pb.ToAgent_Ack:
		return fmt.Sprintf("ack %d/%d up to %d, done %t", k.Ack.Call, k.Ack.Attempt, k.Ack.Seq, k.Ack.Done)
	case *pb.ToAgent_Cancel:
		return fmt.Sprintf("cancel %d/%d", k.Cancel.Call, k.Cancel.Attempt)
	case *pb.ToAgent_Operate:
		return fmt.Sprintf("operate %s", k.Operate.Desired)
	}
	return ""
}

func describeToEntry(m *pb.ToEntry) string {
	switch k := m.Kind.(type) {
	case *pb.ToEntry_Grant:
		return fmt.Sprintf("grant %d/%d nonce %d", k.Grant.Call, k.Grant.Attempt, k.Grant.Nonce)
	case *pb.ToEntry_ReserveReply:
		return fmt.Sprintf("refuse %d/%d %s", k.ReserveReply.Call, k.ReserveReply.Attempt, k.ReserveReply.Reason)
	case *pb.ToEntry_RevokeReply:
		return fmt.Sprintf("word on %d/%d: %s", k.RevokeReply.Call, k.RevokeReply.Attempt, k.RevokeReply.State)
	case *pb.ToEntry_HandOverReply:
		return fmt.Sprintf("hand-over %d/%d: %s", k.HandOverReply.Call, k.HandOverReply.Attempt, k.HandOverReply.State)
	case *pb.ToEntry_Frame:
		f := k.Frame
		switch part := f.Part.(type) {
		case *pb.Frame_Head:
			return fmt.Sprintf("frame %d/%d #%d head %d", f.Call, f.Attempt, f.Seq, part.Head.Status)
		case *pb.Frame_Data:
			return fmt.Sprintf("frame %d/%d #%d %q", f.Call, f.Attempt, f.Seq, part.Data.Data)
		case *pb.Frame_End:
			return fmt.Sprintf("frame %d/%d #%d end %s", f.Call, f.Attempt, f.Seq, part.End.Reason)
		}
	}
	return ""
}

// busyAgent returns the first agent with a run in progress, or nil.
func (sim *simulation) busyAgent() *agentNode {
	for _, a := range sim.agents {
		if len(a.runs) > 0 {
			return a
		}
	}
	return nil
}

// sessions are complete sessions of one or two calls, named after the injected
// fault. The names are also those of the golden files.
var sessions = []struct {
	name     string
	simulate func(sim *simulation)
}{
	{"plain", func(sim *simulation) { sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false) }},
	{"agent crash mid-answer", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
		sim.advance(130 * time.Millisecond)
		sim.busyAgent().crash()
	}},
	// Both agents are paused before the reservations arrive and grant them on resuming,
	// so the session contains no expired grant.
	{"agent paused past its grant", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("issue"), nil, false)
		n := sim.agents[modelAgents]
		other := sim.agents[modelAgents+1]
		n.paused, other.paused = true, true
		sim.advance(time.Second)
		n.resume()
		other.resume()
	}},
	{"link silent mid-answer", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("issue"), nil, false)
		sim.advance(20 * time.Millisecond)
		l := sim.linkBetween(sim.entries[0], sim.busyAgent().id)
		l.cut = true
		sim.advance(4 * time.Second)
		l.cut = false
	}},
	{"endpoint crash mid-answer", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
		sim.advance(130 * time.Millisecond)
		sim.busyAgent().failRuns()
	}},
	{"keyed call repeated through another entry", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("issue"), nil, true)
		sim.advance(30 * time.Millisecond)
		sim.call(sim.entries[1], "a", classByName("issue"), sim.keyedOrders[0], true)
	}},
	{"claim's confirmation lost", func(sim *simulation) {
		sim.store.loseNext = 1
		sim.call(sim.entries[0], "a", classByName("issue"), nil, true)
	}},
	{"keyed call with the store down", func(sim *simulation) {
		sim.store.down = true
		sim.call(sim.entries[0], "a", classByName("issue"), nil, true)
		sim.advance(time.Second)
		sim.store.down = false
		sim.call(sim.entries[1], "a", classByName("issue"), sim.keyedOrders[0], true)
	}},
	{"drain mid-answer", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
		sim.advance(100 * time.Millisecond)
		sim.sendDesiredState(sim.busyAgent(), pb.DesiredState_DESIRED_DRAINING)
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
	}},
	{"agent stopped mid-answer", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
		sim.advance(100 * time.Millisecond)
		n := sim.busyAgent()
		n.stopping = true
		n.setDraining(true)
		n.input(agent.Shutdown{})
	}},
	{"caller hangs up", func(sim *simulation) {
		sim.call(sim.entries[0], "a", classByName("kiosk"), nil, false)
		sim.call(sim.entries[0], "a", classByName("issue"), nil, false)
		sim.advance(50 * time.Millisecond)
		sim.disconnectCaller(0)
		sim.disconnectCaller(0)
	}},
}

// simulate runs one session and returns its trace and the violated guarantees.
func simulate(session func(*simulation)) (string, []string) {
	sim := newSimulation(1, make(faultCounts))
	sim.trace = &trace{}
	session(sim)
	sim.advance(30 * time.Second)
	sim.oracle.checkAllEnded()
	return sim.trace.b.String(), sim.oracle.faults
}

// TestWholeSessions guards against unintended changes of the message sequences
// between the cores, and against non-determinism: it compares complete sessions
// with golden files, and a second run must produce the same bytes.
func TestWholeSessions(t *testing.T) {
	for _, s := range sessions {
		t.Run(s.name, func(t *testing.T) {
			first, violations := simulate(s.simulate)
			assert.Equal(t, len(violations), 0, "%v", violations)
			second, _ := simulate(s.simulate)
			assert.Equal(t, first, second)
			golden.Assert(t, first, strings.ReplaceAll(strings.ReplaceAll(s.name, " ", "-"), "'", "")+".golden")
		})
	}
}
