package callerapi

import (
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
	"github.com/dunlinpulley/dunlinpulley/internal/hangup"
)

const testKey = "sk-desk"

// fakeConfig has one account, one model service and one plain service.
type fakeConfig struct{ domain.Config }

func (fakeConfig) AccountByKey(hash domain.KeyHash) (domain.AccountID, bool) {
	return "desk", hash == sha256.Sum256([]byte(testKey))
}
func (fakeConfig) Class(_ domain.AccountID, class domain.ClassName) (domain.Class, bool) {
	return domain.Class{Name: class}, class == "kiosk"
}
func (fakeConfig) Service(name domain.ServiceName) (domain.Service, bool) {
	kinds := map[domain.ServiceName]domain.ServiceKind{"desk-model": domain.ServiceModel, "tickets": domain.ServicePlain}
	return domain.Service{Name: name, Kind: kinds[name]}, kinds[name] != 0
}
func (fakeConfig) ServiceOf(model domain.ModelName) (domain.ServiceName, bool) {
	return "desk-model", model == "salt-1"
}
func (fakeConfig) Models() []domain.ModelName { return []domain.ModelName{"salt-1", "salt-2"} }

// fakeCallHandler answers every call with the same outputs.
type fakeCallHandler struct {
	outputs      []entry.Output
	disconnected chan domain.CallID

	mu    sync.Mutex
	calls []entry.Call
}

func (f *fakeCallHandler) Submit(call entry.Call, sink Sink) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	for _, out := range f.outputs {
		sink.Put(out)
	}
}
func (f *fakeCallHandler) CallerDisconnected(call domain.CallID) { f.disconnected <- call }

func (f *fakeCallHandler) submitted() []entry.Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// startServer starts a server with a call handler that answers every call with the outputs.
func startServer(t *testing.T, change func(*Options), outputs ...entry.Output) (*fakeCallHandler, *httptest.Server) {
	t.Helper()
	handler := &fakeCallHandler{outputs: outputs, disconnected: make(chan domain.CallID, 16)}
	opts := Options{
		CallHandler:  handler,
		Config:       func() domain.Config { return fakeConfig{} },
		NewRequestID: func() domain.RequestID { return "request-1" },
		Now:          func() time.Time { return time.Unix(1700000000, 0) },
		PingInterval: time.Hour,
	}
	if change != nil {
		change(&opts)
	}
	server := httptest.NewUnstartedServer(nil)
	server.Config = NewServer(New(opts))
	server.Listener = hangup.Listen(server.Listener)
	server.Start()
	t.Cleanup(server.Close)
	return handler, server
}

// request returns a request with the account's key.
func request(t *testing.T, server *httptest.Server, method, path, body string) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	return req
}

// response is an HTTP response that was read to its end.
type response struct {
	status          int
	header, trailer http.Header
	body            string
}

// do sends a request and reads the response to its end.
func do(t *testing.T, req *http.Request) response {
	t.Helper()
	res, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return response{res.StatusCode, res.Header, res.Trailer, string(body)}
}

const (
	chatBody   = `{"model":"salt-1","messages":[{"role":"system","content":"Be brief."},{"role":"user","content":[{"type":"text","text":"When?"}]}],"seed":4}`
	streamBody = `{"model":"salt-1","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"When?"}]}`
)

var completeEnd = entry.CallerEnd{Outcome: domain.OutcomeComplete, FinishReason: "stop", PromptTokens: 9, AnswerTokens: 2}

func textData(s string) entry.CallerData { return entry.CallerData{Data: []byte(s), Tokens: 1} }

func TestBufferedChat(t *testing.T) {
	handler, server := startServer(t, nil, textData("At <ten> "), textData("o'clock"), completeEnd)
	got := do(t, request(t, server, "POST", chatPath, chatBody))
	assert.Equal(t, got.status, 200, got.body)
	assert.Equal(t, got.header.Get(HeaderOutcome), "complete")
	assert.Assert(t, strings.Contains(got.body, `"content":"At <ten> o'clock"`), got.body)
	call := handler.submitted()[0]
	assert.Equal(t, string(call.Body), chatBody)
	assert.Equal(t, call.Account, domain.AccountID("desk"))
	server.Close()
	assert.Equal(t, len(handler.disconnected), 0)
}

func TestStreamedChat(t *testing.T) {
	_, server := startServer(t, nil, textData("At "), textData("ten"), completeEnd)
	got := do(t, request(t, server, "POST", chatPath, streamBody))
	assert.Equal(t, got.trailer.Get(HeaderOutcome), "complete")
	assert.Equal(t, got.trailer.Get(HeaderRequestID), "request-1")
	assert.Equal(t, got.header.Get(HeaderRequestID), "request-1")
	assert.Assert(t, strings.HasSuffix(got.body, "data: [DONE]\n\n"), got.body)
}
