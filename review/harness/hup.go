package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Figures of the case: routers are stopped and started one after the other, and each one's settings file changes while it stops.
const (
	stopFrom = 3 * time.Second
	stopGap  = 9 * time.Second // longer than grace_s
	hupAfter = time.Second
	grace    = 8 * time.Second
	// callsPerSecond are non-idempotent requests, and as many streams, at each router.
	callsPerSecond = 10
	stopRouters    = 3
	// shortEvents is the number of events of a stream, which so lasts 2.5 s.
	shortEvents = 25
)

// stopCount counts requests whose channels ended without a complete answer around a planned stop.
type stopCount struct {
	mu                        sync.Mutex
	complete, streams, plains int
	first                     string
}

// playHup stops routers in turn. The disruption is the SIGHUP that tells a router of a changed settings file while it stops.
func playHup(ctx context.Context, w *world, trouble bool) (string, error) {
	if err := w.configure(config(1, "key-kept")); err != nil {
		return "", err
	}
	if _, err := w.startReplicas(ctx, "model", 0, 4, "v1", shortEvents, eventGap); err != nil {
		return "", err
	}
	if _, err := w.startReplicas(ctx, "tickets", 20, 4, "v1", 0, 300*time.Millisecond); err != nil {
		return "", err
	}
	if err := w.startRouters(ctx, stopRouters); err != nil {
		return "", err
	}
	pause(ctx, 4*time.Second)
	count := &stopCount{}
	var group sync.WaitGroup
	begun := time.Now()
	for i, r := range w.routers {
		group.Go(func() { count.traffic(ctx, w, r, begun) })
		time.AfterFunc(stopFrom+time.Duration(i)*stopGap, func() { r.terminate(trouble) })
	}
	group.Wait()
	w.record("complete %d, cut streams %d, cut plain requests %d", count.complete, count.streams, count.plains)
	fmt.Printf("complete %d, cut streams %d, cut plain requests %d\n", count.complete, count.streams, count.plains)
	if count.complete == 0 {
		return "", fmt.Errorf("nothing was served")
	}
	if count.streams+count.plains > 0 {
		return fmt.Sprintf("LOST: %d streams and %d plain requests that routers had read and passed on before a planned stop ended without a complete answer; first %s", count.streams, count.plains, count.first), nil
	}
	return "", nil
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace. With hup, the settings file changes
// after hupAfter, of which SIGHUP tells it.
func (r *routerProcess) terminate(hup bool) {
	r.mu.Lock()
	process, exited := r.cmd.Process, r.exited
	r.stopped = time.Now()
	r.mu.Unlock()
	r.world.record("router %d: SIGTERM", r.index)
	_ = process.Signal(syscall.SIGTERM)
	if hup {
		time.AfterFunc(hupAfter, func() {
			err := r.writeSettings("pumphouse", 2, false)
			r.world.record("router %d: settings file changed (%v), SIGHUP", r.index, err)
			_ = process.Signal(syscall.SIGHUP)
		})
	}
	select {
	case <-exited:
	case <-time.After(grace):
		r.world.record("router %d: SIGKILL", r.index)
		_ = process.Kill()
	}
}

// traffic sends requests to a router while the platform has it in rotation: until it fails the readiness check twice.
func (s *stopCount) traffic(ctx context.Context, w *world, r *routerProcess, begun time.Time) {
	var group sync.WaitGroup
	defer group.Wait()
	for n := 0; time.Since(begun) < stopFrom+stopRouters*stopGap; n++ {
		if r.takesNewChannels() {
			group.Go(func() {
				q := request{id: fmt.Sprintf("h%d-%04d", r.index, n), path: "/stream/2f", method: "POST", timeout: 8 * time.Second, body: []byte("{}"), headers: streamHeaders(n)}
				s.judge(w, r, q, w.send(ctx, r.front(), q), true)
			})
			group.Go(func() {
				q := request{id: fmt.Sprintf("k%d-%04d", r.index, n), path: "/issue/2f", key: "key-kept", method: "POST", timeout: 4 * time.Second, body: []byte("{}")}
				s.judge(w, r, q, w.send(ctx, r.front(), q), false)
			})
		}
		if !pause(ctx, time.Second/callsPerSecond) {
			return
		}
	}
}

// outOfRotation is how long after SIGTERM the platform opens no new channels to a router: two questions a second apart.
const outOfRotation = 1500 * time.Millisecond

// takesNewChannels reports whether the process has been running for contact_ms, and the platform has not taken it out of rotation.
func (r *routerProcess) takesNewChannels() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.touched) >= contactTime && (r.stopped.Before(r.touched) || time.Since(r.stopped) < outOfRotation)
}

// judge counts an answer. A request that found no process is not counted.
func (s *stopCount) judge(w *world, r *routerProcess, q request, a answer, isStream bool) {
	w.record("answer %s status %d complete %v events %d err %v", q.id, a.status, a.complete, len(completeEvents(a.body)), a.err)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case a.complete:
		s.complete++
		return
	case isStream && a.status == 0 || !w.hasRun(q.id):
		return
	case isStream:
		s.streams++
	default:
		s.plains++
	}
	if s.first == "" {
		s.first = fmt.Sprintf("%s at router %d", q.id, r.index)
	}
}
