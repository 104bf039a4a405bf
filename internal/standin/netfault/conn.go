package netfault

import (
	"net"
	"sync"
)

// trackedListener registers each accepted connection with the server.
type trackedListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. It returns net.ErrClosed while the server is down.
func (l *trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, muted: make(chan struct{}), closed: make(chan struct{})}
	if !l.server.add(c) {
		_ = inner.Close()
		return nil, net.ErrClosed
	}
	return c, nil
}

// conn is a connection that can be muted: data written to it is then discarded, and
// data received is not delivered.
type conn struct {
	net.Conn
	server    *Server
	muted     chan struct{}
	muteOnce  sync.Once
	closed    chan struct{}
	closeOnce sync.Once
}

// Read reads from the connection. Once it is muted, Read does not return
// before Close.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	select {
	case <-c.muted:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return n, err
	}
}

// Write writes to the connection. Once it is muted, Write discards the data.
func (c *conn) Write(p []byte) (int, error) {
	select {
	case <-c.muted:
		return len(p), nil
	default:
		return c.Conn.Write(p)
	}
}

// Close closes the connection. A muted connection stays open towards the client,
// which must not receive a FIN.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	select {
	case <-c.muted:
		return nil
	default:
		c.server.remove(c)
		return c.Conn.Close()
	}
}

// mute starts dropping the connection's data in both directions. It cannot be undone.
func (c *conn) mute() {
	c.muteOnce.Do(func() { close(c.muted) })
}

// reset closes the connection with a TCP reset, as the kernel does for a process
// that has died. It also closes muted connections.
func (c *conn) reset() {
	c.closeOnce.Do(func() { close(c.closed) })
	tcp, ok := c.Conn.(*net.TCPConn)
	if ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
