package e2e

import (
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/engine"
)

// TestAgentStopsGracefully guards against runs that are interrupted by SIGTERM or SIGHUP to
// their agent: all must finish without wasted tokens, and the agent must then exit.
func TestAgentStopsGracefully(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("stop", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.agents[0].signal(syscall.SIGHUP)
	c.agents[0].signal(syscall.SIGTERM)
	c.agents[0].signal(syscall.SIGHUP)
	c.checkComplete(wait())
	assert.NilError(t, c.agents[0].awaitExit())
	for _, address := range c.engineAddresses {
		counters := getJSON[engine.Counters](t, address, "/counters")
		assert.Equal(t, counters.WastedTokens, uint64(0))
		for _, x := range counters.Executions {
			assert.Equal(t, x.End, engine.EndFinished, "%+v", x)
		}
	}
	c.checkComplete(c.askMany("after the stop", 10))
}

// TestEntryStopsGracefully guards against answers that are interrupted by SIGTERM
// or SIGHUP to their entry: all must complete, and the entry must then exit.
func TestEntryStopsGracefully(t *testing.T) {
	c := newCluster(t)
	wait := c.askInBackground("entry", 40)
	c.await("half of the answers to be in progress", func() bool { return c.runningAnswers() >= 20 })
	c.entries[0].signal(syscall.SIGHUP)
	c.entries[0].signal(syscall.SIGTERM)
	c.entries[0].signal(syscall.SIGHUP)
	c.checkComplete(wait())
	assert.NilError(t, c.entries[0].awaitExit())
}

// TestEntryRestartsWithStoreDown guards against an entry that cannot start without
// the table service: it must load the newest revision from its peer before it
// reports ready.
func TestEntryRestartsWithStoreDown(t *testing.T) {
	c := newCluster(t)
	c.tableService.kill()
	c.entries[0].kill()
	c.entries[0].start()
	c.awaitRevision(1)
	c.checkComplete(c.askMany("restarted", 20))
}
