package e2e

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/fstest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/declaration"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/operatorapi"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/relay"
)

const (
	callerKey     = "e2e-caller-key"
	operatorToken = "e2e-operator-token"
	answerSeed    = 7
	modelCount    = 3
	serviceCount  = 2
	entryCount    = 2
	// patience bounds each wait for a condition. It is no target: a wait ends with its condition.
	patience = 60 * time.Second
	glance   = 20 * time.Millisecond
)

// binDir holds the programs under test.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "dunlinpulley-e2e")
	if err != nil {
		panic(err)
	}
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one program under test, which can be killed, frozen and started again.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	cmd     *exec.Cmd
	log     *os.File
	ended   chan error
	// stopping is set before the test ends the process.
	stopping *atomic.Bool
}

func (c *cluster) process(name, program string, args ...string) *process {
	p := &process{t: c.t, name: name, program: program, args: args}
	p.start()
	c.t.Cleanup(func() {
		p.kill()
		if c.t.Failed() {
			data, _ := os.ReadFile(p.log.Name())
			c.t.Logf("log of %s:\n%s", name, tail(data, 3000))
		}
	})
	return p
}

func tail(data []byte, n int) []byte {
	if len(data) <= n {
		return data
	}
	return data[len(data)-n:]
}

func (p *process) start() {
	p.t.Helper()
	if p.log == nil {
		log, err := os.Create(filepath.Join(p.t.TempDir(), p.name+".log"))
		assert.NilError(p.t, err)
		p.log = log
	}
	p.cmd = exec.Command(filepath.Join(binDir, p.program), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	assert.NilError(p.t, p.cmd.Start())
	p.ended = make(chan error, 1)
	p.stopping = new(atomic.Bool)
	go p.reap(p.cmd, p.ended, p.stopping)
}

// reap waits for the process. One that the test didn't end makes the test fail,
// and is told by the signal or status that ended it.
func (p *process) reap(cmd *exec.Cmd, ended chan error, stopping *atomic.Bool) {
	err := cmd.Wait()
	if !stopping.Load() {
		p.t.Errorf("%s (process %d) ended by itself: %s", p.name, cmd.Process.Pid, cmd.ProcessState)
	}
	ended <- err
}

func (p *process) signal(s syscall.Signal) {
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopping.Store(true)
	}
	err := p.cmd.Process.Signal(s)
	if err != nil {
		p.t.Logf("signal %s to %s: %v", s, p.name, err)
	}
}

func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	// Set first: a process that ends between the two signals was ended by the test.
	p.stopping.Store(true)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.cmd = nil
}

// awaitExit waits until the process has ended by itself and returns its error.
func (p *process) awaitExit() error {
	p.t.Helper()
	select {
	case err := <-p.ended:
		p.cmd = nil
		return err
	case <-time.After(patience):
		p.t.Fatalf("%s did not end", p.name)
		return nil
	}
}

// cluster is a small deployment of separate processes.
type cluster struct {
	t          *testing.T
	platform   *process
	store      string
	engines    []*process
	engineAt   []string
	services   []*process
	serviceAt  []string
	agents     []*process // of engines, then of services
	entries    []*process
	callerAt   []string
	adminAt    []string
	relays     []*relay.Relay // before each agent
	client     *http.Client
	nextChange int
	// startWrites is the number of rows that the first configuration wrote.
	startWrites uint64
}

// newCluster starts a deployment and waits until its configuration is in force everywhere.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, client: &http.Client{}}
	c.store = loopback.Address()
	c.platform = c.process("platform", "dunlinpulley-standin", "platform", "--listen", c.store, "--hosts-lag", "100ms")
	c.await("the table service", func() bool { return c.answers(c.store) })
	for i := range modelCount {
		c.startModel(i)
	}
	for i := range serviceCount {
		c.startService(i)
	}
	var peers []string
	for i := range entryCount {
		peers = append(peers, fmt.Sprintf("entry-%d=%s", i, loopback.Address()))
	}
	hash := sha256.Sum256([]byte(operatorToken))
	for i := range entryCount {
		caller, admin := loopback.Address(), loopback.Address()
		c.callerAt, c.adminAt = append(c.callerAt, caller), append(c.adminAt, admin)
		_, peer, _ := strings.Cut(peers[i], "=")
		c.entries = append(c.entries, c.process(fmt.Sprintf("entry-%d", i), "dunlinpulley-entry",
			"--name", fmt.Sprintf("entry-%d", i), "--data-centre", "dc-1", "--listen", caller, "--admin", admin,
			"--peer-listen", peer, "--store", "http://"+c.store, "--stop-notice", "100ms",
			"--peers", peers[1-i], "--first-token-hash", hex.EncodeToString(hash[:])))
	}
	c.await("operator API", func() bool { return c.answers(c.adminAt[0]) })
	reply := c.apply(0, c.declare(peers, domain.EndpointServing), 0)
	assert.Equal(t, reply.Status, "accepted", reply.Message)
	c.awaitRevision(reply.Revision)
	c.startWrites = c.writes()
	return c
}

func (c *cluster) startModel(i int) {
	engine := loopback.Address()
	c.engineAt = append(c.engineAt, engine)
	c.engines = append(c.engines, c.process(fmt.Sprintf("engine-%d", i), "dunlinpulley-standin", "engine",
		"--listen", engine, "--name", fmt.Sprintf("engine-%d", i), "--seed", fmt.Sprint(answerSeed), "--step-base", "10ms"))
	c.startAgent(fmt.Sprintf("desk-%d", i), engine, "model")
}

func (c *cluster) startService(i int) {
	service := loopback.Address()
	c.serviceAt = append(c.serviceAt, service)
	c.services = append(c.services, c.process(fmt.Sprintf("service-%d", i), "dunlinpulley-standin", "service",
		"--listen", service, "--name", fmt.Sprintf("tickets-%d", i), "--service-time", "50ms"))
	c.startAgent(fmt.Sprintf("tickets-%d", i), service, "plain")
}

// startAgent starts an agent behind a relay that can go silent.
func (c *cluster) startAgent(endpoint, engine, kind string) {
	listen := loopback.Address()
	r, err := relay.Start(loopback.Address(), listen)
	assert.NilError(c.t, err)
	c.t.Cleanup(r.Close)
	c.relays = append(c.relays, r)
	c.agents = append(c.agents, c.process("agent-"+endpoint, "dunlinpulley-agent", "--endpoint", endpoint,
		"--data-centre", "dc-1", "--listen", listen, "--agent-admin", loopback.Address(), "--engine", engine,
		"--kind", kind, "--slots", "16", "--store", "http://"+c.store))
}

// endpointName is the declared name of an agent's endpoint.
func endpointName(i int) string {
	if i < modelCount {
		return fmt.Sprintf("desk-%d", i)
	}
	return fmt.Sprintf("tickets-%d", i-modelCount)
}

// declare returns the whole set of declarations as documents. The first endpoint has a desired state.
func (c *cluster) declare(peers []string, first domain.DesiredState) []operatorapi.Document {
	c.t.Helper()
	hash := sha256.Sum256([]byte(callerKey))
	operator := sha256.Sum256([]byte(operatorToken))
	var b strings.Builder
	fmt.Fprintf(&b, declarations, hex.EncodeToString(hash[:]), hex.EncodeToString(operator[:]))
	for i, r := range c.relays {
		service, models := "tickets", ""
		if i < modelCount {
			service, models = "desk", "models: [desk-1]\n"
		}
		state := domain.EndpointServing
		if i == 0 {
			state = first
		}
		fmt.Fprintf(&b, "---\nkind: endpoint\nname: %s\nservice: %s\ndata-centre: dc-1\nagent-address: %s\n"+
			"checks-fencing: true\ndesired: %s\n%s", endpointName(i), service, r.Address(), state, models)
	}
	for _, p := range peers {
		name, address, _ := strings.Cut(p, "=")
		fmt.Fprintf(&b, "---\nkind: entry\nname: %s\ndata-centre: dc-1\npeer-address: %s\n", name, address)
	}
	files := fstest.MapFS{"all.yaml": &fstest.MapFile{Data: []byte(b.String())}}
	docs, err := declaration.Read(files)
	assert.NilError(c.t, err)
	var out []operatorapi.Document
	for _, d := range docs {
		out = append(out, operatorapi.Document{Kind: d.Kind, Name: d.Name, Body: d.Body})
	}
	return out
}

const declarations = `kind: service
name: desk
type: model
models: [desk-1]
---
kind: service
name: tickets
type: plain
---
kind: template
name: all
classes:
  - name: enquiry
    service: desk
    tier: 1
    first-token: 2s
    max-wait: 30s
    idempotent: true
    retry: {attempts: 4, budget: 100%%}
  - name: issue
    service: tickets
    tier: 0
    first-token: 1s
    max-wait: 10s
    idempotent: false
---
kind: account
name: kiosk
template: all
default-class: enquiry
key-hashes: [%s]
---
kind: operator
name: alma
token-hash: %s
`

// request makes an operator's request to an entry and decodes the reply.
func operate[R any](c *cluster, entry int, method, path string, body any) (R, error) {
	var reply R
	data, err := json.Marshal(body)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.adminAt[entry]+path, bytes.NewReader(data))
	if err != nil {
		return reply, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := c.client.Do(req)
	if err != nil {
		return reply, err
	}
	defer resp.Body.Close()
	return reply, json.NewDecoder(resp.Body).Decode(&reply)
}

func (c *cluster) apply(entry int, docs []operatorapi.Document, base domain.Revision) operatorapi.ApplyReply {
	c.t.Helper()
	c.nextChange++
	change := domain.ChangeID(fmt.Sprintf("change-%d", c.nextChange))
	reply, err := operate[operatorapi.ApplyReply](c, entry, http.MethodPost, operatorapi.PathApply,
		operatorapi.ApplyRequest{Change: change, Base: base, Documents: docs})
	assert.NilError(c.t, err)
	return reply
}

// awaitRevision waits until each entry, and each agent that it is connected to, has a revision.
func (c *cluster) awaitRevision(rev domain.Revision) {
	c.t.Helper()
	for i := range c.entries {
		c.await(fmt.Sprintf("revision %d at entry %d", rev, i), func() bool {
			status, err := operate[operatorapi.Status](c, i, http.MethodGet, operatorapi.PathStatus, nil)
			if err != nil || status.Revisions.Revision < rev || !status.Revisions.Ready {
				return false
			}
			for _, a := range status.Revisions.Agents {
				if !a.Connected || a.Revision < rev {
					return false
				}
			}
			return len(status.Revisions.Agents) == len(c.agents)
		})
	}
}

// await waits until a condition holds.
func (c *cluster) await(what string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(glance)
	}
}

// answers reports whether something takes connections at an address.
func (c *cluster) answers(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// get decodes a JSON page of a stand-in.
func get[R any](t *testing.T, address, path string) R {
	t.Helper()
	var page R
	resp, err := http.Get("http://" + address + path)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&page))
	return page
}

func callerKeyHash() string {
	hash := sha256.Sum256([]byte(callerKey))
	return hex.EncodeToString(hash[:])
}
