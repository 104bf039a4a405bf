package relay

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/loopback"
)

// noReplyWait is how long a test waits to see that no reply arrives.
// TestDelayEachDirection uses it as the delay of each direction.
const noReplyWait = 50 * time.Millisecond

// startEchoRelay starts an echo server and a relay in front of it.
func startEchoRelay(t *testing.T) *Relay {
	t.Helper()
	l, err := net.Listen("tcp4", loopback.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	r, err := Start(loopback.Address(), l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// roundTrip sends four bytes and returns the error of reading them back within wait.
func roundTrip(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte("word")); err != nil {
		return err
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

// replyTimeout is the maximum wait for an expected reply.
const replyTimeout = 10 * time.Second

// Each fault must affect exactly the connections it claims to: those open when it is
// injected, later ones, or both.
func TestConnectionFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(*Relay)
		old    error // expected on a connection opened before the fault
		new    error // expected on a connection opened after it
	}{
		{"none", func(*Relay) {}, nil, nil},
		{"silence", (*Relay).DropBoth, os.ErrDeadlineExceeded, nil},
		{"deafen", (*Relay).DropUpstream, os.ErrDeadlineExceeded, nil},
		{"mute", (*Relay).DropDownstream, os.ErrDeadlineExceeded, nil},
		{"reset", (*Relay).Reset, syscall.ECONNRESET, nil},
		{"dark", func(r *Relay) { r.SetBlackhole(true) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"blackhole ended", func(r *Relay) { r.SetBlackhole(true); r.SetBlackhole(false) }, os.ErrDeadlineExceeded, nil},
	} {
		r := startEchoRelay(t)
		old := dial(t, r)
		assert.NilError(t, roundTrip(t, old, replyTimeout))
		c.inject(r)
		checkRoundTrip := func(conn net.Conn, want error) {
			wait := replyTimeout
			if want != nil {
				wait = noReplyWait
			}
			err := roundTrip(t, conn, wait)
			assert.Assert(t, want == nil && err == nil || want != nil && errors.Is(err, want), "%s: %v", c.name, err)
		}
		checkRoundTrip(old, c.old)
		checkRoundTrip(dial(t, r), c.new)
	}
}

func TestDelayEachDirection(t *testing.T) {
	r := startEchoRelay(t)
	conn := dial(t, r)
	r.SetDelay(noReplyWait)
	start := time.Now()
	assert.NilError(t, roundTrip(t, conn, replyTimeout))
	assert.Assert(t, time.Since(start) >= 2*noReplyWait)
}
