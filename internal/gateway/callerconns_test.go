package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
)

// serveGuarded starts a server whose connections are bounded and returns its guard and address.
func serveGuarded(t testing.TB, limits memorylimit.ConnLimits) (*connGuard, string) {
	t.Helper()
	began := time.Now()
	guard := newConnGuard(limits, func() domain.Instant { return domain.Instant(time.Since(began)) }, &closings{})
	server := ownPageServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), guard)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(guardedListener{listener, guard}) }()
	t.Cleanup(func() { _ = server.Close() })
	return guard, listener.Addr().String()
}

// get makes a request on a connection.
func get(conn net.Conn) error {
	if _, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against connections that a flood of silent ones closes although they are in use, and a bound that is exceeded.
func TestFloodLeavesUsedConnections(t *testing.T) {
	guard, address := serveGuarded(t, memorylimit.ConnLimits{Conns: 8})
	used, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	defer used.Close()
	assert.NilError(t, get(used))
	for range 100 {
		silent, err := net.Dial("tcp4", address)
		assert.NilError(t, err)
		defer silent.Close()
	}
	last, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	defer last.Close()
	assert.NilError(t, get(last))
	assert.NilError(t, get(used))
	conns, _ := guard.held()
	assert.Assert(t, conns <= 8)
}

// BenchmarkConnectionMemory is what an idle connection takes after a request, in heap and stacks; the client's end takes part of it.
func BenchmarkConnectionMemory(b *testing.B) {
	const conns = 500
	_, address := serveGuarded(b, memorylimit.ConnLimits{})
	memory := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc + m.StackInuse)
	}
	before := memory()
	for b.Loop() {
		for range conns {
			conn, err := net.Dial("tcp4", address)
			assert.NilError(b, err)
			defer conn.Close()
			assert.NilError(b, get(conn))
		}
		b.ReportMetric((memory()-before)/conns, "bytes/connection")
		before = memory()
	}
}

// Guards against a request that was sent within the configuration's limit and is cut while it is in transit, and a limit of
// zero that becomes one.
func TestOverdueSlack(t *testing.T) {
	assert.Equal(t, withSlack(time.Minute), time.Minute+overdueSlack)
	assert.Equal(t, withSlack(0), time.Duration(0))
}
