package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// overdueSlack is how long after its limit a connection is closed. A request that
// was sent in time may still be in transit, or in the kernel's socket buffer while
// this process has no CPU time.
const overdueSlack = 5 * time.Second

// callerConnTracker tracks the callers' connections that have no request in
// progress. It enforces the configuration's connection limits, which can change
// at run time; those of http.Server can't.
type callerConnTracker struct {
	mu sync.Mutex
	// waiting holds the connections that are idle or in the middle of a request's head.
	waiting map[net.Conn]waitingState
}

// waitingState says since when a connection has been waiting, and for what.
type waitingState struct {
	since       time.Time
	readingHead bool // whether part of a request's head has arrived
}

func newCallerConnTracker() *callerConnTracker {
	return &callerConnTracker{waiting: make(map[net.Conn]waitingState)}
}

// stateChanged is the server's ConnState hook.
func (c *callerConnTracker) stateChanged(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.waiting[conn] = waitingState{since: time.Now(), readingHead: true}
	case http.StateNew, http.StateIdle:
		c.waiting[conn] = waitingState{since: time.Now()}
	case http.StateHijacked, http.StateClosed:
		delete(c.waiting, conn)
	}
}

// headReceived stops tracking a connection on which a complete request head has arrived.
func (c *callerConnTracker) headReceived(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, conn)
}

// overdue returns the connections that have been idle, or in the middle of a
// head, for longer than the limits, and stops tracking them. A limit of zero
// means no limit.
func (c *callerConnTracker) overdue(now time.Time, limits routing.Limits) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var expired []net.Conn
	for conn, state := range c.waiting {
		limit := limits.IdleTimeout
		if state.readingHead {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(state.since) > limit+overdueSlack {
			expired = append(expired, conn)
			delete(c.waiting, conn)
		}
	}
	return expired
}

// closeOverdue closes the callers' connections that exceed the configuration's limits.
func (g *Gateway) closeOverdue() {
	config := g.config.Load()
	if config == nil {
		return
	}
	for _, conn := range g.callerConns.overdue(time.Now(), config.Limits) {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("caller's connection not closed", "peer", conn.RemoteAddr(), "err", err)
		}
	}
}

// headSize returns a lower bound of the size of a request's head on the wire, in bytes.
func headSize(r *http.Request) int {
	const lineEnd, separator = 2, 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size
}
