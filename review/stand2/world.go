package main

import (
	"bytes"
	"encoding/json"
	"errors"
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

// Bounds of the settings, as on the sheet of phmswa-tours.
const (
	contactTime = 3 * time.Second
	revokeTime  = 5 * time.Second
)

// Ports of a machine, on an address of its own.
const (
	frontPort   = 8227
	readyPort   = 8220
	controlPort = 8229
	peerPort    = 7340
	metricsPort = "9464"
)

// memoryMB is the memory of a machine's processes.
const memoryMB = 134

const (
	program   = "target/dunlinpulley-router"
	hostName  = "desk.example"
	tenant    = "kiosk"
	tenantKey = "key-kiosk"
	modelName = "m"
	service   = "desk-model"
)

// machine is a machine of the system with the process on it.
type machine struct {
	name, ip, zone string
	settings       string
	cmd            *exec.Cmd
	startedAt      time.Time
}

func (m *machine) address(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// world is a small deployment on loopback addresses.
type world struct {
	closing  sync.Once
	dir      string
	record   *os.File
	began    time.Time
	store    *metastore.Store
	listener net.Listener
	link     *link // between the machines and the store; nil for none
	machines []*machine
	replicas []*replica
	version  int64
	quiet    bool // whether requests are not written to the record

	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request that has reached a replica and runs there.
type arrival struct {
	at                   time.Time
	id, replica, machine string
	target, parts, after string
}

// newWorld starts the store of the platform.
func newWorld(folder string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: metastore.New()}
	w.listener, err = net.Listen("tcp4", loopback.Address())
	if err != nil {
		return nil, err
	}
	go func() {
		server := &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
		if err := server.Serve(w.listener); err != nil && !errors.Is(err, net.ErrClosed) {
			w.logf("store ended: %v", err)
		}
	}()
	return w, nil
}

// linkStore puts a link between the machines and the store.
func (w *world) linkStore() error {
	link, err := startLink(loopback.Address(), w.listener.Addr().String())
	w.link = link
	return err
}

// storeAddress returns the address at which machines reach the store.
func (w *world) storeAddress() string {
	if w.link != nil {
		return w.link.listener.Addr().String()
	}
	return w.listener.Addr().String()
}

// logf writes a line to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all that was started.
func (w *world) close() { w.closing.Do(w.end) }

func (w *world) end() {
	for _, m := range w.machines {
		w.kill(m)
	}
	for _, r := range w.replicas {
		r.stop()
	}
	if w.link != nil {
		w.link.close()
	}
	closeQuietly(w.listener)
	if err := os.RemoveAll(w.dir); err != nil {
		fmt.Println(err)
	}
}

// route is a route of the config.
func route(name, prefix, kind string, timeout, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "latency_goal_ms": 1000, "gap_target_ms": 800,
		"priority": 0, "service": service, "max_attempts": attempts, "resumable": resumable, "sticky": true,
	}
}

// configure writes a config with the next version and a tenant with these keys, as the operator does. Without keys it has no tenant.
func (w *world) configure(keys []string, routes ...map[string]any) []byte {
	w.version += 3
	tenants := []any{}
	if len(keys) > 0 {
		tenants = append(tenants, map[string]any{"name": tenant, "api_keys": keys})
	}
	data, err := json.Marshal(map[string]any{
		"version": w.version, "routes": routes,
		"services": []any{map[string]any{"name": service, "max_connections": 360, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 369436}}},
		"tenants":  tenants,
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 1 << 20, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op", "config", data)
	w.logf("operator: config %d acknowledged, keys %v", w.version, keys)
	return data
}

// addMachine adds a machine to a zone. Its process is not started yet.
func (w *world) addMachine(zone string) *machine {
	host, _, err := net.SplitHostPort(loopback.Address())
	if err != nil {
		panic(err)
	}
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, len(w.machines)+1), ip: host, zone: zone}
	m.settings = filepath.Join(w.dir, m.name+".json")
	w.machines = append(w.machines, m)
	return m
}

// writeSettings writes the settings file of a machine, as DEPLOY.md has it.
func (w *world) writeSettings(m *machine, first bool) error {
	var seeds []string
	for i, other := range w.machines {
		if i < 3 {
			seeds = append(seeds, other.address(controlPort))
		}
	}
	data, err := json.Marshal(map[string]any{
		"node_name": m.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": m.ip, "zone": m.zone, "region": "st-clair",
		"zones":          map[string]string{"pumphouse": "st-clair", "headframe": "st-clair"},
		"listen":         map[string]string{"front": m.address(frontPort), "ready": m.address(readyPort), "control": m.address(controlPort)},
		"internal_ports": []int{peerPort, peerPort + 15}, "seeds": seeds, "bootstrap": first, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": memoryMB, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1200,
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": contactTime.Milliseconds(), "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": revokeTime.Milliseconds(), "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 54, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 5.5,
		},
		"provider": map[string]any{"address": w.storeAddress(), "form": "table", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (w *world) start(m *machine, first bool) error {
	if err := w.writeSettings(m, first); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer closeQuietly(output)
	m.cmd = exec.Command(program, "--metrics-port", metricsPort)
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DUNLINPULLEY_CONFIG=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = output, output
	m.startedAt = time.Now()
	w.logf("%s starts", m.name)
	return m.cmd.Start()
}

// kill kills the process of a machine.
func (w *world) kill(m *machine) {
	if m.cmd == nil || m.cmd.ProcessState != nil {
		return
	}
	_ = m.cmd.Process.Signal(syscall.SIGCONT)
	_ = m.cmd.Process.Kill()
	_ = m.cmd.Wait()
	w.logf("%s killed", m.name)
}

// ready reports whether a machine says that it is ready.
func (m *machine) ready() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(readyPort) + "/api/ready")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (w *world) awaitReady(machines ...*machine) error {
	for _, m := range machines {
		deadline := time.Now().Add(20 * time.Second)
		for !m.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.logf("%s ready", m.name)
	}
	return nil
}

// startAll starts all machines at the first start of the deployment and waits until they have known each other for contactTime.
func (w *world) startAll() error {
	for _, m := range w.machines {
		if err := w.start(m, true); err != nil {
			return err
		}
	}
	if err := w.awaitReady(w.machines...); err != nil {
		return err
	}
	time.Sleep(contactTime + 2*time.Second)
	return nil
}

// keepLogs copies the log lines of the machines that hold one of some texts to the record.
func (w *world) keepLogs(texts ...string) {
	for _, m := range w.machines {
		data, err := os.ReadFile(filepath.Join(w.dir, m.name+".log"))
		if err != nil {
			continue
		}
		for line := range bytes.Lines(data) {
			for _, text := range texts {
				if strings.Contains(string(line), text) {
					w.logf("log of %s: %s", m.name, strings.TrimSpace(string(line)))
					break
				}
			}
		}
	}
}

func closeQuietly(c interface{ Close() error }) { _ = c.Close() }
