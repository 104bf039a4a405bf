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
	name string
	do   func(c *cluster, random *rand.Rand)
}

var replicaFaults = []replica.Fault{
	replica.NotRun, replica.Reset, replica.Error, replica.CutStream, replica.Extra, replica.Foreign,
	replica.Unframed, replica.Unsigned, replica.Hang, replica.WrongReply,
}

var faults = []fault{
	{"replica fails", func(c *cluster, random *rand.Rand) {
		c.replica(random).SetFault(replicaFaults[random.IntN(len(replicaFaults))])
	}},
	{"replica is well", func(c *cluster, random *rand.Rand) { c.replica(random).SetFault(replica.None) }},
	{"replica is slow", func(c *cluster, random *rand.Rand) {
		c.replica(random).SetPace(time.Duration(random.IntN(200)) * time.Millisecond)
	}},
	{"replica drains", func(c *cluster, random *rand.Rand) { c.register(c.replica(random), "draining") }},
	{"replica's entry goes", func(c *cluster, random *rand.Rand) { c.store.Remove("servers", c.replica(random).ID) }},
	{"replica is back", func(c *cluster, random *rand.Rand) { c.register(c.replica(random), "ready") }},
	{"foreign entry", func(c *cluster, random *rand.Rand) {
		c.store.Put("servers", fmt.Sprintf("x-%d", random.IntN(5)), []byte(`{"service": 5}`))
	}},
	{"gateway killed", func(c *cluster, random *rand.Rand) {
		g := c.gateway(random)
		c.kill(g)
		g.stopped = false
		c.start(g)
	}},
	{"gateway stopped by order", func(c *cluster, random *rand.Rand) {
		g := c.gateway(random)
		c.resume(g)
		_ = g.cmd.Process.Signal(syscall.SIGTERM)
		if err := g.cmd.Wait(); err != nil {
			c.t.Errorf("a gateway that was told to stop ended with %v", err)
		}
		c.start(g)
	}},
	{"gateway frozen", func(c *cluster, random *rand.Rand) {
		g := c.gateway(random)
		g.stopped = true
		_ = g.cmd.Process.Signal(syscall.SIGSTOP)
	}},
	{"gateway wakes", func(c *cluster, random *rand.Rand) { c.resume(c.gateway(random)) }},
	{"settings signal", func(c *cluster, random *rand.Rand) { _ = c.gateway(random).cmd.Process.Signal(syscall.SIGHUP) }},
	{"path silent", func(c *cluster, random *rand.Rand) { c.path(random).Silence() }},
	{"path one way", func(c *cluster, random *rand.Rand) {
		if random.IntN(2) == 0 {
			c.path(random).Mute()
		} else {
			c.path(random).Deafen()
		}
	}},
	{"path reset", func(c *cluster, random *rand.Rand) { c.path(random).Reset() }},
	{"path slow", func(c *cluster, random *rand.Rand) {
		c.path(random).SetDelay(time.Duration(random.IntN(300)) * time.Millisecond)
	}},
	{"path dark", func(c *cluster, random *rand.Rand) { c.path(random).SetDark(true) }},
	{"path is well", func(c *cluster, random *rand.Rand) { wellPath(c.path(random)) }},
	{"store down", func(c *cluster, _ *rand.Rand) { c.store.SetDown(true) }},
	{"store up", func(c *cluster, _ *rand.Rand) { c.store.SetDown(false) }},
	{"store forgets", func(c *cluster, _ *rand.Rand) { c.store.Forget() }},
	{"configuration", func(c *cluster, _ *rand.Rand) { c.configure(callKey, c.passingKey()) }},
	{"key taken away", func(c *cluster, _ *rand.Rand) {
		c.configure(callKey)
		c.mu.Lock()
		defer c.mu.Unlock()
		key := fmt.Sprintf("passing-%d", c.passing)
		if _, gone := c.revoked[key]; !gone {
			c.revoked[key] = time.Now()
		}
		c.passing++
	}},
}

// passingKey is a key that will be taken away. Each is given once.
func (c *cluster) passingKey() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("passing-%d", c.passing)
}

func (c *cluster) replica(random *rand.Rand) *replica.Replica {
	return c.replicas[random.IntN(len(c.replicas))]
}

func (c *cluster) path(random *rand.Rand) *relay.Relay { return c.paths[random.IntN(len(c.paths))] }

func wellPath(r *relay.Relay) {
	r.SetDark(false)
	r.SetDelay(0)
}

func (c *cluster) gateway(random *rand.Rand) *process {
	return c.gateways[random.IntN(len(c.gateways))]
}

func (c *cluster) resume(g *process) {
	g.stopped = false
	_ = g.cmd.Process.Signal(syscall.SIGCONT)
}

// heal ends all faults.
func (c *cluster) heal() {
	c.logf("healed")
	c.store.SetDown(false)
	for _, r := range c.paths {
		wellPath(r)
	}
	for _, g := range c.gateways {
		c.resume(g)
	}
	for _, r := range c.replicas {
		r.SetFault(replica.None)
		r.SetPace(time.Millisecond)
		c.register(r, "ready")
	}
	c.configure(callKey)
}
