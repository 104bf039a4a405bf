package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fewParts returns the headers of an ordinary request of a model.
func fewParts(n int) http.Header {
	return http.Header{"X-Model": {"m"}, "X-Token-Usage": {"568,20"}, "X-Prompt-Prefix": {fmt.Sprintf("5c1e07a2:341,%x:127,%x:100", 0x100+n%20, 0x10000+n)}}
}

// call is one client attempt and what the client got.
type call struct {
	id      string
	sentAt  time.Time
	took    time.Duration
	status  int // 0 without an answer
	sealed  bool
	body    string
	err     error // of the connection, or of an answer that broke off
	lastID  string
	after   time.Duration   // Retry-After; 0 for none
	version map[string]bool // software versions named in the events
}

// complete reports whether the client got a whole success.
func (c *call) complete() bool { return c.err == nil && c.status == http.StatusOK && c.sealed }

// client sends requests to routers.
type client struct {
	world *world
	key   string
	http  *http.Client

	mu     sync.Mutex
	number int
	name   string
	calls  []*call
}

// newClient returns a client with a key. The identifiers of its requests begin with a name that no other client has.
func (w *world) newClient(name, key string) *client {
	c := &client{world: w, name: name, key: key, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
	w.clients = append(w.clients, c)
	return c
}

// newID returns an identifier of a client attempt.
func (c *client) newID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return fmt.Sprintf("%s-%d", c.name, c.number)
}

// send sends one client attempt and reads the answer to its end.
func (c *client) send(front, path string, header http.Header, limit time.Duration) *call {
	a := &call{id: c.newID(), sentAt: time.Now(), version: make(map[string]bool)}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, strings.NewReader("prompt"))
	if err != nil {
		panic(err) // constant paths only
	}
	request.Host = configHost
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	request.Header.Set("Api-Key", c.key)
	c.exchange(request, a)
	a.took = time.Since(a.sentAt)
	c.mu.Lock()
	c.calls = append(c.calls, a)
	c.mu.Unlock()
	return a
}

func (c *client) exchange(request *http.Request, a *call) {
	response, err := c.http.Do(request)
	if err != nil {
		a.err = err
		return
	}
	defer response.Body.Close()
	a.status, a.sealed = response.StatusCode, response.Header.Get("X-Replica-Seal") != ""
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(seconds * float64(time.Second))
	}
	var body bytes.Buffer
	_, a.err = io.Copy(&body, response.Body)
	a.body = body.String()
	for _, line := range strings.Split(a.body, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.lastID = id
		}
		if _, by, ok := strings.Cut(line, " by "); ok {
			a.version[by] = true
		}
	}
}

// all returns the calls so far.
func (c *client) all() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*call(nil), c.calls...)
}

// summary returns how many calls ended how.
func (c *client) summary() string {
	counts := make(map[string]int)
	for _, a := range c.all() {
		switch {
		case a.complete():
			counts["complete"]++
		case a.err != nil && errors.Is(a.err, context.DeadlineExceeded):
			counts["timed out"]++
		case a.err != nil:
			counts["cut"]++
		default:
			counts[fmt.Sprint(a.status)]++
		}
	}
	return fmt.Sprint(counts)
}

// every calls a function at a rate until a time, each call in a goroutine of its own, and waits for the calls. It stops when go on is false.
func every(interval time.Duration, until time.Time, goOn func() bool, f func(n int)) {
	var calls sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; time.Now().Before(until) && goOn(); n++ {
		calls.Go(func() { f(n) })
		<-ticker.C
	}
	calls.Wait()
}
