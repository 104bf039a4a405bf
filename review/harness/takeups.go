package main

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// Figures of the case: long resumable streams of a service with one software version, and the end of routers.
const (
	takeUpKillAt  = 10 * time.Second
	takeUpLength  = 16 * time.Second
	takeUpStreams = 12 // a second
	longEvents    = 50
	longGap       = 200 * time.Millisecond
	longTimeout   = 20 * time.Second
	// takeUpAfter is how long after the loss of its stream a client tries again, if it finds no router at once.
	takeUpAfter = 4 * time.Second
	// minTakeUps is the number of streams taken up from which on their share counts.
	minTakeUps = 12
)

// contactTime is contact_ms.
const contactTime = 3 * time.Second

// takeUpCount counts new streams, and those taken up at routers in touch.
type takeUpCount struct {
	mu                              sync.Mutex
	begun, newStreams, wentOn, took int
}

// playTakeUps kills routers amid long streams, which their clients take up again. All routers are killed at the same
// moment; without the disruption only one is.
func playTakeUps(ctx context.Context, w *world, trouble bool) (string, error) {
	c := config(1, "key-kept")
	if err := w.configure(c); err != nil {
		return "", err
	}
	if _, err := w.startReplicas(ctx, "model", 0, versionReplicas, "v1", longEvents, longGap); err != nil {
		return "", err
	}
	if err := w.startRouters(ctx, versionRouters); err != nil {
		return "", err
	}
	pause(ctx, 4*time.Second)
	begun := time.Now()
	time.AfterFunc(takeUpKillAt, func() {
		for i, r := range w.routers {
			if trouble || i == 0 {
				r.kill("killed, all at the same moment")
			}
		}
	})
	var group sync.WaitGroup
	count := &takeUpCount{}
	for n := 0; time.Since(begun) < takeUpLength; n++ {
		group.Go(func() { count.play(ctx, w, n) })
		if !pause(ctx, time.Second/takeUpStreams) {
			return "", ctx.Err()
		}
	}
	group.Wait()
	w.record("new %d, begun %d, taken up at routers in touch %d, went on %d", count.newStreams, count.begun, count.took, count.wentOn)
	fmt.Printf("new %d, begun %d, taken up at routers in touch %d, went on %d\n", count.newStreams, count.begun, count.took, count.wentOn)
	if count.newStreams == 0 {
		return "", fmt.Errorf("no streams")
	}
	if count.took >= minTakeUps && float64(count.wentOn)/float64(count.took) < 0.5*float64(count.begun)/float64(count.newStreams) {
		return fmt.Sprintf("LOST: of %d streams that clients took up again %d went on; of %d new ones %d began", count.took, count.wentOn, count.newStreams, count.begun), nil
	}
	return "", nil
}

// play makes one stream, and takes it up if it is lost.
func (t *takeUpCount) play(ctx context.Context, w *world, n int) {
	s := &stream{id: fmt.Sprintf("t%05d", n), versions: make(map[string]bool)}
	q := request{id: s.id, path: "/stream/2f", key: "key-kept", method: "POST", timeout: longTimeout, body: []byte("{}"), headers: streamHeaders(n)}
	began, router := time.Now(), w.routers[n%len(w.routers)]
	fresh := router.inTouch()
	a := w.send(ctx, router.front(), q)
	s.add(a.body)
	w.record("answer %s status %d complete %v events %d err %v", q.id, a.status, a.complete, s.last, a.err)
	t.mu.Lock()
	if fresh {
		t.newStreams++
		if s.last > 0 {
			t.begun++
		}
	}
	t.mu.Unlock()
	if a.status != 200 || a.complete || s.last == 0 {
		return
	}
	router = w.routers[(n+1)%len(w.routers)]
	for try := 1; try <= 2; try++ {
		q.id, q.timeout = fmt.Sprintf("%s.%d", s.id, try), longTimeout-time.Since(began)
		q.headers["Last-Event-Id"], q.headers["Resumes"] = strconv.Itoa(s.last), s.id
		counted := router.inTouch()
		a = w.send(ctx, router.front(), q)
		before := s.last
		s.add(a.body)
		w.record("taken up %s in touch %v status %d complete %v events %d err %v", q.id, counted, a.status, a.complete, s.last, a.err)
		// A router that was killed meanwhile was not in touch to the end.
		if counted && router.startedAt().Before(a.sent) {
			t.mu.Lock()
			t.took++
			if s.last > before || a.status == 200 && a.complete {
				t.wentOn++
			}
			t.mu.Unlock()
		}
		if a.status != 0 || !pause(ctx, takeUpAfter) {
			return
		}
	}
}

// inTouch reports whether the process has been running for contact_ms.
func (r *routerProcess) inTouch() bool { return time.Since(r.startedAt()) >= contactTime }
