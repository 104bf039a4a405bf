package main

import (
	"fmt"
	"sync"
	"time"
)

// playKilledBlames plays a request that crashes each replica as it begins to run it, before its first event. When it is known at both machines, all processes
// are killed and start again; then it comes again. The rule is BUDGET: later than contact_ms after it has crashed the third replica, it reaches
// replicas in more than three retries, sent by machines in touch.
func playKilledBlames(w *world, trouble bool) (bool, error) {
	const target = streamPath + "again"
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false))
	for range 10 {
		if _, err := w.addReplica(func(r *replica) { r.crashTarget, r.crashEarly = target, true }); err != nil {
			return false, err
		}
	}
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	sent := 0
	var group sync.WaitGroup
	spell := func(times int) {
		for range times {
			n := sent
			sent++
			group.Go(func() {
				w.send(machines[n%len(machines)], clientRequest{
					id: fmt.Sprintf("again-%d", n), path: target, key: tenantKey, body: "the same body", parts: "e1:200", timeout: streamTimeout * time.Millisecond,
				})
			})
			time.Sleep(500 * time.Millisecond)
		}
	}
	spell(16)
	restarted := time.Now()
	if trouble {
		for _, m := range machines {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range machines {
			w.kill(m)
		}
		time.Sleep(500 * time.Millisecond)
		restarted = time.Now()
		for _, m := range machines {
			if err := w.start(m, false); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(machines...); err != nil {
			return false, err
		}
	}
	time.Sleep(contactTime + 200*time.Millisecond)
	spell(30)
	group.Wait()
	reached := w.arrivalsOf(func(a arrival) bool { return a.target == target })
	w.keepLogs("endpoints crash under", "blame probed")
	if len(reached) < 3 {
		return false, fmt.Errorf("the request ran %d times only", len(reached))
	}
	late := 0
	for _, a := range reached[3:] {
		if a.at.Sub(reached[2].at) > contactTime && (!trouble || a.at.Before(restarted) || a.at.Sub(restarted) > contactTime) {
			late++
		}
	}
	w.logf("the request was sent %d times and crashed %d replicas; %d of these runs came later than contact_ms after the third crash, at most 3 may", sent, len(reached), late)
	return late > 3, nil
}
