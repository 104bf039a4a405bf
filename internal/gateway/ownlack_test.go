package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// Guards against endpoints that are avoided because the gateway has no memory for their answers, or no connection left.
func TestOwnLackIsNoFailureOfTheEndpoint(t *testing.T) {
	closed := &closings{}
	g := &Gateway{closed: closed}
	g.bytes = newByteGuard(memorylimit.Limits{Answers: 1}, func() domain.Instant { return 0 }, closed)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
	assert.NilError(t, err)
	c := &call{http: r, route: &routing.Route{}}
	a := &attempt{gateway: g, call: c}
	end, result, completed := a.bufferAnswer(&http.Response{StatusCode: http.StatusOK, ContentLength: 6, Body: io.NopCloser(strings.NewReader("answer"))})
	assert.Assert(t, end == attemptFailed && completed == nil)
	assert.Equal(t, result, placement.ResultCancelled)
	assert.Equal(t, answerRefusedResult(errTooLong), placement.ResultFailed)
	assert.Assert(t, !g.mayRetry(c, "", attemptNoConnection), "other endpoints would be tried and refused as well")
}
