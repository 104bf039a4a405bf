package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/platform/dialect"
)

const (
	callerCount = 6
	// callDeadline is how long callers wait.
	callDeadline = 3 * time.Second
	// maxRevokeDelay is the bound of the settings in which a key must stop working.
	maxRevokeDelay = 5 * time.Second
)

// call is one call of a caller and what it was told.
type call struct {
	id, path, key string
	sent          time.Time
	status        int
	body          string
	err           error // no answer, or one that broke off
}

func succeeded(c call) bool { return c.err == nil && c.status == http.StatusOK }
func refused(c call) bool   { return c.err == nil && c.status == http.StatusServiceUnavailable }

func countCalls(calls []call, holds func(call) bool) int {
	n := 0
	for _, c := range calls {
		if holds(c) {
			n++
		}
	}
	return n
}

type callers struct {
	wg    sync.WaitGroup
	mu    sync.Mutex
	calls []call
}

// startCallers calls until the context ends. Callers keep their connections.
func startCallers(ctx context.Context, c *cluster, seed uint64) *callers {
	s := &callers{}
	for i := range callerCount {
		s.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				made := c.call(client, rng, fmt.Sprintf("c%d-%d", i, n))
				s.mu.Lock()
				s.calls = append(s.calls, made)
				s.mu.Unlock()
				sleep(ctx, time.Duration(rng.IntN(40))*time.Millisecond)
			}
		})
	}
	return s
}

func (s *callers) wait() []call {
	s.wg.Wait()
	return s.calls
}

var requestPaths = []string{"/once/x", "/safe/x", "/stream/x", "/stream/resume/x"}

func (c *cluster) call(client *http.Client, rng *rand.Rand, id string) call {
	made := call{id: id, path: requestPaths[rng.IntN(len(requestPaths))], key: permanentKey, sent: time.Now()}
	if rng.IntN(5) == 0 {
		made.key = c.temporaryKey()
		if rng.IntN(2) == 0 {
			c.mu.Lock()
			made.key = fmt.Sprintf("passing-%d", max(c.nextTemporaryKey-1, 0))
			c.mu.Unlock()
		}
	}
	gateway := c.gateways[rng.IntN(len(c.gateways))]
	request, err := http.NewRequest(http.MethodPost, "http://"+gateway.front+made.path, strings.NewReader("body of "+id))
	if err != nil {
		made.err = err
		return made
	}
	request.Host = "app.example"
	for name, values := range (dialect.Dialect{}).CallerHeaders(id, made.key, callDeadline) {
		request.Header[name] = values
	}
	response, err := client.Do(request)
	if err != nil {
		made.err = err
		return made
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	made.status, made.body, made.err = response.StatusCode, string(body), err
	return made
}

// checkCalls holds the promises against what callers were told and replicas ran.
func (c *cluster) checkCalls(calls []call) {
	runs := make(map[string]int)
	bodies := make(map[string]string)
	for _, r := range c.replicas {
		for _, seen := range r.Ran() {
			runs[seen.ID]++
			bodies[seen.ID] = seen.Body
		}
	}
	for _, made := range calls {
		c.checkCall(made, runs[made.id], bodies[made.id])
	}
}

func (c *cluster) checkCall(made call, runs int, body string) {
	repeatable := strings.HasPrefix(made.path, "/safe/") || strings.HasPrefix(made.path, "/stream/resume/")
	if !repeatable && runs > 1 {
		c.t.Errorf("%s %s ran %d times", made.id, made.path, runs)
	}
	if repeatable && runs > 2 {
		c.t.Errorf("%s %s ran %d times, on more replicas than the route allows", made.id, made.path, runs)
	}
	if runs > 0 && body != "body of "+made.id {
		c.t.Errorf("%s ran with body %q", made.id, body)
	}
	if refused(made) && runs > 0 && !repeatable {
		c.t.Errorf("%s %s was told that it did not run, and ran", made.id, made.path)
	}
	if succeeded(made) && made.body != expectedBody(made) {
		c.t.Errorf("%s %s got %q", made.id, made.path, made.body)
	}
	c.mu.Lock()
	at, revoked := c.revoked[made.key]
	c.mu.Unlock()
	if revoked && runs > 0 && made.sent.Sub(at) > maxRevokeDelay {
		c.t.Errorf("%s ran with a key that was taken away %s before", made.id, made.sent.Sub(at))
	}
}

// expectedBody is the whole answer of a call.
func expectedBody(made call) string {
	if !strings.HasPrefix(made.path, "/stream/") {
		return "whole " + made.id
	}
	var b strings.Builder
	for n := 1; n <= 5; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d of %s\n\n", n, n, made.id)
	}
	return b.String()
}
