// Package replica is a stand-in for one of the users' replicas, at the level of
// bytes, so that it can break off, lie, and answer what nobody asked.
package replica

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

// Fault is what a replica does wrong with the next requests.
type Fault string

// The faults.
const (
	None       Fault = ""
	NotRun     Fault = "not-run"     // refuses, and says so
	Reset      Fault = "reset"       // runs the request and resets the connection
	Error      Fault = "error"       // runs it and answers 500
	CutStream  Fault = "cut-stream"  // breaks off a stream in the middle of an event
	Extra      Fault = "extra"       // sends a second answer after the first
	Foreign    Fault = "foreign"     // sends an answer of another request first
	Unframed   Fault = "unframed"    // gives no length and closes
	Unsigned   Fault = "unsigned"    // leaves out its signature
	Hang       Fault = "hang"        // says nothing
	WrongReply Fault = "wrong-reply" // sends bytes that are no answer
)

// streamEvents is the number of events of a stream.
const streamEvents = 5

// Seen is a request that a replica has run.
type Seen struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
}

// Replica is a running stand-in.
type Replica struct {
	ID       string
	listener net.Listener

	mu         sync.Mutex
	fault      Fault
	delay      time.Duration
	executions []Seen
	accepted   int
}

// Start runs a replica on loopback until Stop.
func Start(id string) (*Replica, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("step=listen: %w", err)
	}
	r := &Replica{ID: id, listener: listener, delay: time.Millisecond}
	go r.acceptLoop()
	return r, nil
}

// Stop ends the listener.
func (r *Replica) Stop() { closeQuietly(r.listener) }

// closeQuietly closes what a caller may have closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// Address returns IP:PORT.
func (r *Replica) Address() string { return r.listener.Addr().String() }

// SetFault sets what the replica does wrong from now on.
func (r *Replica) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetPace sets the time between events, and before a plain answer.
func (r *Replica) SetPace(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// Ran returns the requests that were run so far.
func (r *Replica) Ran() []Seen {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Seen(nil), r.executions...)
}

// AcceptedConns returns the number of connections accepted.
func (r *Replica) AcceptedConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *Replica) acceptLoop() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.accepted++
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *Replica) serveConn(conn net.Conn) {
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil || !r.respond(conn, request, string(body)) {
			return
		}
	}
}

// respond reports whether the connection is kept.
func (r *Replica) respond(conn net.Conn, request *http.Request, body string) bool {
	r.mu.Lock()
	fault, delay := r.fault, r.delay
	r.mu.Unlock()
	id := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.ID)
		return true
	}
	if fault == NotRun {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return true
	}
	r.mu.Lock()
	r.executions = append(r.executions, Seen{ID: id, Method: request.Method, Target: request.RequestURI, Body: body, Header: request.Header})
	r.mu.Unlock()
	switch fault {
	case Reset:
		if tcp, ok := conn.(*net.TCPConn); ok {
			// Without lingering, closing sends a reset.
			_ = tcp.SetLinger(0)
		}
		return false
	case Hang:
		// Ends when the caller closes.
		_, _ = io.Copy(io.Discard, conn)
		return false
	case WrongReply:
		fmt.Fprint(conn, "\x00\x01\x02 no answer\r\n\r\n")
		return false
	case Foreign:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: x\r\nContent-Length: 5\r\n\r\nother")
	}
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		return r.writeStream(conn, request, fault, delay)
	}
	time.Sleep(delay)
	return r.writePlain(conn, id, fault)
}

func (r *Replica) writePlain(conn net.Conn, id string, fault Fault) bool {
	status, seal := "200 OK", "X-Replica-Seal: seal-"+r.ID+"\r\n"
	switch fault {
	case Error:
		status = "500 Internal Server Error"
	case Unsigned:
		seal = ""
	case Unframed:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\nwhole %s", id, seal, id)
		return false
	}
	body := "whole " + id
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, seal, len(body), body)
	if fault == Extra {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Length: 5\r\n\r\nagain", id, seal)
	}
	return true
}

// writeStream sends events with increasing identifiers after the one that was asked for.
func (r *Replica) writeStream(conn net.Conn, request *http.Request, fault Fault, delay time.Duration) bool {
	from := 0
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		from = n
	}
	id := request.Header.Get("X-Attempt-Id")
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\nContent-Type: text/event-stream\r\n"+
		"Transfer-Encoding: chunked\r\n\r\n", id, r.ID)
	for n := from + 1; n <= streamEvents; n++ {
		time.Sleep(delay)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", n, n, id)
		if fault == CutStream && n == 3 {
			fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			return false
		}
		fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	return true
}
