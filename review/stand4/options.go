package main

import (
	"fmt"
	"time"
)

// ownSuccess has a client send a request whose target is no path. Beside it, ordinary requests and some at paths without a route are sent.
func ownSuccess(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(2, "ticket-app", "v1", 6, 0, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(1, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	type sent struct{ method, target string }
	requests := []sent{{"GET", "/gate/x"}, {"POST", "/ticket/x"}, {"OPTIONS", "/gate/x"}, {"OPTIONS", "/nothing/x"}, {"GET", "/"}}
	if trouble {
		requests = append(requests, sent{"OPTIONS", "*"})
	}
	broken := false
	for n, s := range requests {
		id := fmt.Sprintf("own-%d", n)
		a := exchange(w.routers[0].front, head(s.method, s.target, id, "key-1", 4*time.Second, ""), s.method, 4*time.Second)
		if a.err != nil {
			return verdict{err: a.err}
		}
		w.record.add("%s %s: status %d, seal %q, body %q", s.method, s.target, a.status, a.seal, a.body)
		broken = broken || a.status/100 == 2 && a.seal == ""
	}
	for _, r := range w.runs.all() {
		w.record.add("ran: %s %s at %s", r.id, r.target, r.replica)
	}
	return verdict{broken: broken}
}
