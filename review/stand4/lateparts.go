package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// sharedPartCount is the number of parts of a prompt beside its own, and crashingPosition that of the parts before the crashing one.
	sharedPartCount, crashingPosition = 600, 560
	// crashingPart is the identifier of the part that crashes replicas.
	crashingPart = "dead"
	// crashingInterval is the time between two requests with it, and crashingTime how long they come.
	crashingInterval, crashingTime = time.Second, 45 * time.Second
	// crashDown is how long a replica is down after a crash.
	crashDown = 2 * time.Second
	// soundInterval is the time between two sound requests.
	soundInterval = 200 * time.Millisecond
	// crashesBefore and requestsAfter are the figures of the rule.
	crashesBefore, requestsAfter = 5, 3
)

// longPrompt returns the parts of the prompt of a session, with the crashing one if it is wanted at a position.
func longPrompt(session int, crashing bool) string {
	var parts []string
	for n := range sharedPartCount {
		if crashing && n == crashingPosition {
			parts = append(parts, crashingPart+":1")
		}
		parts = append(parts, fmt.Sprintf("%x:1", 0x100000+session*sharedPartCount+n))
	}
	return strings.Join(append(parts, fmt.Sprintf("%x:100", 0x90000000+session)), ",")
}

// latePart has requests come whose prompts have a part that crashes replicas, after many other parts.
func latePart(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(8, "desk-model", "v1", 64, 10, 50*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	var mu sync.Mutex
	var crashes []time.Time
	for _, r := range w.replicas {
		r.crashPart = crashingPart
		r.crashed = func() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.record.add("%s: crashed", r.id)
			go w.restartLater(r)
		}
	}
	if err := w.addRouters(2, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	time.Sleep(contactTime)
	end := time.Now().Add(crashingTime)
	var group sync.WaitGroup
	var sound, crashing outcomes
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			text := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 715,70\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:72,%x:543\r\n", 0xa0000000+n)
			group.Go(func() {
				sound.count(exchange(w.routers[n%2].front, head("POST", "/stream/notes/x", fmt.Sprintf("sound-%d", n), "key-1", 15*time.Second, text), "POST", 15*time.Second))
			})
			time.Sleep(soundInterval)
		}
	})
	group.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			id := fmt.Sprintf("crashing-%d", n)
			fields := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: %d,20\r\nX-Prompt-Prefix: %s\r\n", sharedPartCount+101, longPrompt(n, trouble))
			w.record.add("sent: %s to %s", id, w.routers[n%2].name)
			a := exchange(w.routers[n%2].front, head("POST", "/stream/enquiry/x", id, "key-1", 3*time.Second, fields), "POST", 3*time.Second)
			w.record.add("answered: %s status %d err %v", id, a.status, a.err)
			crashing.count(a)
			time.Sleep(crashingInterval)
		}
	})
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	w.record.add("sound requests: %v; the others: %v; %d crashes", &sound, &crashing, len(crashes))
	if len(crashes) < crashesBefore {
		return verdict{}
	}
	late := 0
	for _, r := range w.runs.all() {
		if strings.HasPrefix(r.id, "crashing-") && r.at.Sub(crashes[crashesBefore-1]) > contactTime {
			late++
			w.record.add("ran: %s at %s, %.1f s after the fifth crash", r.id, r.replica, r.at.Sub(crashes[crashesBefore-1]).Seconds())
		}
	}
	w.record.add("%d requests with the part reached replicas later than contact_ms after the fifth crash", late)
	return verdict{broken: late > requestsAfter}
}

// restartLater starts a replica again after its crash, and has it write its entry.
func (w *world) restartLater(r *replica) {
	time.Sleep(crashDown)
	if err := r.start("v1"); err != nil {
		w.record.add("%s: not started: %v", r.id, err)
		return
	}
	w.store.put("servers", r.id, r.entry())
}
