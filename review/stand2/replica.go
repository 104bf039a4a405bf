package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

// machineHeader is a header of the test's clients with the machine that a request is sent to. Machines pass it on.
const machineHeader = "X-Review-Machine"

// replica is a model replica: it serves the protocol of PROTOCOL.md, and crashes under a prompt part or a request.
type replica struct {
	world   *world
	id      string
	address string
	version string // of its software

	eventTime time.Duration // time between two events
	events    int           // of a stream
	// crashPart is a prompt part that crashes the replica when it begins to write an answer; empty for none.
	crashPart string
	// crashTarget is the target of requests that crash it when it has begun to run them: the first token is out. Empty for none.
	crashTarget string
	// crashEarly is whether the first token is still in the replica then.
	crashEarly bool
	downTime   time.Duration // from a crash to the next start, under the same ID
	// pause is for how long the replica wants no request from a machine that it refuses; 0 if it refuses none.
	pause time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	born     int64
	running  int
	leaving  bool // whether it says in its answers that it leaves
	stopped  bool
}

// addReplica starts a replica and registers it.
func (w *world) addReplica(change func(*replica)) (*replica, error) {
	r := &replica{world: w, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+len(w.replicas)), address: loopback.Address(), version: "1.0", eventTime: 30 * time.Millisecond, events: 12, downTime: 2 * time.Second, conns: make(map[net.Conn]bool)}
	if change != nil {
		change(r)
	}
	w.replicas = append(w.replicas, r)
	return r, r.listen()
}

// listen starts the replica's process.
func (r *replica) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.listener = listener
	r.born = max(time.Now().UnixMilli(), r.born+1)
	r.running = 0
	go r.accept(listener)
	return r.register(nil)
}

// register writes the replica's entry, without some fields if another writer does. The caller must hold r.mu.
func (r *replica) register(without []string) error {
	entry := map[string]any{
		"service": service, "address": r.address, "zone": "pumphouse", "version": r.version, "slots": 64, "state": "ready", "cold_remaining_ms": 0, "call_seq": 0, "born": r.born,
	}
	for _, field := range without {
		delete(entry, field)
	}
	row, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	r.world.store.Put("servers", r.id, row)
	r.world.logf("entry of replica %s: %s", r.id, row)
	return nil
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		current := r.listener == listener
		if current {
			r.conns[conn] = true
		}
		r.mu.Unlock()
		if !current {
			closeQuietly(conn)
			continue
		}
		go r.serve(conn)
	}
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		closeQuietly(conn)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !r.respond(conn, request) {
			return
		}
	}
}

// stop ends the replica for good.
func (r *replica) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.end()
}

// end ends the replica's process. The caller must hold r.mu.
func (r *replica) end() {
	if r.listener != nil {
		closeQuietly(r.listener)
		r.listener = nil
	}
	for conn := range r.conns {
		closeQuietly(conn)
	}
}

// crash ends the replica's process, which is back after downTime.
func (r *replica) crash(cause string) {
	r.mu.Lock()
	if r.listener == nil {
		r.mu.Unlock()
		return
	}
	r.end()
	r.mu.Unlock()
	r.world.logf("replica %s crashes under %s", r.id, cause)
	time.AfterFunc(r.downTime, func() {
		if err := r.listen(); err != nil {
			r.world.logf("replica %s is not back: %v", r.id, err)
		}
	})
}

// hasCrashPart reports whether a prompt has the part that crashes the replica, not as its last one.
func (r *replica) hasCrashPart(parts string) bool {
	entries := strings.Split(parts, ",")
	return r.crashPart != "" && slices.ContainsFunc(entries[:len(entries)-1], func(entry string) bool { return strings.HasPrefix(entry, r.crashPart+":") })
}

// tell answers a question of the replica itself and reports whether it was one.
func (r *replica) tell(conn net.Conn, path, load string, running int, born int64) bool {
	switch path {
	case "/api/report":
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":0,"queued":0,"running":%d,"kv_used":0,"kv_total":369436,"handles":0,"born":%d}`, running, born)
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	case "/health":
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Replica-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.id, load)
	default:
		return false
	}
	return true
}

// respond answers a request. It returns false if the connection has to be closed.
func (r *replica) respond(conn net.Conn, request *http.Request) bool {
	r.mu.Lock()
	born, running, leaving := r.born, r.running, r.leaving
	r.mu.Unlock()
	load := fmt.Sprintf("X-Replica-Load: %d,0,64\r\n", running)
	if leaving {
		load += "Server-Leaving: 1\r\n"
	}
	if r.tell(conn, request.URL.Path, load, running, born) {
		return true
	}
	id, h := request.Header.Get("X-Attempt-Id"), request.Header
	if expected := h.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	a := arrival{at: time.Now(), id: id, replica: r.id, machine: h.Get(machineHeader), target: request.RequestURI, parts: h.Get("X-Prompt-Prefix"), after: h.Get("Last-Event-Id")}
	r.world.arrived(a)
	if r.pause > 0 {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %.0f\r\nContent-Length: 0\r\n\r\n", id, r.pause.Seconds())
		return true
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.running--
	}()
	after := 0
	if text := h.Get("Last-Event-Id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return false
		}
		after = n
	}
	time.Sleep(r.eventTime) // the prompt is read
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s-%s\r\n%sX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id, load)
	if r.crashEarly && request.RequestURI == r.crashTarget {
		r.crash("request " + id)
		return false
	}
	if r.hasCrashPart(a.parts) {
		r.crash("a part of " + id)
		return false
	}
	for n := after + 1; n <= r.events; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of the answer\n\n", n, n)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(r.eventTime)
		if r.crashTarget != "" && request.RequestURI == r.crashTarget {
			r.crash("request " + id)
			return false
		}
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// arrived records the arrival of a request at a replica.
func (w *world) arrived(a arrival) {
	if w.quiet {
		return
	}
	w.logf("replica %s gets %s from machine %s: %s parts %s after %q", a.replica, a.id, a.machine, a.target, a.parts, a.after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = append(w.arrivals, a)
}

// arrivalsOf returns the arrivals for which match holds.
func (w *world) arrivalsOf(match func(arrival) bool) []arrival {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []arrival
	for _, a := range w.arrivals {
		if match(a) {
			list = append(list, a)
		}
	}
	return list
}
