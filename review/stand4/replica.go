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

// run is a request that a replica has begun to run.
type run struct {
	at       time.Time
	id       string
	target   string
	replica  string
	version  string
	account  string
	lastSeen string // Last-Event-Id of the request
}

// runLog is the runs at all replicas.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

// replica is a sound replica: it checks X-Expect-Replica, echoes X-Attempt-Id, seals its answers, and writes streams of numbered events.
type replica struct {
	id, address, service string
	slots                int
	events               int           // of a stream
	pause                time.Duration // before each event and before a plain answer
	log                  *runLog
	crashPart            string // part of a prompt, but the last one, that crashes the replica as it begins to write; empty for none
	crashed              func() // called after such a crash

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	version  string
	born     int64
}

// start makes the replica accept connections as a new process.
func (r *replica) start(version string) error {
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.conns, r.version, r.born = listener, make(map[net.Conn]bool), version, time.Now().UnixMilli()
	r.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			gone := r.listener != listener
			if !gone {
				r.conns[conn] = true
			}
			r.mu.Unlock()
			if gone {
				_ = conn.Close()
				return
			}
			go r.serve(conn)
		}
	}()
	return nil
}

// crash ends the process: it resets the connections and refuses new ones. It reports whether the process ran.
func (r *replica) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return false
	}
	_ = r.listener.Close()
	r.listener = nil
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	return true
}

// hasSharedPart reports whether a prompt has a part before its last one.
func hasSharedPart(prompt, part string) bool {
	entries := strings.Split(prompt, ",")
	for _, entry := range entries[:len(entries)-1] {
		if id, _, _ := strings.Cut(entry, ":"); id == part {
			return true
		}
	}
	return false
}

// entry is the replica's row in the registry.
func (r *replica) entry() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "address": r.address, "zone": "pumphouse", "version": r.version, "slots": r.slots, "state": "ready", "cold_remaining_ms": 0, "call_seq": 0, "born": r.born,
	}
}

func (r *replica) process() (version string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.born
}

func (r *replica) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
	}()
	version, born := r.process()
	reader := bufio.NewReaderSize(conn, 64<<10)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !r.answer(conn, request, version, born) {
			return
		}
	}
}

// answer answers one request and reports whether the connection goes on.
func (r *replica) answer(conn net.Conn, request *http.Request, version string, born int64) bool {
	id := request.Header.Get("X-Attempt-Id")
	if request.URL.Path == "/api/report" {
		body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"call_seq":0,"queued":0,"running":0,"kv_used":0,"kv_total":369436,"handles":0,"born":%d}`, born)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	}
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	r.log.add(run{at: time.Now(), id: id, target: request.RequestURI, replica: r.id, version: version, account: request.Header.Get("X-Tenant"), lastSeen: request.Header.Get("Last-Event-Id")})
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		return r.stream(conn, request, version)
	}
	time.Sleep(r.pause)
	body := "done " + id
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\nContent-Length: %d\r\n\r\n%s", id, r.id, id, len(body), body)
	return err == nil
}

// stream writes the events after Last-Event-Id.
func (r *replica) stream(conn net.Conn, request *http.Request, version string) bool {
	id := request.Header.Get("X-Attempt-Id")
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	time.Sleep(r.pause)
	if r.crashPart != "" && hasSharedPart(request.Header.Get("X-Prompt-Prefix"), r.crashPart) {
		if r.crash() {
			r.crashed()
		}
		return false
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: %s.%s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, r.id, id); err != nil {
		return false
	}
	for n := after + 1; n <= r.events; n++ {
		if n > after+1 {
			time.Sleep(r.pause)
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, version)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := fmt.Fprint(conn, "0\r\n\r\n")
	return err == nil
}
