package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// revokeBound is revoke_ms of the deployment.
	revokeBound = 5 * time.Second
	// copyAge is how old the copy is when the operator takes the key away, and awayTime how long the store is away.
	copyAge, awayTime = 500 * time.Millisecond, 800 * time.Millisecond
	// rewriteAfter is the time from the store's return until the operator has written its configuration again.
	rewriteAfter = 1500 * time.Millisecond
	// restartDelay is the time from the kill of a process until the platform starts it again.
	restartDelay = 200 * time.Millisecond
	// revokedInterval is the time between two requests with the key that was taken away.
	revokedInterval = 100 * time.Millisecond
)

// revokedAfterReturn has the store come back from a copy that has a key which was taken away, while one of two routers starts again.
func revokedAfterReturn(w *world, trouble bool) verdict {
	before := map[string][]string{"first": {"key-1", "key-9"}, "second": {"key-2"}}
	after := map[string][]string{"first": {"key-1"}, "second": {"key-2"}}
	w.putConfig(1, before)
	if err := w.addReplicas(2, "ticket-app", "v1", 6, 0, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(2, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	time.Sleep(3 * time.Second)
	for i, r := range w.routers {
		a := w.ticket(r, fmt.Sprintf("before-%d", i), "key-9")
		if a.status != 200 {
			return verdict{err: fmt.Errorf("key-9 before its revocation: status %d, %w", a.status, a.err)}
		}
	}
	w.store.TakeCopy()
	w.record.add("store: state of the copy")
	time.Sleep(copyAge)
	w.putConfig(7, after)
	acked := time.Now()
	w.record.add("operator: version 7, without key-9, acknowledged")
	time.Sleep(revokeBound + 200*time.Millisecond)
	second := w.routers[1]
	returned := time.Now()
	if trouble {
		w.store.SetDown(true)
		w.record.add("store: away")
		second.kill()
		w.record.add("%s: killed", second.name)
		started := make(chan error, 1)
		go func() {
			time.Sleep(restartDelay)
			w.record.add("%s: started again", second.name)
			started <- second.start()
		}()
		time.Sleep(awayTime)
		w.store.Restore()
		w.store.SetDown(false)
		returned = time.Now()
		w.record.add("store: back from the copy, which is %.1f s old", (copyAge + time.Since(acked)).Seconds())
		if err := <-started; err != nil {
			return verdict{err: err}
		}
		w.record.add("%s: ready", second.name)
	}
	w.sendRevoked(after, returned)
	return w.judgeRevoked(acked)
}

// sendRevoked sends requests with the key that was taken away to both routers until after the operator has written the configuration again.
func (w *world) sendRevoked(config map[string][]string, returned time.Time) {
	rewritten := false
	for n := 0; time.Since(returned) < rewriteAfter+2*time.Second; n++ {
		if !rewritten && time.Since(returned) >= rewriteAfter {
			rewritten = true
			w.putConfig(7, config)
			w.record.add("operator: version 7 written again")
		}
		for i, r := range w.routers {
			w.ticket(r, fmt.Sprintf("revoked-%d-%d", i, n), "key-9")
		}
		time.Sleep(revokedInterval)
	}
}

// ticket sends a request that may run once.
func (w *world) ticket(r *router, id, key string) answer {
	w.record.add("sent: %s to %s with %s", id, r.name, key)
	a := exchange(r.front, head("POST", "/ticket/x", id, key, 4*time.Second, ""), "POST", 4*time.Second)
	w.record.add("answered: %s status %d seal %q err %v", id, a.status, a.seal, a.err)
	return a
}

// judgeRevoked looks for runs of requests that were sent with the key later than the bound after the operator's acknowledgement.
func (w *world) judgeRevoked(acked time.Time) verdict {
	broken := 0
	for _, r := range w.runs.all() {
		if strings.HasPrefix(r.id, "revoked-") && r.at.Sub(acked) > revokeBound {
			broken++
			w.record.add("ran: %s as account %q at %s, %.1f s after the acknowledgement", r.id, r.account, r.replica, r.at.Sub(acked).Seconds())
		}
	}
	w.record.add("%d requests with the key ran later than %v after its revocation was acknowledged", broken, revokeBound)
	return verdict{broken: broken > 0}
}
