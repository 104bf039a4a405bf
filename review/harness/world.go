package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/metastore"
)

// Ports of the routers, the same on each of their addresses, and the address parts of the others.
const (
	frontPort, readyPort, peerPort = 8227, 8220, 7340
	storeHost, firstRouterHost     = 7, 40
	firstReplicaHost               = 100
	servicePort                    = 8223
	startTimeout                   = 20 * time.Second
	// restartDelay is the platform's short delay before a process that ended is started again.
	restartDelay = 500 * time.Millisecond
)

// world is the platform of a case: the store, the routers' processes and the record.
type world struct {
	router   string
	dir      string
	network  string // first three parts of the loopback addresses
	store    *metastore.Store
	server   *http.Server
	routers  []*routerProcess
	memoryMB int
	started  time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
	rows   map[string][]byte // last entry of each replica that the store should have
	config []byte
	down   bool
	runs   map[string]int // of each request at replicas, by its ID
}

// newWorld starts the store and opens the record.
func newWorld(router, recordPath string) (*world, error) {
	if _, err := os.Stat(router); err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	w := &world{router: router, dir: dir, store: metastore.New(), memoryMB: 134, started: time.Now(), file: file, writer: bufio.NewWriter(file), rows: make(map[string][]byte), runs: make(map[string]int)}
	for range 20 {
		w.network = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		if listener, err := net.Listen("tcp4", w.address(storeHost, servicePort)); err == nil {
			w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
			go func() { _ = w.server.Serve(listener) }()
			return w, nil
		}
	}
	return nil, errors.New("no free loopback address")
}

func (w *world) ip(host int) string { return fmt.Sprintf("%s.%d", w.network, host) }

func (w *world) address(host, port int) string { return fmt.Sprintf("%s:%d", w.ip(host), port) }

// record adds a line with the time since the start to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.writer, "%8.3f ", time.Since(w.started).Seconds())
	fmt.Fprintf(w.writer, format+"\n", args...)
}

// close ends all processes and closes the record.
func (w *world) close() {
	for _, r := range w.routers {
		r.end()
	}
	_ = w.server.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.writer.Flush()
	_ = w.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// setDown starts or ends an outage of the store: it answers 503 and takes no writes.
func (w *world) setDown(down bool) {
	w.mu.Lock()
	w.down = down
	w.mu.Unlock()
	w.store.SetDown(down)
	w.record("store down=%v", down)
}

// register writes a replica's entry, and reports whether the store took it.
func (w *world) register(id string, entry map[string]any) bool {
	data, err := json.Marshal(entry)
	if err != nil {
		return false
	}
	w.mu.Lock()
	if w.down {
		w.mu.Unlock()
		return false
	}
	same := string(w.rows[id]) == string(data)
	w.rows[id] = data
	w.mu.Unlock()
	if !same {
		w.store.Put("servers", id, data)
		w.record("store accepted servers/%s %s", id, data)
	}
	return true
}

// configure writes a configuration. The store's acceptance is the ack.
func (w *world) configure(config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.config = data
	w.mu.Unlock()
	w.store.Put("op", "config", data)
	w.record("store accepted op/config version %v", config["version"])
	return nil
}

// routerProcess is a machine with a router. It is started again whenever the process ends.
type routerProcess struct {
	world    *world
	index    int
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	ended   bool
	starts  int
	touched time.Time // last start or kill
	stopped time.Time // last SIGTERM
}

// front returns the address for clients.
func (r *routerProcess) front() string { return r.world.address(firstRouterHost+r.index, frontPort) }

// startRouters starts a number of routers and waits until all are ready.
func (w *world) startRouters(ctx context.Context, n int) error {
	zones := []string{"pumphouse", "headframe", "depot-north", "civic-annex"}
	for i := range n {
		r := &routerProcess{world: w, index: i, settings: filepath.Join(w.dir, fmt.Sprintf("node-%d.json", i))}
		w.routers = append(w.routers, r)
		if err := r.writeSettings(zones[i%len(zones)], n, true); err != nil {
			return err
		}
	}
	for i, r := range w.routers {
		if err := r.start(); err != nil {
			return err
		}
		if err := r.writeSettings(zones[i%len(zones)], n, true); err != nil {
			return err
		}
	}
	for i, r := range w.routers {
		if err := r.waitReady(ctx); err != nil {
			return err
		}
		// Later starts are not the first one of the whole system.
		if err := r.writeSettings(zones[i%len(zones)], n, false); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings writes the settings file, as the platform describes it.
func (r *routerProcess) writeSettings(zone string, n int, bootstrap bool) error {
	w := r.world
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, w.address(firstRouterHost+i, 8229))
	}
	data, err := json.Marshal(map[string]any{
		"node_name": fmt.Sprintf("front-%d", r.index), "role": "router", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": w.ip(firstRouterHost + r.index), "zone": zone, "region": "st-clair",
		"listen":         map[string]string{"front": r.front(), "ready": w.address(firstRouterHost+r.index, readyPort), "control": w.address(firstRouterHost+r.index, 8229)},
		"internal_ports": []int{peerPort, peerPort + 15}, "seeds": seeds, "bootstrap": bootstrap, "fault_counted": false,
		"limits":    map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": w.memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": revokeBound.Milliseconds(),
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 5.5,
		},
		"provider": map[string]any{"address": w.address(storeHost, servicePort), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "part_writes_s": 200, "row_bytes": 65536, "across": false, "history_s": 20},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (r *routerProcess) start() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(r.world.dir, fmt.Sprintf("router-%d.log", r.index)), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer closeQuietly(log)
	cmd := exec.Command(r.world.router, "--metrics-port", "9464")
	cmd.Env = []string{"DUNLINPULLEY_CONFIG=" + r.settings, "PATH=" + os.Getenv("PATH")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.cmd, r.exited, r.touched = cmd, exited, time.Now()
	r.starts++
	r.world.record("router %d started, start %d", r.index, r.starts)
	go func() {
		err := cmd.Wait()
		r.world.record("router %d ended: %v", r.index, err)
		close(exited)
		time.Sleep(restartDelay)
		if err := r.start(); err != nil {
			r.world.record("router %d not started: %v", r.index, err)
		}
	}()
	return nil
}

// kill ends the process by SIGKILL; it is started again.
func (r *routerProcess) kill(why string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.record("router %d killed: %s", r.index, why)
	r.touched = time.Now()
	_ = r.cmd.Process.Kill()
}

// end ends the process for good.
func (r *routerProcess) end() {
	r.mu.Lock()
	r.ended = true
	cmd, exited := r.cmd, r.exited
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// startedAt returns when the process was last started or killed.
func (r *routerProcess) startedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.touched
}

// pid returns the process's identifier.
func (r *routerProcess) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// isReady asks the readiness check once.
func (r *routerProcess) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + r.world.address(firstRouterHost+r.index, readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	defer closeQuietly(response.Body)
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the readiness check passes.
func (r *routerProcess) waitReady(ctx context.Context) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); {
		if r.isReady() {
			return nil
		}
		if !pause(ctx, 20*time.Millisecond) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("router %d is not ready", r.index)
}

// countRun counts a run of a request at a replica.
func (w *world) countRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id]++
}

// hasRun reports whether a replica has run a request.
func (w *world) hasRun(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id] > 0
}

// pause waits and reports whether the case goes on.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
