package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// Guards against a connection that is kept after the reading of a body has timed out: net/http has cancelled its context,
// so that later requests on it would end at once.
func TestConnectionIsClosedAfterBodyTimeout(t *testing.T) {
	g := &Gateway{closed: &closings{}, callsCtx: context.Background()}
	g.bytes = newByteGuard(memorylimit.Limits{}, func() domain.Instant { return 0 }, g.closed)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "/", iotest.ErrReader(os.ErrDeadlineExceeded))
	assert.NilError(t, err)
	r.ContentLength = 10
	w := &deadlineRecorder{ResponseRecorder: httptest.NewRecorder()}
	c := &call{writer: w, http: r, config: &routing.Config{}, arrived: time.Now(), unread: true}
	assert.Assert(t, !g.readBody(c))
	assert.Equal(t, w.Code, http.StatusBadRequest)
	assert.Equal(t, w.Header().Get("Connection"), "close")
}
