package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallHostMemoryMB and smallHostFDs are the limits of a front host of the smallest deployment.
	smallHostMemoryMB, smallHostFDs = 134, 4100
	// manyPartsTime is how long the clients send, manyPartsRate the requests of them a second to each router, and manyPartsBytes the size of
	// each head: below max_header_bytes.
	manyPartsTime, manyPartsRate, manyPartsBytes = 50 * time.Second, 100, 16000
	// ownEnds is how often the process of a host may not end by itself in a day.
	ownEnds = 3
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 50 * time.Millisecond
	// ordinaryInterval is the time between two ordinary requests.
	ordinaryInterval = 100 * time.Millisecond
)

// outcomes counts how requests ended.
type outcomes struct{ served, refused, unanswered atomic.Int64 }

func (o *outcomes) count(a answer) {
	switch a.status {
	case 200:
		o.served.Add(1)
	case 0:
		o.unanswered.Add(1)
	default:
		o.refused.Add(1)
	}
}

func (o *outcomes) String() string {
	return fmt.Sprintf("%d served, %d refused, %d without an answer", o.served.Load(), o.refused.Load(), o.unanswered.Load())
}

// manyPartsHead returns a head of a legal size whose prompt has many parts of one token each, and the next part.
func manyPartsHead(id string, from uint64, key string) (text string, next uint64) {
	var parts strings.Builder
	n := from
	for parts.Len() < manyPartsBytes-400 {
		if parts.Len() > 0 {
			parts.WriteByte(',')
		}
		fmt.Fprintf(&parts, "%x:1", n)
		n++
	}
	fields := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: %d,20\r\nX-Prompt-Prefix: %s\r\n", n-from, parts.String())
	return head("POST", "/stream/enquiry/x", id, key, 3*time.Second, fields), n
}

// ordinaryHead returns the head of an ordinary request with a prompt of three parts.
func ordinaryHead(id string, ownPart int, key string) string {
	fields := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 715,70\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:72,%x:543\r\n", ownPart)
	return head("POST", "/stream/notes/x", id, key, 15*time.Second, fields)
}

// manyParts has clients send requests of a legal size whose prompts have very many short parts. The case plays the platform, which kills
// a process over its memory and starts it again.
func manyParts(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(6, "desk-model", "v1", 64, 5, 10*time.Millisecond); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(2, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	end := time.Now().Add(manyPartsTime)
	ends := make([]int, len(w.routers))
	errs := make([]error, len(w.routers))
	var group sync.WaitGroup
	for i, r := range w.routers {
		var many, ordinary outcomes
		if trouble {
			group.Go(func() { sendManyParts(r, i, end, &many) })
		}
		group.Go(func() { sendOrdinary(r, i, end, &ordinary) })
		group.Go(func() { ends[i], errs[i] = superviseMemory(w.record, r, end, &many, &ordinary) })
	}
	group.Wait()
	hosts := 0
	for i, r := range w.routers {
		if errs[i] != nil {
			return verdict{err: errs[i]}
		}
		w.record.add("%s: ended %d times over its memory", r.name, ends[i])
		if ends[i] >= ownEnds {
			hosts++
		}
	}
	return verdict{broken: hosts >= 2}
}

// superviseMemory kills a process that is over its memory and starts it again. It returns how often that was.
func superviseMemory(rec *record, r *router, end time.Time, many, ordinary *outcomes) (ends int, err error) {
	told := time.Now()
	for time.Now().Before(end) {
		time.Sleep(memoryInterval)
		now, peak := r.memoryMB()
		if time.Since(told) >= 2*time.Second {
			told = time.Now()
			rec.add("%s: resident memory %.0f MiB, peak %.0f of %d; many parts: %v; ordinary: %v", r.name, now, peak, smallHostMemoryMB, many, ordinary)
		}
		if r.alive() && peak <= smallHostMemoryMB {
			continue
		}
		ends++
		rec.add("%s: runs %t, peak %.1f MiB of %d: over its memory, end %d; many parts: %v; ordinary: %v", r.name, r.alive(), peak, smallHostMemoryMB, ends, many, ordinary)
		r.kill()
		if err := r.start(); err != nil {
			return ends, err
		}
	}
	return ends, nil
}

// sendOrdinary sends ordinary requests one after the other.
func sendOrdinary(r *router, router int, end time.Time, o *outcomes) {
	for n := 0; time.Now().Before(end); n++ {
		o.count(exchange(r.front, ordinaryHead(fmt.Sprintf("ordinary-%d-%d", router, n), 0xa0000000+router<<20+n, "key-2"), "POST", 15*time.Second))
		time.Sleep(ordinaryInterval)
	}
}

// sendManyParts sends requests with many parts at a steady rate.
func sendManyParts(r *router, router int, end time.Time, o *outcomes) {
	ticker := time.NewTicker(time.Second / manyPartsRate)
	defer ticker.Stop()
	var group sync.WaitGroup
	part := uint64(0x100000 + router<<23)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		var text string
		text, part = manyPartsHead(fmt.Sprintf("many-%d-%d", router, n), part, "key-1")
		group.Go(func() { o.count(exchange(r.front, text, "POST", 3*time.Second)) })
	}
	group.Wait()
}
