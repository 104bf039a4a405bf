package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/dunlinpulley/dunlinpulley/platform/dialect"
)

const (
	// leaverCount is the number of concurrent callers that leave before they have an answer.
	leaverCount = 3
	// maxLeaveDelay bounds the time from a request until its caller leaves.
	maxLeaveDelay = 60 * time.Millisecond
	// leftGrace is the time within which a request may still reach a replica after its caller has left, and a relay's longest delay.
	leftGrace = 500*time.Millisecond + 300*time.Millisecond
	// maxLateArrivals is the number of requests that may reach replicas later: a few.
	maxLateArrivals = 3
	// leaverPrefix begins the IDs of requests whose callers leave.
	leaverPrefix = "left-"
)

// leaversAtOnce is the number of callers that leave while a gateway is suspended.
const leaversAtOnce = 60

// suspendWhileCallersLeave suspends a gateway while many callers send it requests and leave.
func suspendWhileCallersLeave(c *cluster, rng *rand.Rand) {
	g := c.randomGateway(rng)
	c.suspend(g)
	var group sync.WaitGroup
	for range leaversAtOnce {
		seed := rng.Uint64()
		group.Go(func() {
			c.leavers.leave(rand.New(rand.NewPCG(seed, 0)), g, fmt.Sprintf("%s%x", leaverPrefix, seed))
		})
	}
	group.Wait()
	time.Sleep(leftGrace)
	c.resume(g)
}

// leavers are callers that send a request, at times more bytes behind it, and close or reset their connection.
type leavers struct {
	wg   sync.WaitGroup
	mu   sync.Mutex
	left map[string]time.Time // when the caller of a request left
}

// startLeavers starts callers that leave until the context ends.
func startLeavers(ctx context.Context, c *cluster, seed uint64) {
	s := &leavers{left: make(map[string]time.Time)}
	c.leavers = s
	for i := range leaverCount {
		s.wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			for n := 0; ctx.Err() == nil; n++ {
				s.leave(rng, c.gateways[rng.IntN(len(c.gateways))], fmt.Sprintf("%s%d-%d", leaverPrefix, i, n))
				sleep(ctx, time.Duration(rng.IntN(100))*time.Millisecond)
			}
		})
	}
}

// leave sends a request to a gateway, which may be suspended, and leaves.
func (s *leavers) leave(rng *rand.Rand, g *process, id string) {
	path, delay := requestPaths[rng.IntN(len(requestPaths))], time.Duration(rng.Int64N(int64(maxLeaveDelay)))
	conn, err := net.DialTimeout("tcp4", g.front, time.Second)
	if err != nil {
		return
	}
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: app.example\r\nContent-Length: 2\r\n", path)
	for name, values := range (dialect.Dialect{}).CallerHeaders(id, permanentKey, callDeadline) {
		fmt.Fprintf(&b, "%s: %s\r\n", name, values[0])
	}
	b.WriteString("\r\nxx")
	_, _ = conn.Write([]byte(b.String()))
	time.Sleep(delay)
	if rng.IntN(2) == 0 {
		_, _ = conn.Write([]byte(strings.Repeat("\r\n", 1+rng.IntN(4000))))
		time.Sleep(delay)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && rng.IntN(2) == 0 {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[id] = time.Now()
}

// checkLeavers checks that no more than a few requests have reached replicas later than leftGrace after their callers had left, but for those that the
// network held back. Gateways that stood still meanwhile are not excused: request and close have reached them together.
func (c *cluster) checkLeavers() {
	s := c.leavers
	s.wg.Wait()
	late := 0
	for i, r := range c.replicas {
		for _, a := range r.Arrivals() {
			left, ok := s.left[a.ID]
			if !ok || a.At.Sub(left) <= leftGrace || c.heldBack[i+1].within(left, a.At) {
				continue
			}
			late++
			c.logf("%s reached replica %d %s after its caller had left", a.ID, i, a.At.Sub(left))
		}
	}
	if late > maxLateArrivals {
		c.t.Errorf("%d of %d requests reached replicas after their callers had left, at most %d may", late, len(s.left), maxLateArrivals)
	}
}
