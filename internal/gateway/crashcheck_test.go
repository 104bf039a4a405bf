package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Guards against checks at the address of another process: the entry may be from before the loss, of a store that came back from a copy, or name a
// start where the one of the loss named none. A refused connection there would count the loss as a crash.
func TestOnlyTheProcessOfTheLossIsChecked(t *testing.T) {
	for _, c := range []struct {
		lost, entry int64
		checks      int
	}{{lost: 5, entry: 5, checks: 1}, {lost: 0, entry: 0, checks: 1}, {lost: 5, entry: 3}, {lost: 0, entry: 3}} {
		g, _ := newTestGateway(7)
		g.Endpoint(placement.Endpoint{ID: "e", Service: "s", Start: c.entry})
		process := crashblame.Process{Endpoint: placement.EndpointHash("e"), Start: c.lost}
		g.crashes.Lost(g.now(), g.crashes.Sent(process, []crashblame.Part{7}))
		list := g.dueCrashChecks()
		assert.Equal(t, len(list), c.checks, "lost at start %d, entry of start %d", c.lost, c.entry)
	}
}
