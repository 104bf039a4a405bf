package gateway

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
)

// overdueSlack is how long after its limit a connection is closed. A request that
// was sent in time may still be in transit, or in the kernel's socket buffer while
// this process has no CPU time.
const overdueSlack = 5 * time.Second

// connKey is the context key of the *clientConn that a request arrived on.
type connKey struct{}

// connGuard bounds the connections of one server and what the heads of their requests take. It also enforces the
// configuration's limits, which can change at run time; those of http.Server can't.
type connGuard struct {
	now    func() domain.Instant
	closed *closings

	mu    sync.Mutex
	table *memorylimit.Conns
	conns map[*memorylimit.Conn]*clientConn
}

func newConnGuard(l memorylimit.ConnLimits, now func() domain.Instant, closed *closings) *connGuard {
	return &connGuard{now: now, closed: closed, table: memorylimit.NewConns(l), conns: make(map[*memorylimit.Conn]*clientConn)}
}

// guard makes a server use the guard for its connections and requests.
func (g *connGuard) guard(s *http.Server) {
	s.ConnState = g.stateChanged
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if c, ok := conn.(*clientConn); ok {
			if watched, ok := c.Conn.(*hangup.Conn); ok {
				ctx = hangup.NewContext(ctx, watched)
			}
		}
		return context.WithValue(ctx, connKey{}, conn)
	}
}

// guardedListener is a listener whose connections are bounded.
type guardedListener struct {
	net.Listener
	guard *connGuard
}

// Accept returns the next connection that is not refused.
func (l guardedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.open(conn); c != nil {
			return c, nil
		}
		l.guard.closed.count(closedRefused)
		closeQuietly(conn)
	}
}

// closeQuietly closes a connection that is not used any more. An error changes nothing.
func closeQuietly(conn net.Conn) {
	if err := conn.Close(); err != nil {
		klog.V(1).InfoS("caller's connection not closed", "peer", conn.RemoteAddr(), "err", err)
	}
}

// open adds a connection, in place of another one if there are too many. It returns nil if the new one is refused.
func (g *connGuard) open(conn net.Conn) *clientConn {
	var address netip.Addr
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		address = tcp.AddrPort().Addr()
	}
	g.mu.Lock()
	entry, victim := g.table.Open(g.now(), address)
	closing := g.conns[victim]
	var c *clientConn
	if entry != nil {
		c = &clientConn{Conn: conn, guard: g, entry: entry}
		g.conns[entry] = c
	}
	g.mu.Unlock()
	if closing != nil {
		g.closed.count(closedForOther)
		closeQuietly(closing)
	}
	return c
}

// stateChanged is the server's ConnState hook.
func (g *connGuard) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*clientConn)
	if !ok || state != http.StateIdle {
		return
	}
	c.busy.Store(false)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Idle(g.now(), c.entry)
}

// begin records that the whole head of a request has arrived. It returns false if there is no memory for it.
func (g *connGuard) begin(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*clientConn)
	if !ok {
		return true
	}
	c.busy.Store(true)
	size, lines := headSize(r)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Begin(g.now(), c.entry, memorylimit.HeadCost(size, lines), r.ContentLength != 0)
}

// bodyArrived records that the body of a request has arrived whole.
func (g *connGuard) bodyArrived(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.BodyArrived(c.entry)
	}
}

// draining records that a request has been refused and the rest of its body is discarded.
func (g *connGuard) draining(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.table.Draining(c.entry)
	}
}

// headRead records that a part of a head has arrived and closes connections if the heads take too much.
func (g *connGuard) headRead(c *clientConn, part []byte) {
	size, lines := len(part), bytes.Count(part, []byte{'\n'})
	for {
		g.mu.Lock()
		victim := g.table.Read(g.now(), c.entry, size, lines)
		closing := g.conns[victim]
		g.mu.Unlock()
		if closing == nil {
			return
		}
		g.closed.count(closedHead)
		closeQuietly(closing)
		if closing == c {
			return
		}
		size, lines = 0, 0
	}
}

// abort closes the connection of a request.
func (g *connGuard) abort(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*clientConn); ok {
		closeQuietly(c)
	}
}

// closeOverdue closes the connections that are idle, or in the middle of a head, beyond these limits.
func (g *connGuard) closeOverdue(idle, head time.Duration) {
	g.mu.Lock()
	var overdue []*clientConn
	for _, entry := range g.table.Overdue(g.now(), withSlack(idle), withSlack(head)) {
		overdue = append(overdue, g.conns[entry])
	}
	g.mu.Unlock()
	for _, conn := range overdue {
		closeQuietly(conn)
	}
}

// withSlack adds the slack to a limit. Zero stays no limit.
func withSlack(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return limit + overdueSlack
}

// setLimits replaces the limits.
func (g *connGuard) setLimits(l memorylimit.ConnLimits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLimits(l)
}

// held returns the number of connections and what their heads take.
func (g *connGuard) held() (conns int, heads int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Len(), g.table.Heads()
}

// protect returns a handler that refuses requests whose heads there is no memory for. It serves pages of the gateway's
// own, which read no body.
func (g *connGuard) protect(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		if !g.begin(r) {
			g.closed.count(refusedHead)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", formatSeconds(defaultRetryAfter))
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// clientConn is a connection of a client.
type clientConn struct {
	net.Conn
	guard *connGuard
	entry *memorylimit.Conn
	busy  atomic.Bool // whether a request is in progress, so that no head arrives
	once  sync.Once
}

// Read implements net.Conn. It counts the bytes of heads.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.entry.Received(c.guard.now())
	}
	if n > 0 && !c.busy.Load() {
		c.guard.headRead(c, p[:n])
	}
	return n, err
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.entry.WriteBegins(c.guard.now())
	defer c.entry.WriteEnded()
	return c.Conn.Write(p)
}

// CloseWrite lets net/http end an answer before a request's body is read to its end.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn. The connection counts until its descriptor is closed.
func (c *clientConn) Close() error {
	err := net.ErrClosed
	c.once.Do(func() {
		err = c.Conn.Close()
		c.guard.mu.Lock()
		defer c.guard.mu.Unlock()
		c.guard.table.Close(c.entry)
		delete(c.guard.conns, c.entry)
	})
	return err
}

// closeOverdue closes the callers' connections that exceed the configuration's limits.
func (g *Gateway) closeOverdue() {
	if config := g.config.Load(); config != nil {
		g.callerConns.closeOverdue(config.Limits.IdleTimeout, config.Limits.HeaderTimeout)
	}
}

// headSize returns a lower bound of the size of a request's head on the wire, in bytes, and the number of its lines.
func headSize(r *http.Request) (size, lines int) {
	const lineEnd, separator = 2, 1 // the space after a colon is optional
	size, lines = len(r.Method)+len(r.RequestURI)+len(r.Proto)+lineEnd, 1
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
		lines += len(values)
	}
	return size, lines
}
