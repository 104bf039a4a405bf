package main

import (
	"strings"
	"time"
)

// playLastTenant takes the last tenant out of the config, with all its keys. The rules are CONFIG, a request with a key that is sent later than revoke_ms after the ack of
// the config that took the key away runs, and ROUTE, a request runs whose key no config ever held.
func playLastTenant(w *world, trouble bool) (bool, error) {
	routes := route("draft", streamPath, "streaming", streamTimeout, 1, false)
	w.configure([]string{tenantKey}, routes)
	for range 4 {
		if _, err := w.addReplica(nil); err != nil {
			return false, err
		}
	}
	machines := []*machine{w.addMachine("pumphouse"), w.addMachine("headframe")}
	if err := w.startAll(); err != nil {
		return false, err
	}
	send := func(m *machine, id, key string) {
		w.send(m, clientRequest{id: id + "-" + m.name, path: streamPath + "x", key: key, body: "x", parts: "5171:800,a1:100,b1:100", timeout: time.Second})
	}
	for _, m := range machines {
		send(m, "before", tenantKey)
		send(m, "unknown-before", "key-that-never-was")
	}
	revoked := time.Now()
	if trouble {
		w.configure(nil, routes)
	}
	time.Sleep(revokeTime + time.Second)
	for range 5 {
		for _, m := range machines {
			send(m, "after", tenantKey)
			send(m, "unknown-after", "key-that-never-was")
		}
	}
	late := w.arrivalsOf(func(a arrival) bool { return strings.HasPrefix(a.id, "after-") && a.at.Sub(revoked) > revokeTime })
	unknown := w.arrivalsOf(func(a arrival) bool { return strings.HasPrefix(a.id, "unknown-") })
	w.keepLogs("configuration in force")
	if !trouble {
		w.logf("no key was taken away; %d requests with an unknown key ran", len(unknown))
		return len(unknown) > 0, nil
	}
	w.logf("%d requests with the key that was taken away, sent later than revoke_ms after the ack, ran, and %d with a key that no config held", len(late), len(unknown))
	return len(late)+len(unknown) > 0, nil
}
