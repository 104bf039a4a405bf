package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Figures of the case: a key is taken away, and later the store comes back from a copy that is older, at the
// time at which a router starts again.
const (
	// copyAge is the age of the copy when the store comes back.
	copyAge = 7 * time.Second
	// awayFor is how long the store is away.
	awayFor = time.Second
	// rewriteAfter is how long after its return the operator and the replicas write again.
	rewriteAfter = 2 * time.Second
)

// playRevoke takes a key away and then restarts one router while the store comes back from a copy. The
// disruption is the drill of the store; the router is restarted in any case.
func playRevoke(ctx context.Context, w *world, trouble bool) (string, error) {
	if err := w.configure(config(1, "key-kept", "key-taken")); err != nil {
		return "", err
	}
	if _, err := w.startReplicas(ctx, "tickets", 0, 4, "v1", 0, 20*time.Millisecond); err != nil {
		return "", err
	}
	if err := w.startRouters(ctx, 3); err != nil {
		return "", err
	}
	pause(ctx, 4*time.Second)
	a := w.send(ctx, w.routers[0].front(), request{id: "before", path: "/check/2f", key: "key-taken", method: "GET", timeout: 4 * time.Second})
	w.record("answer before status %d", a.status)
	if a.status != 200 {
		return "", fmt.Errorf("before the change: status %d, %w", a.status, errors.Join(a.err))
	}
	w.store.TakeCopy()
	w.record("copy taken")
	copied := time.Now()
	pause(ctx, 500*time.Millisecond)
	if err := w.configure(config(2, "key-kept")); err != nil {
		return "", err
	}
	acked := time.Now()
	pause(ctx, time.Until(copied.Add(copyAge-awayFor)))
	w.routers[0].kill("restart of one machine's process")
	if trouble {
		w.setDown(true)
		time.AfterFunc(awayFor, func() {
			w.store.Restore()
			w.setDown(false)
			w.record("store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
			time.AfterFunc(rewriteAfter, w.writeAgain)
		})
	}
	return askRevoked(ctx, w, acked)
}

// askRevoked sends requests with the key that was taken away, and with the other one, to all routers.
func askRevoked(ctx context.Context, w *world, acked time.Time) (string, error) {
	broken, first, served := 0, "", 0
	for n := 0; time.Since(acked) < copyAge+6*time.Second; n++ {
		for i, r := range w.routers {
			q := request{id: fmt.Sprintf("taken-%03d-%d", n, i), path: "/check/2f", key: "key-taken", method: "GET", timeout: 2 * time.Second}
			a := w.send(ctx, r.front(), q)
			late := a.sent.Sub(acked) - revokeBound
			w.record("answer %s status %d sealed %v, sent %.3f s after the ack", q.id, a.status, a.sealed, a.sent.Sub(acked).Seconds())
			if a.status == 200 && a.sealed && late > 0 {
				broken++
				if first == "" {
					first = fmt.Sprintf("%s at router %d, sent %.3f s after the ack", q.id, i, a.sent.Sub(acked).Seconds())
				}
			}
			q.id, q.key = fmt.Sprintf("kept-%03d-%d", n, i), "key-kept"
			a = w.send(ctx, r.front(), q)
			w.record("answer %s status %d", q.id, a.status)
			if a.status == 200 {
				served++
			}
		}
		if !pause(ctx, 50*time.Millisecond) {
			return "", ctx.Err()
		}
	}
	fmt.Printf("requests with the key that was taken away and ran too late: %d; with the other key served: %d\n", broken, served)
	if served == 0 {
		return "", errors.New("nothing was served")
	}
	if broken > 0 {
		return fmt.Sprintf("CONFIG: %d requests with a key that was taken away ran later than revoke_ms after the ack; first %s", broken, first), nil
	}
	return "", nil
}

// writeAgain writes what the operator and the replicas wrote last.
func (w *world) writeAgain() {
	w.mu.Lock()
	config, rows := w.config, make(map[string][]byte)
	for id, row := range w.rows {
		rows[id] = row
	}
	w.mu.Unlock()
	w.store.Put("op", "config", config)
	for id, row := range rows {
		w.store.Put("servers", id, row)
	}
	w.record("operator and replicas have written again")
}
