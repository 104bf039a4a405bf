package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// upgradeRounds are the rounds of the case: in each a replica crashes, starts again under its ID at another version, crashes again and
	// starts again at the version before.
	upgradeRounds = 5
	// downTime is how long a replica is down after a crash, upTime how long the other version runs, and roundTime the time of a round.
	downTime, upTime, roundTime = 2 * time.Second, 1300 * time.Millisecond, 21500 * time.Millisecond
	// streamRate is the number of streams a second, streamEvents that of the events of each, and eventPause the time before each event.
	streamRate, streamEvents, eventPause = 24, 20, 100 * time.Millisecond
	// heartbeat is the time between two check-ins of a replica, and coldReplicas the number of replicas that have started lately.
	heartbeat, coldReplicas = 1200 * time.Millisecond, 4
)

// firstStart has a replica start again under its ID at a version that no other one has, and crash again.
func firstStart(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(3, "desk-model", "v1", 16, streamEvents, eventPause); err != nil {
		return verdict{err: err}
	}
	if err := w.addReplicas(coldReplicas, "ticket-app", "v1", 6, 0, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(3, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	end := time.Now().Add(upgradeRounds * roundTime)
	var group sync.WaitGroup
	for i, r := range w.replicas[3:] {
		group.Go(func() { w.checkIn(r, i, end) })
	}
	mixed := 0
	group.Go(func() { mixed = w.sendStreams(end) })
	var err error
	if trouble {
		err = w.upgrade()
	}
	group.Wait()
	w.record.add("%d streams hold events of two versions in one answer", mixed)
	return verdict{broken: mixed > 2, err: err}
}

// upgrade crashes and restarts the first replica in each round.
func (w *world) upgrade() error {
	r := w.replicas[0]
	for range upgradeRounds {
		began := time.Now()
		time.Sleep(time.Second)
		for _, version := range []string{"v2", "v1"} {
			r.crash()
			w.record.add("%s: crashed", r.id)
			time.Sleep(downTime)
			if err := r.start(version); err != nil {
				return err
			}
			w.store.put("servers", r.id, r.entry())
			w.record.add("%s: started at %s, its entry is acknowledged", r.id, version)
			time.Sleep(upTime)
		}
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return nil
}

// checkIn writes the entry of a replica that is still slow after its start, at each heartbeat.
func (w *world) checkIn(r *replica, number int, end time.Time) {
	time.Sleep(heartbeat / coldReplicas * time.Duration(number))
	for left := time.Until(end); left > 0; left = time.Until(end) {
		entry := r.entry()
		entry["cold_remaining_ms"] = left.Milliseconds()
		w.store.put("servers", r.id, entry)
		time.Sleep(heartbeat)
	}
}

// sendStreams sends streams to all routers in turn and returns how many of them hold events of two versions.
func (w *world) sendStreams(end time.Time) int {
	ticker := time.NewTicker(time.Second / streamRate)
	defer ticker.Stop()
	var mu sync.Mutex
	var group sync.WaitGroup
	mixed := 0
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		group.Go(func() {
			id := fmt.Sprintf("stream-%d", n)
			fields := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 715,80\r\nX-Prompt-Prefix: 5c1e07a2:100,%x:72,%x:543\r\n", 0x100+n%7, 0xb0000000+n)
			a := exchange(w.routers[n%len(w.routers)].front, head("POST", "/stream/notes/x", id, "key-1", 15*time.Second, fields), "POST", 15*time.Second)
			versions := versionsOf(a.body)
			mu.Lock()
			defer mu.Unlock()
			if len(versions) > 1 {
				mixed++
				w.record.add("answered: %s status %d, %d bytes, events of %v: %s", id, a.status, len(a.body), versions, pieces(a.body))
			} else if a.status != 200 {
				w.record.add("answered: %s status %d err %v", id, a.status, a.err)
			}
		})
	}
	group.Wait()
	for _, r := range w.runs.all() {
		if strings.HasPrefix(r.id, "stream-") && (r.version != "v1" || r.lastSeen != "") {
			w.record.add("ran: %s at %s of %s after event %q, at %.3f", r.id, r.replica, r.version, r.lastSeen, r.at.Sub(w.record.started).Seconds())
		}
	}
	return mixed
}

// versionsOf returns the versions that wrote the events of a stream, in their order.
func versionsOf(body string) []string {
	var versions []string
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, "data: ") {
			continue
		}
		words := strings.Fields(line)
		if version := words[len(words)-1]; len(versions) == 0 || versions[len(versions)-1] != version {
			versions = append(versions, version)
		}
	}
	return versions
}

// pieces returns the data of the events of a stream in one line.
func pieces(body string) string {
	var list []string
	for line := range strings.Lines(body) {
		if data, ok := strings.CutPrefix(line, "data: piece "); ok {
			list = append(list, strings.ReplaceAll(strings.TrimSpace(data), " of ", "/"))
		}
	}
	return strings.Join(list, " ")
}
