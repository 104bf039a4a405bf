package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// overdueSlack is how long after its limit a connection is closed: a request may
// be on its way, or wait in the kernel while this process stood still.
const overdueSlack = 5 * time.Second

// callerConns is the callers' connections that have no request in progress. The
// limits of a configuration can change at any time, which the HTTP server's own
// can't, so that connections beyond them are closed from here.
type callerConns struct {
	mu sync.Mutex
	// since is when a connection became idle, or began to send a head.
	since map[net.Conn]waitingConn
}

type waitingConn struct {
	at   time.Time
	head bool // it is sending a request's head
}

func newCallerConns() *callerConns {
	return &callerConns{since: make(map[net.Conn]waitingConn)}
}

// changed follows the states that the HTTP server tells of its connections.
func (c *callerConns) changed(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.since[conn] = waitingConn{at: time.Now(), head: true}
	case http.StateNew, http.StateIdle:
		c.since[conn] = waitingConn{at: time.Now()}
	case http.StateHijacked, http.StateClosed:
		delete(c.since, conn)
	}
}

// busy notes that a request's head has arrived whole.
func (c *callerConns) busy(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.since, conn)
}

// overdue returns the connections that have been idle, or sending a head, for
// longer than the limits, and forgets them. A limit of zero is none.
func (c *callerConns) overdue(now time.Time, limits routing.Limits) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []net.Conn
	for conn, w := range c.since {
		limit := limits.IdleTimeout
		if w.head {
			limit = limits.HeaderTimeout
		}
		if limit > 0 && now.Sub(w.at) > limit+overdueSlack {
			list = append(list, conn)
			delete(c.since, conn)
		}
	}
	return list
}

// closeOverdue closes the callers' connections that are beyond the configuration's limits.
func (g *Gateway) closeOverdue() {
	config := g.config.Load()
	if config == nil {
		return
	}
	for _, conn := range g.callers.overdue(time.Now(), config.Limits) {
		if err := conn.Close(); err != nil {
			klog.V(1).InfoS("caller's connection not closed", "peer", conn.RemoteAddr(), "err", err)
		}
	}
}

// headBytes is the size of a request's head on the wire, at least.
func headBytes(r *http.Request) int {
	const lineEnd, separator = 2, 2
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + separator + len(value) + lineEnd
		}
	}
	return n
}
