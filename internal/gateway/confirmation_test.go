package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/bootclock"
	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
	"github.com/dunlinpulley/dunlinpulley/internal/routing"
)

// countingSource counts the calls of a gateway.
type countingSource struct{ confirms, refreshes int }

func (*countingSource) Run(context.Context, Sink) {}
func (s *countingSource) Confirm()                { s.confirms++ }
func (s *countingSource) Refresh()                { s.refreshes++ }

func (*countingSource) ConfirmRegistry()                                           {}
func (*countingSource) SetRegistryRole(registryrelay.Role)                         {}
func (*countingSource) RegistryConfirmed(confirmation.Confirmation, time.Duration) {}
func (*countingSource) ApplyRegistry(registryrelay.Changes)                        {}

func newTestGateway(version int64) (*Gateway, *countingSource) {
	source := &countingSource{}
	g := New(Settings{KeyValidity: 5 * time.Second}, nil, source)
	g.ConfigurationRead(routing.New(version, routing.Limits{}, nil, nil, routing.AccountList{}))
	return g, source
}

// storeNow is the reading of the store's clock at the start of a test.
const storeNow = 50_000

func confirmationOf(version, era int64) confirmation.Confirmation {
	return confirmation.Confirmation{Version: version, At: confirmation.StoreTime{Era: era, Millis: storeNow}}
}

// A peer's confirmation counts if it is of this gateway's configuration and of an era
// of the store whose clock is known; one of a later configuration has that read.
func TestPeerConfirmation(t *testing.T) {
	for name, c := range map[string]struct {
		confirmed        confirmation.Confirmation
		valid            bool
		refreshes        int
		storedVersionLow bool
	}{
		"same version":        {confirmed: confirmationOf(7, 1), valid: true},
		"earlier version":     {confirmed: confirmationOf(6, 1)},
		"later version":       {confirmed: confirmationOf(8, 1), refreshes: 1},
		"other era":           {confirmed: confirmationOf(7, 2)},
		"none":                {},
		"store behind itself": {confirmed: confirmationOf(7, 1), storedVersionLow: true},
	} {
		g, source := newTestGateway(7)
		g.StoreAnswered(bootclock.Now(), confirmation.StoreTime{Era: 1, Millis: storeNow})
		if c.storedVersionLow {
			g.ConfigurationRead(routing.New(6, routing.Limits{}, nil, nil, routing.AccountList{}))
		}
		g.PeerConfirmation("p", c.confirmed)
		assert.Equal(t, g.validity.Valid(bootclock.Now()), c.valid, name)
		assert.Equal(t, source.refreshes, c.refreshes, name)
		if c.valid {
			assert.Equal(t, g.Confirmation(), c.confirmed, name)
		}
	}
}

// A store that came back from a copy confirms nothing until it has the configuration
// that is in force, nor of a time soon after its return.
func TestRestoredStoreConfirmsNothing(t *testing.T) {
	g, _ := newTestGateway(7)
	g.ConfigurationRestored()
	g.ConfigurationRead(routing.New(6, routing.Limits{}, nil, nil, routing.AccountList{}))
	assert.Equal(t, g.config.Load().Version, int64(7), "an earlier configuration was applied")
	later := bootclock.Now() + time.Minute
	g.ConfigurationConfirmed(later, confirmation.StoreTime{Era: 2, Millis: 1})
	assert.Assert(t, !g.validity.Valid(later))
	g.ConfigurationRead(routing.New(7, routing.Limits{}, nil, nil, routing.AccountList{}))
	g.ConfigurationConfirmed(bootclock.Now(), confirmation.StoreTime{Era: 2, Millis: 1})
	assert.Assert(t, !g.validity.Valid(bootclock.Now()), "confirmed at once after the return")
	g.ConfigurationConfirmed(later, confirmation.StoreTime{Era: 2, Millis: 1})
	assert.Assert(t, g.validity.Valid(later))
}

// An entry of a copy doesn't bring back an endpoint that drains or is gone; an entry that
// the endpoint writes does.
func TestRestoredRegistry(t *testing.T) {
	g, _ := newTestGateway(7)
	ready := placement.Endpoint{ID: "e", Service: "s", Start: 5}
	draining := ready
	draining.Draining = true
	used := func() bool {
		e, ok := g.table.Endpoint("e")
		return ok && !e.Draining
	}
	g.Endpoint(ready)
	g.Endpoint(draining)
	g.EndpointRestored(ready)
	assert.Assert(t, !used(), "a draining endpoint is used again")
	g.EndpointRemoved("e")
	g.EndpointRestored(ready)
	assert.Assert(t, !used(), "a removed endpoint is used again")
	assert.Equal(t, len(g.heldEntries), 1)
	g.EndpointRemoved("e")
	assert.Equal(t, len(g.heldEntries), 0)
	g.Endpoint(ready)
	assert.Assert(t, used())
	later := ready
	later.Start = 9
	g.EndpointRemoved("e")
	g.EndpointRestored(later)
	assert.Assert(t, used(), "a later start was held back")
}

// A reply with a change may have waited at the store for seconds, and a large one takes long to arrive. Its configuration
// was the newest when the store replied, not only when the call was made.
func TestChangeIsConfirmedAtTheTimeOfTheReply(t *testing.T) {
	g, _ := newTestGateway(7)
	first := bootclock.Now()
	g.StoreAnswered(first, confirmation.StoreTime{Era: 1, Millis: storeNow})
	const waited = 8 * time.Second
	reading := confirmation.StoreTime{Era: 1, Millis: storeNow + waited.Milliseconds()}
	g.StoreAnswered(first, reading)
	g.ConfigurationConfirmed(first, reading)
	assert.Assert(t, g.validity.Valid(first+waited), "the keys have expired on arrival")
	assert.Assert(t, !g.validity.Valid(first+waited+5*time.Second), "the keys outlive the time of the reply")
}
