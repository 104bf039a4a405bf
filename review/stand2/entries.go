package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// pauseTime is for how long the replica in trouble wants no request.
	pauseTime = 30 * time.Second
	// settleTime is how long after its refusal requests may still reach it.
	settleTime = 500 * time.Millisecond
	// heartbeat is the time between two writes of a replica to its entry, and otherWriter that between two of another writer.
	heartbeat, otherWriter = 1200 * time.Millisecond, 4 * time.Second
	maxInPause             = 2
)

// playOddEntry plays a replica that pauses, and another writer that writes its entry without a field. The rule is BUDGET: more than two requests reach a replica from a machine between
// half a second after it has answered that machine 503 with Retry-After and the end of that time.
func playOddEntry(w *world, trouble bool) (bool, error) {
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false))
	for range 2 {
		if _, err := w.addReplica(nil); err != nil {
			return false, err
		}
	}
	m := w.addMachine("pumphouse")
	if err := w.startAll(); err != nil {
		return false, err
	}
	troubled := w.replicas[1]
	troubled.mu.Lock()
	troubled.pause = pauseTime
	troubled.mu.Unlock()
	end := make(chan struct{})
	var group sync.WaitGroup
	write := func(interval time.Duration, without []string) {
		for {
			select {
			case <-end:
				return
			case <-time.After(interval):
			}
			troubled.mu.Lock()
			err := troubled.register(without)
			troubled.mu.Unlock()
			if err != nil {
				w.logf("entry not written: %v", err)
			}
		}
	}
	if trouble {
		group.Go(func() { write(heartbeat, nil) })
		group.Go(func() { write(otherWriter, []string{"born"}) })
	}
	for n := range 300 {
		group.Go(func() {
			w.send(m, clientRequest{
				id: fmt.Sprintf("r-%d", n), path: streamPath + "x", key: tenantKey, body: "x", timeout: streamTimeout * time.Millisecond,
			})
		})
		time.Sleep(100 * time.Millisecond)
	}
	close(end)
	group.Wait()
	reached := w.arrivalsOf(func(a arrival) bool { return a.replica == troubled.id })
	if len(reached) == 0 {
		return false, fmt.Errorf("no request reached the replica that pauses")
	}
	first, in := reached[0].at, 0
	for _, a := range reached {
		if d := a.at.Sub(first); d > settleTime && d < pauseTime {
			in++
		}
	}
	w.keepLogs("endpoint pauses", "msg=endpoint process")
	w.logf("%d requests reached the replica between half a second after its first 503 and the end of the pause that it named, at most %d may", in, maxInPause)
	return in > maxInPause, nil
}
