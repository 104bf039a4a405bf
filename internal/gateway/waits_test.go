package gateway

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/waitqueue"
)

func newWaitingCall(g *Gateway, kind routing.Kind, callerTimeout time.Duration) *call {
	c := &call{
		arrived: time.Now(), request: Request{ID: "r", CallerTimeout: callerTimeout},
		route: &routing.Route{Name: "r", Kind: kind, Target: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond},
	}
	c.setDeadline()
	g.table.Put(g.now(), placement.Endpoint{ID: "e-1", Service: "s", Slots: 1})
	g.table.Put(g.now(), placement.Endpoint{ID: "e-2", Service: "s", Slots: 1})
	return c
}

// A request is treated by the time that its caller has: a caller that returns with less time waits as one whose
// first request gives it as much, whatever others of the route had.
func TestRepeatsAreTreatedAsFirstRequests(t *testing.T) {
	g := New(Settings{}, nil, nil)
	newWaitingCall(g, routing.KindIdempotent, 30*time.Second)
	repeat := newWaitingCall(g, routing.KindIdempotent, time.Second)
	caller := g.callerTime(repeat)
	assert.Equal(t, caller.Deadline.Sub(caller.Arrived), time.Second)
	assert.Equal(t, caller.LatestStart(placement.Work{}), caller.Deadline)
	assert.Equal(t, caller.LatestOnTimeStart(placement.Work{}).Sub(caller.Arrived), repeat.route.Target)
}

// A second attempt waits for an endpoint as a first one does, while there is one that was not tried.
func TestFurtherAttemptsWaitAsFirstOnes(t *testing.T) {
	g := New(Settings{}, nil, nil)
	for _, c := range []struct {
		tried []string
		waits bool
	}{{nil, true}, {[]string{"e-1"}, true}, {[]string{"e-1", "e-2"}, false}} {
		request := newWaitingCall(g, routing.KindIdempotent, time.Second)
		request.tried, request.cause = c.tried, "refused"
		g.mu.Lock()
		queued, reason := g.enqueue(g.now(), request, g.query(request, "s"))
		if queued != nil {
			g.queue.Remove(&queued.Waiter)
		}
		g.mu.Unlock()
		assert.Equal(t, queued != nil, c.waits, "%v: %s", c.tried, reason)
	}
}

// A caller of a stream leaves before its time limit if no event comes.
func TestStreamsWaitWhileTheirCallersDo(t *testing.T) {
	g := New(Settings{}, nil, nil)
	caller := g.callerTime(newWaitingCall(g, routing.KindStream, 15*time.Second))
	assert.Equal(t, caller.LatestStart(placement.Work{}).Sub(caller.Arrived), minStreamPatience)
}

// A request behind more of its class than can start in its time is refused at once. It is told when these will have started, but no later time
// than its caller has.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	g := New(Settings{}, nil, nil)
	now := g.now()
	for range 10 {
		g.queue.Add(&waitqueue.Waiter{Class: "r", LatestStart: now.Add(time.Second), ExpiresAt: now.Add(time.Second)})
	}
	expected := g.queue.ExpectedWait(now, &waitqueue.Waiter{Class: "r", Arrived: now, LatestStart: now})
	for _, callerTimeout := range []time.Duration{time.Second, 2 * expected} {
		c := newWaitingCall(g, routing.KindIdempotent, callerTimeout)
		g.mu.Lock()
		queued, reason := g.enqueue(now, c, g.query(c, "s"))
		if queued != nil {
			g.queue.Remove(&queued.Waiter)
		}
		g.noteRoom(now, c, g.query(c, "s"))
		g.mu.Unlock()
		assert.Equal(t, queued == nil, callerTimeout < expected, reason)
		want := min(expected, g.toInstant(c.callerLimit).Sub(now))
		told, err := strconv.ParseFloat(retryAfter(c), 64)
		assert.NilError(t, err)
		assert.Assert(t, told > want.Seconds()-0.001 && told < want.Seconds()*(1+retryAfterSpread)+0.001, "told %v, expected %v", told, want)
	}
}
