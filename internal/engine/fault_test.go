package engine_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/engine"
	standin "github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/netfault"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/service"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// testIdleTimeout is an idle timeout short enough for a test, and much longer
// than the stand-in's time per token.
const testIdleTimeout = 300 * time.Millisecond

// startFaulty starts a stand-in engine whose connections can be faulted.
func startFaulty(t *testing.T) (*standin.Engine, *engine.Client) {
	t.Helper()
	server, err := netfault.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	e := standin.New(standin.Options{Seed: testSeed, StepBase: 5 * time.Millisecond, Network: server})
	server.Serve(e)
	t.Cleanup(server.Close)
	t.Cleanup(e.Close)
	return e, engine.New(engine.Options{Address: server.Addr(), Kind: domain.ServiceModel, IdleTimeout: testIdleTimeout})
}

func runToEnd(t *testing.T, c *engine.Client, run uint64, h *pb.HandOver) *recorder {
	t.Helper()
	r := newRecorder()
	c.Start(run, h, r)
	<-r.ended
	return r
}

func TestCrashBreaksTheRunAndLaterRunsAreNotSent(t *testing.T) {
	e, c := startFaulty(t)
	assert.NilError(t, e.SetFaults(standin.Faults{CrashAfterTokens: 3}))
	h := modelHandOver(t, "a", "hello")
	r := runToEnd(t, c, 1, h)
	assert.Equal(t, r.reason, pb.EndReason_END_BROKEN, r.message)
	assert.Equal(t, runToEnd(t, c, 2, h).reason, pb.EndReason_END_NOT_SENT)
	assert.NilError(t, e.SetFaults(standin.Faults{}))
	assert.Equal(t, runToEnd(t, c, 3, h).reason, pb.EndReason_END_COMPLETE)
}

func TestUnresponsiveEngineBreaksTheRun(t *testing.T) {
	e, c := startFaulty(t)
	assert.NilError(t, e.SetFaults(standin.Faults{Silent: true}))
	r := runToEnd(t, c, 1, modelHandOver(t, "a", "hello"))
	assert.Equal(t, r.reason, pb.EndReason_END_BROKEN, r.message)
	assert.Assert(t, strings.Contains(r.message, "silence"), r.message)
	assert.Equal(t, r.text.Len(), 0)
}

func TestUnresponsiveConnectionsAreNotReused(t *testing.T) {
	e, c := startFaulty(t)
	h := modelHandOver(t, "a", "hello")
	assert.Equal(t, runToEnd(t, c, 1, h).reason, pb.EndReason_END_COMPLETE)
	r := newRecorder()
	c.Start(2, h, r)
	<-r.firstData
	assert.NilError(t, e.SetFaults(standin.Faults{MuteOpen: true}))
	<-r.ended
	assert.Equal(t, r.reason, pb.EndReason_END_BROKEN, r.message)
	assert.Equal(t, runToEnd(t, c, 3, h).reason, pb.EndReason_END_COMPLETE)
}

func TestIncompleteOrInvalidStreamsBreakTheRun(t *testing.T) {
	const text = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	const finish = `data: {"choices":[{"delta":{},"finish_reason":"stop"}]}` + "\n\n"
	const done = "data: [DONE]\n\n"
	tests := []struct {
		name, stream string
		want         pb.EndReason
	}{
		{"whole", text + finish + done, pb.EndReason_END_COMPLETE},
		{"no finish", text + done, pb.EndReason_END_BROKEN},
		{"no done", text + finish, pb.EndReason_END_BROKEN},
		{"cut in an event", text + finish + "data: [DONE]", pb.EndReason_END_BROKEN},
		{"error event", text + `data: {"error":{"message":"m"}}` + "\n\n" + finish + done, pb.EndReason_END_BROKEN},
		{"not JSON", "data: x\n\n", pb.EndReason_END_BROKEN},
		{"empty", "", pb.EndReason_END_BROKEN},
		{"too long", strings.Repeat(text, 100) + finish + done, pb.EndReason_END_BROKEN},
	}
	for _, test := range tests {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(test.stream)) })
		c := engine.New(engine.Options{Address: serve(t, handler), Kind: domain.ServiceModel, MaxAnswerBytes: 50})
		r := runToEnd(t, c, 1, modelHandOver(t, "a", "hello"))
		assert.Equal(t, r.reason, test.want, test.name)
		assert.Equal(t, r.endCount, 1, test.name)
	}
}

func TestRejections(t *testing.T) {
	tests := []struct {
		status       int
		notRunHeader bool
		want         pb.EndReason
	}{
		{http.StatusTooManyRequests, true, pb.EndReason_END_REFUSED},
		{http.StatusServiceUnavailable, true, pb.EndReason_END_REFUSED},
		{http.StatusTooManyRequests, false, pb.EndReason_END_BROKEN},
		{http.StatusServiceUnavailable, false, pb.EndReason_END_BROKEN},
		{http.StatusInternalServerError, true, pb.EndReason_END_BROKEN},
		{http.StatusRequestTimeout, false, pb.EndReason_END_BROKEN},
		{http.StatusBadRequest, false, pb.EndReason_END_INVALID},
		{http.StatusFound, false, pb.EndReason_END_BROKEN},
	}
	for _, test := range tests {
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if test.notRunHeader {
				w.Header().Set("X-Not-Run", "true")
			}
			w.WriteHeader(test.status)
		})
		c := engine.New(engine.Options{Address: serve(t, handler), Kind: domain.ServiceModel})
		r := runToEnd(t, c, 1, modelHandOver(t, "a", "hello"))
		assert.Equal(t, r.reason, test.want, "status %d, X-Not-Run %v", test.status, test.notRunHeader)
	}
}

// startClosingServer starts a server that answers the first request of each
// connection and closes the connection after reading the second. It counts the
// requests.
func startClosingServer(t *testing.T) (address string, requests *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for i := range 2 {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					requests.Add(1)
					if i == 0 {
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
					}
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

func TestTransportDoesNotResendRequests(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		failed := false
		for attempt := 0; !failed; attempt++ {
			assert.Assert(t, attempt < 1000, "%s: no second request reused the connection", method)
			failed = secondRequestFails(t, method)
		}
	}
}

// secondRequestFails sends two requests and checks that neither is sent twice.
// It reports whether the second one failed, which depends on whether the
// transport reused the first connection.
func secondRequestFails(t *testing.T, method string) bool {
	t.Helper()
	address, requests := startClosingServer(t)
	c := engine.New(engine.Options{Address: address, Kind: domain.ServicePlain})
	headers := []*pb.Header{{Name: "Idempotency-Key", Value: "k"}}
	h := &pb.HandOver{Method: method, Path: "/", Headers: headers, Idempotent: true}
	if method != http.MethodGet {
		h.Body = []byte("x")
	}
	assert.Equal(t, runToEnd(t, c, 1, h).reason, pb.EndReason_END_COMPLETE)
	r := runToEnd(t, c, 2, h)
	c.Close()
	assert.Equal(t, requests.Load(), int32(2), method)
	if r.reason == pb.EndReason_END_COMPLETE {
		return false
	}
	assert.Equal(t, r.reason, pb.EndReason_END_BROKEN, r.message)
	return true
}

func TestNonIdempotentRunsUseNewConnections(t *testing.T) {
	address, requests := startClosingServer(t)
	c := engine.New(engine.Options{Address: address, Kind: domain.ServicePlain})
	for i := range uint64(3) {
		r := runToEnd(t, c, i, &pb.HandOver{Method: http.MethodPost, Path: "/"})
		assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
	}
	assert.Equal(t, requests.Load(), int32(3))
}

func TestEmptyBodyIsNotChunked(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodDelete, http.MethodPut, http.MethodPost} {
		chunked := make(chan bool, 1)
		handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { chunked <- len(r.TransferEncoding) > 0 })
		c := engine.New(engine.Options{Address: serve(t, handler), Kind: domain.ServicePlain})
		r := runToEnd(t, c, 1, &pb.HandOver{Method: method, Path: "/", Idempotent: true})
		assert.Equal(t, r.reason, pb.EndReason_END_COMPLETE, r.message)
		assert.Assert(t, !<-chunked, method)
	}
}

func TestPlainServiceCrashes(t *testing.T) {
	s := service.New(service.Options{ServiceTime: time.Millisecond})
	c := engine.New(engine.Options{Address: serve(t, s), Kind: domain.ServicePlain})
	h := &pb.HandOver{RequestId: "a", Method: http.MethodPost, Path: "/"}
	assert.NilError(t, s.SetFaults(service.Faults{CrashBeforeNext: 1}))
	assert.Equal(t, runToEnd(t, c, 1, h).reason, pb.EndReason_END_BROKEN)
	assert.Equal(t, s.Counters().ByRequest["a"], 0)
	assert.NilError(t, s.SetFaults(service.Faults{CrashAfterNext: 1}))
	assert.Equal(t, runToEnd(t, c, 2, h).reason, pb.EndReason_END_BROKEN)
	assert.Equal(t, s.Counters().ByRequest["a"], 1)
	assert.Equal(t, runToEnd(t, c, 3, h).reason, pb.EndReason_END_COMPLETE)
	assert.Equal(t, s.Counters().ByRequest["a"], 2)
}

func TestUnresponsivePlainServiceTimesOut(t *testing.T) {
	s := service.New(service.Options{ServiceTime: time.Millisecond})
	assert.NilError(t, s.SetFaults(service.Faults{Silent: true}))
	c := engine.New(engine.Options{Address: serve(t, s), Kind: domain.ServicePlain, PlainTimeout: testIdleTimeout})
	r := runToEnd(t, c, 1, &pb.HandOver{Method: http.MethodPost, Path: "/"})
	assert.Equal(t, r.reason, pb.EndReason_END_BROKEN, r.message)
}
