package replica

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// writeReport writes the replica's report of itself.
func (r *Replica) writeReport(conn net.Conn) {
	r.mu.Lock()
	body := fmt.Sprintf(`{"stage":"both","born":%d}`, r.born)
	r.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// writePlain writes a response that is not a stream. It returns false if the
// connection must be closed. statements are header lines.
func (r *Replica) writePlain(conn net.Conn, id, statements string, fault Fault) bool {
	status, signature := "200 OK", "X-Replica-Seal: seal-"+r.ID+"\r\n"+statements
	switch fault {
	case Error:
		status = "500 Internal Server Error"
	case InvalidStatus:
		status = "000 Trouble"
	case MissingSignature:
		signature = statements
	case MissingLength:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\nwhole %s", id, signature, id)
		return false
	case UnframedCrash, EmptyCrash, UnframedReset:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%s\r\n", id, signature)
		if fault != EmptyCrash {
			fmt.Fprint(conn, "who")
		}
		return r.endUnframed(conn, fault)
	}
	r.mu.Lock()
	body := "whole " + id + strings.Repeat("x", r.padding)
	r.mu.Unlock()
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, signature, len(body), body)
	if fault == ExtraResponse {
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n%sContent-Length: 5\r\n\r\nagain", id, signature)
	}
	return true
}

// writeStream writes server-sent events numbered from 1 to streamEvents, starting
// after the Last-Event-Id of the request. It returns false if the connection must
// be closed. statements are header lines.
func (r *Replica) writeStream(conn net.Conn, request *http.Request, statements string, fault Fault, delay time.Duration) bool {
	lastID := 0
	if last := request.Header.Get("Last-Event-Id"); last != "" {
		n, err := strconv.Atoi(last)
		if err != nil {
			return false
		}
		lastID = n
	}
	r.mu.Lock()
	version := r.version
	r.mu.Unlock()
	if version != "" {
		version = " at " + version
	}
	id := request.Header.Get("X-Attempt-Id")
	framing := "Transfer-Encoding: chunked\r\n"
	unframed := slices.Contains([]Fault{UnframedStream, EmptyStream, UnframedCut, UnframedCrash, EmptyCrash, UnframedReset}, fault)
	if unframed {
		framing = ""
	}
	if r.crashOnPart(request, BeforeHead) {
		return false
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Replica-Seal: seal-%s\r\n%sContent-Type: text/event-stream\r\n%s\r\n", id, r.ID, statements, framing)
	if fault == EmptyStream {
		return false
	}
	if r.crashOnPart(request, AfterHead) {
		return false
	}
	for n := lastID + 1; n <= streamEvents; n++ {
		time.Sleep(delay)
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s%s\n\n", n, n, id, version)
		if fault == EmptyCrash || n == lastID+3 && (fault == UnframedCrash || fault == UnframedReset) {
			return r.endUnframed(conn, fault)
		}
		if !writeEvent(conn, event, unframed, n == lastID+3 && (fault == UnframedCut || fault == TruncatedStream)) {
			return false
		}
		if n == lastID+1 && r.crashOnStream(request) {
			return false
		}
	}
	if unframed {
		return false
	}
	fmt.Fprint(conn, "0\r\n\r\n")
	return true
}

// writeEvent writes an event of a stream, as a chunk unless the stream is unframed, or half of it if it is cut. It returns false if the connection
// must be closed.
func writeEvent(conn net.Conn, event string, unframed, cut bool) bool {
	head, tail := fmt.Sprintf("%x\r\n", len(event)), "\r\n"
	if unframed {
		head, tail = "", ""
	}
	if cut {
		event, tail = event[:len(event)/2], ""
	}
	_, err := io.WriteString(conn, head+event+tail)
	return err == nil && !cut
}

// endUnframed ends an answer without a length early: by a reset of its connection, or by a crash of the process. It returns false.
func (r *Replica) endUnframed(conn net.Conn, fault Fault) bool {
	if fault == UnframedReset {
		resetOnClose(conn)
		return false
	}
	return !r.crash()
}
