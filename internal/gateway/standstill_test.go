package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

// Guards against streams that go on at another version after a process stood still: from its first moment on, until the
// registry is confirmed as of later, it must not be sure of the versions of a service. The processes of endpoints are confirmed at any time.
func TestNothingIsSureAfterStandstill(t *testing.T) {
	const era = 1
	g, _ := newTestGateway(1)
	g.serviceVersions = streamversions.NewServices(true)
	service := placement.ServiceHash("app")
	reading := func(at time.Duration) confirmation.Confirmation {
		return confirmation.Confirmation{Version: 1, At: confirmation.StoreTime{Era: era, Millis: storeNow + at.Milliseconds()}}
	}
	started := bootclock.Now()
	g.StoreAnswered(started, reading(0).At)
	g.Endpoint(placement.Endpoint{ID: "i-1", Service: "app", Version: "v1", Start: 1})
	g.RegistryConfirmed(reading(0))
	sure := func() bool {
		g.mu.Lock()
		defer g.mu.Unlock()
		state, _ := g.serviceVersions.State(g.now(), service, g.registryCurrent())
		a := &attempt{
			gateway: g, call: &call{route: &routing.Route{Resumable: true}}, conn: &endpointconn.Conn{},
			ticket: &placement.Ticket{Endpoint: placement.Endpoint{ID: "i-1", Service: "app", Version: "v1", Start: 1}},
		}
		assert.Assert(t, a.needsConfirmation(), "a stream may begin at a process that is not confirmed")
		return state == streamversions.StateSole
	}
	tick := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tickStandstill()
	}
	// runs has the process tick all the while, however busy the machine is.
	runs := func() { g.standstill.tickedAt = bootclock.Now() + time.Hour }
	tick()
	runs()
	assert.Assert(t, sure())

	// The last tick was long ago; the process has just gone on.
	g.standstill.tickedAt = bootclock.Now() - 2*maxTickGap
	assert.Assert(t, !sure(), "before the first tick")
	tick()
	assert.Assert(t, !sure(), "after the first tick")
	g.RegistryConfirmed(reading(0))
	assert.Assert(t, !sure(), "confirmed as of before the standstill")
	g.RegistryConfirmed(reading(bootclock.Now() - started + time.Second))
	runs()
	assert.Assert(t, sure(), "confirmed as of after it")
}
