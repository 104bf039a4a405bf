package crashblame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each field of a request is part of its identity, and nothing of one field can pass for the next.
func TestRequestsOfDifferentCallersDiffer(t *testing.T) {
	base := Request{Caller: "a", Method: "GET", Host: "h", Target: "/x", Parts: []Part{1}, Body: []byte("body")}
	identity := func(change func(*Request)) Part {
		r := base
		change(&r)
		return r.Part(r.Head())
	}
	seen := map[Part]string{}
	for name, change := range map[string]func(*Request){
		"same": func(*Request) {}, "caller": func(r *Request) { r.Caller = "b" }, "method": func(r *Request) { r.Method = "POST" }, "host": func(r *Request) { r.Host = "i" },
		"target": func(r *Request) { r.Target = "/x?y" }, "parts": func(r *Request) { r.Parts = []Part{2} }, "body": func(r *Request) { r.Body = []byte("bodx") },
		"shifted": func(r *Request) { r.Caller, r.Method = "aG", "ET" },
	} {
		p := identity(change)
		assert.Equal(t, seen[p], "", "%s is the same as %s", name, seen[p])
		seen[p] = name
	}
	assert.Equal(t, identity(func(*Request) {}), identity(func(*Request) {}))
}

// A sound request that was lost beside copies of one that crashes endpoints is not suspected once that one is blamed, and an answer to it
// proves it at once.
func TestRequestsBesideABlamedOneAreNotSuspected(t *testing.T) {
	const bad, sound = Part(7 << 40), Part(9 << 40)
	l := New(0)
	now := start
	lose := func(process int64, requests ...Part) {
		for _, p := range requests {
			r := l.Sent(Process{Start: process}, nil)
			l.Identify(r, p, true)
			l.Lost(now, r)
		}
	}
	for process := range int64(maxCrashes) {
		lose(process, bad)
		now = now.Add(time.Second)
	}
	assert.Assert(t, l.IsBlamed([]Part{bad}) && l.KnowsHead(bad.head()))
	for process := range int64(maxCrashes) {
		lose(10+process, bad, sound)
	}
	assert.Assert(t, !l.IsBlamed([]Part{sound}) && l.MayRetry([]Part{sound}))
	lose(20, sound)
	lose(21, sound)
	assert.Assert(t, !l.MayRetry([]Part{sound}))
	r := l.Sent(Process{Start: 22}, nil)
	l.Identify(r, sound, true)
	l.Completed(now, r)
	assert.Assert(t, l.MayRetry([]Part{sound}))
}
