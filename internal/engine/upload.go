package engine

import (
	"net"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errUploadCut means that the connection of an answer that only its end ends was closed before the whole request was written.
var errUploadCut = errors.New("the answer ended while the request was written")

// upload says whether a whole request was written. http.Transport writes a request and reads its answer at the same time. If the service resets the
// connection meanwhile, the failed write takes the error from the socket, and the reader sees an ordinary end.
type upload struct {
	conn    atomic.Pointer[writeConn]
	written atomic.Bool
}

// begin records the connection that the request is written on.
func (u *upload) begin(conn net.Conn) {
	if c, ok := conn.(*writeConn); ok {
		u.conn.Store(c)
	}
}

// end records that the request was handed to the connection.
func (u *upload) end(info httptrace.WroteRequestInfo) { u.written.Store(info.Err == nil) }

// complete returns an error unless the whole request was written.
func (u *upload) complete() error {
	conn := u.conn.Load()
	if conn == nil || !u.written.Load() || conn.writing.Load() || conn.failed.Load() {
		return errUploadCut
	}
	return nil
}

// writeConn is a connection that knows how its writes end.
type writeConn struct {
	net.Conn

	writing, failed atomic.Bool
}

// Write implements net.Conn.
func (c *writeConn) Write(p []byte) (int, error) {
	c.writing.Store(true)
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.Store(true)
	}
	c.writing.Store(false)
	return n, err
}
