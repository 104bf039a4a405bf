// Package endpointconn keeps connections to endpoints and exchanges one request
// and answer at a time on each. It tells a request that can't have reached its
// endpoint from one that may have run, and repeats nothing by itself.
package endpointconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds a new connection; a lost opening packet is sent again
	// after a second, which is later than another endpoint would answer.
	dialTimeout = 600 * time.Millisecond
	// lossTimeout ends a connection whose peer acknowledges nothing.
	lossTimeout = 2500 * time.Millisecond
	// probeInterval is the time between keep-alive probes on a silent connection.
	probeInterval = time.Second
	// defaultIdle is how long a connection is kept that names no time of its own.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that an endpoint keeps an idle connection,
	// so that a request doesn't cross the endpoint's close.
	idleMargin = 700 * time.Millisecond
	// readBuffer holds a whole small answer, in bytes.
	readBuffer = 4096
	// maxForeign bounds the answers to other requests that are read past.
	maxForeign = 4
)

// ErrForeign means that answers on a connection belong to other requests.
var ErrForeign = errors.New("answers belong to other requests")

// Conn is a connection to an endpoint.
type Conn struct {
	net    net.Conn
	reader *bufio.Reader
	reused bool
	idleAt time.Time // not used after it
}

// Reused reports whether an earlier exchange used the connection.
func (c *Conn) Reused() bool { return c.reused }

func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: 3},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(lossTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		},
	}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "step=dial peer=%s", address)
	}
	return &Conn{net: c, reader: bufio.NewReaderSize(c, readBuffer)}, nil
}

// quiet reports whether an idle connection is open and nothing has arrived on
// it. Whatever arrives between two requests belongs to neither.
func (c *Conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.net.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Write sends a request. After an error the request may have reached the endpoint.
func (c *Conn) Write(request []byte) error {
	_, err := c.net.Write(request)
	return errors.Wrapf(err, "step=send peer=%s", c.net.RemoteAddr())
}

// ReadHead reads the head of the answer that belongs to a request. Answers that
// the caller says to be of other requests are read past.
func (c *Conn) ReadHead(method string, own func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxForeign {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, errors.Wrapf(err, "step=read head peer=%s", c.net.RemoteAddr())
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if own(response.Header) {
			return response, nil
		}
		if err := response.Body.Close(); err != nil || response.Close {
			return nil, errors.Wrapf(ErrForeign, "step=read head peer=%s", c.net.RemoteAddr())
		}
	}
	return nil, errors.Wrapf(ErrForeign, "step=read head peer=%s", c.net.RemoteAddr())
}

// closeConn closes a connection. Its fault tells nothing: the connection is gone either way.
func closeConn(c io.Closer) { _ = c.Close() }

// SetReadDeadline bounds the reads that follow. The zero time bounds none.
func (c *Conn) SetReadDeadline(t time.Time) {
	// A closed connection tells its fault at the next read.
	_ = c.net.SetReadDeadline(t)
}

// Abort makes reads and writes in progress fail at once.
func (c *Conn) Abort() { closeConn(c.net) }
