package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

// peerPort is the internal port of all routers.
const peerPort = 7340

// readyWait limits the wait for a router that starts.
const readyWait = 10 * time.Second

// router is a process of the project's router.
type router struct {
	name              string
	front, ready, ip  string
	settings, program string
	arguments         []string
	storeAddress      string
	peers             []string
	limits            hostLimits
	started           bool // whether the process has been started before
	output            *os.File
	cmd               *exec.Cmd
	exited            chan struct{}
}

// hostLimits are the limits of a host in the settings file.
type hostLimits struct {
	memoryMB int
	maxFDs   int
}

// newRouter returns a router whose files are in a folder.
func newRouter(dir, name, storeAddress string, limits hostLimits) (*router, error) {
	program, arguments, err := deployCommand()
	if err != nil {
		return nil, err
	}
	front, ready := loopback.Address(), loopback.Address()
	ip, _, err := net.SplitHostPort(front)
	if err != nil {
		return nil, err
	}
	r := &router{
		name: name, front: front, ready: ready, ip: ip, program: program, arguments: arguments, settings: filepath.Join(dir, name+".json"),
		storeAddress: storeAddress, limits: limits,
	}
	r.output, err = os.Create(filepath.Join(dir, name+".log"))
	return r, err
}

// writeSettings writes the settings file. Its bounds are those of the smallest deployment.
func (r *router) writeSettings() error {
	var seeds []string
	for _, peer := range r.peers {
		seeds = append(seeds, net.JoinHostPort(peer, "8229"))
	}
	data, err := json.Marshal(map[string]any{
		"node_name": r.name, "role": "router", "machine_class": "front", "serves": []string{"front", "control"}, "ip": r.ip, "zone": "pumphouse", "region": "st-clair",
		"zones": map[string]string{"pumphouse": "st-clair"}, "listen": map[string]string{"front": r.front, "ready": r.ready, "control": net.JoinHostPort(r.ip, "8229")},
		"internal_ports": []int{peerPort, peerPort + 15}, "seeds": seeds, "bootstrap": !r.started,
		"limits": map[string]any{"cpu_share": 0.304, "cores": 1, "memory_mb": r.limits.memoryMB, "max_fds": r.limits.maxFDs, "link_mbps": 1000.0, "disk_mb": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
			"config_apply_ms": 2000, "downgrade_slack_ms": 250, "max_stretch_ms": 5000, "strict_revoke": true, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_extra": 54, "recovery_s": 12, "pass_ms": 120, "reuse_window_s": 5.5,
		},
		"heartbeat_ms": 1200, "discovery": "platform", "entry": "vip", "provider": map[string]any{"address": r.storeAddress, "form": "table", "writes_per_s": 400, "reads_per_s": 2000},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings, data, 0o600)
}

// deployCommand returns the command of the router in the deploy file.
func deployCommand() (program string, arguments []string, err error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return "", nil, err
	}
	for line := range strings.Lines(string(data)) {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
			if len(words) > 0 {
				return words[0], words[1:], nil
			}
		}
	}
	return "", nil, errors.New("no run line in deploy/system.toml")
}

// start starts the process and waits until it is ready.
func (r *router) start() error {
	if err := r.writeSettings(); err != nil {
		return err
	}
	r.started = true
	r.cmd = exec.Command(r.program, r.arguments...)
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.TempDir(), "DUNLINPULLEY_CONFIG=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = r.output, r.output
	if err := r.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	r.exited = exited
	cmd := r.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	for deadline := time.Now().Add(readyWait); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", r.name, readyWait)
}

// isReady asks as the platform's balancer does.
func (r *router) isReady() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	response, err := client.Get("http://" + r.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process and waits for that.
func (r *router) kill() {
	if r.cmd == nil || r.cmd.Process == nil {
		return
	}
	_ = r.cmd.Process.Kill()
	<-r.exited
}
