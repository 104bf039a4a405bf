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

// Guards against endpoints that are spared for answers that the gateway has no memory for: only those that say no end, or one beyond all limits, count
// as endless.
func TestOwnLackSparesNoEndpoint(t *testing.T) {
	const size = 2 * memorylimit.SmallBytes
	for _, c := range []struct {
		length int64
		spared bool
	}{{size, false}, {-1, true}, {maxAnswerBytes + 1, true}} {
		g := New(Settings{}, nil, nil)
		g.bytes = newByteGuard(memorylimit.Limits{Answers: size - 1}, func() domain.Instant { return 0 }, &closings{})
		g.table.Put(g.now(), placement.Endpoint{ID: "e", Service: "s", Slots: 8})
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil)
		assert.NilError(t, err)
		for range 3 {
			a := &attempt{gateway: g, call: &call{http: r, route: &routing.Route{}}, ticket: g.table.Pick(g.now(), placement.Query{Service: "s"})}
			assert.Assert(t, a.ticket != nil)
			end, result, _ := a.bufferAnswer(&http.Response{StatusCode: http.StatusOK, ContentLength: c.length, Body: io.NopCloser(strings.NewReader(strings.Repeat("x", size)))})
			assert.Equal(t, end, attemptFailed)
			g.table.RecordEnd(g.now(), a.ticket, result)
		}
		assert.Equal(t, g.table.Pick(g.now(), placement.Query{Service: "s"}) == nil, c.spared, "length %d", c.length)
	}
}
