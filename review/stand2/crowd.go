package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	publicPath = "/open/"
	// crowdSize is the number of slow clients. Each has one channel at a time, on which it sends a body of legal size, a byte each trickleInterval.
	crowdSize       = 1200
	trickleInterval = 400 * time.Millisecond
	crowdBody       = 4096
	crowdTime       = 25 * time.Second
	// heldTime is how long a channel has to stay open to count as taken.
	heldTime = 300 * time.Millisecond
	// ordinaryClients each send a request each half second, on a new channel.
	ordinaryClients = 10
	leastTrying     = 7
	// grownContactTime is contact_ms of the grown sites, whose page has the rule.
	grownContactTime = 4 * time.Second
)

// channelTry is a new channel that a client opened. taken is whether the machine answered on it or kept it for heldTime.
type channelTry struct {
	client string
	at     time.Time
	taken  bool
}

// tries are the new channels that all clients opened.
type tries struct {
	mu   sync.Mutex
	list []channelTry
}

func (t *tries) add(client string, at time.Time, taken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.list = append(t.list, channelTry{client, at, taken})
}

// playSlowCrowd plays a crowd that sends very slowly to a public route of one machine, beside ordinary clients with a key. The rule is RECOVER: a machine in
// touch that says it is ready takes no new channel for contact_ms, while seven clients or more try.
func playSlowCrowd(w *world, trouble bool) (bool, error) {
	open := route("open", publicPath, "idempotent", 5000, 2, false)
	open["public"] = true
	w.configure([]string{tenantKey}, route("draft", streamPath, "streaming", streamTimeout, 1, false), open)
	for range 4 {
		if _, err := w.addReplica(nil); err != nil {
			return false, err
		}
	}
	m := w.addMachine("pumphouse")
	if err := w.startAll(); err != nil {
		return false, err
	}
	var all tries
	var served, sent, servedBefore, sentBefore, crowdOn atomic.Int64
	end := make(chan struct{})
	var group sync.WaitGroup
	for n := range ordinaryClients {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-time.After(500 * time.Millisecond):
				}
				name := fmt.Sprintf("ordinary-%d", n)
				on := crowdOn.Load() > 0
				answer := w.send(m, clientRequest{id: fmt.Sprintf("%s-%d", name, i), path: streamPath + "o", key: tenantKey, body: "o", parts: fmt.Sprintf("5171:800,a%x:100,b%x:100", n, n), timeout: 5 * time.Second})
				all.add(name, answer.sentAt, answer.status != 0)
				count, good := &sentBefore, &servedBefore
				if on {
					count, good = &sent, &served
				}
				count.Add(1)
				if answer.status == 200 && answer.complete {
					good.Add(1)
				}
			}
		})
	}
	time.Sleep(5 * time.Second)
	crowdOn.Store(1)
	var from time.Time
	if trouble {
		w.logf("a crowd of %d slow clients comes", crowdSize)
		for n := range crowdSize {
			group.Go(func() { slowClient(m, fmt.Sprintf("slow-%d", n), &all, end) })
		}
	}
	from = time.Now()
	until := from.Add(crowdTime)
	unready := 0
	for time.Now().Before(until) {
		if !m.ready() {
			unready++
			w.logf("%s does not say that it is ready", m.name)
		}
		time.Sleep(time.Second)
	}
	close(end)
	group.Wait()
	gap, trying := all.longestGap(from, until)
	w.keepLogs("started", "memory protection")
	all.record(w, from, until)
	w.logf("ordinary requests served: %d of %d before, %d of %d beside the crowd", servedBefore.Load(), sentBefore.Load(), served.Load(), sent.Load())
	w.logf("longest time without a new channel taken: %s, in which %d clients tried; not ready %d times", gap.Round(time.Millisecond), trying, unready)
	if servedBefore.Load() == 0 {
		return false, fmt.Errorf("no ordinary request is served before the crowd")
	}
	return gap > grownContactTime && trying >= leastTrying && unready == 0, nil
}

// slowClient opens a channel, sends a request slowly, and opens the next one when the channel ends.
func slowClient(m *machine, name string, all *tries, end <-chan struct{}) {
	for i := 0; ; i++ {
		at := time.Now()
		taken := sendSlowly(m, fmt.Sprintf("%s-%d", name, i), end)
		all.add(name, at, taken)
		select {
		case <-end:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}

// sendSlowly sends a request a byte at a time until the channel ends. It reports whether the machine took the channel.
func sendSlowly(m *machine, id string, end <-chan struct{}) bool {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", m.address(frontPort), time.Second)
	if err != nil {
		return false
	}
	defer closeQuietly(conn)
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nContent-Length: %d\r\n\r\n", publicPath, hostName, id, crowdBody)
	if _, err := conn.Write([]byte(head)); err != nil {
		return false
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		var b [512]byte
		// An answer or the end of the channel ends the request.
		_, _ = conn.Read(b[:])
	}()
	for range crowdBody - 1 {
		select {
		case <-end:
			return time.Since(began) > heldTime
		case <-ended:
			return time.Since(began) > heldTime
		case <-time.After(trickleInterval):
		}
		if _, err := conn.Write([]byte("b")); err != nil {
			return time.Since(began) > heldTime
		}
	}
	return true
}

// record writes for each second of a period how many new channels there were and how many of them were taken.
func (t *tries) record(w *world, from, to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for at := from; at.Before(to); at = at.Add(time.Second) {
		opened, taken := 0, 0
		for _, c := range t.list {
			if c.at.Before(at) || !c.at.Before(at.Add(time.Second)) {
				continue
			}
			opened++
			if c.taken {
				taken++
			}
		}
		w.logf("second %.0f of the crowd: %d new channels of all clients, %d taken", at.Sub(from).Seconds(), opened, taken)
	}
}

// longestGap returns the longest time in a period in which no new channel was taken, and the number of clients that tried in it.
func (t *tries) longestGap(from, to time.Time) (longest time.Duration, trying int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begin := from
	var ends []time.Time
	for _, c := range t.list {
		if c.taken && c.at.After(from) && c.at.Before(to) {
			ends = append(ends, c.at)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	var gapFrom, gapTo time.Time
	for _, at := range append(ends, to) {
		if at.Sub(begin) > longest {
			longest, gapFrom, gapTo = at.Sub(begin), begin, at
		}
		begin = at
	}
	clients := make(map[string]bool)
	for _, c := range t.list {
		if c.at.After(gapFrom) && c.at.Before(gapTo) {
			clients[c.client] = true
		}
	}
	return longest, len(clients)
}
