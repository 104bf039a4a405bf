// Package replica is a stand-in for a replica of a plain HTTP service, for tests and
// the development deployment of the gateway. It serves the HTTP API that the gateway
// calls (X-Attempt-Id, X-Expect-Replica, X-Replica-Seal, Server-Limit). Package service stands in for instances that
// agents call. A replica writes HTTP/1.1 responses as raw bytes so that it can
// truncate, forge and duplicate them. It records the requests that it executed.
package replica

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

// Fault is a fault that a replica injects into its responses until it is changed.
type Fault string

// Faults of a replica.
const (
	NoFault           Fault = ""
	NotRun            Fault = "not-run"         // responds 503 with a header that says that the request was not executed
	Reset             Fault = "reset"           // executes the request and resets the connection
	Error             Fault = "error"           // executes the request and responds 500 to a plain one; streams are unaffected
	TruncatedStream   Fault = "cut-stream"      // closes the connection in the middle of the third event that it writes
	ExtraResponse     Fault = "extra"           // sends an unsolicited second response after a plain one
	ForeignResponse   Fault = "foreign"         // first sends a response to another request
	MissingLength     Fault = "unframed"        // sends a plain response without Content-Length and closes the connection
	MissingSignature  Fault = "unsigned"        // omits the replica's signature, the X-Replica-Seal header, of a plain response
	Hang              Fault = "hang"            // executes the request and never responds
	EndlessHead       Fault = "endless-head"    // sends header lines until the client closes the connection
	StalledHead       Fault = "stalled-head"    // sends a head of 60 KB in lines of a few bytes and stops before its end
	EndlessBody       Fault = "endless-body"    // sends a plain body until the client closes the connection
	SlowBody          Fault = "slow-body"       // as EndlessBody, 8 KiB each 10 ms
	EndlessRefusal    Fault = "endless-not-run" // NotRun, with a body as of EndlessBody
	EndlessInterim    Fault = "endless-interim" // sends interim responses until the client closes the connection
	EndlessTrailer    Fault = "endless-trailer" // as EndlessHead, in the trailer of a plain response in chunks
	EndlessExtension  Fault = "endless-chunk"   // sends an extension of a chunk of a plain response until the client closes the connection
	EndlessForeign    Fault = "endless-foreign" // sends responses to another request until the client closes the connection
	UnframedStream    Fault = "unframed-stream" // ends a stream by closing the connection, without length or chunks
	EmptyStream       Fault = "empty-stream"    // as UnframedStream, before the first event
	UnframedCut       Fault = "unframed-cut"    // as UnframedStream, in the middle of the third event that it writes
	UnframedCrash     Fault = "unframed-crash"  // as MissingLength or UnframedStream; crashes after three bytes of the body or two events
	EmptyCrash        Fault = "empty-crash"     // as UnframedCrash, after the head
	UnframedReset     Fault = "unframed-reset"  // as UnframedCrash; resets the connection instead
	RepeatedRefusal   Fault = "refusal-again"   // writes the last refusal on the connection again while it executes a request
	InvalidStatus     Fault = "invalid-status"  // sends a plain answer with a status that HTTP doesn't have
	MalformedResponse Fault = "wrong-reply"     // sends bytes that are not an HTTP response and closes the connection
)

// FirstBorn is the start of a replica's process, in Unix milliseconds, until Restart.
const FirstBorn = 1

// Leaving is the kind of answers in which a replica says that it leaves.
type Leaving uint8

// The kinds of answers.
const (
	LeavingNowhere    Leaving = iota
	LeavingEverywhere         // in all answers
	LeavingInRefusals         // in those of the fault NotRun
	LeavingInStreams          // in the heads of streams
)

// streamEvents is the number of events in a stream.
const streamEvents = 5

// Execution is a request that a replica executed. ID is the X-Attempt-Id header, Target
// the request target as received.
type Execution struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
}

// Replica is a running stand-in. It is safe for concurrent use.
type Replica struct {
	ID      string // a request whose X-Expect-Replica header names another ID gets 421
	address string // IP:PORT

	mu         sync.Mutex
	listener   net.Listener // nil while the process is gone and after Stop
	stopped    bool
	fault      Fault
	delay      time.Duration
	heldHeads  chan struct{} // closed when heads of streams are written again; nil while they are
	executions []Execution
	inProgress int // requests that are executed and not answered to the end
	accepted   int
	born       int64 // Unix time of the process's start in milliseconds
	conns      map[net.Conn]bool
	refusals   map[net.Conn]string // last one written on each connection
	leaving    Leaving
	pause      float64 // seconds named in the Retry-After header of refusals; 0 for none
	version    string  // named in the data of each stream event; empty for none
	limit      float64 // requests per second named in the Server-Limit header; 0 for none
	arrivals   []Arrival
	extra      string // header lines added to each response
	takeUp     string // raw response to requests that go on with a stream; empty for the usual one
	padding    int    // bytes added to the body of each plain response
	crashPart  string // identifier of the prompt part that crashes the process; empty for none
	// crashMoment is when crashPart crashes the process.
	crashMoment CrashMoment
	// crashTarget is the request target that crashes the process; empty for none.
	crashTarget string
	crashStream string      // as crashTarget, after the first event of a stream
	crashed     func()      // called after each crash
	crashes     []time.Time // by requests
	outage      Outage
	gone        bool // whether the process is gone and connections are accepted nevertheless
}

// Start starts a replica on a loopback address of its own, at which it can start again after a crash. It runs until Stop.
func Start(id string) (*Replica, error) {
	r := &Replica{ID: id, address: loopback.Address(), delay: time.Millisecond, born: FirstBorn, outage: Outage{Time: crashDowntime}, conns: make(map[net.Conn]bool), refusals: make(map[net.Conn]string)}
	if err := r.listen(); err != nil {
		return nil, err
	}
	return r, nil
}

// listen accepts connections from now on, unless the replica was stopped.
func (r *Replica) listen() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopped {
		return nil
	}
	listener, err := net.Listen("tcp4", r.address)
	if err != nil {
		return fmt.Errorf("step=listen: %w", err)
	}
	r.listener = listener
	go r.acceptLoop(listener)
	return nil
}

// stopListening makes the kernel refuse connections. The caller must hold r.mu.
func (r *Replica) stopListening() {
	if r.listener != nil {
		closeQuietly(r.listener)
		r.listener = nil
	}
}

// Stop closes the listener. Open connections stay open.
func (r *Replica) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.stopListening()
}

// closeQuietly closes c and ignores the error, as c may be closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// resetOnClose makes the close of a connection send a TCP reset.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// Address returns the listener's IP:PORT.
func (r *Replica) Address() string { return r.address }

// SetFault replaces the injected fault.
func (r *Replica) SetFault(f Fault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fault = f
}

// SetResponseDelay sets the delay before each event of a stream and before a plain response.
func (r *Replica) SetResponseDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = d
}

// HoldHeads makes streams wait before their heads until the returned function is called.
func (r *Replica) HoldHeads() (release func()) {
	held := make(chan struct{})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heldHeads = held
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.heldHeads = nil
		close(held)
	}
}

// awaitHead waits until heads of streams are written.
func (r *Replica) awaitHead() {
	r.mu.Lock()
	held := r.heldHeads
	r.mu.Unlock()
	if held != nil {
		<-held
	}
}

// ResetConns ends the open connections, as a network does that resets them; the process goes on.
func (r *Replica) ResetConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		closeQuietly(conn)
	}
}

// SetLimit sets the limit, in requests per second, that responses name in the Server-Limit
// header. 0 ends it. The replica does not enforce it.
func (r *Replica) SetLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = perSecond
}

// Serves reports whether the replica takes any number of requests and answers them, streams with some
// of their events at least: it has no other fault, names no limit and does not leave.
func (r *Replica) Serves() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return (r.fault == NoFault || r.fault == TruncatedStream) && r.leaving == LeavingNowhere && r.limit == 0
}

// SetPause sets for how many seconds the replica asks, with each refusal of the fault NotRun, to get
// no request from that caller; 0 for none.
func (r *Replica) SetPause(seconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pause = seconds
}

// SetLeaving sets the answers in which the replica says that it leaves. It goes on serving.
func (r *Replica) SetLeaving(leaving Leaving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = leaving
}

// SetVersion sets the version of the replica's software, which it writes into the data of each
// event of a stream. The replica does not check at which version a stream began.
func (r *Replica) SetVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
}

// Restart plays a crash of the replica and another start under its ID and address: it closes the
// open connections. The new process tells the time of its start, in Unix milliseconds.
func (r *Replica) Restart(version string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version, r.born, r.leaving = version, born, LeavingNowhere
	for conn := range r.conns {
		closeQuietly(conn)
	}
}

// AddHeader adds a header line to each response from now on, in place of one that was added before; an empty name
// ends that.
func (r *Replica) AddHeader(name, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extra = ""
	if name != "" {
		r.extra = name + ": " + value + "\r\n"
	}
}

// SetPadding sets the number of bytes that are added to the body of each plain response.
func (r *Replica) SetPadding(bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.padding = bytes
}

// SetTakeUpResponse sets the raw response, with ID in place of the request's identifier, to requests that go on with a stream. The
// connection is closed after it. Empty for the usual response.
func (r *Replica) SetTakeUpResponse(raw string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeUp = raw
}

// SetTakeUpStatus makes the replica answer requests that go on with a stream by a signed response of a status without a body, such as
// "404 Not Found".
func (r *Replica) SetTakeUpStatus(status string) {
	r.SetTakeUpResponse("HTTP/1.1 " + status + "\r\nX-Attempt-Id: ID\r\nX-Replica-Seal: s\r\nContent-Length: 0\r\n\r\n")
}

// takeUpResponse returns the raw response to a request that goes on with a stream, or "" for the usual one.
func (r *Replica) takeUpResponse(request *http.Request) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.Header.Get("Last-Event-Id") == "" {
		return ""
	}
	return strings.ReplaceAll(r.takeUp, "ID", request.Header.Get("X-Attempt-Id"))
}

// Executions returns the requests executed so far, oldest first.
func (r *Replica) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// InProgress returns the number of requests that are executed and not answered to the end.
func (r *Replica) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inProgress
}

func (r *Replica) countInProgress(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inProgress += n
}

// AcceptedConns returns the number of connections accepted so far.
func (r *Replica) AcceptedConns() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

func (r *Replica) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.gone || r.listener != listener && !r.stopped {
			// The process has ended since then.
			r.mu.Unlock()
			closeQuietly(conn)
			continue
		}
		r.accepted++
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serveConn(conn)
	}
}

func (r *Replica) serveConn(conn net.Conn) {
	defer func() {
		closeQuietly(conn)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
		delete(r.refusals, conn)
	}()
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

// respond handles one request. It returns false if the connection must be closed.
// A request for another replica gets 421 and is not executed.
func (r *Replica) respond(conn net.Conn, request *http.Request, body string) bool {
	r.mu.Lock()
	fault, delay := r.fault, r.delay
	r.mu.Unlock()
	id := request.Header.Get("X-Attempt-Id")
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.ID {
		fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", id, r.ID)
		return true
	}
	if request.URL.Path == "/api/report" {
		r.writeReport(conn)
		return true
	}
	statements := r.recordArrival(request)
	if fault == EndlessRefusal {
		fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n%sX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, statements)
		return writeEndless(conn, endlessChunk)
	}
	if fault == NotRun {
		r.refuse(conn, id, statements)
		return true
	}
	r.mu.Lock()
	refusal := r.refusals[conn]
	r.executions = append(r.executions, Execution{ID: id, Method: request.Method, Target: request.RequestURI, Body: body, Header: request.Header})
	r.mu.Unlock()
	r.countInProgress(1)
	defer r.countInProgress(-1)
	if r.crashOnTarget(request, delay) {
		return false
	}
	if r.answerWithoutEnd(conn, id, fault) {
		return false
	}
	switch fault {
	case Reset:
		resetOnClose(conn)
		return false
	case Hang:
		// Blocks until the client closes the connection.
		_, _ = io.Copy(io.Discard, conn)
		return false
	case MalformedResponse:
		fmt.Fprint(conn, "\x00\x01\x02 no answer\r\n\r\n")
		return false
	case RepeatedRefusal:
		fmt.Fprint(conn, refusal)
	case ForeignResponse:
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Replica-Seal: x\r\nContent-Length: 5\r\n\r\nother")
	}
	return r.writeResponse(conn, request, statements, fault, delay)
}

// writeResponse writes the response to a request that was executed. It returns false if the connection must be closed.
func (r *Replica) writeResponse(conn net.Conn, request *http.Request, statements string, fault Fault, delay time.Duration) bool {
	if takeUp := r.takeUpResponse(request); takeUp != "" {
		fmt.Fprint(conn, takeUp)
		return false
	}
	if strings.HasPrefix(request.URL.Path, "/stream/") {
		r.awaitHead()
		return r.writeStream(conn, request, statements, fault, delay)
	}
	time.Sleep(delay)
	return r.writePlain(conn, request.Header.Get("X-Attempt-Id"), statements, fault)
}

// refuse writes a refusal of the request with an ID and remembers it for RepeatedRefusal. statements are header lines.
func (r *Replica) refuse(conn net.Conn, id, statements string) {
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n%sX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, statements)
	r.mu.Lock()
	r.refusals[conn] = refusal
	r.mu.Unlock()
	fmt.Fprint(conn, refusal)
}
