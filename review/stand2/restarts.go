package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	longPath    = "/notes/"
	longTimeout = 15 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	streamCount  = 24
)

// taken is the attempts to take up streams, or to begin new ones, at machines in touch, and how many of them brought events.
type taken struct {
	mu          sync.Mutex
	goneOn, all int
}

func (t *taken) add(answer clientAnswer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if answer.events > 0 {
		t.goneOn++
	}
}

func (t *taken) share() float64 { return float64(t.goneOn) / float64(max(t.all, 1)) }

// playAllKilled kills all processes of the system at once while streams run. Clients take them up again when the machines are in touch. The rule is
// LOST: the share of these that goes on is under half of the share of new streams that begin.
func playAllKilled(w *world, trouble bool) (bool, error) {
	w.configure([]string{tenantKey}, route("notes", longPath, "streaming", int(longTimeout.Milliseconds()), 2, true))
	for range 4 {
		if _, err := w.addReplica(func(r *replica) { r.eventTime, r.events = 100*time.Millisecond, 100 }); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"pumphouse", "headframe", "depot-north"} {
		w.addMachine(zone)
	}
	if err := w.startAll(); err != nil {
		return false, err
	}
	inTouch := make(chan struct{})
	var resumed, fresh taken
	var group sync.WaitGroup
	brk, stop := context.WithCancel(context.Background())
	defer stop()
	for n := range streamCount {
		group.Go(func() { followStream(w, brk, n, inTouch, &resumed) })
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, m := range w.machines {
			_ = m.cmd.Process.Kill()
		}
		for _, m := range w.machines {
			w.kill(m)
		}
		time.Sleep(restartDelay)
		for _, m := range w.machines {
			if err := w.start(m, false); err != nil {
				return false, err
			}
		}
		if err := w.awaitReady(w.machines...); err != nil {
			return false, err
		}
	} else {
		stop() // the clients' channels break
	}
	time.Sleep(contactTime + 300*time.Millisecond)
	w.logf("all machines are in touch")
	close(inTouch)
	for n := range streamCount {
		group.Go(func() {
			fresh.add(w.send(w.machines[n%len(w.machines)], clientRequest{
				id: fmt.Sprintf("new-%d", n), path: longPath + "new", key: tenantKey, body: "new", parts: notesParts(100 + n), timeout: longTimeout,
			}))
		})
	}
	group.Wait()
	w.keepLogs("stream taken up", "started")
	w.logf("at machines in touch: %d of %d streams that were taken up again went on, %d of %d new streams began", resumed.goneOn, resumed.all, fresh.goneOn, fresh.all)
	if resumed.all < 12 || fresh.goneOn == 0 {
		return false, fmt.Errorf("%d streams were taken up, %d new ones began", resumed.all, fresh.goneOn)
	}
	return resumed.share() < 0.5*fresh.share(), nil
}

func notesParts(n int) string { return fmt.Sprintf("5171:100,a%x:72,b%x:543", n, n) }

// followStream begins a stream and takes it up again once after its channel has broken and the machines are in touch.
func followStream(w *world, brk context.Context, n int, inTouch <-chan struct{}, resumed *taken) {
	began := time.Now()
	first := clientRequest{id: fmt.Sprintf("note-%d", n), path: longPath + fmt.Sprint(n), key: tenantKey, body: fmt.Sprint(n), parts: notesParts(n), timeout: longTimeout}
	answer := w.sendUntil(brk, w.machines[n%len(w.machines)], first)
	<-inTouch
	if answer.complete || answer.events == 0 {
		return
	}
	next := first
	next.id, next.resumes, next.after, next.timeout = first.id+"-again", first.id, answer.last, longTimeout-time.Since(began)
	resumed.add(w.send(w.machines[(n+1)%len(w.machines)], next))
}

// playOldCopy takes a key away. Then the store comes back from a copy from before that, and a machine starts again. The rule is CONFIG: a request with the key that is
// sent later than revoke_ms after the ack of that config runs.
func playOldCopy(w *world, trouble bool) (bool, error) {
	const oldKey = "key-taken-away"
	routes := route("draft", streamPath, "streaming", streamTimeout, 1, false)
	w.configure([]string{tenantKey, oldKey}, routes)
	for range 4 {
		if _, err := w.addReplica(nil); err != nil {
			return false, err
		}
	}
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	send := func(m *machine, key string, n int) clientAnswer {
		return w.send(m, clientRequest{id: fmt.Sprintf("%s-%s-%d", key, m.name, n), path: streamPath + "x", key: key, body: "x", parts: "5171:800,a1:100,b1:100", timeout: time.Second})
	}
	if send(machines[0], oldKey, 0).status != 200 || send(machines[1], oldKey, 0).status != 200 {
		return false, fmt.Errorf("the key is not accepted before it is taken away")
	}
	w.store.TakeCopy()
	w.logf("store: a copy is taken")
	time.Sleep(time.Second)
	config := w.configure([]string{tenantKey}, routes)
	revoked := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(revoked.Add(d))) }
	until(4 * time.Second)
	if trouble {
		w.store.SetDown(true)
		w.logf("store: away")
		w.kill(machines[1])
		until(4*time.Second + restartDelay)
		if err := w.start(machines[1], false); err != nil {
			return false, err
		}
		until(5 * time.Second)
		w.store.Restore()
		w.store.SetDown(false)
		w.logf("store: back from the copy, which is 6 s old")
	}
	until(revokeTime + 100*time.Millisecond)
	var group sync.WaitGroup
	for n := range 20 {
		for _, m := range machines {
			group.Go(func() { send(m, oldKey, n+1) })
			group.Go(func() { send(m, tenantKey, n+1) })
		}
		time.Sleep(70 * time.Millisecond)
	}
	if trouble {
		w.store.Put("op", "config", config)
		w.logf("operator: config written again")
	}
	group.Wait()
	time.Sleep(time.Second)
	ran := w.arrivalsOf(func(a arrival) bool {
		return a.at.Sub(revoked) > revokeTime && len(a.id) > len(oldKey) && a.id[:len(oldKey)] == oldKey
	})
	w.keepLogs("started", "configuration in force", "store restored")
	w.logf("%d requests with the key that was taken away were sent later than revoke_ms after the ack and ran", len(ran))
	return len(ran) > 0, nil
}
