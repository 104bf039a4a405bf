package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	takeUpStreams  = 30
	takeUpEvents   = 60
	takeUpInterval = 200 * time.Millisecond
	takeUpLimit    = 15 * time.Second
	// takeUpAfter is when the process is killed.
	takeUpAfter = 3 * time.Second
	// contact is contact_ms: a machine is in touch so long after the start of its process.
	contact = 3 * time.Second
	// takeUpPause is the time between two tries of a client, and takeUpTries their number.
	takeUpPause, takeUpTries = 900 * time.Millisecond, 4
	// takeUpLeast is the number of streams from which the rule counts.
	takeUpLeast = 12
)

// tally counts what goes on at machines in touch.
type tally struct {
	mu        sync.Mutex
	tried, ok int
}

func (t *tally) add(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tried++
	if ok {
		t.ok++
	}
}

func (t *tally) share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.ok) / float64(max(t.tried, 1))
}

// playTakeUp kills one of two routers while streams run there that may be resumed. The clients take them up again at the other one, which
// is in touch all the while.
func playTakeUp(w *world) (broken bool, err error) {
	w.configure(7, []map[string]any{route("enquiry", "/stream/", "streaming", int(takeUpLimit.Milliseconds()), 2, true)}, map[string][]string{"desk": {"key-desk"}})
	for i := range 3 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), "1.0", takeUpEvents, takeUpInterval); err != nil {
			return false, err
		}
	}
	first := w.newRouter("front-pumphouse-1")
	second := w.newRouter("front-headframe-1", first)
	if err := startAll(first, second); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	desk, fresh := w.newClient("desk", "key-desk"), w.newClient("new", "key-desk")
	var takenUp, begun tally
	var clients sync.WaitGroup
	for n := range takeUpStreams {
		clients.Go(func() { takeUp(w, desk, second, first, n, &takenUp) })
	}
	time.Sleep(takeUpAfter)
	if w.trouble {
		second.kill()
	}
	for n := range takeUpStreams {
		clients.Go(func() {
			a := fresh.send(first.front, "/stream/new", fewParts(1000+n), takeUpLimit)
			begun.add(a.status == http.StatusOK && a.lastID != "")
		})
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	w.say("new streams meanwhile: %d tried, share that began %.2f", begun.tried, begun.share())
	w.say("streams taken up: %d, share that went on %.2f", takenUp.tried, takenUp.share())
	return takenUp.tried >= takeUpLeast && takenUp.share() < begun.share()/2, nil
}

// startAll starts routers and waits until they are ready.
func startAll(routers ...*router) error {
	for _, r := range routers {
		if err := r.start(); err != nil {
			return err
		}
	}
	for _, r := range routers {
		if err := r.waitReady(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// takeUp has a client begin a stream at one router and, if it breaks off, take it up at the other one, on a new channel, until it is complete
// or its time is over. It counts the streams that went on after the first break.
func takeUp(w *world, c *client, at, other *router, n int, result *tally) {
	end := time.Now().Add(takeUpLimit)
	a := c.send(at.front, "/stream/x", fewParts(n), takeUpLimit)
	if a.complete() || a.lastID == "" {
		w.note("%s: status %d, last event %q, %v", a.id, a.status, a.lastID, a.err)
		return
	}
	w.note("%s: broken off after event %s: %v", a.id, a.lastID, a.err)
	first, last, wentOn := a.id, a.lastID, false
	for try := 0; try < takeUpTries && !a.complete(); try++ {
		if try > 0 {
			time.Sleep(max(a.after, takeUpPause))
		}
		left := time.Until(end)
		if left < takeUpPause {
			break
		}
		header := fewParts(n)
		header.Set("Last-Event-Id", last)
		header.Set("Resumes", first)
		a = c.send(other.front, "/stream/x", header, left)
		w.note("%s takes up %s after event %s at %s: status %d, last event %q, %v", a.id, first, last, other.name, a.status, a.lastID, a.err)
		if a.status == http.StatusOK && a.lastID != "" {
			last, wentOn = a.lastID, true
		}
	}
	result.add(wentOn)
}
