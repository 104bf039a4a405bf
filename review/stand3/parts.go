package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	partsLength   = 100 * time.Second
	partsMemoryMB = 134 // of a front of phmswa-tours
	partsSample   = 100 * time.Millisecond
	// partsRestart is the time from the end of a process to its next start.
	partsRestart = 500 * time.Millisecond
	// partsEnds and partsMachines are the ends of a process from which the rule Fault counts, and the machines.
	partsEnds, partsMachines = 3, 2
	// ordinaryInterval and manyPartsInterval are the times between two requests to one router.
	ordinaryInterval, manyPartsInterval = 50 * time.Millisecond, 12500 * time.Microsecond
	// manyPartsBytes is the length of the list of parts. The head is within max_header_bytes, 16,384.
	manyPartsBytes = 15_800
	partsLimit     = 3 * time.Second
)

// manyParts returns the headers of a request whose prompt has many short parts, none of which another request has.
func manyParts(n int) http.Header {
	var list strings.Builder
	count := 0
	for list.Len() < manyPartsBytes {
		if count > 0 {
			list.WriteByte(',')
		}
		fmt.Fprintf(&list, "%x:1", uint32(n*2000+count)*2654435761)
		count++
	}
	return http.Header{"X-Model": {"m"}, "X-Token-Usage": {fmt.Sprintf("%d,4", count)}, "X-Prompt-Prefix": {list.String()}}
}

// fewParts returns the headers of an ordinary request.
func fewParts(n int) http.Header {
	return http.Header{"X-Model": {"m"}, "X-Token-Usage": {"568,20"}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:341,%x:127,%x:100", 0x100+n%20, 0x10000+n)}}
}

// playParts sends requests of legal size whose prompts have very many short parts. Nothing may make a process exceed its memory.
func playParts(w *world) (broken bool, err error) {
	w.configure(7, []map[string]any{route("enquiry", "/stream/", "streaming", 3000, 2, true)}, map[string][]string{"desk": {"key-desk"}, "other": {"key-other"}})
	for i := range 4 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), "1.0", 5, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	first := w.newRouter("front-pumphouse-1", partsMemoryMB)
	second := w.newRouter("front-headframe-1", partsMemoryMB, first)
	if err := startAll(first, second); err != nil {
		return false, err
	}
	var over atomic.Bool
	goOn := func() bool { return !over.Load() }
	until := time.Now().Add(partsLength)
	desk, other := w.newClient("desk", "key-desk"), w.newClient("other", "key-other")
	other.unlisted = true
	header := fewParts
	if w.trouble {
		header = manyParts
	}
	var clients, platform sync.WaitGroup
	var ends [2]int
	for i, r := range w.routers {
		clients.Go(func() {
			every(ordinaryInterval, until, goOn, func(n int) { desk.send(r.front, "/stream/x", fewParts(n), partsLimit) })
		})
		clients.Go(func() {
			every(manyPartsInterval, until, goOn, func(n int) { other.send(r.front, "/stream/y", header(2*n+i), partsLimit) })
		})
		platform.Go(func() { ends[i] = r.keepMemory(until) })
	}
	platform.Wait()
	over.Store(true)
	clients.Wait()
	w.say("ends of processes for their memory: %v, counted from %d each at %d machines", ends, partsEnds, partsMachines)
	w.say("ordinary clients: %s", desk.summary())
	w.say("the other clients: %s", other.summary())
	return min(ends[0], ends[1]) >= partsEnds, nil
}

// keepMemory kills the process when its anonymous memory, which is less than what the platform counts, exceeds its limit, and
// starts it again. It returns how often it did, until a time or until it has partsEnds times.
func (r *router) keepMemory(until time.Time) int {
	ends, most := 0, 0
	for n := 0; time.Now().Before(until) && ends < partsEnds; n++ {
		resident, anonymous := r.memoryKB("VmRSS"), r.memoryKB("RssAnon")
		most = max(most, anonymous)
		if n%10 == 0 {
			r.world.note("%s: %d KB resident, %d KB of these anonymous; limit %d KB", r.name, resident, anonymous, r.memoryMB*1024)
		}
		if anonymous > r.memoryMB*1024 {
			r.world.say("%s: anonymous memory of %d KB exceeds memory_mb %d: the platform kills the process", r.name, anonymous, r.memoryMB)
			ends++
			r.kill()
			time.Sleep(partsRestart)
			r.bootstrap = false
			if err := r.start(); err != nil {
				r.world.say("%s: not started: %v", r.name, err)
				return ends
			}
		}
		time.Sleep(partsSample)
	}
	r.world.say("%s: most anonymous memory %d KB of %d KB", r.name, most, r.memoryMB*1024)
	return ends
}
