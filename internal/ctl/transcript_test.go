package ctl_test

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dunlinpulley/dunlinpulley/examples"
	"github.com/dunlinpulley/dunlinpulley/internal/ctl"
	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/revision"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/platform"
	"github.com/dunlinpulley/dunlinpulley/internal/table"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const token = "example-only-port-huron-operator-alma"

// testDeployment is one entry with agents and the store on a fake clock. It
// implements operatorapi.Backend.
type testDeployment struct {
	core         *revision.Core
	store        *platform.Platform
	storeDown    bool
	agentsSilent bool // agents ignore all messages
	now          domain.Instant
	lastID       uint64
	beforeApply  func() // runs once, before the next change
	agents       map[domain.EndpointID]*declaration.AgentState
	endpoints    []domain.EndpointID
	results      map[uint64]revision.Output
}

func newTestDeployment(t *testing.T) *testDeployment {
	d := &testDeployment{
		core:    revision.New(revision.Options{Self: "entry-1", Incarnation: 1, Seed: 1}),
		store:   platform.New(platform.Options{}),
		agents:  make(map[domain.EndpointID]*declaration.AgentState),
		results: make(map[uint64]revision.Output),
	}
	for _, id := range []domain.EndpointID{"desk-03", "ticketing-01"} {
		d.agents[id] = &declaration.AgentState{Endpoint: id}
		d.endpoints = append(d.endpoints, id)
		d.core.Step(d.now, revision.AgentUp{Agent: id})
	}
	sub, err := fs.Sub(examples.FS, examples.PortHuron)
	assert.NilError(t, err)
	docs, err := declaration.Read(sub)
	assert.NilError(t, err)
	d.submit(revision.Apply{Operator: "birk", Change: "first", Documents: docs, At: d.wallTime()})
	return d
}

func (d *testDeployment) wallTime() time.Time {
	return time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC).Add(time.Duration(d.now).Truncate(time.Second))
}

// waitForResult advances the clock until a request has ended, and returns its result.
func (d *testDeployment) waitForResult(id uint64) revision.Output {
	for d.results[id] == nil {
		d.advance(100 * time.Millisecond)
	}
	return d.results[id]
}

// advance moves the clock forward and performs the outputs of the core.
func (d *testDeployment) advance(interval time.Duration) {
	d.now = d.now.Add(interval)
	d.core.Tick(d.now)
	for out := d.core.Take(); len(out) > 0; out = d.core.Take() {
		for _, o := range out {
			d.perform(o)
		}
	}
}

func (d *testDeployment) perform(out revision.Output) {
	switch out := out.(type) {
	case revision.StoreRequest:
		reply := table.Reply{Status: table.StatusUnavailable}
		if !d.storeDown {
			reply = d.store.Transact(&out.Request)
		}
		d.core.Step(d.now, revision.StoreReply{ID: out.ID, Reply: reply})
	case revision.SendAgent:
		d.sendToAgent(out)
	case revision.ApplyResult:
		d.results[out.ID] = out
	case revision.OperateResult:
		d.results[out.ID] = out
	case revision.AuditResult:
		d.results[out.ID] = out
	}
}

// sendToAgent delivers a message to an agent and passes its reply to the core.
func (d *testDeployment) sendToAgent(out revision.SendAgent) {
	if d.agentsSilent {
		return
	}
	agent := d.agents[out.Agent]
	message := &pb.ToEntry{Kind: &pb.ToEntry_Heartbeat{Heartbeat: &pb.AgentHeartbeat{Revision: uint64(agent.Revision)}}}
	if m := out.Message.GetDocuments(); m != nil {
		if _, err := agent.Apply(m); err != nil {
			panic(err)
		}
		message.GetHeartbeat().Revision = uint64(agent.Revision)
	}
	if m := out.Message.GetOperate(); m != nil {
		reply := &pb.OperateReply{Change: m.GetChange(), Desired: m.GetDesired(), Running: 2}
		message = &pb.ToEntry{Kind: &pb.ToEntry_OperateReply{OperateReply: reply}}
	}
	d.core.Step(d.now, revision.AgentMessage{Agent: out.Agent, Message: message})
}

func (d *testDeployment) submit(in revision.Apply) revision.ApplyResult {
	d.lastID++
	in.ID = d.lastID
	d.core.Step(d.now, in)
	return d.waitForResult(in.ID).(revision.ApplyResult)
}

func (d *testDeployment) Set() *declaration.Set { return d.core.Set() }

func (d *testDeployment) Apply(_ context.Context, in revision.Apply) (revision.ApplyResult, error) {
	if beforeApply := d.beforeApply; beforeApply != nil {
		d.beforeApply = nil
		beforeApply()
	}
	return d.submit(in), nil
}

func (d *testDeployment) SetDesiredState(_ context.Context, in revision.OperateRequest) (revision.OperateResult, error) {
	d.lastID++
	in.ID = d.lastID
	d.core.Step(d.now, in)
	return d.waitForResult(in.ID).(revision.OperateResult), nil
}

func (d *testDeployment) Audit(_ context.Context, in revision.AuditRequest) (revision.AuditResult, error) {
	d.lastID++
	in.ID = d.lastID
	d.core.Step(d.now, in)
	return d.waitForResult(in.ID).(revision.AuditResult), nil
}

func (d *testDeployment) Status(context.Context) (operatorapi.Status, error) {
	status := operatorapi.Status{Revisions: d.core.Status(), CallsByTier: []operatorapi.QueueStatus{{Tier: 0}, {Tier: 1, Waiting: 3, Running: 4}}}
	for _, id := range d.endpoints {
		endpoint, _ := d.Set().Endpoint(id)
		status.Endpoints = append(status.Endpoints, operatorapi.EndpointStatus{
			Endpoint: id, Service: endpoint.Service, DataCentre: endpoint.DataCentre,
			Desired: endpoint.Desired.String(), Connected: true, Slots: 16, FreeSlots: 14, Queued: 1,
		})
	}
	return status, nil
}

// session runs commands against a test deployment and records a transcript.
type session struct {
	t              *testing.T
	testDeployment *testDeployment
	program        *ctl.Program
	server         *httptest.Server
	text           strings.Builder // the transcript
	lastChange     int             // number of the last generated change identifier
	packageDir     string          // holds testdata; commands run in another directory
}

func newSession(t *testing.T) *session {
	s := &session{t: t, testDeployment: newTestDeployment(t)}
	handler := operatorapi.New(s.testDeployment, operatorapi.Options{Now: s.testDeployment.wallTime})
	s.server = httptest.NewServer(handler)
	t.Cleanup(s.server.Close)
	s.program = &ctl.Program{
		Version:   "test",
		Client:    s.server.Client(),
		Sleep:     s.testDeployment.advance,
		NewChange: func() string { s.lastChange++; return fmt.Sprintf("change-%d", s.lastChange) },
		Random:    strings.NewReader(strings.Repeat("0123456789abcdef", 2)),
	}
	t.Setenv("DUNLINPULLEY_SERVER", s.server.URL)
	t.Setenv("DUNLINPULLEY_TOKEN", token)
	packageDir, err := os.Getwd()
	assert.NilError(t, err)
	s.packageDir = packageDir
	t.Chdir(t.TempDir())
	sub, err := fs.Sub(examples.FS, examples.PortHuron)
	assert.NilError(t, err)
	assert.NilError(t, os.CopyFS("set", sub))
	return s
}

// edit replaces the first occurrence of a text in a file of the directory that the
// commands read.
func (s *session) edit(file, old, new string) {
	path := filepath.Join("set", file)
	data, err := os.ReadFile(path)
	assert.NilError(s.t, err)
	assert.Assert(s.t, strings.Contains(string(data), old), old)
	assert.NilError(s.t, os.WriteFile(path, []byte(strings.Replace(string(data), old, new, 1)), 0o600))
}

// note adds a comment to the transcript.
func (s *session) note(text string) { fmt.Fprintf(&s.text, "# %s\n", text) }

// run runs a command, which reads "n" as the answer to a question, and records its
// output and exit code.
func (s *session) run(args ...string) {
	var out bytes.Buffer
	command := s.program.Command()
	command.Writer = &out
	command.ErrWriter = &out
	command.Reader = strings.NewReader("n\n")
	err := command.Run(context.Background(), append([]string{"dunlinpulleyctl"}, args...))
	code := ctl.ExitCode(&out, err)
	text := strings.ReplaceAll(out.String(), s.server.URL, "http://ENTRY")
	fmt.Fprintf(&s.text, "$ dunlinpulleyctl %s\n%s(exit %d)\n\n", strings.Join(args, " "), text, code)
}

// golden compares the transcript with the test's golden file.
func (s *session) golden() {
	s.t.Chdir(s.packageDir)
	golden.Assert(s.t, s.text.String(), s.t.Name()+".golden")
}

func TestValidate(t *testing.T) {
	s := newSession(t)
	s.run("validate", "set")
	s.edit("templates.yaml", "tier: 0", "tier: 9")
	s.edit("templates.yaml", "first-token: $reply", "first-token: 800")
	s.edit("templates.yaml", "max-wait: 30s", "max-wait: $patience\n    colour: blue")
	s.edit("templates.yaml", "idempotent: false", "idempotent: false\n    retry:\n      attempts: 2")
	s.edit("accounts.yaml", "reply: 600ms", "reply: 10s")
	s.edit("accounts.yaml", "requests: 12/s", "request: 12/s")
	s.edit("accounts.yaml", "default-class: itinerary", "default-class: itineraries")
	s.edit("endpoints.yaml", "127.0.0.1:7102", "127.0.0.1:7101")
	s.edit("endpoints.yaml", "127.0.0.1:7103", "desk-03.example:7103")
	s.edit("endpoints.yaml", "service: desk", "service: counter")
	s.edit("endpoints.yaml", "desired: serving", "desired: resting")
	s.edit("entries.yaml", "name: entry-2", "name: entry-1")
	s.edit("operators.yaml", "token-hash: ", "token-hash: my-secret-")
	s.edit("services.yaml", "type: plain", "type: plain\nmodels: desk-assistant")
	s.run("validate", "set")
	assert.NilError(t, os.WriteFile("set/entries.yaml", []byte("kind: entry\nname: [entry-1\n"), 0o600))
	s.run("validate", "set")
	s.run("validate", "nowhere")
	s.run("apply", "--wait", "soon", "--server", "entry", "--token", "")
	s.golden()
}

func TestApply(t *testing.T) {
	s := newSession(t)
	s.run("diff", "set")
	s.edit("accounts.yaml", "reply: 600ms", "reply: 500ms")
	s.edit("templates.yaml", "max-tokens: 300", "max-tokens: 250")
	s.edit("services.yaml", "name: ticketing", "name: ticketing") // writing a file unchanged makes no difference
	s.run("diff", "--check", "set")
	s.run("apply", "--change-id", "faster-gate", "set")
	s.note("The same change again changes nothing, also after another one.")
	s.run("apply", "--change-id", "faster-gate", "set")
	s.edit("accounts.yaml", "reply: 500ms", "reply: 550ms")
	s.run("apply", "set")
	s.run("apply", "--change-id", "faster-gate", "set")
	s.run("apply", "set")
	s.run("show", "shaft-gate")
	s.run("show", "--class", "cage-times", "--output", "json", "visitor-hall")
	s.run("show", "nobody")
	s.run("status")
	s.run("audit")
	s.run("audit", "--who", "alma", "--document", "template/kiosk", "--output", "json")
	s.golden()
}

func TestConflict(t *testing.T) {
	s := newSession(t)
	s.edit("accounts.yaml", "reply: 600ms", "reply: 500ms")
	s.note("birk's change comes between alma's diff and commit.")
	s.testDeployment.beforeApply = func() {
		doc, ok := s.testDeployment.Set().Document("account/guides")
		assert.Assert(t, ok)
		body := bytes.Replace(doc.GetBody(), []byte("accessibility-note"), []byte("enquiry"), 1)
		s.testDeployment.submit(revision.Apply{Operator: "birk", Change: "guides-ask", Base: 1, At: s.testDeployment.wallTime(),
			Documents: []*pb.Document{{Kind: "account", Name: "guides", Body: body}}})
	}
	s.run("apply", "set")
	s.run("audit")
	s.note("A set that removes documents asks first.")
	assert.NilError(t, os.Remove("set/operators.yaml"))
	s.run("apply", "set")
	s.run("apply", "--yes", "set")
	s.golden()
}

func TestStoreDown(t *testing.T) {
	s := newSession(t)
	s.testDeployment.storeDown = true
	s.run("drain", "desk-03")
	s.run("drain", "--yes", "--change-id", "drain-3", "desk-03")
	s.run("drain", "--yes", "--change-id", "drain-3", "desk-03")
	s.edit("accounts.yaml", "reply: 600ms", "reply: 500ms")
	s.run("apply", "--change-id", "faster-gate", "set")
	s.run("status")
	s.run("audit")
	s.note("The store is back.")
	s.testDeployment.storeDown = false
	s.testDeployment.advance(time.Second)
	s.testDeployment.advance(time.Second)
	s.run("audit")
	s.run("diff", "set")
	s.run("diff", "--files-decide", "set")
	s.note("The agents do not answer.")
	s.testDeployment.agentsSilent = true
	s.run("undrain", "--yes", "desk-03")
	s.run("apply", "--wait", "1s", "set")
	s.run("stop", "--yes", "desk-99")
	s.golden()
}

func TestKeyNew(t *testing.T) {
	s := newSession(t)
	s.run("key", "new")
	s.run("--version")
	s.golden()
}
