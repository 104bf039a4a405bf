package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const appHost = "ficu95.example"

// request is one client attempt.
type request struct {
	id, path, key string
	method        string
	timeout       time.Duration
	body          []byte
	bodyTime      time.Duration // over which the body is sent; 0 for at once
	headers       map[string]string
}

// answer is what a client got for an attempt.
type answer struct {
	sent     time.Time
	status   int // 0 for a channel that was closed or silent
	body     string
	sealed   bool
	complete bool
	err      error
}

// send makes an attempt on a new channel, and records it.
func (w *world) send(ctx context.Context, address string, q request) answer {
	w.record("send %s %s %s key %q body %d bytes after event %q to %s", q.id, q.method, q.path, q.key, len(q.body), q.headers["Last-Event-Id"], address)
	return attempt(ctx, address, q)
}

// attempt makes an attempt on a new channel.
func attempt(ctx context.Context, address string, q request) answer {
	a := answer{sent: time.Now()}
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		a.err = err
		return a
	}
	defer closeQuietly(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(a.sent.Add(q.timeout))
	a.sent = time.Now()
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nConnection: close\r\n", q.method, q.path, appHost, q.id, q.timeout.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&head, "Api-Key: %s\r\n", q.key)
	}
	for name, value := range q.headers {
		fmt.Fprintf(&head, "%s: %s\r\n", name, value)
	}
	if len(q.body) > 0 || q.method == http.MethodPost {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.body))
	}
	head.WriteString("\r\n")
	if _, err := io.WriteString(conn, head.String()); err != nil {
		a.err = err
		return a
	}
	if err := writeBody(conn, q); err != nil {
		a.err = err
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		return a
	}
	defer closeQuietly(response.Body)
	a.status, a.sealed = response.StatusCode, response.Header.Get(seal) != ""
	body, err := io.ReadAll(response.Body)
	a.body, a.complete, a.err = string(body), err == nil, err
	return a
}

// closeQuietly closes c and ignores the error, as c may be closed already.
func closeQuietly(c io.Closer) { _ = c.Close() }

// bodyPieces is the number of pieces of a body that is sent over a time.
const bodyPieces = 50

// writeBody sends a body at once, or in equal pieces over a time.
func writeBody(conn net.Conn, q request) error {
	if q.bodyTime <= 0 {
		_, err := conn.Write(q.body)
		return err
	}
	piece := (len(q.body) + bodyPieces - 1) / bodyPieces
	for at := 0; at < len(q.body); at += piece {
		if _, err := conn.Write(q.body[at:min(at+piece, len(q.body))]); err != nil {
			return err
		}
		time.Sleep(q.bodyTime / bodyPieces)
	}
	return nil
}

// completeEvents returns the events of a stream that were received whole.
func completeEvents(body string) []string {
	parts := strings.Split(body, "\n\n")
	return parts[:len(parts)-1]
}
