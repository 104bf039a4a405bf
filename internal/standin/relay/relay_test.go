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

// glance is how long a test waits for what must not come.
const glance = 50 * time.Millisecond

// echo starts a relay before a server that sends back what it gets.
func echo(t *testing.T) *Relay {
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

// say sends a word and returns the error of waiting for it to come back.
func say(t *testing.T, conn net.Conn, wait time.Duration) error {
	t.Helper()
	if _, err := conn.Write([]byte("word")); err != nil {
		return err
	}
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(wait)))
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

const patience = 10 * time.Second

func TestHarm(t *testing.T) {
	for _, c := range []struct {
		name string
		harm func(*Relay)
		old  error // of a connection that stood before
		new  error // of one made after
	}{
		{"none", func(*Relay) {}, nil, nil},
		{"silence", (*Relay).Silence, os.ErrDeadlineExceeded, nil},
		{"deafen", (*Relay).Deafen, os.ErrDeadlineExceeded, nil},
		{"mute", (*Relay).Mute, os.ErrDeadlineExceeded, nil},
		{"reset", (*Relay).Reset, syscall.ECONNRESET, nil},
		{"dark", func(r *Relay) { r.SetDark(true) }, os.ErrDeadlineExceeded, os.ErrDeadlineExceeded},
		{"dark no more", func(r *Relay) { r.SetDark(true); r.SetDark(false) }, os.ErrDeadlineExceeded, nil},
	} {
		r := echo(t)
		old := dial(t, r)
		assert.NilError(t, say(t, old, patience))
		c.harm(r)
		check := func(conn net.Conn, want error) {
			wait := patience
			if want != nil {
				wait = glance
			}
			err := say(t, conn, wait)
			assert.Assert(t, want == nil && err == nil || want != nil && errors.Is(err, want), "%s: %v", c.name, err)
		}
		check(old, c.old)
		check(dial(t, r), c.new)
	}
}

func TestDelay(t *testing.T) {
	r := echo(t)
	conn := dial(t, r)
	r.SetDelay(glance)
	began := time.Now()
	assert.NilError(t, say(t, conn, patience))
	assert.Assert(t, time.Since(began) >= 2*glance) // there and back
}
