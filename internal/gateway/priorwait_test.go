package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

func newTestCall(g *Gateway, callerTimeout time.Duration) *call {
	c := &call{
		arrived: g.started, request: Request{CallerTimeout: callerTimeout},
		route: &routing.Route{Name: "r", Target: 1500 * time.Millisecond},
	}
	g.setDeadline(c)
	return c
}

// A caller that retries after a rejection has a shorter timeout than the others
// of the route. Its request is queued behind those that can still meet their
// target, and is rejected sooner if no endpoint can start it.
func TestRetryingCallersAreQueuedLast(t *testing.T) {
	g := New(Settings{}, nil, nil)
	first := newTestCall(g, 5*time.Second)
	retry := newTestCall(g, 3*time.Second)
	assert.Equal(t, first.priorWait, time.Duration(0))
	assert.Equal(t, retry.priorWait, 2*time.Second)
	assert.Assert(t, g.latestStart(first) > 0)
	assert.Assert(t, g.latestStart(retry) < 0, "the retry can still meet its target")
	assert.Assert(t, g.queueDeadline(retry) < g.queueDeadline(first))
	assert.Assert(t, g.queueDeadline(retry) > domain.Instant(0))
}

// A single caller with a very long timeout makes the others of the route count
// as retrying only for a limited number of requests.
func TestLongestCallerTimeoutDecays(t *testing.T) {
	g := New(Settings{}, nil, nil)
	newTestCall(g, time.Minute)
	for range 2000 {
		newTestCall(g, 5*time.Second)
	}
	assert.Equal(t, newTestCall(g, 5*time.Second).priorWait, time.Duration(0))
}
