package callerapi

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// decodeError decodes the JSON form of an error.
func decodeError(t *testing.T, body string) errorDetail {
	t.Helper()
	var decoded errorBody
	assert.NilError(t, json.Unmarshal([]byte(body), &decoded), body)
	return decoded.Error
}

func TestRejectedRequestsAreNotRun(t *testing.T) {
	withHeader := func(name string, values ...string) func(*http.Request) {
		return func(r *http.Request) { r.Header[http.CanonicalHeaderKey(name)] = values }
	}
	user := `"messages":[{"role":"user","content":"x"}]`
	cases := []struct {
		name, method, path, body string
		change                   func(*http.Request)
		status                   int
		code                     entry.Code
	}{
		{"no key", "POST", chatPath, chatBody, withHeader("Authorization"), 401, codeInvalidKey},
		{"wrong key", "POST", chatPath, chatBody, withHeader("Authorization", "Bearer sk-other"), 401, codeInvalidKey},
		{"empty key", "POST", chatPath, chatBody, withHeader("Authorization", "Bearer "), 401, codeInvalidKey},
		{"other scheme", "POST", chatPath, chatBody, withHeader("Authorization", "Basic "+testKey), 401, codeInvalidKey},
		{"two keys", "POST", chatPath, chatBody, withHeader("Authorization", "Bearer "+testKey, "Bearer x"), 401, codeInvalidKey},
		{"models without key", "GET", "/v1/models", "", withHeader("Authorization"), 401, codeInvalidKey},
		{"service without key", "POST", "/v1/services/tickets/buy", "", withHeader("Authorization"), 401, codeInvalidKey},
		{"unknown path", "GET", "/v2/models", "", nil, 404, codeNotFound},
		{"unknown model", "POST", chatPath, `{"model":"other",` + user + `}`, nil, 404, codeUnknownModel},
		{"unknown service", "POST", "/v1/services/other/x", "", nil, 404, entry.CodeUnknownService},
		{"model service as plain", "POST", "/v1/services/desk-model/x", "", nil, 404, entry.CodeUnknownService},
		{"unknown class", "POST", chatPath, chatBody, withHeader(HeaderClass, "other"), 400, entry.CodeUnknownClass},
		{"unknown class of service", "POST", "/v1/services/tickets/x", "", withHeader(HeaderClass, "other"), 400, entry.CodeUnknownClass},
		{"wrong method", "GET", chatPath, "", nil, 405, codeMethodNotAllowed},
		{"trace", "TRACE", "/v1/services/tickets/x", "", nil, 405, codeMethodNotAllowed},
		{"body too large", "POST", chatPath, strings.Repeat(" ", 1001) + chatBody, nil, 413, codeBodyTooLarge},
		{"service body too large", "PUT", "/v1/services/tickets/x", strings.Repeat("x", 1001), nil, 413, codeBodyTooLarge},
		{"no body", "POST", chatPath, "", nil, 400, entry.CodeInvalidRequest},
		{"broken JSON", "POST", chatPath, `{"model":`, nil, 400, entry.CodeInvalidRequest},
		{"second JSON", "POST", chatPath, chatBody + "{}", nil, 400, entry.CodeInvalidRequest},
		{"list", "POST", chatPath, "[]", nil, 400, entry.CodeInvalidRequest},
		{"no model", "POST", chatPath, "{" + user + "}", nil, 400, entry.CodeInvalidRequest},
		{"no messages", "POST", chatPath, `{"model":"salt-1"}`, nil, 400, entry.CodeInvalidRequest},
		{"no role", "POST", chatPath, `{"model":"salt-1","messages":[{"content":"x"}]}`, nil, 400, entry.CodeInvalidRequest},
		{"bad content", "POST", chatPath, `{"model":"salt-1","messages":[{"role":"user","content":7}]}`, nil, 400, entry.CodeInvalidRequest},
		{"two answers", "POST", chatPath, `{"n":2,"model":"salt-1",` + user + `}`, nil, 400, entry.CodeInvalidRequest},
		{"no tokens", "POST", chatPath, `{"max_tokens":0,"model":"salt-1",` + user + `}`, nil, 400, entry.CodeInvalidRequest},
		{"negative tokens", "POST", chatPath, `{"max_tokens":-1,"model":"salt-1",` + user + `}`, nil, 400, entry.CodeInvalidRequest},
		{"empty idempotency key", "POST", chatPath, chatBody, withHeader(HeaderIdempotencyKey, ""), 400, entry.CodeInvalidRequest},
		{"long idempotency key", "POST", chatPath, chatBody, withHeader(HeaderIdempotencyKey, strings.Repeat("k", 129)), 400, entry.CodeInvalidRequest},
		{"idempotency key with slash", "POST", chatPath, chatBody, withHeader(HeaderIdempotencyKey, "a/b"), 400, entry.CodeInvalidRequest},
		{"two idempotency keys", "POST", chatPath, chatBody, withHeader(HeaderIdempotencyKey, "a", "b"), 400, entry.CodeInvalidRequest},
		{"dot segments", "GET", "/v1/services/tickets/a/%2E%2e/b", "", nil, 400, entry.CodeInvalidRequest},
	}
	handler, server := startServer(t, func(o *Options) { o.MaxBodyBytes = 1000 }, completeEnd)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := request(t, server, c.method, c.path, c.body)
			if c.change != nil {
				c.change(req)
			}
			got := do(t, req)
			assert.Equal(t, got.status, c.status, got.body)
			assert.Equal(t, got.header.Get(HeaderOutcome), "not-run")
			assert.Equal(t, got.header.Get(HeaderRequestID), "request-1")
			detail := decodeError(t, got.body)
			assert.Equal(t, detail.Code, c.code)
			assert.Equal(t, detail.Step, stepParse)
			assert.Equal(t, detail.RequestID, domain.RequestID("request-1"))
			assert.Assert(t, !strings.Contains(got.body, "sk-"), got.body)
		})
	}
	assert.Equal(t, len(handler.submitted()), 0)
}

func TestMethodNotAllowedListsAllowedMethods(t *testing.T) {
	_, server := startServer(t, nil)
	assert.Equal(t, do(t, request(t, server, "DELETE", chatPath, "")).header.Get("Allow"), "POST")
	assert.Equal(t, do(t, request(t, server, "PUT", "/v1/models", "")).header.Get("Allow"), "GET")
}

func TestNoConfigurationYet(t *testing.T) {
	handler, server := startServer(t, func(o *Options) { o.Config = func() domain.Config { return nil } })
	got := do(t, request(t, server, "POST", chatPath, chatBody))
	assert.Equal(t, got.status, 503)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	assert.Equal(t, got.header.Get(HeaderOutcome), "not-run")
	assert.Equal(t, len(handler.submitted()), 0)
}

// sendRaw opens a connection, writes the text and reads until the server closes it.
func sendRaw(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, text)
	assert.NilError(t, err)
	got, err := io.ReadAll(conn)
	assert.NilError(t, err)
	return string(got)
}

func TestSlowBodyIsNotRun(t *testing.T) {
	handler, server := startServer(t, func(o *Options) { o.BodyTimeout = time.Millisecond }, completeEnd)
	got := sendRaw(t, server.Listener.Addr().String(),
		"POST "+chatPath+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+"\r\nContent-Length: 9\r\n\r\n{")
	assert.Assert(t, strings.HasPrefix(got, "HTTP/1.1 408 "), got)
	assert.Assert(t, strings.Contains(got, HeaderOutcome+": not-run\r\n"), got)
	assert.Equal(t, len(handler.submitted()), 0)
}

func TestSlowHeadersCloseTheConnection(t *testing.T) {
	assert.Equal(t, NewServer(nil).ReadHeaderTimeout, headerTimeout)
	handler := &fakeCallHandler{}
	server := NewServer(New(Options{CallHandler: handler, Config: func() domain.Config { return fakeConfig{} }}))
	server.ReadHeaderTimeout = time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	sendRaw(t, listener.Addr().String(), "POST "+chatPath+" HTTP/1.1\r\nHost:")
	assert.Equal(t, len(handler.submitted()), 0)
}

func TestHealth(t *testing.T) {
	var notReady error
	_, server := startServer(t, func(o *Options) {
		o.Ready = func() error { return notReady }
		o.Metrics = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeText(w, 200, "up 1\n") })
	})
	get := func(path string) response { return do(t, request(t, server, "GET", path, "")) }
	assert.Equal(t, get("/livez").status, 200)
	assert.Equal(t, get("/readyz").status, 200)
	assert.Equal(t, get("/metrics").body, "up 1\n")
	notReady = io.EOF
	assert.Equal(t, get("/readyz").status, 503)
	assert.Equal(t, get("/livez").status, 200)
}
