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
	engineCount   = 3
	serviceCount  = 2
	entryCount    = 2 // newCluster supports no other number
	// waitTimeout bounds each request and each wait for a condition. Waits end as
	// soon as the condition holds.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two evaluations of an awaited condition.
	pollInterval = 20 * time.Millisecond
)

// binDir is the directory of the programs under test, built by TestMain.
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

// process runs one program, which the test can signal, kill and start again. Its
// output goes to a log, which is printed if the test fails.
type process struct {
	t       *testing.T
	name    string
	program string
	args    []string
	cmd     *exec.Cmd
	log     *os.File
	exited  chan error
	// stopping is set before the test terminates the process. Each start has its own.
	stopping *atomic.Bool
}

// process starts a program and kills it at the end of the test.
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

// tail returns the last n bytes of data.
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
	p.exited = make(chan error, 1)
	p.stopping = new(atomic.Bool)
	go p.reap(p.cmd, p.exited, p.stopping)
}

// reap waits for the process to exit. If the test did not terminate it, the test
// fails with the exit status or signal.
func (p *process) reap(cmd *exec.Cmd, exited chan error, stopping *atomic.Bool) {
	err := cmd.Wait()
	if !stopping.Load() {
		p.t.Errorf("%s (process %d) exited unexpectedly: %s", p.name, cmd.Process.Pid, cmd.ProcessState)
	}
	exited <- err
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
	// Set before the first signal, because the process may exit between the two.
	p.stopping.Store(true)
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.cmd = nil
}

// awaitExit waits until the process has exited after a signal and returns the
// error of its exit status.
func (p *process) awaitExit() error {
	p.t.Helper()
	select {
	case err := <-p.exited:
		p.cmd = nil
		return err
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s did not exit", p.name)
		return nil
	}
}

// cluster is a deployment of entryCount entries, engineCount engines and
// serviceCount plain services with an agent each, and the table service.
type cluster struct {
	t                *testing.T
	tableService     *process
	storeAddress     string
	engines          []*process
	engineAddresses  []string
	services         []*process
	serviceAddresses []string
	agents           []*process // of the engines, then of the services
	entries          []*process
	callerAddresses  []string
	adminAddresses   []string
	relays           []*relay.Relay // in front of each agent
	client           *http.Client
	lastChange       int
	// initialWrites is the number of rows written to the store until the first
	// configuration is in force. Later writes show that a call's claim was written.
	initialWrites uint64
}

// newCluster starts a deployment and waits until its configuration is in force everywhere.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, client: &http.Client{}}
	c.storeAddress = loopback.Address()
	c.tableService = c.process("platform", "dunlinpulley-standin", "platform", "--listen", c.storeAddress, "--hosts-lag", "100ms")
	c.await("the table service", func() bool { return c.acceptsConnections(c.storeAddress) })
	for i := range engineCount {
		c.startEngineAndAgent(i)
	}
	for i := range serviceCount {
		c.startServiceAndAgent(i)
	}
	var peers []string
	for i := range entryCount {
		peers = append(peers, fmt.Sprintf("entry-%d=%s", i, loopback.Address()))
	}
	hash := sha256.Sum256([]byte(operatorToken))
	for i := range entryCount {
		caller, admin := loopback.Address(), loopback.Address()
		c.callerAddresses, c.adminAddresses = append(c.callerAddresses, caller), append(c.adminAddresses, admin)
		_, peer, _ := strings.Cut(peers[i], "=")
		c.entries = append(c.entries, c.process(fmt.Sprintf("entry-%d", i), "dunlinpulley-entry",
			"--name", fmt.Sprintf("entry-%d", i), "--data-centre", "dc-1", "--listen", caller, "--admin", admin,
			"--peer-listen", peer, "--store", "http://"+c.storeAddress, "--stop-notice", "100ms",
			"--peers", peers[1-i], "--first-token-hash", hex.EncodeToString(hash[:])))
	}
	c.await("operator API", func() bool { return c.acceptsConnections(c.adminAddresses[0]) })
	reply := c.apply(0, c.documents(peers, domain.EndpointServing), 0)
	assert.Equal(t, reply.Status, "accepted", reply.Message)
	c.awaitRevision(reply.Revision)
	c.initialWrites = c.storeWrites()
	return c
}

// startEngineAndAgent starts model engine i and its agent.
func (c *cluster) startEngineAndAgent(i int) {
	engine := loopback.Address()
	c.engineAddresses = append(c.engineAddresses, engine)
	c.engines = append(c.engines, c.process(fmt.Sprintf("engine-%d", i), "dunlinpulley-standin", "engine",
		"--listen", engine, "--name", fmt.Sprintf("engine-%d", i), "--seed", fmt.Sprint(answerSeed), "--step-base", "10ms"))
	c.startAgent(fmt.Sprintf("desk-%d", i), engine, "model")
}

// startServiceAndAgent starts plain service i and its agent.
func (c *cluster) startServiceAndAgent(i int) {
	service := loopback.Address()
	c.serviceAddresses = append(c.serviceAddresses, service)
	c.services = append(c.services, c.process(fmt.Sprintf("service-%d", i), "dunlinpulley-standin", "service",
		"--listen", service, "--name", fmt.Sprintf("tickets-%d", i), "--service-time", "50ms"))
	c.startAgent(fmt.Sprintf("tickets-%d", i), service, "plain")
}

// startAgent starts the agent of the named endpoint behind a relay, which can stop
// forwarding on its connections without closing them. endpointAddress is that of the
// model engine or plain service.
func (c *cluster) startAgent(name, endpointAddress, kind string) {
	listen := loopback.Address()
	r, err := relay.Start(loopback.Address(), listen)
	assert.NilError(c.t, err)
	c.t.Cleanup(r.Close)
	c.relays = append(c.relays, r)
	c.agents = append(c.agents, c.process("agent-"+name, "dunlinpulley-agent", "--endpoint", name,
		"--data-centre", "dc-1", "--listen", listen, "--agent-admin", loopback.Address(), "--engine", endpointAddress,
		"--kind", kind, "--slots", "16", "--store", "http://"+c.storeAddress))
}

// endpointName returns the declared name of the endpoint of agent i.
func endpointName(i int) string {
	if i < engineCount {
		return fmt.Sprintf("desk-%d", i)
	}
	return fmt.Sprintf("tickets-%d", i-engineCount)
}

// documents returns all declarations of the deployment. peers are the entries, as
// name=peer-address; the first endpoint is declared in state firstDesired.
func (c *cluster) documents(peers []string, firstDesired domain.DesiredState) []operatorapi.Document {
	c.t.Helper()
	hash := sha256.Sum256([]byte(callerKey))
	operator := sha256.Sum256([]byte(operatorToken))
	var b strings.Builder
	fmt.Fprintf(&b, declarations, hex.EncodeToString(hash[:]), hex.EncodeToString(operator[:]))
	for i, r := range c.relays {
		service, models := "tickets", ""
		if i < engineCount {
			service, models = "desk", "models: [desk-1]\n"
		}
		state := domain.EndpointServing
		if i == 0 {
			state = firstDesired
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

// declarations is a format string for documents. Its arguments are the hash of the
// caller's key and the hash of the operator's token.
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

// callOperatorAPI sends an operator's request to an entry and decodes the reply.
func callOperatorAPI[R any](c *cluster, entry int, method, path string, body any) (R, error) {
	var reply R
	data, err := json.Marshal(body)
	if err != nil {
		return reply, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.adminAddresses[entry]+path, bytes.NewReader(data))
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

// apply applies declarations, under a new change identifier, on top of revision base.
func (c *cluster) apply(entry int, docs []operatorapi.Document, base domain.Revision) operatorapi.ApplyReply {
	c.t.Helper()
	c.lastChange++
	change := domain.ChangeID(fmt.Sprintf("change-%d", c.lastChange))
	reply, err := callOperatorAPI[operatorapi.ApplyReply](c, entry, http.MethodPost, operatorapi.PathApply,
		operatorapi.ApplyRequest{Change: change, Base: base, Documents: docs})
	assert.NilError(c.t, err)
	return reply
}

// awaitRevision waits until each entry is ready and connected to all agents, and
// all of them have revision rev or a newer one.
func (c *cluster) awaitRevision(rev domain.Revision) {
	c.t.Helper()
	for i := range c.entries {
		c.await(fmt.Sprintf("revision %d at entry %d", rev, i), func() bool {
			status, err := callOperatorAPI[operatorapi.Status](c, i, http.MethodGet, operatorapi.PathStatus, nil)
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

// await polls a condition until it holds, and fails the test after waitTimeout.
func (c *cluster) await(condition string, holds func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !holds() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting for %s", condition)
		}
		time.Sleep(pollInterval)
	}
}

// acceptsConnections reports whether a TCP connection to the address succeeds.
func (c *cluster) acceptsConnections(address string) bool {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// getJSON fetches and decodes a JSON page of a stand-in.
func getJSON[R any](t *testing.T, address, path string) R {
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
