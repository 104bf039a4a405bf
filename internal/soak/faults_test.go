package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/relay"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

// fault is something that goes wrong, or a change by the operator.
type fault struct {
	name  string
	apply func(c *cluster, rng *rand.Rand)
}

var replicaFaults = []replica.Fault{
	replica.NotRun, replica.Reset, replica.Error, replica.CutStream, replica.Extra, replica.Foreign,
	replica.Unframed, replica.Unsigned, replica.Hang, replica.WrongReply,
}

var faults = []fault{
	{"replica fails", func(c *cluster, rng *rand.Rand) {
		c.replica(rng).SetFault(replicaFaults[rng.IntN(len(replicaFaults))])
	}},
	{"replica is well", func(c *cluster, rng *rand.Rand) { c.replica(rng).SetFault(replica.None) }},
	{"replica is slow", func(c *cluster, rng *rand.Rand) {
		c.replica(rng).SetPace(time.Duration(rng.IntN(200)) * time.Millisecond)
	}},
	{"replica drains", func(c *cluster, rng *rand.Rand) { c.register(c.replica(rng), "draining") }},
	{"replica's entry goes", func(c *cluster, rng *rand.Rand) { c.store.Remove("servers", c.replica(rng).ID) }},
	{"replica is back", func(c *cluster, rng *rand.Rand) { c.register(c.replica(rng), "ready") }},
	{"foreign entry", func(c *cluster, rng *rand.Rand) {
		c.store.Put("servers", fmt.Sprintf("x-%d", rng.IntN(5)), []byte(`{"service": 5}`))
	}},
	{"gateway killed", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		c.kill(g)
		g.stopped = false
		c.start(g)
	}},
	{"gateway stopped by order", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		c.resume(g)
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
		if err := g.cmd.Wait(); err != nil {
			c.t.Errorf("a gateway that was told to stop ended with %v", err)
		}
		c.start(g)
	}},
	{"gateway frozen", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		g.stopped = true
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	}},
	{"gateway wakes", func(c *cluster, rng *rand.Rand) { c.resume(c.randomGateway(rng)) }},
	{"settings signal", func(c *cluster, rng *rand.Rand) { _ = c.randomGateway(rng).cmd.Process.Signal(syscall.SIGHUP) }},
	{"path silent", func(c *cluster, rng *rand.Rand) { c.randomRelay(rng).Silence() }},
	{"path one way", func(c *cluster, rng *rand.Rand) {
		if rng.IntN(2) == 0 {
			c.randomRelay(rng).DropDownstream()
		} else {
			c.randomRelay(rng).DropUpstream()
		}
	}},
	{"path reset", func(c *cluster, rng *rand.Rand) { c.randomRelay(rng).Reset() }},
	{"path slow", func(c *cluster, rng *rand.Rand) {
		c.randomRelay(rng).SetDelay(time.Duration(rng.IntN(300)) * time.Millisecond)
	}},
	{"path dark", func(c *cluster, rng *rand.Rand) { c.randomRelay(rng).SetBlackhole(true) }},
	{"path is well", func(c *cluster, rng *rand.Rand) { clearRelayFaults(c.randomRelay(rng)) }},
	{"store down", func(c *cluster, _ *rand.Rand) { c.store.SetDown(true) }},
	{"store up", func(c *cluster, _ *rand.Rand) { c.store.SetDown(false) }},
	{"store forgets", func(c *cluster, _ *rand.Rand) { c.store.Forget() }},
	{"configuration", func(c *cluster, _ *rand.Rand) { c.configure(permanentKey, c.temporaryKey()) }},
	{"key taken away", func(c *cluster, _ *rand.Rand) {
		c.configure(permanentKey)
		c.mu.Lock()
		defer c.mu.Unlock()
		key := fmt.Sprintf("passing-%d", c.nextTemporaryKey)
		if _, gone := c.revoked[key]; !gone {
			c.revoked[key] = time.Now()
		}
		c.nextTemporaryKey++
	}},
}

// temporaryKey is a key that will be taken away. Each is given once.
func (c *cluster) temporaryKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("passing-%d", c.nextTemporaryKey)
}

func (c *cluster) replica(rng *rand.Rand) *replica.Replica {
	return c.replicas[rng.IntN(len(c.replicas))]
}

func (c *cluster) randomRelay(rng *rand.Rand) *relay.Relay { return c.relays[rng.IntN(len(c.relays))] }

func clearRelayFaults(r *relay.Relay) {
	r.SetBlackhole(false)
	r.SetDelay(0)
}

func (c *cluster) randomGateway(rng *rand.Rand) *process {
	return c.gateways[rng.IntN(len(c.gateways))]
}

func (c *cluster) resume(g *process) {
	g.stopped = false
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
}

// clearFaults ends all faults.
func (c *cluster) clearFaults() {
	c.logf("healed")
	c.store.SetDown(false)
	for _, r := range c.relays {
		clearRelayFaults(r)
	}
	for _, g := range c.gateways {
		c.resume(g)
	}
	for _, r := range c.replicas {
		r.SetFault(replica.None)
		r.SetPace(time.Millisecond)
		c.register(r, "ready")
	}
	c.configure(permanentKey)
}
