package gateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deadlineRecorder is an http.ResponseWriter that keeps the last read deadline.
type deadlineRecorder struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetReadDeadline is called by http.ResponseController.
func (r *deadlineRecorder) SetReadDeadline(t time.Time) error {
	r.deadline = t
	return nil
}

// Guards against the loss of a refusal by a reset when a caller on a slow link sends its whole body before it reads: the
// body is read for as long as that of a request that is served.
func TestRefusedBodyIsReadUntilItsTimeout(t *testing.T) {
	const rest = "the rest"
	body := strings.NewReader(rest)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
	assert.NilError(t, err)
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	w.Header().Set("Connection", "close")
	c := &call{writer: w, http: r, arrived: time.Now().Add(-time.Second), unread: true}
	(&Gateway{}).drain(c)
	assert.Assert(t, w.deadline.Equal(c.arrived.Add(bodyReadTimeout)))
	assert.Equal(t, body.Len(), 0)
	assert.Assert(t, w.Flushed)
}
