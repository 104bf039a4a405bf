package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
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
