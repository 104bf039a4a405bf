package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// brokenStreams is the number of streams at the router that is killed, longEvents the events of each, and longPause the time before each.
	brokenStreams, longEvents, longPause = 30, 120, 100 * time.Millisecond
	// streamLimit is the time limit of their callers.
	streamLimit = 15 * time.Second
	// outageTime is how long the store is down, and killAfter the time from its begin to the kill.
	outageTime, killAfter = 4500 * time.Millisecond, 3500 * time.Millisecond
	// minTakenUp is the number of streams that have to be taken up for the rule to apply.
	minTakenUp = 12
)

// part is what a client has got of a stream.
type part struct {
	status     int
	retryAfter time.Duration
	last       int  // number of the last event
	whole      bool // whether the stream came to its end
}

// readStream sends a request for a stream and reads it as far as it comes.
func readStream(address, request string, limit time.Duration) part {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return part{}
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return part{}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return part{}
	}
	defer closeQuietly(response.Body)
	p := part{status: response.StatusCode}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		p.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			p.last, _ = strconv.Atoi(text)
		}
	}
	p.whole = lines.Err() == nil && p.last == longEvents
	return p
}

// tally counts the tries at routers in touch.
type tally struct {
	mu                            sync.Mutex
	takenUp, goesOn, sent, begins int
}

// outageAndKill kills a router while the store is down, and has the clients of its streams take them up at the others.
func outageAndKill(w *world, trouble bool) verdict {
	w.putConfig(1, map[string][]string{"first": {"key-1"}, "second": {"key-2"}})
	if err := w.addReplicas(4, "desk-model", "v1", 64, longEvents, longPause); err != nil {
		return verdict{err: err}
	}
	if err := w.addRouters(3, hostLimits{smallHostMemoryMB, smallHostFDs}); err != nil {
		return verdict{err: err}
	}
	time.Sleep(6 * time.Second) // a calm start
	var t tally
	var group sync.WaitGroup
	// Routers are in touch from contact_ms after the store's return.
	inTouch := time.Now()
	if trouble {
		inTouch = inTouch.Add(time.Second + outageTime + contactTime)
	}
	for n := range brokenStreams {
		group.Go(func() { w.followStream(n, inTouch, &t) })
	}
	time.Sleep(time.Second)
	if trouble {
		w.store.SetDown(true)
		w.record.add("store: down")
	}
	time.Sleep(killAfter)
	w.routers[0].kill()
	w.record.add("%s: killed", w.routers[0].name)
	time.Sleep(outageTime - killAfter)
	w.store.SetDown(false)
	w.record.add("store: back")
	time.Sleep(max(contactTime, time.Until(inTouch)))
	w.record.add("the other routers are in touch")
	for n := range brokenStreams {
		group.Go(func() { w.beginStream(n, &t) })
		time.Sleep(30 * time.Millisecond)
	}
	group.Wait()
	w.record.add("at routers in touch: %d of %d streams that were taken up went on, %d of %d new ones began", t.goesOn, t.takenUp, t.begins, t.sent)
	if t.takenUp < minTakenUp || t.sent == 0 {
		return verdict{err: fmt.Errorf("only %d streams were taken up at routers in touch", t.takenUp)}
	}
	return verdict{broken: float64(t.goesOn)/float64(t.takenUp) < 0.5*float64(t.begins)/float64(t.sent)}
}

// streamHead returns the head of a request for a stream.
func streamHead(id string, own int, limit time.Duration, fields string) string {
	prompt := fmt.Sprintf("X-Model: m\r\nX-Token-Usage: 715,480\r\nX-Prompt-Prefix: 5c1e07a2:100,91bd3f06:72,%x:543\r\n", own)
	return head("POST", "/stream/notes/x", id, "key-1", limit, prompt+fields)
}

// followStream begins a stream at the first router and, when it breaks off, takes it up at the others, as often as its time limit and Retry-After allow.
func (w *world) followStream(n int, inTouch time.Time, t *tally) {
	first, end := fmt.Sprintf("stream-%d", n), time.Now().Add(streamLimit)
	p := readStream(w.routers[0].front, streamHead(first, 0xc0000000+n, streamLimit, ""), streamLimit)
	w.record.add("answered: %s status %d, up to event %d, whole %t", first, p.status, p.last, p.whole)
	last := p.last
	for k := 1; !p.whole && last > 0 && time.Until(end) > 500*time.Millisecond; k++ {
		id, r, sentAt := fmt.Sprintf("%s-%d", first, k), w.routers[1+(n+k)%2], time.Now()
		p = readStream(r.front, streamHead(id, 0xc0000000+n, time.Until(end), fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first)), time.Until(end))
		goesOn := p.status == http.StatusOK && p.last > last
		w.record.add("taken up: %s after event %d at %s: status %d, up to event %d", id, last, r.name, p.status, p.last)
		if sentAt.After(inTouch) {
			t.mu.Lock()
			t.takenUp++
			if goesOn {
				t.goesOn++
			}
			t.mu.Unlock()
			return
		}
		if goesOn {
			return
		}
		time.Sleep(max(p.retryAfter, time.Second))
	}
}

// beginStream begins a new stream at one of the other routers.
func (w *world) beginStream(n int, t *tally) {
	id := fmt.Sprintf("new-%d", n)
	p := readStream(w.routers[1+n%2].front, streamHead(id, 0xd0000000+n, streamLimit, ""), 3*time.Second)
	w.record.add("new: %s status %d, up to event %d", id, p.status, p.last)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if p.last > 0 {
		t.begins++
	}
}
