package callerapi

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/entry"
)

// handle serves a request without a connection. It returns the response and the
// submitted calls.
func handle(req *http.Request) (*httptest.ResponseRecorder, []entry.Call) {
	outputs := []entry.Output{entry.CallerHead{Status: 200}, textData("x"), completeEnd}
	handler := &fakeCallHandler{outputs: outputs, disconnected: make(chan domain.CallID, 1)}
	req.Header.Set("Authorization", "Bearer "+testKey)
	w := httptest.NewRecorder()
	New(Options{CallHandler: handler, Config: func() domain.Config { return fakeConfig{} }}).ServeHTTP(w, req)
	return w, handler.submitted()
}

// FuzzChat sends arbitrary bodies. Each request must be either rejected as not
// run without a call, or submitted once with the unchanged body.
func FuzzChat(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(streamBody))
	f.Add([]byte(`{"model":"salt-1","messages":[{"role":"user","content":null}],"max_tokens":1e9}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		w, calls := handle(httptest.NewRequest("POST", chatPath, strings.NewReader(string(body))))
		switch {
		case w.Code == http.StatusOK:
			if len(calls) != 1 || string(calls[0].Body) != string(body) {
				t.Fatalf("submitted %d calls for %q", len(calls), body)
			}
		case len(calls) != 0 || w.Header().Get(HeaderOutcome) != "not-run":
			t.Fatalf("status %d with %d calls for %q", w.Code, len(calls), body)
		}
	})
}

// FuzzServiceRequest sends arbitrary paths and headers. A submitted path must
// have no parent segment, and submitted headers must not be excluded ones.
func FuzzServiceRequest(f *testing.F) {
	f.Add("/a/b?x=1", "X-A", "1")
	f.Add("/a/../b", "Connection", "X-B, close")
	f.Add("//%2e%2E", "Cookie", "a")
	f.Fuzz(func(t *testing.T, path, name, value string) {
		req, err := http.NewRequest("GET", "http://entry/v1/services/tickets/"+path, http.NoBody)
		if err != nil {
			return
		}
		req.Header.Set(name, value)
		_, calls := handle(req)
		for _, call := range calls {
			path, _, _ := strings.Cut(call.Path, "?")
			if !strings.HasPrefix(path, "/") || strings.Contains(path+"/", "/../") {
				t.Fatalf("path %q", call.Path)
			}
			for _, h := range call.Headers {
				if isExcludedHeader(http.CanonicalHeaderKey(h.Name)) {
					t.Fatalf("header %q", h.Name)
				}
			}
		}
	})
}

// FuzzChunks splits arbitrary text at two places. The chunks of a stream must
// join to the same bytes, and no chunk of valid text may end within a character.
func FuzzChunks(f *testing.F) {
	f.Add([]byte("a€😀z"), uint8(2), uint8(6))
	f.Add([]byte("\xf0\x9f"), uint8(1), uint8(1))
	f.Fuzz(func(t *testing.T, whole []byte, first, second uint8) {
		i := min(int(first), len(whole))
		j := min(max(int(second), i), len(whole))
		var incomplete, joined []byte
		for _, part := range [][]byte{whole[:i], whole[i:j], whole[j:]} {
			chunk := append(incomplete, part...)
			end := completeRunesLen(chunk)
			if utf8.Valid(whole) && !utf8.Valid(chunk[:end]) {
				t.Fatalf("chunk %q of %q", chunk[:end], whole)
			}
			joined = append(joined, chunk[:end]...)
			incomplete = append([]byte(nil), chunk[end:]...)
		}
		if string(joined)+string(incomplete) != string(whole) {
			t.Fatalf("%q became %q and %q", whole, joined, incomplete)
		}
	})
}
