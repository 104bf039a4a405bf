package entry

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/golden"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	testAccount = domain.AccountID("saltworks")
	testModel   = domain.ModelName("desk")
)

// testConfig is a configuration with a model service "desk" and a plain service
// "ticketing" (see newTestConfig).
type testConfig struct {
	revision  domain.Revision
	accounts  map[domain.AccountID]domain.Account
	classes   map[domain.ClassName]domain.Class
	endpoints map[domain.EndpointID]domain.Endpoint
	entries   []domain.EntryID
}

// newTestConfig returns a configuration with endpoints of the given IDs. Those
// that start with t belong to the ticketing service, all others to desk.
//
// The classes of desk are kiosk (tier 0, the default) and itinerary (tier 3), both
// idempotent. The class of ticketing is ticket (tier 1, not idempotent). All have
// three attempts and a retry budget ratio of 0.5.
func newTestConfig(agents ...domain.EndpointID) *testConfig {
	retry := domain.RetryPolicy{Attempts: 3, BudgetRatio: 0.5}
	cfg := &testConfig{
		revision: 1,
		accounts: map[domain.AccountID]domain.Account{testAccount: {ID: testAccount, DefaultClass: "kiosk"}},
		classes: map[domain.ClassName]domain.Class{
			"kiosk":     {Name: "kiosk", Service: "desk", Tier: 0, FirstToken: time.Second, MaxWait: 5 * time.Second, Idempotent: true, Retry: retry},
			"itinerary": {Name: "itinerary", Service: "desk", Tier: 3, FirstToken: time.Second, MaxWait: 5 * time.Second, Idempotent: true, Retry: retry},
			"ticket":    {Name: "ticket", Service: "ticketing", Tier: 1, FirstToken: time.Second, MaxWait: 5 * time.Second, Retry: retry},
		},
		endpoints: map[domain.EndpointID]domain.Endpoint{},
		entries:   []domain.EntryID{"e1", "e2", "e3"},
	}
	for _, id := range agents {
		service := domain.ServiceName("desk")
		if strings.HasPrefix(string(id), "t") {
			service = "ticketing"
		}
		cfg.endpoints[id] = domain.Endpoint{ID: id, Service: service, DataCentre: "dc1", Desired: domain.EndpointServing}
	}
	return cfg
}

func (c *testConfig) Revision() domain.Revision { return c.revision }
func (c *testConfig) Account(id domain.AccountID) (domain.Account, bool) {
	a, ok := c.accounts[id]
	return a, ok
}
func (c *testConfig) AccountByKey(domain.KeyHash) (domain.AccountID, bool) { return "", false }
func (c *testConfig) Class(_ domain.AccountID, name domain.ClassName) (domain.Class, bool) {
	cl, ok := c.classes[name]
	return cl, ok
}
func (c *testConfig) Service(name domain.ServiceName) (domain.Service, bool) {
	switch name {
	case "desk":
		return domain.Service{Name: name, Kind: domain.ServiceModel, Models: []domain.ModelName{testModel}}, true
	case "ticketing":
		return domain.Service{Name: name, Kind: domain.ServicePlain}, true
	}
	return domain.Service{}, false
}
func (c *testConfig) ServiceOf(domain.ModelName) (domain.ServiceName, bool) { return "desk", true }
func (c *testConfig) Models() []domain.ModelName                            { return []domain.ModelName{testModel} }
func (c *testConfig) Endpoint(id domain.EndpointID) (domain.Endpoint, bool) {
	e, ok := c.endpoints[id]
	return e, ok
}
func (c *testConfig) Endpoints(service domain.ServiceName) []domain.Endpoint {
	var endpoints []domain.Endpoint
	for _, e := range c.endpoints {
		if e.Service == service {
			endpoints = append(endpoints, e)
		}
	}
	sort.Slice(endpoints, func(i, j int) bool { return endpoints[i].ID < endpoints[j].ID })
	return endpoints
}
func (c *testConfig) Entries() []domain.EntryID { return c.entries }

// session drives a core and logs its inputs and outputs.
type session struct {
	t    *testing.T
	core *Core
	now  domain.Instant
	log  strings.Builder
	out  []Output // all outputs so far

	trace          []tracedInput // inputs and ticks so far
	outputsScanned int           // number of outputs that storeRequests has scanned
}

// newSession returns a session of entry e1 at one second, with connected agents
// that have four free slots each.
func newSession(t *testing.T, config *testConfig, agents ...domain.EndpointID) *session {
	cfg := DefaultConfig()
	cfg.EntryID, cfg.Incarnation, cfg.DataCentre, cfg.Seed = "e1", 1, "dc1", 1
	s := &session{t: t, core: New(cfg), now: domain.Instant(time.Second)}
	s.input(NewConfig{Config: config})
	for _, id := range agents {
		s.input(AgentUp{Agent: id, Incarnation: 1})
		s.fromAgent(id, &pb.AgentHeartbeat{FreeSlots: 4, Slots: 4, ServiceUs: 500_000, Revision: 1})
	}
	return s
}

// tracedInput is one input, or a tick if input is nil.
type tracedInput struct {
	now   domain.Instant
	input Input
}

// input passes an input to the core and ticks it, as the entry process does.
func (s *session) input(input Input) {
	s.write("> %s", describe(input))
	s.trace = append(s.trace, tracedInput{now: s.now, input: input})
	s.core.Step(s.now, input)
	s.tick()
}

// advance moves the time forward in ticks of 5 ms. No agent sends heartbeats meanwhile.
func (s *session) advance(d time.Duration) {
	s.write("  ... %s", d)
	for end := s.now.Add(d); s.now < end; {
		s.now = s.now.Add(5 * time.Millisecond)
		s.tick()
	}
}

func (s *session) tick() {
	s.trace = append(s.trace, tracedInput{now: s.now})
	s.core.Tick(s.now)
	for _, out := range s.core.Take() {
		s.out = append(s.out, out)
		s.write("< %s", describe(out))
	}
}

// fromAgent passes a message from an agent to the core.
func (s *session) fromAgent(a domain.EndpointID, m any) {
	s.input(AgentMessage{Agent: a, Message: toEntryMessage(m)})
}

// write adds a line to the log, with the time in seconds.
func (s *session) write(format string, args ...any) {
	fmt.Fprintf(&s.log, "%7.3f "+format+"\n", append([]any{time.Duration(s.now).Seconds()}, args...)...)
}

// golden compares the session's log with its golden file.
func (s *session) golden(name string) {
	s.t.Helper()
	golden.Assert(s.t, s.log.String(), name+".golden")
}

// toEntryMessage wraps a message of an agent for the core.
func toEntryMessage(m any) *pb.ToEntry {
	switch m := m.(type) {
	case *pb.AgentHeartbeat:
		return &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: m}}
	case *pb.Grant:
		return &pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: m}}
	case *pb.ReserveReply:
		return &pb.ToEntry{Kind: &pb.ToEntry_ReserveReply{ReserveReply: m}}
	case *pb.RevokeReply:
		return &pb.ToEntry{Kind: &pb.ToEntry_RevokeReply{RevokeReply: m}}
	case *pb.HandOverReply:
		return &pb.ToEntry{Kind: &pb.ToEntry_HandOverReply{HandOverReply: m}}
	case *pb.Frame:
		return &pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: m}}
	}
	panic(fmt.Sprintf("unsupported message type %T", m))
}

// describe formats an input or output as one line that is the same in each run.
func describe(v any) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", v), "entry.")
	switch v := v.(type) {
	case NewConfig:
		return fmt.Sprintf("%s revision:%d", name, v.Config.Revision())
	case CallArrived:
		return fmt.Sprintf("%s %d %s %s", name, v.Call.ID, v.Call.Class, v.Call.Key)
	case AgentMessage:
		return fmt.Sprintf("%s %s", v.Agent, compactText(v.Message))
	case SendAgent:
		return fmt.Sprintf("%s %s", v.Agent, compactText(v.Message))
	case PeerMessage:
		return fmt.Sprintf("%s %s", v.Peer, compactText(v.Message))
	case SendPeer:
		return fmt.Sprintf("%s %s", v.Peer, compactText(v.Message))
	case CallerData:
		return fmt.Sprintf("%s %d %q tokens:%d", name, v.Call, v.Data, v.Tokens)
	case StoreRequest:
		return fmt.Sprintf("%s %d %s", name, v.ID, describeTransaction(v.Request))
	case StoreReply:
		return fmt.Sprintf("%s %d %s rows:%d", name, v.ID, v.Reply.Status, len(v.Reply.Rows))
	case CallerEnd:
		return fmt.Sprintf("%s %d %s %+v retry-after:%s finish:%q tokens:%d", name, v.Call, v.Outcome, v.Failure,
			v.RetryAfter, v.FinishReason, v.AnswerTokens)
	}
	return fmt.Sprintf("%s %+v", name, v)
}

// describeTransaction formats a store request as one line.
func describeTransaction(r table.Request) string {
	var text strings.Builder
	if len(r.Scans) > 0 {
		text.WriteString("scan")
	}
	for _, g := range r.Gets {
		fmt.Fprintf(&text, "get %s ", g.Key)
	}
	for i, w := range r.Writes {
		fmt.Fprintf(&text, "if version:%d put %s %s ", r.Conditions[i].Version, w.Key, w.Value)
	}
	return strings.TrimSpace(text.String())
}

// compactText returns a message's text with single blanks. The protobuf library
// varies the number of blanks between fields from build to build.
func compactText(m fmt.Stringer) string { return strings.Join(strings.Fields(m.String()), " ") }

func deskCall(id domain.CallID, class domain.ClassName) CallArrived {
	return CallArrived{Call: Call{ID: id, Request: "r", Account: testAccount, Class: class, Model: testModel,
		Prefix: uint64(id), Body: []byte("{}")}}
}

func ticketCall(id domain.CallID, key domain.IdempotencyKey) CallArrived {
	return CallArrived{Call: Call{ID: id, Request: "r", Account: testAccount, Class: "ticket", Key: key,
		Fingerprint: 7, Method: "POST", Path: "/tickets", Body: []byte("{}")}}
}

// lastHandOver returns the last hand-over of a call and its agent.
func (s *session) lastHandOver(id domain.CallID) (domain.EndpointID, *pb.HandOver) {
	for i := len(s.out) - 1; i >= 0; i-- {
		if out, ok := s.out[i].(SendAgent); ok && out.Message.GetHandOver().GetCall() == uint64(id) {
			return out.Agent, out.Message.GetHandOver()
		}
	}
	return "", nil
}

// lastReservation returns the agent and the attempt of the last reservation of a call.
func (s *session) lastReservation(id domain.CallID) (domain.EndpointID, uint32) {
	for i := len(s.out) - 1; i >= 0; i-- {
		if out, ok := s.out[i].(SendAgent); ok && out.Message.GetReserve().GetCall() == uint64(id) {
			return out.Agent, out.Message.GetReserve().GetAttempt()
		}
	}
	s.t.Fatalf("call %d has no reservation", id)
	return "", 0
}

// grantAndStart grants a call's last reservation and reports the call as started.
// It returns the agent.
func (s *session) grantAndStart(id domain.CallID, nonce uint64) domain.EndpointID {
	a, attempt := s.lastReservation(id)
	s.fromAgent(a, &pb.Grant{Call: uint64(id), Attempt: attempt, Nonce: nonce, TtlMs: 250})
	s.fromAgent(a, &pb.HandOverReply{Call: uint64(id), Attempt: attempt, State: pb.StartState_STARTED})
	return a
}

// handOvers returns the number of a call's attempts that were handed over.
func (s *session) handOvers(id domain.CallID) int {
	numbers := map[uint32]bool{}
	for _, out := range s.out {
		if out, ok := out.(SendAgent); ok && out.Message.GetHandOver().GetCall() == uint64(id) {
			numbers[out.Message.GetHandOver().GetAttempt()] = true
		}
	}
	return len(numbers)
}

// end returns the end of a call, nil while it is open. A second end fails the test.
func (s *session) end(id domain.CallID) *CallerEnd {
	s.t.Helper()
	var end *CallerEnd
	for _, out := range s.out {
		if out, ok := out.(CallerEnd); ok && out.Call == id {
			if end != nil {
				s.t.Fatalf("call %d ended twice", id)
			}
			end = &out
		}
	}
	return end
}

// received returns the data delivered to a caller.
func (s *session) received(id domain.CallID) string {
	var data strings.Builder
	for _, out := range s.out {
		if out, ok := out.(CallerData); ok && out.Call == id {
			data.Write(out.Data)
		}
	}
	return data.String()
}

func dataFrame(call uint64, attempt uint32, seq uint64, text string) *pb.Frame {
	return &pb.Frame{Call: call, Attempt: attempt, Seq: seq,
		Part: &pb.Frame_Data{Data: &pb.Data{Data: []byte(text), Tokens: 1}}}
}

func headFrame(call uint64, attempt uint32, status uint32) *pb.Frame {
	return &pb.Frame{Call: call, Attempt: attempt, Seq: 1, Part: &pb.Frame_Head{Head: &pb.Head{Status: status}}}
}

// endFrame returns an End frame for an answer with the given text.
func endFrame(call uint64, attempt uint32, seq uint64, reason pb.EndReason, text string) *pb.Frame {
	end := &pb.End{Reason: reason, Frames: seq - 1, Checksum: xxhash.Sum64String(text)}
	if reason == pb.EndReason_END_COMPLETE {
		end.FinishReason = "stop"
	}
	return &pb.Frame{Call: call, Attempt: attempt, Seq: seq, Part: &pb.Frame_End{End: end}}
}
