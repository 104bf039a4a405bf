// Command stand3 plays cases of the second review, beside stand2: it starts routers as the deploy file does and stand-ins of the store, the
// replicas and the clients, and judges what these can see. It exits with 0 if the rule held, 1 if it was broken, 2 if the case
// could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/metastore"
)

const (
	configHost   = "app.example"
	serviceName  = "desk-model"
	internalPort = 7340
	// memoryMB is memory_mb of a front of phmswa-tours.
	memoryMB = 134
	// headerTimeout limits the reading of a head by the stand-in of the store.
	headerTimeout = 20 * time.Second
)

// world is the stand-ins of one case and the routers that they serve.
type world struct {
	trouble bool
	folder  string // temporary
	started time.Time
	store   *metastore.Store
	address string // of the store
	server  *http.Server

	mu       sync.Mutex
	record   *os.File
	routers  []*router
	replicas []*replica
	clients  []*client
}

// newWorld starts the store. The record of the case is written to a path.
func newWorld(record string, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "stand3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, folder: folder, started: time.Now(), store: metastore.New(), address: loopback.Address(), record: file}
	listener, err := net.Listen("tcp4", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: headerTimeout}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

// note writes a line with the time since the start to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (w *world) say(format string, args ...any) {
	w.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// list writes what was sent, answered and run to the record, but for the requests of a crowd.
func (w *world) list() {
	named := make(map[string]bool)
	for _, c := range w.clients {
		named[c.name] = true
		for _, a := range c.all() {
			w.note("%s: sent at %.3f, status %d, complete %t, last event %q, versions %v, %.3f s, %v", a.id, a.sentAt.Sub(w.started).Seconds(), a.status, a.complete(), a.lastID, a.version, a.took.Seconds(), a.err)
		}
	}
	for _, r := range w.replicas {
		unlisted := 0
		for _, run := range r.allRuns() {
			if name, _, _ := strings.Cut(run.id, "-"); !named[name] {
				unlisted++
				continue
			}
			w.note("%s: ran at %.3f at %s, software %s, tenant %q, after event %q", run.id, run.at.Sub(w.started).Seconds(), run.replica, run.version, run.tenant, run.after)
		}
		w.note("%s: %d runs of requests that are not listed", r.id, unlisted)
	}
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
	}
	_ = w.server.Close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// route returns a route of a configuration.
func route(name, prefix, kind string, timeoutMs, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": configHost, "prefix": prefix, "kind": kind, "timeout_ms": timeoutMs, "latency_goal_ms": 500, "gap_target_ms": 300,
		"priority": 1, "service": serviceName, "max_attempts": attempts, "public": false, "sticky": kind == "streaming", "resumable": resumable,
	}
}

// plainName is a service without engines.
const plainName = "ticket-app"

// configure writes a configuration with routes and, by tenant, keys.
func (w *world) configure(version int, routes []map[string]any, keys map[string][]string) {
	tenants := []map[string]any{}
	for name, list := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": list, "priority": 1})
	}
	config := map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kv_capacity_tokens": 369436, "kv_token_bytes": 35136, "link_mbps": 550000.0}},
			map[string]any{"name": plainName, "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	w.store.Put("op", "config", encode(config))
	w.note("operator: configuration %d acknowledged", version)
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // maps of plain values only
	}
	return data
}

// router is a process of the deploy file's role.
type router struct {
	world        *world
	name, ip     string
	front, ready string
	seeds        []string
	bootstrap    bool
	command      *exec.Cmd
	ended        chan struct{}
}

// newRouter returns a router that is not started.
func (w *world) newRouter(name string, seeds ...*router) *router {
	ip, _, _ := strings.Cut(loopback.Address(), ":")
	r := &router{world: w, name: name, ip: ip, front: ip + ":8227", ready: ip + ":8220", bootstrap: true}
	for _, s := range seeds {
		r.seeds = append(r.seeds, s.ip+":8229")
	}
	w.routers = append(w.routers, r)
	return r
}

// settings returns the settings file: that of phmswa-tours, with loopback addresses.
func (r *router) settings() map[string]any {
	return map[string]any{
		"node_name": r.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": r.ip, "zone": "pumphouse",
		"region": "st-clair", "zones": map[string]string{"pumphouse": "st-clair"},
		"listen":         map[string]string{"front": r.front, "ready": r.ready, "control": r.ip + ":8229"},
		"internal_ports": []int{internalPort, internalPort + 15}, "seeds": r.seeds, "bootstrap": r.bootstrap,
		"limits":    map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
			"loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000,
			"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 5.5},
		"provider": map[string]any{"address": r.world.address, "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "tx_ms": 5.0, "history_s": 20},
	}
}

// start starts the process with the deploy file's command.
func (r *router) start() error {
	path := filepath.Join(r.world.folder, r.name+".json")
	if err := os.WriteFile(path, encode(r.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(r.world.folder, fmt.Sprintf("%s-%d.log", r.name, time.Now().UnixNano())))
	if err != nil {
		return err
	}
	command := exec.Command("target/dunlinpulley-router", "--metrics-port", "9464")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "DUNLINPULLEY_CONFIG=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	r.command, r.ended = command, ended
	go func() {
		err := command.Wait()
		r.world.note("%s: process ended: %v", r.name, err)
		close(ended)
	}()
	r.world.note("%s: started, front %s", r.name, r.front)
	return nil
}

// kill ends the process as SIGKILL does and waits for its end.
func (r *router) kill() {
	if r.command == nil {
		return
	}
	_ = r.command.Process.Kill()
	<-r.ended
}

// running reports whether the process has not ended.
func (r *router) running() bool {
	select {
	case <-r.ended:
		return false
	default:
		return true
	}
}

// waitReady waits until the readiness check answers 200.
func (r *router) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + "/api/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			r.world.note("%s: ready", r.name)
			return nil
		}
	}
	return fmt.Errorf("%s not ready in %s", r.name, limit)
}
