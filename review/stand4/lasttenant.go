package main

import (
	"fmt"
	"strings"
	"time"
)

// lastTenant has the operator take away the tenants one after the other, the last one too.
func lastTenant(w *world, trouble bool) verdict {
	keys := map[string][]string{"first": {"key-1"}, "second": {"key-2"}}
	w.putConfig(1, keys)
	if err := w.addReplicas(2, "ticket-app", "v1", 6, 0, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(2, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	for i, r := range w.routers {
		if a := w.ticket(r, fmt.Sprintf("before-%d", i), "key-1"); a.status != 200 {
			return verdict{err: fmt.Errorf("key-1 before its revocation: status %d, %v", a.status, a.err)}
		}
	}
	config := w.config(4, keys)
	config["tenants"] = tenants(keys)[:1]
	w.store.put("op", "config", config)
	acked, revoked := time.Now(), "key-2"
	w.record.add("operator: version 4, without the tenant of key-2, acknowledged")
	if trouble {
		time.Sleep(time.Second)
		config = w.config(9, keys)
		config["tenants"] = []any{}
		w.store.put("op", "config", config)
		acked, revoked = time.Now(), "key-1"
		w.record.add("operator: version 9, without the tenant of key-1, the last one, acknowledged")
	}
	time.Sleep(revokeBound + 200*time.Millisecond)
	for n := range 20 {
		for i, r := range w.routers {
			w.ticket(r, fmt.Sprintf("revoked-%d-%d", i, n), revoked)
			w.ticket(r, fmt.Sprintf("unknown-%d-%d", i, n), fmt.Sprintf("no-key-%d", n))
		}
	}
	late, unknown := 0, 0
	for _, r := range w.runs.all() {
		w.record.add("ran: %s as account %q at %s, %.1f s after the acknowledgement", r.id, r.account, r.replica, r.at.Sub(acked).Seconds())
		switch {
		case strings.HasPrefix(r.id, "revoked-") && r.at.Sub(acked) > revokeBound:
			late++
		case strings.HasPrefix(r.id, "unknown-"):
			unknown++
		}
	}
	w.record.add("%d requests with a key that was taken away ran later than %v after that was acknowledged, and %d with keys that no config held", late, revokeBound, unknown)
	return verdict{broken: late+unknown > 0}
}
