package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client has got: the status is 0 if there was no whole answer.
type answer struct {
	status int
	seal   string
	body   string
	took   time.Duration
	err    error
}

// exchange sends a request on a connection of its own and reads the answer.
func exchange(address, request, method string, limit time.Duration) answer {
	began := time.Now()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer closeQuietly(conn)
	_ = conn.SetDeadline(began.Add(limit))
	if _, err := io.WriteString(conn, request); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	return answer{status: response.StatusCode, seal: response.Header.Get("X-Replica-Seal"), body: string(body), took: time.Since(began)}
}

// head returns the head of a request. fields are further header lines.
func head(method, target, id, key string, limit time.Duration, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: app.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nApi-Key: %s\r\n%sContent-Length: 0\r\n\r\n", method, target, id, limit.Milliseconds(), key, fields)
}

// closeQuietly closes a connection that is not used any more. An error changes nothing.
func closeQuietly(c io.Closer) { _ = c.Close() }

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

// ticket sends a request that may run once.
func (w *world) ticket(r *router, id, key string) answer {
	w.record.add("sent: %s to %s with %s", id, r.name, key)
	a := exchange(r.front, head("POST", "/ticket/x", id, key, 4*time.Second, ""), "POST", 4*time.Second)
	w.record.add("answered: %s status %d seal %q err %v", id, a.status, a.seal, a.err)
	return a
}
