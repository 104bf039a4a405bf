package main

import (
	"bufio"
	"context"
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
	heartbeat   = 1200 * time.Millisecond // between two writes of a replica's entry
	revokeBound = 5 * time.Second         // revoke_ms
	slots       = 64
	seal        = "X-Replica-Seal"
)

// replica is a stand-in for a model replica or a plain server. It keeps its ID and address over restarts.
type replica struct {
	world   *world
	id      string
	service string
	host    int
	events  int           // of a stream
	gap     time.Duration // between two events, and the work of a plain request

	mu       sync.Mutex
	version  string
	born     int64
	up       bool
	listener net.Listener
	conns    map[net.Conn]bool
	running  int
}

// startReplicas starts replicas of a service.
func (w *world) startReplicas(ctx context.Context, service string, first, n int, version string, events int, gap time.Duration) ([]*replica, error) {
	var list []*replica
	for i := range n {
		r := &replica{world: w, id: fmt.Sprintf("i-%s-%02d", service, i), service: service, host: firstReplicaHost + first + i, events: events, gap: gap}
		if err := r.start(version); err != nil {
			return nil, err
		}
		go r.beat(ctx)
		list = append(list, r)
	}
	return list, nil
}

func (r *replica) address() string { return r.world.address(r.host, 8080) }

// start starts the replica's process at a software version. It registers before it serves.
func (r *replica) start(version string) error {
	r.mu.Lock()
	r.version, r.born, r.conns, r.up, r.running = version, time.Now().UnixMilli(), make(map[net.Conn]bool), true, 0
	r.mu.Unlock()
	r.world.record("replica %s starts at version %s", r.id, version)
	r.world.register(r.id, r.entry())
	listener, err := net.Listen("tcp4", r.address())
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener = listener
	r.mu.Unlock()
	go r.accept(listener)
	return nil
}

// entry returns the replica's entry in the store.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "address": r.address(), "zone": "pumphouse", "version": r.version, "slots": slots, "state": "ready",
		"cold_remaining_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "call_seq": 0, "born": r.born,
	}
}

// beat writes the entry again and again.
func (r *replica) beat(ctx context.Context) {
	for pause(ctx, heartbeat) {
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if up {
			r.world.register(r.id, r.entry())
		}
	}
}

// crash ends the process: its connections are reset.
func (r *replica) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.record("replica %s crashes with %d requests", r.id, r.running)
	r.up = false
	_ = r.listener.Close()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if !r.up {
			r.mu.Unlock()
			_ = conn.Close()
			return
		}
		r.conns[conn] = true
		version := r.version
		r.mu.Unlock()
		go r.serve(conn, version)
	}
}

func (r *replica) serve(conn net.Conn, version string) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || !r.respond(conn, request, version) {
			return
		}
	}
}

// respond answers a request, and reports whether the connection goes on.
func (r *replica) respond(conn net.Conn, request *http.Request, version string) bool {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/api/report" {
		r.mu.Lock()
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":0,"queued":0,"running":%d,"kv_used":0,"kv_total":369436,"handles":0,"born":%d}`, r.running, r.born)
		r.mu.Unlock()
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.id)
		return err == nil
	}
	n, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return false
	}
	r.mu.Lock()
	full := r.running >= slots
	if !full {
		r.running++
	}
	load := fmt.Sprintf("%d,0,%d", r.running, slots)
	r.mu.Unlock()
	if full {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Load: %s\r\nContent-Length: 0\r\n\r\n", id, load)
		return err == nil
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	r.world.countRun(id)
	r.world.record("run %s at %s version %s tenant %s after event %q body %d bytes", id, r.id, version, request.Header.Get("X-Tenant"), request.Header.Get("Last-Event-Id"), n)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s: %s.%s\r\nX-Replica-Load: %s\r\n", id, seal, r.id, id, load)
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		return r.stream(conn, request, head, version)
	}
	time.Sleep(r.gap)
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, plainBytes, strings.Repeat("x", plainBytes))
	return err == nil
}

const plainBytes = 800 // of a plain answer

// stream writes the events of a stream, each with the software version that wrote it.
func (r *replica) stream(conn net.Conn, request *http.Request, head, version string) bool {
	first := 0
	if text := request.Header.Get("Last-Event-Id"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return false
		}
		first = n
	}
	if _, err := fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return false
	}
	for n := first + 1; n <= r.events; n++ {
		time.Sleep(r.gap)
		event := fmt.Sprintf("id: %d\ndata: piece %d by %s\n\n", n, n, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
