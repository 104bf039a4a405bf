package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	fieldsBefore, fieldsLength, fieldsAfter = 5 * time.Second, 25 * time.Second, 10 * time.Second
	// fieldsClients is the size of the crowd, each with one connection and one request at a time.
	fieldsClients = 100
	// fieldsHeadBytes is the size of the fields of a head. The whole head is within max_header_bytes, 16,384.
	fieldsHeadBytes = 15_900
	// crowdPause is the time between an answer and the next request of a client.
	crowdPause = time.Second
	// shortFields is the number of short fields.
	shortFields = 140
	// plainTimeout is timeout_ms of the ordinary route, and plainLimit how long its callers wait.
	plainTimeout, plainLimit = 2 * time.Second, 4 * time.Second
	// answerSlack is how long after timeout_ms a final answer may come, timedLeast the number of requests from which the rule counts.
	answerSlack, timedLeast = 500 * time.Millisecond, 8
)

// manyFields returns the head of a request that is legal in size but made of very many short fields, but for its identifier.
func manyFields() string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var head strings.Builder
	for n := range shortFields {
		fmt.Fprintf(&head, "%c%c:\r\n", letters[n%len(letters)], letters[n/len(letters)])
	}
	left := fieldsHeadBytes - head.Len() - len(crowdHead("", ""))
	return "Connection: " + strings.Repeat("a,", left/2) + "keep-alive\r\n" + head.String()
}

// crowdHead returns the head of a request of the crowd.
func crowdHead(id, fields string) string {
	return "POST /stream/y HTTP/1.1\r\nHost: " + configHost + "\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 3000\r\nApi-Key: key-other\r\nX-Model: m\r\n" +
		"X-Token-Usage: 568,20\r\nX-Prompt-Prefix: 5c1e07a2:341,a1:127,b2:100\r\nContent-Length: 0\r\n" + fields + "\r\n"
}

// crowd is clients that send requests with the same fields, each on one connection, one after the other.
type crowd struct {
	front, fields string
	sent          atomic.Int64
	mu            sync.Mutex
	ended         map[string]int // requests by their status
}

// follow sends requests until a time.
func (c *crowd) follow(client int, until time.Time) {
	for n := 0; time.Now().Before(until); {
		conn, err := net.DialTimeout("tcp4", c.front, time.Second)
		if err != nil {
			c.count("no channel")
			time.Sleep(100 * time.Millisecond)
			continue
		}
		reader := bufio.NewReader(conn)
		for end := ""; end == "" && time.Now().Before(until); n++ {
			end = c.exchange(conn, reader, crowdHead(fmt.Sprintf("crowd-%d-%d", client, n), c.fields))
		}
		_ = conn.Close()
	}
}

// exchange sends one request and reads the answer. It returns why the channel can't be used again; empty if it can.
func (c *crowd) exchange(conn net.Conn, reader *bufio.Reader, head string) string {
	c.sent.Add(1)
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(conn, head); err != nil {
		return c.count("cut")
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return c.count("given up")
		}
		time.Sleep(crowdPause)
		return c.count("cut")
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	time.Sleep(crowdPause)
	c.count(fmt.Sprint(response.StatusCode))
	if err != nil || response.Close {
		return "closed"
	}
	return ""
}

func (c *crowd) count(end string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[end]++
	return end
}

// playFields has a crowd send requests that are legal in size but made of very many short fields. Ordinary callers must get their answers.
func playFields(w *world) (broken bool, err error) {
	plain := route("gate-check", "/plain/", "idempotent", int(plainTimeout.Milliseconds()), 2, false)
	w.configure(7, []map[string]any{route("enquiry", "/stream/", "streaming", 3000, 2, true), plain}, map[string][]string{"desk": {"key-desk"}, "other": {"key-other"}})
	for i := range 12 {
		if _, err := w.newReplica(fmt.Sprintf("i-%d", i), "1.0", 5, 15*time.Millisecond); err != nil {
			return false, err
		}
	}
	front := w.newRouter("front-pumphouse-1")
	if err := startAll(front); err != nil {
		return false, err
	}
	go front.keepQuota()
	used := front.used()
	desk := w.newClient("desk", "key-desk")
	begin := time.Now().Add(fieldsBefore)
	until := begin.Add(fieldsLength)
	var clients sync.WaitGroup
	clients.Go(func() {
		every(100*time.Millisecond, until.Add(fieldsAfter), front.running, func(int) { desk.send(front.front, "/plain/x", http.Header{}, plainLimit) })
	})
	others := &crowd{front: front.front, ended: make(map[string]int)}
	if w.trouble {
		others.fields = manyFields()
	}
	w.note("head of a request of the crowd: %d bytes", len(crowdHead("crowd-100-1000", others.fields)))
	time.Sleep(time.Until(begin))
	for n := range fieldsClients {
		clients.Go(func() { others.follow(n, until) })
	}
	clients.Wait()
	w.say("the crowd: %d requests, %v", others.sent.Load(), others.ended)
	w.say("processor time used: %.1f s in %s at a share of %.3f", (front.used() - used).Seconds(), fieldsBefore+fieldsLength+fieldsAfter, cpuShare)
	return w.countLate(desk, begin, until), nil
}

// countLate reports whether too many requests had no final answer answerSlack after the route's timeout.
func (w *world) countLate(c *client, begin, until time.Time) bool {
	lasted, unanswered, inTime, all := 0, 0, 0, 0
	for _, a := range c.all() {
		if a.sentAt.Before(begin) || a.sentAt.After(until) {
			continue
		}
		all++
		switch {
		case a.took > plainTimeout+answerSlack:
			lasted++
			unanswered++
		case a.took > plainTimeout:
			lasted++
		case a.complete():
			inTime++
		}
	}
	w.say("ordinary requests meanwhile: %d, of them %d complete within timeout_ms, %d longer, %d without a final answer %s after it", all, inTime, lasted, unanswered, answerSlack)
	return unanswered >= timedLeast && unanswered*4 > lasted
}
