package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/metastore"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/relay"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
	"github.com/dunlinpulley/dunlinpulley/platform/settings"
)

const (
	// startTimeout is the maximum wait for a gateway to become ready. It catches hangs
	// and is not a performance target.
	startTimeout = 60 * time.Second
	// permanentKey is the API key that is never removed.
	permanentKey = "soak-key"
)

// cluster is a set of gateway processes, and stand-ins that run in the test process.
// Gateways reach the stand-ins through relays.
type cluster struct {
	t             *testing.T
	program       string
	store         *metastore.Store
	registrations map[string][]byte // last row of each registered replica, by its ID
	config        []byte            // last configuration
	storeServer   *httptest.Server
	relays        []*relay.Relay // the store's, followed by one for each replica
	heldBack      []*intervals   // of each relay: while it holds data back
	replicas      []*replica.Replica
	gateways      []*process
	peerIPs       []string // one for each gateway, as all use the same port
	configVersion int
	idleRoutes    int     // routes in the configuration that no caller uses
	retryRatio    float64 // setting of the gateways

	limits   []*limitPeriod
	leavings []*leavingPeriod
	// restarted has, for each replica, the instants of its starts after the first.
	restarted []*intervals

	leavers *leavers

	mixed bool // whether replicas have several software versions

	mu               sync.Mutex
	versions         map[string]string // software version of each replica, by its ID
	starts           map[string]int64  // start of each replica's process in Unix milliseconds, by its ID
	states           map[string]string // state in each replica's row, by its ID
	log              []string
	nextTemporaryKey int                  // number of the temporary key that is removed next
	revoked          map[string]time.Time // time of removal by key
}

// process is a gateway process. The test signals no process that it has not started.
type process struct {
	settingsPath string
	logPath      string // output of all its processes
	peerIP       string // listens here for its peers
	front        string // address for callers
	ready        string // address of the readiness check
	cmd          *exec.Cmd
	stopped      bool      // suspended by SIGSTOP
	disturbed    intervals // while it is suspended; instants of its starts and ends
}

// parseSeeds parses a comma-separated list of numbers and ranges FIRST-LAST.
func parseSeeds(t *testing.T, text string) []uint64 {
	var list []uint64
	for _, part := range strings.Split(text, ",") {
		first, last, ranged := strings.Cut(part, "-")
		from, err := strconv.ParseUint(first, 10, 64)
		assert.NilError(t, err)
		to := from
		if ranged {
			to, err = strconv.ParseUint(last, 10, 64)
			assert.NilError(t, err)
		}
		for n := from; n <= to; n++ {
			list = append(list, n)
		}
	}
	return list
}

// buildRouter builds the gateway program and returns its path.
func buildRouter(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "router")
	out, err := exec.Command("go", "build", "-o", program, "github.com/dunlinpulley/dunlinpulley/cmd/dunlinpulley-router").CombinedOutput()
	assert.NilError(t, err, string(out))
	return program
}

// startCluster starts the stand-ins and the gateways, and waits until all gateways
// are ready. The processes end with the test.
func startCluster(t *testing.T, program string, gateways, replicas int, retryRatio float64, mixed bool) *cluster {
	c := &cluster{t: t, program: program, retryRatio: retryRatio, store: metastore.New(), revoked: make(map[string]time.Time),
		versions: make(map[string]string), starts: make(map[string]int64), states: make(map[string]string), mixed: mixed, registrations: make(map[string][]byte)}
	c.storeServer = httptest.NewServer(c.store)
	t.Cleanup(c.storeServer.Close)
	c.relay(strings.TrimPrefix(c.storeServer.URL, "http://"))
	for i := range replicas {
		r, err := replica.Start(fmt.Sprintf("i-%d", i))
		assert.NilError(t, err)
		t.Cleanup(r.Stop)
		c.replicas = append(c.replicas, r)
		c.restarted = append(c.restarted, &intervals{})
		c.relay(r.Address())
		c.versions[r.ID], c.starts[r.ID] = softwareVersions[0], replica.FirstBorn
		if mixed {
			c.versions[r.ID] = softwareVersions[i%len(softwareVersions)]
		}
		r.SetVersion(c.versions[r.ID])
		c.register(r, "ready")
	}
	c.configure(permanentKey)
	for range gateways {
		host, _, err := net.SplitHostPort(loopback.Address())
		assert.NilError(t, err)
		c.peerIPs = append(c.peerIPs, host)
	}
	for i := range gateways {
		g := c.newProcess(i)
		c.gateways = append(c.gateways, g)
		c.start(g)
	}
	t.Cleanup(func() {
		for _, g := range c.gateways {
			c.kill(g)
		}
	})
	for _, g := range c.gateways {
		c.waitServing(g)
	}
	return c
}

// versionOf returns the software version of a replica.
func (c *cluster) versionOf(r *replica.Replica) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.versions[r.ID]
}

// logf adds a line with the time to the log that a failed test prints.
func (c *cluster) logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// relay starts a relay to the target and appends it to relays.
func (c *cluster) relay(target string) {
	r, err := relay.Start(loopback.Address(), target)
	assert.NilError(c.t, err)
	c.t.Cleanup(r.Close)
	c.relays = append(c.relays, r)
	c.heldBack = append(c.heldBack, &intervals{})
}

// newProcess writes the settings file of gateway i and returns its process, not yet
// started. The setting revoke_ms equals maxRevokeDelay.
func (c *cluster) newProcess(i int) *process {
	g := &process{front: loopback.Address(), ready: loopback.Address(), peerIP: c.peerIPs[i]}
	g.logPath = filepath.Join(c.t.TempDir(), fmt.Sprintf("gateway-%d.log", i))
	g.settingsPath = filepath.Join(c.t.TempDir(), fmt.Sprintf("gateway-%d.json", i))
	c.writeSettings(g, i, true)
	return g
}

// writeSettings writes the settings file of gateway i. firstStart is whether no gateway has run before.
func (c *cluster) writeSettings(g *process, i int, firstStart bool) {
	file := map[string]any{
		"node_name": fmt.Sprintf("gateway-%d", i), "ip": g.peerIP, "zone": dataCentreOf(i), "bootstrap": firstStart,
		"listen": map[string]string{"front": g.front, "ready": g.ready}, "internal_ports": []int{peerPort, peerPort}, "seeds": c.peerAddresses(),
		"limits":   map[string]any{"memory_mb": 128},
		"bounds":   map[string]any{"grace_s": 5, "revoke_ms": 5000, "strict_revoke": true, "retry_budget_ratio": c.retryRatio, "budget_window_s": retryWindow.Seconds(), "budget_extra": retryExtra},
		"provider": map[string]any{"address": c.relays[0].Address()},
	}
	data, err := json.Marshal(file)
	assert.NilError(c.t, err)
	assert.NilError(c.t, os.WriteFile(g.settingsPath, data, 0o600))
}

// dataCentres is the number of data centres that gateways are spread over.
const dataCentres = 3

// dataCentreOf returns the data centre of gateway i.
func dataCentreOf(i int) string { return string(rune('a' + i%dataCentres)) }

// peerPort is the port on which gateways listen for peers. It is below the kernel's
// ephemeral port range and below the ports that loopback.Address allocates.
const peerPort = 6900

// peerAddresses returns the peer addresses of all gateways.
func (c *cluster) peerAddresses() []string {
	var peerAddresses []string
	for _, host := range c.peerIPs {
		peerAddresses = append(peerAddresses, net.JoinHostPort(host, strconv.Itoa(peerPort)))
	}
	return peerAddresses
}

// start starts the program of a gateway.
func (c *cluster) start(g *process) {
	if g.cmd != nil {
		c.writeSettings(g, slices.Index(c.gateways, g), false)
	}
	g.cmd = exec.Command(c.program, "--settings", g.settingsPath)
	output, err := os.OpenFile(g.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	assert.NilError(c.t, err)
	defer output.Close()
	g.cmd.Stdout, g.cmd.Stderr = output, output
	assert.NilError(c.t, g.cmd.Start())
	g.disturbed.touch()
}

// logCalls adds the gateways' log lines about calls to the log that a failed test prints.
func (c *cluster) logCalls(ids []string) {
	for i, g := range c.gateways {
		data, err := os.ReadFile(g.logPath)
		assert.NilError(c.t, err)
		for line := range strings.Lines(string(data)) {
			if slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, "request="+id+" ") }) {
				c.logf("gateway %d: %s", i, strings.TrimSpace(line))
			}
		}
	}
}

// kill kills a gateway's process, suspended or not, and waits for its end.
func (c *cluster) kill(g *process) {
	g.disturbed.touch()
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
}

// stop ends a gateway's process by SIGTERM. Its settings change meanwhile, with a SIGHUP
// each, until the process is gone.
func (c *cluster) stop(g *process, rng *rand.Rand) {
	interval := time.Duration(1+rng.IntN(200)) * time.Millisecond
	_ = g.cmd.Process.Signal(syscall.SIGTERM)
	exited := make(chan error, 1)
	go func() { exited <- g.cmd.Wait() }()
	for {
		select {
		case err := <-exited:
			if err != nil {
				c.t.Errorf("gateway ended with %v after SIGTERM and SIGHUP each %s", err, interval)
			}
			return
		case <-time.After(interval):
			_ = g.cmd.Process.Signal(syscall.SIGHUP)
		}
	}
}

// register writes a replica's row to the store, with the address of its relay.
func (c *cluster) register(r *replica.Replica, state string) {
	proxy := c.relays[1+slices.Index(c.replicas, r)]
	c.mu.Lock()
	c.states[r.ID] = state
	row := map[string]any{"service": "app", "address": proxy.Address(), "zone": "a", "slots": 8, "state": state, "born": c.starts[r.ID], "version": c.versions[r.ID]}
	data, err := json.Marshal(row)
	c.registrations[r.ID] = data
	c.mu.Unlock()
	assert.Check(c.t, err == nil, err)
	c.store.Put("servers", r.ID, data)
}

// unregister removes a replica's row from the store.
func (c *cluster) unregister(r *replica.Replica) {
	c.mu.Lock()
	delete(c.states, r.ID)
	c.mu.Unlock()
	delete(c.registrations, r.ID)
	c.store.Remove("servers", r.ID)
}

// writeAgain writes what the operator and the replicas wrote last, as they do after the
// store came back from a copy.
func (c *cluster) writeAgain() {
	c.store.Put("op", "config", c.config)
	for _, r := range c.replicas {
		if row, ok := c.registrations[r.ID]; ok {
			c.store.Put("servers", r.ID, row)
		} else {
			c.store.Remove("servers", r.ID)
		}
	}
}

// configure writes a new version of the gateways' configuration, with the API keys
// of the only client account.
func (c *cluster) configure(keys ...string) {
	c.configVersion++
	route := func(prefix, kind string, attempts int, resumable bool) map[string]any {
		return map[string]any{
			"name": prefix, "host": "app.example", "prefix": prefix, "kind": kind, "timeout_ms": 2000,
			"service": "app", "max_attempts": attempts, "resumable": resumable,
		}
	}
	routes := []any{
		route("/once/", "non_idempotent", 1, false), route("/safe/", "idempotent", 2, false),
		route("/stream/", "streaming", 1, false), route("/stream/resume/", "streaming", 2, true),
	}
	for i := range c.idleRoutes {
		routes = append(routes, route(fmt.Sprintf("/idle-%d/", i), "idempotent", 1, false))
	}
	data, err := json.Marshal(map[string]any{
		"version": c.configVersion, "routes": routes,
		"services": []any{map[string]any{"name": "app", "max_connections": 200}},
		"tenants":  []any{map[string]any{"name": "account", "api_keys": keys}},
	})
	assert.NilError(c.t, err)
	c.config = data
	c.store.Put("op", "config", data)
}

// waitServing waits until a gateway is ready, and fails the test after startTimeout.
func (c *cluster) waitServing(g *process) {
	c.t.Helper()
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + g.ready + settings.ReadyPath)
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	c.t.Errorf("gateway %s is not ready after %s", g.front, startTimeout)
}
