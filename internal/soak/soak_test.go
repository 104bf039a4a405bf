package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds  = flag.String("soak.seeds", "1,2", "seeds to play, comma-separated, or FIRST-LAST")
	length = flag.Duration("soak.length", 8*time.Second, "time that faults last, for each seed")
)

// failedSeeds failed once; each has a line on its cause.
var failedSeeds = []uint64{}

func TestSoak(t *testing.T) {
	program := build(t)
	for _, seed := range append(parseSeeds(t, *seeds), failedSeeds...) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			play(t, program, seed)
		})
	}
}

// play runs one seed: faults in series that overlap, with calls all the while.
func play(t *testing.T, program string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, seed))
	c := startCluster(t, program, 2+random.IntN(2), 2+random.IntN(3))
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	defer cancel()
	callers := startCallers(ctx, c, random.Uint64())
	for ctx.Err() == nil {
		f := faults[random.IntN(len(faults))]
		c.logf("fault %s", f.name)
		f.do(c, random)
		pause(ctx, time.Duration(random.IntN(900))*time.Millisecond)
	}
	c.heal()
	calls := callers.wait()
	c.check(calls)
	c.logf("seed %d: %d calls, %d whole, %d refused", seed, len(calls), count(calls, whole), count(calls, refused))
	assert.Assert(t, count(calls, whole) > 0, "no call was answered")
	// After the faults every gateway serves again.
	for _, g := range c.gateways {
		c.waitServing(g)
	}
	if t.Failed() {
		for _, line := range c.log {
			fmt.Fprintln(os.Stderr, line)
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
