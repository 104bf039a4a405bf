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

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

// run is a request that a replica began to work on.
type run struct {
	at      time.Time
	id      string
	replica string
	version string // of the replica's software
	tenant  string
	after   string // Last-Event-Id
}

// replica is a model replica. Each event of its streams names the version of its software.
type replica struct {
	world   *world
	service string
	id      string
	address string

	events   int           // of a stream
	interval time.Duration // between two events

	mu       sync.Mutex
	cold     time.Duration // cold_remaining_ms of its entry
	version  string
	born     int64
	listener net.Listener // nil while the process is down
	conns    map[net.Conn]bool
	runs     []run
}

// newReplica starts a replica and registers it.
func (w *world) newReplica(id, version string, events int, interval time.Duration) (*replica, error) {
	return w.newReplicaOf(serviceName, id, version, events, interval, 0)
}

// newReplicaOf is newReplica for a service, with the time for which the replica is slow after its start.
func (w *world) newReplicaOf(service, id, version string, events int, interval, cold time.Duration) (*replica, error) {
	r := &replica{world: w, service: service, id: id, address: loopback.Address(), events: events, interval: interval, cold: cold}
	w.replicas = append(w.replicas, r)
	if err := r.start(version); err != nil {
		return nil, err
	}
	r.register()
	return r, nil
}

// start starts the process at its address.
func (r *replica) start(version string) error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listener, r.version, r.born, r.conns = listener, version, time.Now().UnixMilli(), make(map[net.Conn]bool)
	r.world.note("%s: process listens, software %s, born %d", r.id, version, r.born)
	go r.accept(listener)
	return nil
}

// register writes the entry of the replica to the store.
func (r *replica) register() {
	r.mu.Lock()
	entry := map[string]any{"service": r.service, "address": r.address, "zone": "pumphouse", "version": r.version, "slots": 64, "state": "ready",
		"cold_remaining_ms": r.cold.Milliseconds(), "call_seq": 0, "born": r.born}
	r.mu.Unlock()
	r.world.store.Put("servers", r.id, encode(entry))
	r.world.note("%s: entry acknowledged by the store", r.id)
}

// heartbeat writes the entry each heartbeat_ms until the replica is not slow any more. After that only call_seq would change.
func (r *replica) heartbeat(interval time.Duration) {
	for {
		time.Sleep(interval)
		r.mu.Lock()
		r.cold = max(r.cold-interval, 0)
		cold := r.cold
		r.mu.Unlock()
		r.register()
		if cold == 0 {
			return
		}
	}
}

// crash ends the process: the kernel closes its sockets.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.world.note("%s: process crashed, %d connections", r.id, len(r.conns))
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
			_ = conn.Close()
			continue
		}
		go r.serve(conn)
	}
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
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
		if _, err := io.Copy(io.Discard, request.Body); err != nil || !r.answer(conn, request) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (r *replica) answer(conn net.Conn, request *http.Request) bool {
	id := request.Header.Get("X-Attempt-Id")
	r.mu.Lock()
	version, born := r.version, r.born
	r.mu.Unlock()
	switch {
	case request.URL.Path == "/api/report":
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":369436,"handles":0,"born":%d}`, born)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	case request.Header.Get("X-Expect-Replica") != "" && request.Header.Get("X-Expect-Replica") != r.id:
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	r.mu.Lock()
	r.runs = append(r.runs, run{at: time.Now(), id: id, replica: r.id, version: version, tenant: request.Header.Get("X-Tenant"), after: request.Header.Get("Last-Event-Id")})
	r.mu.Unlock()
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		return r.stream(conn, request, version)
	}
	body := "answer to " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nX-Replica-Load: 1,0,64\r\nContent-Length: %d\r\n\r\n%s", id, r.id, len(body), body)
	return err == nil
}

// stream writes the events after Last-Event-Id.
func (r *replica) stream(conn net.Conn, request *http.Request, version string) bool {
	id, after := request.Header.Get("X-Attempt-Id"), 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return false
		}
		after = n
	}
	time.Sleep(r.interval)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nX-Replica-Load: 1,0,64\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id); err != nil {
		return false
	}
	for n := after + 1; n <= r.events; n++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d by %s\n\n", n, n, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(r.interval)
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}

// allRuns returns the runs so far.
func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
