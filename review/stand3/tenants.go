package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// revokeBound is revoke_ms.
	revokeBound = 5 * time.Second
	// tenantsInterval is the time between two requests with each key, and tenantsLength how long they go on.
	tenantsInterval, tenantsLength = 100 * time.Millisecond, 9 * time.Second
	tenantsLimit                   = 2 * time.Second
)

// playTenants takes the last tenant, and so the last key, out of the configuration. No request may run afterwards, and one with a key
// that no configuration ever held never.
func playTenants(w *world) (broken bool, err error) {
	routes := []map[string]any{route("enquiry", "/stream/", "streaming", 3000, 2, true), route("issue", "/plain/", "non_idempotent", 2000, 1, false)}
	w.configure(7, routes, map[string][]string{"desk": {"key-desk"}})
	for i := range 3 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), "1.0", 3, 10*time.Millisecond); err != nil {
			return false, err
		}
	}
	front := w.newRouter("front-pumphouse-1")
	if err := startAll(front); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if w.trouble {
		w.configure(9, routes, map[string][]string{})
	}
	acknowledged := time.Now()
	desk, unknown := w.newClient("desk", "key-desk"), w.newClient("unknown", "key-unknown")
	every(tenantsInterval, time.Now().Add(tenantsLength), front.running, func(int) {
		desk.send(front.front, "/stream/x", fewParts(1), tenantsLimit)
		unknown.send(front.front, "/plain/x", http.Header{}, tenantsLimit)
	})
	late := w.countRuns(desk, func(sent time.Time) bool { return w.trouble && sent.Sub(acknowledged) > revokeBound })
	foreign := w.countRuns(unknown, func(time.Time) bool { return true })
	w.say("requests with the key that was taken away: %s; %d sent over %s after the ack ran", desk.summary(), late, revokeBound)
	w.say("requests with a key that no configuration held: %s; %d ran", unknown.summary(), foreign)
	return late > 0 || foreign > 0, nil
}

// countRuns returns how many requests of a client ran that were sent at times that count.
func (w *world) countRuns(c *client, counts func(sent time.Time) bool) int {
	sent := make(map[string]time.Time)
	for _, a := range c.all() {
		sent[a.id] = a.sentAt
	}
	ran := 0
	for _, r := range w.replicas {
		for _, run := range r.allRuns() {
			if at, ok := sent[run.id]; ok && counts(at) {
				ran++
			}
		}
	}
	return ran
}
