// Package endpointconn is the HTTP/1.1 client by which a gateway reaches
// endpoints. It keeps a pool of idle connections and exchanges one request and
// answer at a time on each. Unlike net/http it never retries by itself, and its
// errors distinguish a request that can't have reached the endpoint (from Get)
// from one that may have run (from Conn).
package endpointconn

import (
	"bufio"
	"bytes"
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
	// dialTimeout limits the opening of a connection. The kernel resends a lost
	// SYN after one second; trying another endpoint is faster than that.
	dialTimeout = 600 * time.Millisecond
	// ackTimeout (TCP_USER_TIMEOUT) ends a connection whose peer doesn't
	// acknowledge sent data or keep-alive probes. It takes precedence over the
	// count of unanswered probes.
	ackTimeout = 2500 * time.Millisecond
	// keepAliveInterval is the time between TCP keep-alive probes on an idle
	// connection, and before the first one.
	keepAliveInterval = time.Second
	// defaultIdleTime is how long an idle connection is kept if the endpoint's
	// answer has no Keep-Alive timeout.
	defaultIdleTime = 4 * time.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout, so that
	// the endpoint doesn't close a connection while a request is in transit.
	idleMargin = 700 * time.Millisecond
	// readBufferSize is enough for a complete small answer, in bytes.
	readBufferSize = 4096
	// maxSkippedAnswers limits the interim answers and answers to other
	// requests that ReadHead skips.
	maxSkippedAnswers = 4
	// maxHeadBytes limits the head of an answer, and maxSkippedBytes the body of one that is skipped.
	maxHeadBytes, maxSkippedBytes = 64 << 10, 64 << 10
)

// ErrHeadTooLong means that the head of an answer is longer than maxHeadBytes.
var ErrHeadTooLong = errors.New("head of the answer too long")

// headLimiter reads from a connection and fails after a number of bytes while a head is read.
type headLimiter struct {
	net       io.Reader
	limited   bool
	remaining int                          // bytes; applies while limited is set
	account   func(bytes, lines int) error // see Conn.AccountHeads
	failed    error                        // why it has ended the reading of a head; nil if it hasn't
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.net.Read(p)
	}
	if l.remaining <= 0 {
		l.failed = ErrHeadTooLong
		return 0, l.failed
	}
	n, err := l.net.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	if n > 0 && l.account != nil {
		if l.failed = l.account(n, bytes.Count(p[:n], []byte{'\n'})); l.failed != nil {
			return n, l.failed
		}
	}
	return n, err
}

// ErrInvalidStatus means that the status of an answer is none of HTTP.
var ErrInvalidStatus = errors.New("status out of range")

// ValidStatus reports whether HTTP defines a class for a status, of a final or of an interim answer (RFC 9110, section 15). net/http reads answers with
// any three digits.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// ErrMismatchedAnswer means that the answers on a connection belong to other requests.
var ErrMismatchedAnswer = errors.New("answers belong to other requests")

// Conn is a connection to an endpoint. It is used by one goroutine at a time;
// only Abort may be called from another.
type Conn struct {
	net       net.Conn
	limiter   *headLimiter
	reader    *bufio.Reader
	reused    bool
	idleUntil time.Time // not reused after this time
	carried   carried
	// Confirmed means that the endpoint's process is known to be the one in its registry entry.
	Confirmed bool
}

// Reused reports whether an earlier exchange used the connection.
func (c *Conn) Reused() bool { return c.reused }

// dial opens a connection whose kernel timeouts detect an unreachable peer.
func dial(ctx context.Context, address string) (*Conn, error) {
	dialer := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 3},
		Control:         LimitUnacknowledged,
	}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "step=dial peer=%s", address)
	}
	limiter := &headLimiter{net: c}
	return &Conn{net: c, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferSize)}, nil
}

// LimitUnacknowledged is the net.Dialer.Control of connections that end if the peer doesn't acknowledge for ackTimeout.
func LimitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockoptErr)
}

// usable reports whether an idle connection is open and no data has arrived on
// it. Data that arrives between two requests belongs to neither of them.
func (c *Conn) usable() bool {
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
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		usable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && usable
}

// Write sends a request: its head, then its body, which is in pieces. After an error the request may have reached the
// endpoint.
func (c *Conn) Write(head []byte, body [][]byte) error {
	buffers := append(net.Buffers{head}, body...)
	_, err := buffers.WriteTo(c.net)
	return errors.Wrapf(err, "step=send peer=%s", c.net.RemoteAddr())
}

// ReadHead reads the head of the answer to a request with a method. It skips
// interim (1xx) answers and those whose headers don't match, and returns
// ErrMismatchedAnswer after maxSkippedAnswers of them, or if the connection can't be
// used after one. A head may not exceed maxHeadBytes.
func (c *Conn) ReadHead(method string, matches func(http.Header) bool) (*http.Response, error) {
	request := &http.Request{Method: method}
	for range maxSkippedAnswers {
		c.limiter.limited, c.limiter.remaining = true, maxHeadBytes
		response, err := http.ReadResponse(c.reader, request)
		c.limiter.limited = false
		if c.limiter.failed != nil {
			// The parser takes it for the end of a line.
			err = c.limiter.failed
		}
		if err != nil {
			return nil, errors.Wrapf(err, "step=read head peer=%s", c.net.RemoteAddr())
		}
		if !ValidStatus(response.StatusCode) {
			return nil, errors.Wrapf(ErrInvalidStatus, "step=read head peer=%s status=%03d", c.net.RemoteAddr(), response.StatusCode)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if matches(response.Header) {
			return response, nil
		}
		if !skip(response) {
			return nil, errors.Wrapf(ErrMismatchedAnswer, "step=read head peer=%s", c.net.RemoteAddr())
		}
	}
	return nil, errors.Wrapf(ErrMismatchedAnswer, "step=read head peer=%s", c.net.RemoteAddr())
}

// AccountHeads has a function called with the bytes and lines of heads as they arrive; nil for none. An error of it ends the reading of the head.
func (c *Conn) AccountHeads(account func(bytes, lines int) error) { c.limiter.account = account }

// skip reads the body of an answer to another request and reports whether the connection can be used
// after it.
func skip(response *http.Response) bool {
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
	return err == nil && n <= maxSkippedBytes && !response.Close
}

// closeConn closes a connection. It ignores the error, as the connection is
// unusable afterwards in any case.
func closeConn(c io.Closer) { _ = c.Close() }

// SetReadDeadline limits the reads that follow. The zero time removes the limit.
func (c *Conn) SetReadDeadline(t time.Time) {
	// On a closed connection the next read returns the error.
	_ = c.net.SetReadDeadline(t)
}

// Abort makes reads and writes in progress fail at once and resets the connection: after an ordinary close the kernel would still
// send what it holds, however late.
func (c *Conn) Abort() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(0)
	}
	closeConn(c.net)
}
