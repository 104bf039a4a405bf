package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const testIncarnation = 1000

var (
	entryA = Peer{Entry: "entry-a", Incarnation: 7}
	entryB = Peer{Entry: "entry-b", Incarnation: 8}
)

// session drives a core and logs its inputs and outputs for a golden file.
type session struct {
	t    *testing.T
	core *Core
	now  domain.Instant
	log  strings.Builder
	out  []Output // of the last input or advance
	// store answers the requests to the table service. If nil, they get no reply.
	store *fakeStore
}

// newSession starts an agent with a fixed number of slots.
func newSession(t *testing.T, slots int) *session {
	cfg := DefaultConfig()
	cfg.EndpointID = "endpoint-1"
	cfg.Incarnation = testIncarnation
	cfg.Slots = slots
	cfg.MinSlots = slots
	cfg.MaxSlots = slots
	return newSessionWithConfig(t, cfg)
}

// newSessionWithConfig starts an agent that serves model m and is connected to two entries.
func newSessionWithConfig(t *testing.T, cfg Config) *session {
	s := &session{t: t, core: New(cfg), now: domain.Instant(time.Second)}
	s.input(endpointConfig(1, domain.EndpointServing))
	s.input(EntryUp{Peer: entryA})
	s.input(EntryUp{Peer: entryB})
	return s
}

// endpointConfig returns a configuration of an endpoint that serves model m.
func endpointConfig(revision domain.Revision, desired domain.DesiredState) EndpointConfig {
	return EndpointConfig{
		Revision: revision,
		Kind:     domain.ServiceModel,
		Endpoint: domain.Endpoint{ID: "endpoint-1", Desired: desired, Models: []domain.ModelName{"m"}},
	}
}

// input passes an input to the core, runs a tick and returns the outputs.
func (s *session) input(input Input) []Output {
	s.record(">", input)
	s.core.Step(s.now, input)
	s.core.Tick(s.now)
	return s.takeOutputs()
}

// replyFromStore passes the replies of the table service to the requests in out.
func (s *session) replyFromStore(out []Output) {
	for _, o := range out {
		if request, ok := o.(StoreRequest); ok && s.store != nil {
			reply := s.store.apply(request.Request, s.now)
			s.input(StoreReply{ID: request.ID, Reply: reply})
		}
	}
}

// advance moves the clock forward, with a tick every 5 ms, and returns the outputs.
func (s *session) advance(d time.Duration) []Output {
	var all []Output
	for end := s.now.Add(d); s.now < end; {
		s.now = min(end, s.now.Add(5*time.Millisecond))
		s.core.Tick(s.now)
		all = append(all, s.takeOutputs()...)
	}
	s.out = all
	return all
}

// pause moves the clock forward without a tick, as if the process were paused.
func (s *session) pause(d time.Duration) { s.now = s.now.Add(d) }

// takeOutputs logs the outputs of the core and replies to requests to the table service.
func (s *session) takeOutputs() []Output {
	taken := s.core.Take()
	s.out = taken
	for _, out := range taken {
		if _, ok := out.(StoreRequest); ok && s.store == nil {
			continue // covered by TestOrderSession
		}
		if h, ok := out.(SendEntry); ok && h.Message.GetHeartbeat() != nil && !h.Message.GetHeartbeat().GetDraining() {
			continue // left out of the golden files: sent every second
		}
		s.record("<", out)
	}
	s.replyFromStore(taken)
	return taken
}

// golden compares the log with the golden file of the test.
func (s *session) golden() {
	s.t.Helper()
	golden.Assert(s.t, s.log.String(), s.t.Name()+".golden")
}

// record logs an input or output with the current time.
func (s *session) record(arrow string, v any) {
	fmt.Fprintf(&s.log, "%7.3f %s %s\n", time.Duration(s.now).Seconds(), arrow, render(s.t, v))
}

// render formats an input or output on one line.
func render(t *testing.T, v any) string {
	switch v := v.(type) {
	case EntryMessage:
		return string(v.Peer.Entry) + " " + renderProto(t, v.Message)
	case SendEntry:
		return string(v.Peer.Entry) + " " + renderProto(t, v.Message)
	case EngineStart:
		return fmt.Sprintf("EngineStart run %d call %d attempt %d", v.Run, v.HandOver.GetCall(), v.HandOver.GetAttempt())
	}
	switch v := v.(type) {
	case StoreRequest:
		return fmt.Sprintf("StoreRequest %d %s", v.ID, renderRequest(v.Request))
	case StoreReply:
		return fmt.Sprintf("StoreReply %d %s%s", v.ID, v.Reply.Status, renderRows(v.Reply.Rows))
	case Fault:
		return fmt.Sprintf("Fault %s at %s: %v", v.Step, v.Peer, v.Err)
	}
	raw, err := json.Marshal(v)
	assert.NilError(t, err)
	return strings.TrimPrefix(fmt.Sprintf("%T ", v), "agent.") + string(raw)
}

// renderProto returns compact JSON, because the white space of protojson differs between
// builds.
func renderProto(t *testing.T, m proto.Message) string {
	raw, err := protojson.Marshal(m)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, json.Compact(&out, raw))
	return out.String()
}

// The functions below return messages of an entry about attempt 1 by default.

func entryMessage(peer Peer, m *pb.ToAgent) EntryMessage { return EntryMessage{Peer: peer, Message: m} }

func reserveMessage(peer Peer, r *pb.Reserve) EntryMessage {
	r.Attempt, r.Model, r.LateOk = max(1, r.Attempt), "m", true
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Reserve{Reserve: r}})
}

func handOverMessage(peer Peer, h *pb.HandOver) EntryMessage {
	h.Attempt = max(1, h.Attempt)
	if h.Incarnation == 0 {
		h.Incarnation = testIncarnation
	}
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: h}})
}

func revokeMessage(peer Peer, call, nonce uint64) EntryMessage {
	m := &pb.Revoke{Call: call, Attempt: 1, Nonce: nonce, Incarnation: testIncarnation}
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Revoke{Revoke: m}})
}

func ackMessage(peer Peer, call, seq uint64, done bool) EntryMessage {
	m := &pb.Ack{Call: call, Attempt: 1, Seq: seq, Done: done}
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Ack{Ack: m}})
}

func cancelMessage(peer Peer, call uint64) EntryMessage {
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Cancel{Cancel: &pb.Cancel{Call: call, Attempt: 1}}})
}

func withdrawMessage(peer Peer, call uint64) EntryMessage {
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Withdraw{Withdraw: &pb.Withdraw{Call: call, Attempt: 1}}})
}

func heartbeatMessage(peer Peer, revision uint64) EntryMessage {
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Heartbeat{Heartbeat: &pb.EntryHeartbeat{Revision: revision}}})
}

func operateMessage(peer Peer, change string, desired pb.DesiredState, revision uint64) EntryMessage {
	m := &pb.Operate{Change: change, Desired: desired, Revision: revision}
	return entryMessage(peer, &pb.ToAgent{Kind: &pb.ToAgent_Operate{Operate: m}})
}

// startCount returns the number of EngineStart outputs.
func startCount(out []Output) int {
	n := 0
	for _, o := range out {
		if _, ok := o.(EngineStart); ok {
			n++
		}
	}
	return n
}

// handOverState returns the state in the first HandOverReply, or START_UNSPECIFIED.
func handOverState(out []Output) pb.StartState {
	for _, o := range out {
		if send, ok := o.(SendEntry); ok && send.Message.GetHandOverReply() != nil {
			return send.Message.GetHandOverReply().GetState()
		}
	}
	return pb.StartState_START_UNSPECIFIED
}
