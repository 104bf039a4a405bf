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

// noReplyWait is how long a test waits for what must not come.
const noReplyWait = 50 * time.Millisecond

// startEchoRelay starts a relay before a server that sends back what it gets.
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

// roundTrip sends a word and returns the error of waiting for it to come back.
func roundTrip(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte("word")); err != nil {
		return err
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

const replyTimeout = 10 * time.Second

func TestConnectionFaults(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*Relay)
		old  error // of a connection that stood before
		new  error // of one made after
	}{
		{"none", func(*Relay) {}, nil, nil},
		{"silence", (*Relay).Silence, os.ErrDeadlineExceeded, nil},
		{"deafen", (*Relay).DropUpstream, os.ErrDeadlineExceeded, nil},
		{"mute", (*Relay).DropDownstream, os.ErrDeadlineExceeded, nil},
		{"reset", (*Relay).Reset, syscall.ECONNRESET, nil},
		{"dark", func(r *Relay) { r.SetBlackhole(true) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"dark no more", func(r *Relay) { r.SetBlackhole(true); r.SetBlackhole(false) }, os.ErrDeadlineExceeded, nil},
	} {
		r := startEchoRelay(t)
		old := dial(t, r)
		assert.NilError(t, roundTrip(t, old, replyTimeout))
		c.harm(r)
		check := func(conn net.Conn, want error) {
			wait := replyTimeout
			if want != nil {
				wait = noReplyWait
			}
			err := roundTrip(t, conn, wait)
			assert.Assert(t, want == nil && err == nil || want != nil && errors.Is(err, want), "%s: %v", c.name, err)
		}
		check(old, c.old)
		check(dial(t, r), c.new)
	}
}

func TestDelayEachDirection(t *testing.T) {
	r := startEchoRelay(t)
	conn := dial(t, r)
	r.SetDelay(noReplyWait)
	began := time.Now()
	assert.NilError(t, roundTrip(t, conn, replyTimeout))
	assert.Assert(t, time.Since(began) >= 2*noReplyWait) // there and back
}
