package main

import (
	"fmt"
	"os"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

const (
	// smallHostMemoryMB and smallHostFDs are the limits of a front host of the smallest deployment.
	smallHostMemoryMB, smallHostFDs = 134, 4100
	// contactTime is contact_ms of the deployment, and revokeBound revoke_ms.
	contactTime, revokeBound = 3 * time.Second, 5 * time.Second
)

// world is a small deployment: a store, replicas and routers.
type world struct {
	dir      string // temporary
	record   *record
	runs     *runLog
	store    *store
	storeAt  string
	replicas []*replica
	routers  []*router
}

func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-stand4-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: rec, runs: &runLog{}, storeAt: loopback.Address()}
	w.store, err = startStore(w.storeAt)
	return w, err
}

// close ends all that the case started.
func (w *world) close() {
	for _, r := range w.routers {
		r.kill()
		_ = r.output.Close()
	}
	for _, r := range w.replicas {
		r.crash()
	}
	if w.store != nil {
		w.store.close()
	}
	_ = os.RemoveAll(w.dir)
}

// addReplicas starts replicas of a service and registers them.
func (w *world) addReplicas(n int, service, version string, slots, events int, pause time.Duration) error {
	for range n {
		r := &replica{id: fmt.Sprintf("i-%s-%d", service, len(w.replicas)), address: loopback.Address(), service: service, slots: slots, events: events, pause: pause, log: w.runs}
		if err := r.start(version); err != nil {
			return err
		}
		w.replicas = append(w.replicas, r)
		w.store.put("servers", r.id, r.entry())
	}
	return nil
}

// addRouters starts routers that know each other.
func (w *world) addRouters(n int, limits hostLimits) error {
	var peers []string
	var added []*router
	for range n {
		r, err := newRouter(w.dir, fmt.Sprintf("front-pumphouse-%d", len(w.routers)+1), w.storeAt, limits)
		if err != nil {
			return err
		}
		w.routers, added, peers = append(w.routers, r), append(added, r), append(peers, r.ip)
	}
	for _, r := range added {
		r.peers = peers
		if err := r.start(); err != nil {
			return err
		}
	}
	return nil
}

// services are the two services of the deployment.
func services() []any {
	return []any{
		map[string]any{"name": "desk-model", "max_connections": 360, "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 369436, "link_mbps": 10000}},
		map[string]any{"name": "ticket-app", "max_connections": 100},
	}
}

// routes are the routes of the deployment.
func routes() []any {
	stream := func(name string, timeout, goal, gap, priority int) map[string]any {
		return map[string]any{
			"name": name, "host": "app.example", "prefix": "/stream/" + name + "/", "kind": "streaming", "resumable": true, "sticky": true, "timeout_ms": timeout, "latency_goal_ms": goal, "gap_target_ms": gap,
			"priority": priority, "service": "desk-model", "max_attempts": 3,
		}
	}
	return []any{
		stream("itinerary", 5000, 1200, 800, 2), stream("enquiry", 3000, 500, 300, 1), stream("notes", 15000, 300, 200, 0),
		map[string]any{"name": "ticket", "host": "app.example", "prefix": "/ticket/", "kind": "non_idempotent", "timeout_ms": 4000, "latency_goal_ms": 300, "priority": 2, "service": "ticket-app", "max_attempts": 1},
		map[string]any{"name": "gate", "host": "app.example", "prefix": "/gate/", "kind": "idempotent", "timeout_ms": 4000, "latency_goal_ms": 300, "priority": 2, "service": "ticket-app", "max_attempts": 2},
	}
}

// tenants are client accounts with keys.
func tenants(keys map[string][]string) []any {
	var list []any
	for _, name := range []string{"first", "second"} {
		list = append(list, map[string]any{"name": name, "api_keys": keys[name]})
	}
	return list
}

// putConfig writes a version of the configuration.
func (w *world) putConfig(version int, keys map[string][]string) {
	w.store.put("op", "config", w.config(version, keys))
}

// config returns a version of the configuration.
func (w *world) config(version int, keys map[string][]string) map[string]any {
	return map[string]any{
		"version": version, "routes": routes(), "services": services(), "tenants": tenants(keys),
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
