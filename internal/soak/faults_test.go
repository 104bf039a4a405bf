package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/relay"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

// action injects a fault, ends one, or changes the configuration as an operator does.
type action struct {
	name  string
	apply func(c *cluster, rng *rand.Rand)
}

// replicaFaults are the faults that a replica can inject.
var replicaFaults = []replica.Fault{
	replica.NotRun, replica.Reset, replica.Error, replica.TruncatedStream, replica.ExtraResponse, replica.ForeignResponse,
	replica.MissingLength, replica.MissingSignature, replica.Hang, replica.MalformedResponse,
	replica.StalledHead, replica.EndlessHead, replica.EndlessBody, replica.EndlessRefusal,
}

// leavings are the kinds of responses in which a replica can say that it leaves.
var leavings = []replica.Leaving{replica.LeavingEverywhere, replica.LeavingInRefusals, replica.LeavingInStreams}

// actions are the actions that runSeed picks from, with equal probability.
var actions = []action{
	{"replica fault set", func(c *cluster, rng *rand.Rand) {
		c.replica(rng).SetFault(replicaFaults[rng.IntN(len(replicaFaults))])
	}},
	{"replica fault cleared", func(c *cluster, rng *rand.Rand) { c.replica(rng).SetFault(replica.NoFault) }},
	{"replica faults cleared", func(c *cluster, _ *rand.Rand) { c.setFaults(replica.NoFault) }},
	{"all replicas refuse or fail", func(c *cluster, rng *rand.Rand) {
		fault := []replica.Fault{replica.NotRun, replica.Error, replica.Reset}[rng.IntN(3)]
		c.setFaults(fault)
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		c.setFaults(replica.NoFault)
	}},
	{"replica refuses with a pause", func(c *cluster, rng *rand.Rand) {
		r := c.replica(rng)
		r.SetPause(0.6 + 4*rng.Float64())
		r.SetFault(replica.NotRun)
	}},
	{"replicas refuse without pauses", func(c *cluster, _ *rand.Rand) {
		for _, r := range c.replicas {
			r.SetPause(0)
		}
	}},
	{"replica delay set", func(c *cluster, rng *rand.Rand) {
		c.replica(rng).SetResponseDelay(time.Duration(rng.IntN(200)) * time.Millisecond)
	}},
	{"replica restarted", func(c *cluster, rng *rand.Rand) { c.restartReplica(c.replica(rng), rng) }},
	{"replica leaves", func(c *cluster, rng *rand.Rand) {
		c.leave(rng.IntN(len(c.replicas)), leavings[rng.IntN(len(leavings))])
	}},
	{"replicas cut their streams", func(c *cluster, _ *rand.Rand) { c.setFaults(replica.TruncatedStream) }},
	{"replica draining", func(c *cluster, rng *rand.Rand) { c.register(c.replica(rng), "draining") }},
	{"replica row removed", func(c *cluster, rng *rand.Rand) { c.unregister(c.replica(rng)) }},
	{"replica ready", func(c *cluster, rng *rand.Rand) { c.register(c.replica(rng), "ready") }},
	{"invalid replica row", func(c *cluster, rng *rand.Rand) {
		c.store.Put("servers", fmt.Sprintf("x-%d", rng.IntN(5)), []byte(`{"service": 5}`))
	}},
	{"gateway restarted by SIGKILL", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		c.kill(g)
		g.stopped = false
		c.start(g)
	}},
	{"gateways restarted in series", restartInSeries},
	{"gateways restarted in series beside refusals", func(c *cluster, rng *rand.Rand) {
		c.setFaults(replica.NotRun)
		time.Sleep(time.Duration(500+rng.IntN(500)) * time.Millisecond)
		restartInSeries(c, rng)
		c.setFaults(replica.NoFault)
	}},
	{"all gateways ended at once, twice", func(c *cluster, rng *rand.Rand) {
		for range 2 {
			restartAll(c, rng)
			time.Sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
		}
	}},
	{"all gateways ended beside two versions, of which one leaves", func(c *cluster, rng *rand.Rand) {
		c.setFaults(replica.TruncatedStream)
		time.Sleep(time.Duration(200+rng.IntN(300)) * time.Millisecond)
		for range 2 {
			restartAll(c, rng)
			c.setFaults(replica.NoFault)
			former := softwareVersions[rng.IntN(len(softwareVersions))]
			for _, r := range c.replicas {
				if c.mixed && c.versionOf(r) == former {
					c.unregister(r)
				}
			}
			time.Sleep(time.Duration(300+rng.IntN(700)) * time.Millisecond)
		}
		for _, r := range c.replicas {
			c.register(r, "ready")
		}
	}},
	{"gateway restarted by SIGTERM", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		c.resume(g)
		c.stop(g, rng)
		c.start(g)
	}},
	{"gateway suspended", func(c *cluster, rng *rand.Rand) {
		c.suspend(c.randomGateway(rng))
	}},
	{"gateway suspended while callers leave", suspendWhileCallersLeave},
	{"gateway resumed", func(c *cluster, rng *rand.Rand) { c.resume(c.randomGateway(rng)) }},
	{"settings reloaded by SIGHUP", func(c *cluster, rng *rand.Rand) { _ = c.randomGateway(rng).cmd.Process.Signal(syscall.SIGHUP) }},
	{"network drops open connections' data", func(c *cluster, rng *rand.Rand) { c.randomRelay(rng).DropBoth() }},
	{"network drops one direction", func(c *cluster, rng *rand.Rand) {
		if rng.IntN(2) == 0 {
			c.randomRelay(rng).DropDownstream()
		} else {
			c.randomRelay(rng).DropUpstream()
		}
	}},
	{"network resets connections", func(c *cluster, rng *rand.Rand) { c.randomRelay(rng).Reset() }},
	{"network delay set", func(c *cluster, rng *rand.Rand) {
		c.randomRelay(rng).SetDelay(time.Duration(rng.IntN(300)) * time.Millisecond)
	}},
	{"network blackhole", func(c *cluster, rng *rand.Rand) {
		i := rng.IntN(len(c.relays))
		c.heldBack[i].begin()
		c.relays[i].SetBlackhole(true)
	}},
	{"network faults cleared", func(c *cluster, rng *rand.Rand) { c.clearRelayFaults(rng.IntN(len(c.relays))) }},
	{"replica limit set", func(c *cluster, rng *rand.Rand) { c.setLimit(rng.IntN(len(c.replicas)), 0.5+4*rng.Float64()) }},
	{"replica limit ended", func(c *cluster, rng *rand.Rand) { c.setLimit(rng.IntN(len(c.replicas)), 0) }},
	{"store down", func(c *cluster, _ *rand.Rand) { c.store.SetDown(true) }},
	{"store up", func(c *cluster, _ *rand.Rand) { c.store.SetDown(false) }},
	{"store copied", func(c *cluster, _ *rand.Rand) { c.store.TakeCopy() }},
	{"store restored from its copy", func(c *cluster, rng *rand.Rand) {
		c.store.Restore()
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
		c.writeAgain()
	}},
	{"store slow", func(c *cluster, rng *rand.Rand) { c.store.SetDelay(time.Duration(rng.IntN(2000)) * time.Millisecond) }},
	{"store prompt", func(c *cluster, _ *rand.Rand) { c.store.SetDelay(0) }},
	{"link to the store slow", func(c *cluster, rng *rand.Rand) { c.relays[0].SetRate(minLinkRate + rng.IntN(minLinkRate)) }},
	{"configuration grows", func(c *cluster, _ *rand.Rand) {
		c.idleRoutes = min(c.idleRoutes+routesAdded, maxIdleRoutes)
		c.configure(permanentKey, c.temporaryKey())
	}},
	{"store history lost", func(c *cluster, _ *rand.Rand) { c.store.DropHistory() }},
	// Adds the current temporary key.
	{"configuration", func(c *cluster, _ *rand.Rand) { c.configure(permanentKey, c.temporaryKey()) }},
	{"temporary key removed", func(c *cluster, _ *rand.Rand) {
		c.configure(permanentKey)
		c.mu.Lock()
		defer c.mu.Unlock()
		key := fmt.Sprintf("passing-%d", c.nextTemporaryKey)
		if _, removed := c.revoked[key]; !removed {
			c.revoked[key] = time.Now()
		}
		c.nextTemporaryKey++
	}},
}

// manyActions are further actions for many gateways, which relay for each other.
var manyActions = []action{
	{"gateways of a data centre killed", func(c *cluster, rng *rand.Rand) {
		first := rng.IntN(dataCentres)
		for i := first; i < len(c.gateways); i += dataCentres {
			c.kill(c.gateways[i])
			c.gateways[i].stopped = false
		}
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		for i := first; i < len(c.gateways); i += dataCentres {
			c.start(c.gateways[i])
		}
	}},
	{"gateways of a data centre suspended", func(c *cluster, rng *rand.Rand) {
		first := rng.IntN(dataCentres)
		for i := first; i < len(c.gateways); i += dataCentres {
			c.suspend(c.gateways[i])
		}
		time.Sleep(time.Duration(rng.IntN(2000)) * time.Millisecond)
		for i := first; i < len(c.gateways); i += dataCentres {
			c.resume(c.gateways[i])
		}
	}},
	{"gateways killed in series, others start", func(c *cluster, rng *rand.Rand) {
		order := rng.Perm(len(c.gateways))[:6]
		for n, i := range order {
			c.kill(c.gateways[i])
			c.gateways[i].stopped = false
			if n >= 2 {
				c.start(c.gateways[order[n-2]])
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		for _, i := range order[4:] {
			c.start(c.gateways[i])
		}
	}},
	{"all gateways ended at once", restartAll},
}

const (
	// minLinkRate is the least rate of the slow link to the store, in bytes per second: it carries the largest
	// configuration in about three seconds.
	minLinkRate = 40_000
	// routesAdded is by how many routes a configuration grows, up to maxIdleRoutes.
	routesAdded, maxIdleRoutes = 200, 600
)

// setFaults sets the fault of all replicas.
func (c *cluster) setFaults(fault replica.Fault) {
	for _, r := range c.replicas {
		r.SetFault(fault)
	}
}

// restartAll kills all gateways at the same moment and starts them a moment later.
func restartAll(c *cluster, rng *rand.Rand) {
	for _, g := range c.gateways {
		c.kill(g)
		g.stopped = false
	}
	time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
	for _, g := range c.gateways {
		c.start(g)
	}
}

// restartInSeries kills and starts all gateways, three times.
func restartInSeries(c *cluster, rng *rand.Rand) {
	for range 3 {
		for _, g := range c.gateways {
			c.kill(g)
			g.stopped = false
			c.start(g)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		}
		time.Sleep(time.Duration(300+rng.IntN(500)) * time.Millisecond)
	}
}

// temporaryKey returns the API key that is removed next. Temporary keys are passing-0,
// passing-1 and so on. A removed key is never added again.
func (c *cluster) temporaryKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("passing-%d", c.nextTemporaryKey)
}

// replica returns a random replica.
func (c *cluster) replica(rng *rand.Rand) *replica.Replica {
	return c.replicas[rng.IntN(len(c.replicas))]
}

func (c *cluster) randomRelay(rng *rand.Rand) *relay.Relay { return c.relays[rng.IntN(len(c.relays))] }

// clearRelayFaults ends the blackhole and the delay of relay i. Connections that
// already drop data go on dropping it.
func (c *cluster) clearRelayFaults(i int) {
	c.relays[i].SetBlackhole(false)
	c.relays[i].SetDelay(0)
	c.heldBack[i].end()
}

func (c *cluster) randomGateway(rng *rand.Rand) *process {
	return c.gateways[rng.IntN(len(c.gateways))]
}

// suspend suspends a gateway's process.
func (c *cluster) suspend(g *process) {
	g.stopped = true
	g.disturbed.begin()
	_ = g.cmd.Process.Signal(syscall.SIGSTOP)
}

// resume continues a gateway's process if it is suspended.
func (c *cluster) resume(g *process) {
	g.stopped = false
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
	g.disturbed.end()
}

// clearFaults ends the faults and restores the initial registrations and
// configuration. Connections that already drop data go on dropping it, and invalid
// replica rows stay in the store.
func (c *cluster) clearFaults() {
	c.logf("healed")
	c.store.SetDown(false)
	c.store.SetDelay(0)
	c.relays[0].SetRate(0)
	c.idleRoutes = 0
	for i := range c.relays {
		c.clearRelayFaults(i)
	}
	for _, g := range c.gateways {
		c.resume(g)
	}
	for _, r := range c.replicas {
		r.SetFault(replica.NoFault)
		r.SetResponseDelay(time.Millisecond)
		c.register(r, "ready")
	}
	c.configure(permanentKey)
}
