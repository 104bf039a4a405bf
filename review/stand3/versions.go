package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	versionStreams  = 60
	versionEvents   = 50
	versionInterval = 200 * time.Millisecond
	versionLimit    = 15 * time.Second
	// versionCrash is when the replicas crash after the streams have begun, and versionDown how long they are down.
	versionCrash, versionDown = 2 * time.Second, 2 * time.Second
	// heartbeatTime is heartbeat_ms, and coldTime how long new replicas of the other service are slow.
	heartbeatTime, coldTime = 1200 * time.Millisecond, 9600 * time.Millisecond
	// versionPause is the least time between two tries of a client, which also waits for Retry-After.
	versionPause = 400 * time.Millisecond
	// versionTries is how often a client takes its stream up at most.
	versionTries = 8
	// mixedAllowed is the number of streams of two versions that the rule allows.
	mixedAllowed = 2
)

// playVersions has the replicas of a service crash and start again under their ids with another version of their software, while new
// replicas of another service report how long they are still slow.
func playVersions(w *world) (broken bool, err error) {
	w.configure(7, []map[string]any{route("enquiry", "/stream/", "streaming", int(versionLimit.Milliseconds()), 2, true)}, map[string][]string{"desk": {"key-desk"}})
	var replicas []*replica
	for i := range 2 {
		r, err := w.newReplica(fmt.Sprintf("i-%d", i), "1.0", versionEvents, versionInterval)
		if err != nil {
			return false, err
		}
		replicas = append(replicas, r)
	}
	front := w.newRouter("front-pumphouse-1")
	if err := startAll(front); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if err := addColdReplicas(w); err != nil {
		return false, err
	}
	desk := w.newClient("desk", "key-desk")
	var mu sync.Mutex
	mixed := 0
	var clients sync.WaitGroup
	for n := range versionStreams {
		clients.Go(func() {
			if versions := followStream(w, desk, front, n); len(versions) > 1 {
				mu.Lock()
				defer mu.Unlock()
				mixed++
			}
		})
	}
	if w.trouble {
		time.Sleep(versionCrash)
		for _, r := range replicas {
			r.crash()
		}
		time.Sleep(versionDown)
		for _, r := range replicas {
			if err := r.start("2.0"); err != nil {
				return false, err
			}
			r.register()
		}
	}
	clients.Wait()
	w.say("client attempts: %s", desk.summary())
	w.say("streams with events of two versions: %d of %d, allowed %d", mixed, versionStreams, mixedAllowed)
	return mixed > mixedAllowed, nil
}

// addColdReplicas adds replicas of the other service.
func addColdReplicas(w *world) error {
	for i := range 4 {
		r, err := w.newReplicaOf(plainName, fmt.Sprintf("t-%d", i), "1.0", 0, 0, coldTime)
		if err != nil {
			return err
		}
		go r.heartbeat(heartbeatTime)
		time.Sleep(heartbeatTime / 4)
	}
	return nil
}

// followStream has a client begin a stream and take it up until it is complete or its time is over. It returns the versions of the
// software that the events name.
func followStream(w *world, c *client, at *router, n int) map[string]bool {
	end := time.Now().Add(versionLimit)
	a := c.send(at.front, "/stream/x", fewParts(n), versionLimit)
	versions, first, last := a.version, a.id, a.lastID
	for try := 0; try < versionTries && !a.complete() && last != ""; try++ {
		time.Sleep(max(a.after, versionPause) + rand.N(versionPause))
		left := time.Until(end)
		if left < time.Second {
			break
		}
		header := fewParts(n)
		header.Set("Last-Event-Id", last)
		header.Set("Resumes", first)
		a = c.send(at.front, "/stream/x", header, left)
		w.note("%s takes up %s after event %s: status %d, last event %s, versions %v, %v", a.id, first, last, a.status, a.lastID, a.version, a.err)
		if a.status == http.StatusOK && a.lastID != "" {
			last = a.lastID
		}
		for v := range a.version {
			versions[v] = true
		}
	}
	w.note("stream of %s: versions %v, last event %s", first, versions, last)
	return versions
}
