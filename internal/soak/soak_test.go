package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

var (
	randomSeeds   = flag.String("soak.seeds", "1,2", "seeds to run: numbers or ranges FIRST-LAST, comma-separated")
	manySeeds     = flag.String("soak.many", "1", "seeds to run with many gateways: numbers or ranges FIRST-LAST, comma-separated")
	faultDuration = flag.Duration("soak.length", 8*time.Second, "time during which faults are injected, for each seed")
)

// regressionSeeds are seeds that have found a bug. They always run. Each entry needs
// a comment that names the bug.
var regressionSeeds = []uint64{}

// TestSoak runs each seed of -soak.seeds and of regressionSeeds as a parallel subtest.
func TestSoak(t *testing.T) {
	program := buildRouter(t)
	for _, seed := range append(parseSeeds(t, *randomSeeds), regressionSeeds...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, program, seed, 0)
		})
	}
}

// manyGateways is a number of gateways at which their states are relayed between data centres.
const manyGateways = 34

// TestSoakManyGateways runs each seed of -soak.many with so many gateways in several data centres that two of each read the registry and relay
// the states of the others.
func TestSoakManyGateways(t *testing.T) {
	program := buildRouter(t)
	for _, seed := range parseSeeds(t, *manySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSeed(t, program, seed, manyGateways) })
	}
}

// runSeed runs a cluster with the actions of one seed. An action runs every 0 to
// 900 ms, before earlier faults have ended, so faults overlap. Callers send calls
// until faultDuration ends, after which the faults are cleared. There are minGateways gateways or a few.
func runSeed(t *testing.T, program string, seed uint64, minGateways int) {
	rng := rand.New(rand.NewPCG(seed, seed))
	gateways, replicas, mixed := max(2+rng.IntN(2), minGateways), 2+rng.IntN(3), rng.IntN(2) == 0
	if mixed {
		// Of each version some must be left that serve.
		replicas += 4
	}
	c := startCluster(t, program, gateways, replicas, retryRatios[rng.IntN(len(retryRatios))], mixed)
	ctx, cancel := context.WithTimeout(context.Background(), *faultDuration)
	defer cancel()
	callers := startCallers(ctx, c, rng.Uint64())
	startLeavers(ctx, c, seed)
	if rng.IntN(2) == 0 {
		// Limits that are set later seldom last long enough.
		c.setLimit(0, 0.5+4*rng.Float64())
	}
	if c.mixed {
		// Streams that are cut later are often few, as callers are refused.
		c.setFaults(replica.TruncatedStream)
	}
	if rng.IntN(2) == 0 {
		// A replica that leaves later has often said so to few gateways before the end.
		c.leave(len(c.replicas)-1, replica.LeavingEverywhere)
	}
	if rng.IntN(2) == 0 {
		c.replicas[0].SetPause(0.6 + 4*rng.Float64())
		c.replicas[0].SetFault(replica.NotRun)
	}
	for ctx.Err() == nil {
		a := actions[rng.IntN(len(actions))]
		if minGateways > 0 && rng.IntN(3) == 0 {
			a = manyActions[rng.IntN(len(manyActions))]
		}
		c.logf("action: %s", a.name)
		a.apply(c, rng)
		sleep(ctx, time.Duration(rng.IntN(900))*time.Millisecond)
	}
	c.clearFaults()
	calls := callers.wait()
	c.checkLeavers()
	c.checkCalls(calls)
	c.checkLimits(calls)
	c.checkRetries(calls)
	c.checkStreams(calls)
	c.checkLeavings(calls)
	c.checkPauses()
	if minGateways > 0 {
		c.checkRelayed()
	}
	c.logf("seed %d: %d calls, %d succeeded, %d refused", seed, len(calls), countCalls(calls, succeeded), countCalls(calls, refused))
	// Every gateway must become ready and serve once the faults are cleared.
	for i, g := range c.gateways {
		c.waitServing(g)
		c.checkServes(i)
	}
	if t.Failed() {
		for _, line := range c.log {
			fmt.Fprintln(os.Stderr, line)
		}
	}
}

// checkServes waits until a gateway serves a call, and fails the test after startTimeout. Replicas that leave or name a limit go on doing so after the
// faults are cleared; without another one, nothing is checked.
func (c *cluster) checkServes(gateway int) {
	if !slices.ContainsFunc(c.replicas, (*replica.Replica).Serves) {
		return
	}
	client := &http.Client{Timeout: callDeadline, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n, deadline := 0, time.Now().Add(startTimeout); time.Now().Before(deadline); n++ {
		result := call{id: fmt.Sprintf("last-%d-%d", gateway, n), path: "/safe/x", key: permanentKey, gateway: gateway}
		c.send(client, &result)
		if succeeded(result) {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Errorf("gateway %d serves no call %s after the faults were cleared", gateway, startTimeout)
}

// checkRelayed checks that the states of the gateways were relayed and that some read the registry for others.
func (c *cluster) checkRelayed() {
	for _, want := range []string{`msg="states relayed"`, "role=reader"} {
		if !slices.ContainsFunc(c.gateways, func(g *process) bool {
			data, err := os.ReadFile(g.logPath)
			return err == nil && strings.Contains(string(data), want)
		}) {
			c.t.Errorf("no gateway has logged %s", want)
		}
	}
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
