package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// failedEnd returns the end of a call with an outcome other than complete.
func failedEnd(outcome domain.Outcome, code entry.Code, retryAfter time.Duration) entry.CallerEnd {
	return entry.CallerEnd{
		Outcome:    outcome,
		Failure:    entry.Failure{Code: code, Step: entry.StepAnswer, Peer: "engine-9", Message: "as told"},
		RetryAfter: retryAfter,
	}
}

func TestFailedCalls(t *testing.T) {
	cases := []struct {
		code           entry.Code
		outcome        domain.Outcome
		retryAfter     time.Duration
		status         int
		wantRetryAfter string
	}{
		{entry.CodeUnknownClass, domain.OutcomeNotRun, 0, 400, ""},
		{entry.CodeUnknownService, domain.OutcomeNotRun, 0, 404, ""},
		{entry.CodeInvalidRequest, domain.OutcomeNotRun, 0, 400, ""},
		{entry.CodeRateLimited, domain.OutcomeNotRun, 1001 * time.Millisecond, 429, "2"},
		{entry.CodeOverloaded, domain.OutcomeNotRun, 3 * time.Second, 503, "3"},
		{entry.CodeOverloaded, domain.OutcomeNotRun, time.Millisecond, 503, "1"},
		{entry.CodeNoEndpoint, domain.OutcomeNotRun, 0, 503, "1"},
		{entry.CodeShuttingDown, domain.OutcomeNotRun, 0, 503, "1"},
		{entry.CodeStoreUnavailable, domain.OutcomeNotRun, 0, 503, "1"},
		{entry.CodeStoreUnavailable, domain.OutcomeUnknown, 0, 504, ""},
		{entry.CodeKeyInUse, domain.OutcomeUnknown, 2 * time.Second, 409, "2"},
		{entry.CodeKeyReused, domain.OutcomeNotRun, 0, 422, ""},
		{entry.CodeEndpointRefused, domain.OutcomeNotRun, 0, 502, ""},
		{entry.CodeEndpointFailed, domain.OutcomeUnknown, time.Second, 504, ""},
		{entry.CodeEndpointFailed, domain.OutcomePartial, 0, 502, ""},
		{entry.CodeAnswerInterrupted, domain.OutcomePartial, 0, 502, ""},
		{entry.CodeCancelled, domain.OutcomeNotRun, 0, 503, "1"},
		{entry.CodeCancelled, domain.OutcomePartial, time.Second, 502, ""},
	}
	bodies := map[string]string{"whole": chatBody, "streamed": streamBody, "plain": ""}
	for kind, body := range bodies {
		for _, c := range cases {
			t.Run(fmt.Sprintf("%s/%s/%s", kind, c.code, c.outcome), func(t *testing.T) {
				_, server := startServer(t, nil, failedEnd(c.outcome, c.code, c.retryAfter))
				path := chatPath
				if kind == "plain" {
					path = "/v1/services/tickets/buy"
				}
				got := do(t, request(t, server, "POST", path, body))
				assert.Equal(t, got.status, c.status)
				assert.Equal(t, got.header.Get("Retry-After"), c.wantRetryAfter)
				assert.Equal(t, got.header.Get(HeaderOutcome), c.outcome.String())
				detail := decodeError(t, got.body)
				assert.Equal(t, detail.Code, c.code)
				assert.Equal(t, detail.Step, entry.StepAnswer)
				assert.Equal(t, detail.Outcome, c.outcome.String())
			})
		}
	}
}

// recordSession sends a raw request and returns it with the submitted call and
// the raw response, in the form of the golden files.
func recordSession(t *testing.T, handler *fakeCallHandler, address, req string) string {
	t.Helper()
	raw := sendRaw(t, address, req)
	var out strings.Builder
	fmt.Fprintf(&out, "--- request\n%s\n", req)
	for _, call := range handler.submitted() {
		body := call.Body
		call.Body = nil
		fmt.Fprintf(&out, "--- call\n%+v\nbody: %s\n", call, body)
	}
	out.WriteString("--- answer\n")
	for line := range strings.SplitAfterSeq(raw, "\n") {
		if !strings.HasPrefix(line, "Date: ") {
			out.WriteString(line)
		}
	}
	return strings.ReplaceAll(out.String(), "\r", "")
}

func TestGoldenSessions(t *testing.T) {
	head := func(method, path, extra, body string) string {
		return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
			method, path, testKey, extra, len(body), body)
	}
	// The second output ends within a character.
	parts := []entry.Output{textData("At <ten> & "), textData("12 \xe2\x82"), textData("\xac\n"), completeEnd}
	truncated := []entry.Output{textData("At "), textData("ten"), failedEnd(domain.OutcomePartial, entry.CodeAnswerInterrupted, 0)}
	plainHead := entry.CallerHead{Status: 201, Headers: []entry.Header{
		{Name: "Content-Type", Value: "text/plain"}, {Name: "Set-Cookie", Value: "a=b"}, {Name: "Connection", Value: "X-Hop"},
		{Name: "X-Hop", Value: "1"}, {Name: "Dunlinpulley-Outcome", Value: "partial"}, {Name: "X-Seat", Value: "4"}}}
	headers := "Dunlinpulley-Class: kiosk\r\nIdempotency-Key: k-1\r\nX-Ticket: 7\r\nCookie: c=d\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"
	cases := []struct {
		name, request string
		outputs       []entry.Output
	}{
		{"whole", head("POST", chatPath, "Dunlinpulley-Class: kiosk\r\n", chatBody), parts},
		{"whole-cut", head("POST", chatPath, "", chatBody), truncated},
		{"streamed", head("POST", chatPath, "Idempotency-Key: k-1\r\n", streamBody), parts},
		{"streamed-cut", head("POST", chatPath, "", streamBody), truncated},
		{"streamed-not-run", head("POST", chatPath, "", streamBody),
			[]entry.Output{failedEnd(domain.OutcomeNotRun, entry.CodeOverloaded, 2*time.Second)}},
		{"plain", head("POST", "/v1/services/tickets/buy/a%2Fb?seat=4&x=%20", headers, "two"),
			[]entry.Output{plainHead, textData("seat "), textData("4"), completeEnd}},
		{"models", head("GET", "/v1/models", "", ""), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler, server := startServer(t, nil, c.outputs...)
			got := recordSession(t, handler, server.Listener.Addr().String(), c.request)
			golden.Assert(t, got, c.name+".golden")
		})
	}
}

// manualCallHandler passes the sink of each call to the test, which adds the outputs.
type manualCallHandler struct {
	sinks        chan Sink
	disconnected chan domain.CallID
}

func (m *manualCallHandler) Submit(_ entry.Call, sink Sink)        { m.sinks <- sink }
func (m *manualCallHandler) CallerDisconnected(call domain.CallID) { m.disconnected <- call }

func startManualCallHandler(t *testing.T, ping time.Duration) (*manualCallHandler, func(ctx context.Context, body string) *http.Request) {
	handler := &manualCallHandler{sinks: make(chan Sink, 1), disconnected: make(chan domain.CallID, 1)}
	_, server := startServer(t, func(o *Options) {
		o.CallHandler = handler
		o.PingInterval = ping
	})
	return handler, func(ctx context.Context, body string) *http.Request {
		return request(t, server, "POST", chatPath, body).WithContext(ctx)
	}
}

func TestCallerDisconnectIsReported(t *testing.T) {
	for _, body := range []string{chatBody, streamBody} {
		handler, newRequest := startManualCallHandler(t, time.Hour)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			res, err := http.DefaultClient.Do(newRequest(ctx, body))
			if err == nil {
				res.Body.Close()
			}
			done <- err
		}()
		sink := <-handler.sinks
		cancel()
		assert.ErrorIs(t, <-done, context.Canceled)
		assert.Equal(t, <-handler.disconnected, domain.CallID(1))
		sink.Put(textData("late"))
		sink.Put(completeEnd)
	}
}

func TestIdleStreamIsPinged(t *testing.T) {
	handler, newRequest := startManualCallHandler(t, time.Millisecond)
	res, err := http.DefaultClient.Do(newRequest(context.Background(), streamBody))
	assert.NilError(t, err)
	defer res.Body.Close()
	reader := bufio.NewReader(res.Body)
	line, err := reader.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, ": ping\n")
	(<-handler.sinks).Put(failedEnd(domain.OutcomeNotRun, entry.CodeOverloaded, time.Second))
	rest, err := io.ReadAll(reader)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(rest), "event: error\ndata: {"), string(rest))
	_, data, found := strings.Cut(string(rest), "event: outcome\ndata: ")
	assert.Assert(t, found && strings.HasSuffix(data, "}\n\n"), string(rest))
	// Client libraries read the choices of every event, so the list must be
	// present, and empty. An absent list would leave the one set here in place.
	// RequestID has no JSON tag, so the key is rewritten to match the field name.
	var chunk struct {
		ID, Object, Model  string
		Choices            []any
		Outcome, RequestID string
	}
	chunk.Choices = []any{"absent"}
	assert.NilError(t, json.Unmarshal([]byte(strings.ReplaceAll(data, "request_id", "requestid")), &chunk))
	assert.Equal(t, chunk.Object, "chat.completion.chunk")
	assert.Equal(t, len(chunk.Choices), 0)
	assert.Equal(t, chunk.Outcome, "not-run")
	assert.Equal(t, chunk.RequestID, "request-1")
	assert.Equal(t, res.Trailer.Get(HeaderOutcome), "not-run")
}

func TestPlainAnswerBuffering(t *testing.T) {
	head := entry.CallerHead{Status: 200}
	block := textData(strings.Repeat("x", maxBufferedBytes))
	path := "/v1/services/tickets/report"

	_, server := startServer(t, nil, head, block, textData("y"), completeEnd)
	got := do(t, request(t, server, "GET", path, ""))
	assert.Equal(t, got.trailer.Get(HeaderOutcome), "complete")
	assert.Equal(t, got.header.Get(HeaderOutcome), "")
	assert.Assert(t, got.body == string(block.Data)+"y")

	_, server = startServer(t, nil, head, block, completeEnd)
	got = do(t, request(t, server, "GET", path, ""))
	assert.Equal(t, got.header.Get(HeaderOutcome), "complete")
	assert.Assert(t, got.body == string(block.Data))
	assert.Equal(t, len(got.header.Values("Content-Type")), 0)

	// Server-sent events are not buffered.
	events := entry.CallerHead{Status: 200, Headers: []entry.Header{{Name: "content-type", Value: "text/event-stream"}}}
	_, server = startServer(t, nil, events, textData("data: 1\n\n"), completeEnd)
	assert.Equal(t, do(t, request(t, server, "GET", path, "")).trailer.Get(HeaderOutcome), "complete")

	// A truncated body does not look complete: the client gets an error.
	_, server = startServer(t, nil, head, block, textData("y"), failedEnd(domain.OutcomePartial, entry.CodeAnswerInterrupted, 0))
	res, err := http.DefaultClient.Do(request(t, server, "GET", path, ""))
	if err == nil {
		defer res.Body.Close()
		_, err = io.ReadAll(res.Body)
	}
	assert.ErrorContains(t, err, "EOF")
}

func TestInvalidStatusOfService(t *testing.T) {
	for _, status := range []int{0, 101, 600, 1000} {
		_, server := startServer(t, nil, entry.CallerHead{Status: status}, textData("x"), completeEnd)
		assert.Equal(t, do(t, request(t, server, "GET", "/v1/services/tickets", "")).status, 502)
	}
}

func TestPrefixAndFingerprint(t *testing.T) {
	long := strings.Repeat("s", maxPrefixBytes)
	body := `{"model":"m","messages":[{"role":"system","content":"%s"},{"role":"user","content":"a"},{"role":"user","content":"%s"}]}`
	first, _ := parseChatRequest([]byte(fmt.Sprintf(body, long+"1", "x")))
	second, _ := parseChatRequest([]byte(fmt.Sprintf(body, long+"2", "yy")))
	assert.Equal(t, first.prefix("desk"), second.prefix("desk"))
	assert.Assert(t, first.prefix("desk") != first.prefix("other"))
	assert.Assert(t, hashParts("ab", "c") != hashParts("a", "bc"))
	assert.Equal(t, first.promptTokens(), uint32(3*tokensPerMessage+maxPrefixBytes/bytesPerToken+1+1+1))
}

// Guards against calls that go on for callers that have left, as bytes behind the request hide the close.
func TestCallsGoOnBehindHiddenCloses(t *testing.T) {
	handler := &manualCallHandler{sinks: make(chan Sink, 1), disconnected: make(chan domain.CallID, 1)}
	_, server := startServer(t, func(o *Options) { o.CallHandler = handler })
	conn, err := net.Dial("tcp4", server.Listener.Addr().String())
	assert.NilError(t, err)
	_, err = fmt.Fprintf(conn, "GET /v1/services/tickets/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", testKey)
	assert.NilError(t, err)
	<-handler.sinks
	_, err = fmt.Fprint(conn, "\r\n")
	assert.NilError(t, err)
	// net/http reads one of the bytes in that time; if it doesn't, it sees the close.
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, conn.Close())
	select {
	case <-handler.disconnected:
	case <-time.After(30 * time.Second):
		t.Fatal("the call goes on")
	}
}
