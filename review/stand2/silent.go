package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	drainTime = 2 * time.Second
	// servesOn is how long a replica goes on serving after its entry was removed: drain_ms and a little longer.
	servesOn = drainTime + 1500*time.Millisecond
	// burstAfter is how long after the machine is in touch again the requests come.
	burstAfter, burstSize = 300 * time.Millisecond, 12
)

// playSilentStore plays channels to the store that go silent while new ones work, and a replica that leaves a moment later without reporting
// that it drains. The rule is DRAIN: a request reaches it later than drain_ms after the store has acknowledged that its entry is gone, sent on by a machine in touch.
func playSilentStore(w *world, trouble bool) (bool, error) {
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false))
	for range 3 {
		if _, err := w.addReplica(func(r *replica) { r.eventTime, r.events = 50*time.Millisecond, 30 }); err != nil {
			return false, err
		}
	}
	if err := w.linkStore(); err != nil {
		return false, err
	}
	m := w.addMachine("pumphouse")
	if err := w.startAll(); err != nil {
		return false, err
	}
	leaving, other := w.replicas[1], w.replicas[2]
	other.mu.Lock()
	err := other.register(nil)
	other.mu.Unlock()
	if err != nil {
		return false, err
	}
	time.Sleep(700 * time.Millisecond)
	silentAt := time.Now()
	if trouble {
		w.link.silence()
		w.logf("the open channels to the store are silent from now on; new ones work")
	}
	time.Sleep(800 * time.Millisecond)
	w.store.Remove("servers", leaving.id)
	gone := time.Now()
	leaving.mu.Lock()
	leaving.leaving = true
	leaving.mu.Unlock()
	w.logf("the entry of replica %s is removed; it goes on serving for %s", leaving.id, servesOn)
	time.AfterFunc(servesOn, func() {
		leaving.stop()
		w.logf("replica %s exits", leaving.id)
	})
	inTouch := silentAt.Add(contactTime)
	time.Sleep(time.Until(inTouch.Add(burstAfter)))
	var group sync.WaitGroup
	answers := make([]clientAnswer, burstSize)
	for n := range answers {
		group.Go(func() {
			answers[n] = w.send(m, clientRequest{id: fmt.Sprintf("r-%d", n), path: streamPath + "x", key: tenantKey, body: "x", timeout: streamTimeout * time.Millisecond})
		})
	}
	group.Wait()
	late := w.arrivalsOf(func(a arrival) bool {
		return a.replica == leaving.id && a.at.Sub(gone) > drainTime && a.at.After(inTouch)
	})
	w.keepLogs("store lost", "endpoint has no entry", "endpoint gone", "endpoint leaving")
	for _, a := range late {
		w.logf("%s reached the replica %s after the ack and %s after the machine was in touch again", a.id, a.at.Sub(gone).Round(time.Millisecond), a.at.Sub(inTouch).Round(time.Millisecond))
	}
	cut := 0
	for _, a := range answers {
		if !a.complete {
			cut++
		}
	}
	w.logf("%d of %d requests reached the replica too late; %d streams were cut", len(late), burstSize, cut)
	return len(late) > 0, nil
}
