package hangup

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// accept returns both ends of a connection.
func accept(t *testing.T) (client *net.TCPConn, server *Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	conn, err := net.Dial("tcp4", l.Addr().String())
	assert.NilError(t, err)
	accepted, err := Listen(l).Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn.(*net.TCPConn), accepted.(*Conn)
}

// A client is there until it closes or resets the connection, whatever it has sent that is unread.
func TestGone(t *testing.T) {
	for _, linger := range []int{-1, 0} {
		client, server := accept(t)
		assert.Assert(t, !server.Gone())
		_, err := client.Write(make([]byte, 64<<10))
		assert.NilError(t, err)
		assert.Assert(t, !server.Gone())
		assert.NilError(t, client.SetLinger(linger))
		assert.NilError(t, client.Close())
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if !server.Gone() {
				return poll.Continue("not gone")
			}
			return poll.Success()
		}, poll.WithTimeout(30*time.Second))
	}
}

// A request is watched from the byte that net/http reads ahead of it until its end, and the next one on the connection again.
func TestWatchEndsWithTheRequest(t *testing.T) {
	client, server := accept(t)
	for range 3 {
		_, err := io.WriteString(client, "GET / HTTP/1.1\r\n\r\n+")
		assert.NilError(t, err)
		_, err = io.ReadFull(server, make([]byte, 18))
		assert.NilError(t, err)
		r, err := http.NewRequestWithContext(NewContext(t.Context(), server), http.MethodGet, "/", nil)
		assert.NilError(t, err)
		watched, stop := Watch(r)
		_, err = server.Read(make([]byte, 1))
		assert.NilError(t, err)
		time.Sleep(2 * watchInterval)
		assert.NilError(t, watched.Context().Err())
		assert.Assert(t, !Left(watched.Context()))
		stop()
		assert.Assert(t, watched.Context().Err() != nil)
	}
	r, err := http.NewRequestWithContext(NewContext(t.Context(), server), http.MethodGet, "/", nil)
	assert.NilError(t, err)
	watched, stop := Watch(r)
	defer stop()
	assert.NilError(t, client.Close())
	<-watched.Context().Done()
}
