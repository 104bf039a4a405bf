package wire

import (
	"net"
	"time"

	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// deadlineConn sets a deadline for each write. A write to a half-open connection
// then fails instead of blocking.
type deadlineConn struct {
	net.Conn
	timeout time.Duration
}

// Write sets the write deadline and writes b.
func (c deadlineConn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// deadlineListener applies a write timeout to every accepted connection.
type deadlineListener struct {
	net.Listener
	timeout time.Duration
}

// Accept waits for the next connection and returns it as a deadlineConn.
func (l deadlineListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return deadlineConn{Conn: conn, timeout: l.timeout}, nil
}

// managerOptions returns drpc options that limit the size of incoming messages and
// the time until the first call on a connection.
func managerOptions(opts Options) drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes},
		InactivityTimeout: opts.HelloTimeout,
	}
}
