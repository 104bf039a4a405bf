// Package hangup tells whether the client of an HTTP request has closed its connection. net/http learns of that by reading one
// byte beyond the request: a byte that is there hides the close until the handler ends, and a close that arrives together with the request
// is seen some time after the handler has begun. Servers accept connections through Listen and pass requests through Watch.
package hangup

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// watchInterval is the time between two looks at a connection whose close net/http can't see.
const watchInterval = 100 * time.Millisecond

// Conn is a client's connection. Its zero value is not usable; see New.
type Conn struct {
	*net.TCPConn

	mu sync.Mutex
	// readAhead is whether net/http has read the byte beyond the request in progress, so that it reads no further.
	readAhead bool
	cancel    context.CancelFunc // of the request in progress; nil if there is none
	timer     *time.Timer        // of the next look; nil if there was none yet
}

// New returns the connection of a client.
func New(conn *net.TCPConn) *Conn { return &Conn{TCPConn: conn} }

// connKey is the context key of the *Conn of a request.
type connKey struct{}

// NewContext returns a context for the requests on a connection, for http.Server.ConnContext.
func NewContext(ctx context.Context, c *Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request, or nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// listener is a listener whose connections are a *Conn.
type listener struct{ net.Listener }

// Listen returns a listener whose connections are a *Conn if they are of TCP.
func Listen(l net.Listener) net.Listener { return listener{l} }

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		return New(tcp), nil
	}
	return conn, err
}

// Read implements net.Conn. Reads of one byte are those of net/http beyond a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readAhead = n > 0 && len(p) == 1
	c.arm()
	return n, err
}

// arm has the connection looked at while net/http doesn't. The caller must hold c.mu.
func (c *Conn) arm() {
	switch {
	case !c.readAhead || c.cancel == nil:
	case c.timer == nil:
		c.timer = time.AfterFunc(watchInterval, c.look)
	default:
		c.timer.Reset(watchInterval)
	}
}

// look ends the request in progress if the client has closed the connection.
func (c *Conn) look() {
	gone := c.Gone()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel == nil {
		return
	}
	if gone {
		c.cancel()
		return
	}
	c.arm()
}

// Watch returns a request whose context also ends when the client closes the connection behind unread bytes. The handler calls stop when it ends.
func Watch(r *http.Request) (watched *http.Request, stop func()) {
	c := FromContext(r.Context())
	if c == nil {
		return r, func() {}
	}
	ctx, cancel := context.WithCancel(r.Context())
	c.mu.Lock()
	c.cancel = cancel
	c.arm()
	c.mu.Unlock()
	return r.WithContext(ctx), func() {
		c.mu.Lock()
		c.cancel = nil
		if c.timer != nil {
			c.timer.Stop()
		}
		c.mu.Unlock()
		cancel()
	}
}

// Left reports whether the client of a watched request has left, and ends its context in that case.
func Left(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c := FromContext(ctx)
	if c == nil || !c.Gone() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
	return true
}
