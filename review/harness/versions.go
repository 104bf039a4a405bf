package main

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// Figures of the case: a service of twelve replicas behind four routers, of which nine are
// upgraded in place, three at a time, and an outage of the store in the meantime.
const (
	versionReplicas  = 12
	versionRouters   = 4
	streamsPerSecond = 200
	streamEvents     = 20
	eventGap         = 100 * time.Millisecond
	outageFrom       = 6 * time.Second
	outageFor        = 8 * time.Second
	upgradeFrom      = outageFrom + 500*time.Millisecond
	upgradeGap       = 1200 * time.Millisecond
	upgradeDown      = 500 * time.Millisecond
	upgradeAtOnce    = 3
	upgraded         = 9 // replicas
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
)

var eventForm = regexp.MustCompile(`^id: (\d+)\ndata: piece (\d+) by (\S+)$`)

// config returns a configuration with a resumable stream, a plain idempotent and a plain non-idempotent route.
func config(version int, keys ...string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, goal, attempts int, resumable, sticky bool) map[string]any {
		return map[string]any{
			"name": name, "host": appHost, "prefix": prefix, "kind": kind, "timeout_ms": timeout, "latency_goal_ms": goal, "priority": 1,
			"service": service, "max_attempts": attempts, "public": kind == "streaming", "sticky": sticky, "resumable": resumable, "gap_target_ms": 800,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stream", "/stream/", "streaming", "model", 20000, 1200, 2, true, true),
			route("r-issue", "/issue/", "non_idempotent", "tickets", 4000, 300, 1, false, false),
			route("r-check", "/check/", "idempotent", "tickets", 4000, 300, 2, false, false),
		},
		"services": []any{
			map[string]any{
				"name": "model", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": slots, "kv_capacity_tokens": 369436, "kv_token_bytes": 35136, "link_mbps": 550000.0, "moves": true, "backups": true, "stride": 4, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "tickets", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": keys, "priority": 1}},
	}
}

// maxBodyBytes is max_body_bytes of the configuration, as in the site files.
const maxBodyBytes = 4 << 20

// stream is what a client got of one stream over its tries.
type stream struct {
	id       string
	last     int // number of the last event
	versions map[string]bool
	gapped   bool // whether an event is missing or came twice
}

// add adds the events of an answer.
func (s *stream) add(body string) {
	for _, event := range completeEvents(body) {
		m := eventForm.FindStringSubmatch(event)
		if m == nil {
			s.gapped = true
			return
		}
		n, err := strconv.Atoi(m[1])
		if err != nil || n != s.last+1 {
			s.gapped = true
		}
		s.last = n
		s.versions[m[3]] = true
	}
}

// streamHeaders are the headers of a prompt with two shared parts and one of its own.
func streamHeaders(n int) map[string]string {
	return map[string]string{"X-Model": "m", "X-Token-Usage": fmt.Sprintf("900,%d", 4*streamEvents), "X-Prompt-Prefix": fmt.Sprintf("5c1e07a2:200,%x:400,%x:300", 0x91bd3f00+n%6, 0xe4402b7d00+n)}
}

// playStream makes one request and takes the stream up once, at another router, if it breaks off.
func playStream(ctx context.Context, w *world, n int) *stream {
	s := &stream{id: fmt.Sprintf("s%05d", n), versions: make(map[string]bool)}
	timeout := 8 * time.Second
	q := request{id: s.id, path: "/stream/2f", key: "key-kept", method: "POST", timeout: timeout, body: []byte("{}"), headers: streamHeaders(n)}
	began := time.Now()
	a := w.send(ctx, w.routers[n%len(w.routers)].front(), q)
	s.add(a.body)
	w.record("answer %s status %d complete %v events %d versions %v err %v", q.id, a.status, a.complete, s.last, s.versions, a.err)
	if a.status != 200 || a.complete || s.last == 0 {
		return s
	}
	q.id, q.timeout = s.id+".1", timeout-time.Since(began)
	q.headers["Last-Event-Id"], q.headers["Resumes"] = strconv.Itoa(s.last), s.id
	a = w.send(ctx, w.routers[(n+1)%len(w.routers)].front(), q)
	s.add(a.body)
	w.record("answer %s status %d complete %v events %d versions %v err %v", q.id, a.status, a.complete, s.last, s.versions, a.err)
	return s
}

// playVersions upgrades replicas in place, three at a time, from v1 to v2. The disruption is an outage of the store.
func playVersions(ctx context.Context, w *world, trouble bool) (string, error) {
	if err := w.configure(config(1, "key-kept")); err != nil {
		return "", err
	}
	replicas, err := w.startReplicas(ctx, "model", 0, versionReplicas, "v1", streamEvents, eventGap)
	if err != nil {
		return "", err
	}
	if err := w.startRouters(ctx, versionRouters); err != nil {
		return "", err
	}
	pause(ctx, 4*time.Second)
	begun := time.Now()
	go upgrade(ctx, w, replicas, begun)
	if trouble {
		time.AfterFunc(outageFrom, func() { w.setDown(true) })
		time.AfterFunc(outageFrom+outageFor, func() { w.setDown(false) })
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	var streams []*stream
	for n := 0; time.Since(begun) < outageFrom+outageFor+3*time.Second; n++ {
		group.Go(func() {
			s := playStream(ctx, w, n)
			mu.Lock()
			defer mu.Unlock()
			streams = append(streams, s)
		})
		if !pause(ctx, time.Second/streamsPerSecond) {
			return "", ctx.Err()
		}
	}
	group.Wait()
	mixed, complete, gapped := 0, 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			mixed++
			w.record("mixed %s: %v", s.id, s.versions)
		}
		if s.last == streamEvents {
			complete++
		}
		if s.gapped {
			gapped++
		}
	}
	w.record("streams %d complete %d mixed %d gapped %d", len(streams), complete, mixed, gapped)
	fmt.Printf("streams %d complete %d mixed %d gapped %d\n", len(streams), complete, mixed, gapped)
	if complete < len(streams)/2 {
		return "", fmt.Errorf("only %d of %d streams were complete", complete, len(streams))
	}
	if mixed > maxMixed {
		return fmt.Sprintf("ORDER: %d streams hold events of two software versions; at most %d may", mixed, maxMixed), nil
	}
	return "", nil
}

// upgrade restarts the replicas at v2 under their IDs, three at a time.
func upgrade(ctx context.Context, w *world, replicas []*replica, begun time.Time) {
	if !pause(ctx, time.Until(begun.Add(upgradeFrom))) {
		return
	}
	for i := 0; i < upgraded; i += upgradeAtOnce {
		batch := replicas[i : i+upgradeAtOnce]
		for _, r := range batch {
			r.crash()
		}
		if !pause(ctx, upgradeDown) {
			return
		}
		for _, r := range batch {
			if err := r.start("v2"); err != nil {
				w.record("replica %s not started: %v", r.id, err)
			}
		}
		if !pause(ctx, upgradeGap-upgradeDown) {
			return
		}
	}
}
