package gateway

import (
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

func TestOverdueConnections(t *testing.T) {
	conn, other := net.Pipe()
	defer other.Close()
	defer conn.Close()
	limits := routing.Limits{IdleTimeout: time.Minute, HeaderTimeout: time.Second}
	for _, c := range []struct {
		name         string
		states       []http.ConnState
		headReceived bool
		after        time.Duration
		limits       routing.Limits
		overdue      bool
	}{
		{"idle within the limit", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, 50 * time.Second, limits, false},
		{"idle within the slack", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, 61 * time.Second, limits, false},
		{"idle beyond the slack", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, false, 66 * time.Second, limits, true},
		{"no limit", []http.ConnState{http.StateIdle}, false, time.Hour, routing.Limits{}, false},
		{"slow head", []http.ConnState{http.StateNew, http.StateActive}, false, 7 * time.Second, limits, true},
		{"new without a byte", []http.ConnState{http.StateNew}, false, 7 * time.Second, limits, false},
		{"request in progress", []http.ConnState{http.StateActive}, true, time.Hour, limits, false},
		{"closed", []http.ConnState{http.StateIdle, http.StateClosed}, false, time.Hour, limits, false},
	} {
		conns := newCallerConnTracker()
		for _, s := range c.states {
			conns.stateChanged(conn, s)
		}
		if c.headReceived {
			conns.headReceived(conn)
		}
		got := conns.overdue(time.Now().Add(c.after), c.limits)
		assert.Equal(t, len(got) == 1, c.overdue, c.name)
	}
}
