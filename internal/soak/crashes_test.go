package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/replica"
)

const (
	// crashingPart is the prompt part that crashes replicas, sharedPart the first part of all prompts.
	crashingPart, sharedPart = 0xbad, 0xa1
	// partTokens is the length of each part of a prompt, and promptMaxTokens that of an answer, in tokens.
	partTokens, promptMaxTokens = 20, 8
	// crashingTarget is the target of requests that crash replicas and come again with the same body.
	crashingTarget = "/safe/crash"
	// repeatedRequests is the number of sound requests that come again too.
	repeatedRequests = 8
	// maxLateRequests is the number of crashing requests that may reach replicas later than contactTime after the last
	// crash by which gateways have to know.
	maxLateRequests = 3
)

// crashKind is what crashes replicas in a run.
type crashKind struct {
	name string
	// crashes is the number of crashes by which gateways have to know.
	crashes int
	// setUp makes a replica crash and calls crashed after each crash.
	setUp func(r *replica.Replica, crashed func())
	// crashing reports whether a request is one that crashes.
	crashing func(a replica.Arrival) bool
	// prepare makes a call of caller i: a crashing one of the first caller, a sound one of the others.
	prepare func(result *call, i int, rng *rand.Rand)
}

// crashingPartKind is a prompt part that crashes replicas at a moment.
func crashingPartKind(name string, moment replica.CrashMoment) crashKind {
	part := strconv.FormatUint(crashingPart, 16)
	return crashKind{
		name: name, crashes: 5,
		setUp:    func(r *replica.Replica, crashed func()) { r.CrashOn(part, moment, crashed) },
		crashing: func(a replica.Arrival) bool { return replica.HasCrashingPart(a.Header, part) },
		prepare: func(result *call, i int, rng *rand.Rand) {
			own := placement.Part{ID: rng.Uint64(), Tokens: partTokens}
			session := placement.Part{ID: uint64(0x100 + rng.IntN(8)), Tokens: partTokens}
			if i == 0 {
				session.ID = crashingPart
			}
			result.path, result.parts = resumablePath, []placement.Part{{ID: sharedPart, Tokens: partTokens}, session, own}
		},
	}
}

// crashKinds are the kinds that TestSoakCrashes plays.
var crashKinds = []crashKind{
	crashingPartKind("part", replica.AfterHead),
	{
		name: "request", crashes: 3,
		setUp:    func(r *replica.Replica, crashed func()) { r.CrashOnTarget(crashingTarget, crashed) },
		crashing: func(a replica.Arrival) bool { return a.Target == crashingTarget },
		prepare: func(result *call, i int, rng *rand.Rand) {
			result.path = "/safe/x"
			switch {
			case i == 0:
				result.path, result.payload = crashingTarget, "same"
			case rng.IntN(2) == 0:
				result.payload = fmt.Sprintf("repeated %d", rng.IntN(repeatedRequests))
			default:
			}
		},
	},
}

// crashActions are the actions of TestSoakCrashes that actions doesn't have. Between the restarts of two
// gateways there is time for a digest: what is blamed is kept by the gateways only.
var crashActions = []action{
	{"gateways restarted one after the other", func(c *cluster, rng *rand.Rand) {
		for _, g := range c.gateways {
			c.kill(g)
			g.stopped = false
			c.start(g)
			time.Sleep(time.Duration(1000+rng.IntN(500)) * time.Millisecond)
		}
	}},
	{"replica ends in an answer without a length", func(c *cluster, rng *rand.Rand) {
		r := c.replica(rng)
		r.SetOutage(replica.Outage{Time: time.Duration(100+rng.IntN(900)) * time.Millisecond, Accepts: rng.IntN(2) == 0})
		r.SetFault([]replica.Fault{replica.UnframedCrash, replica.EmptyCrash, replica.UnframedReset}[rng.IntN(3)])
		time.Sleep(time.Duration(100+rng.IntN(200)) * time.Millisecond)
		r.SetFault(replica.NoFault)
	}},
	{"streams break off and continuations are answered by an error", func(c *cluster, rng *rand.Rand) {
		status := []string{"204 No Content", "400 Bad Request", "404 Not Found", "429 Too Many Requests"}[rng.IntN(4)]
		c.setFaults(replica.TruncatedStream)
		for _, r := range c.replicas {
			r.SetTakeUpStatus(status)
		}
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
		for _, r := range c.replicas {
			r.SetTakeUpResponse("")
		}
		c.setFaults(replica.NoFault)
	}},
	{"replica restarted at random", func(c *cluster, rng *rand.Rand) { c.restartReplica(c.replica(rng), rng) }},
	{"gateway ended by SIGTERM and started", func(c *cluster, rng *rand.Rand) {
		g := c.randomGateway(rng)
		g.disturbed.touch()
		c.stop(g, rng)
		c.start(g)
		time.Sleep(time.Second)
	}},
}

// crashActionNames are the actions of actions that are played beside crashing parts. Those with which replicas
// say something of themselves are left out, as a replica that crashes forgets it.
var crashActionNames = []string{
	"replica fault set", "replica fault cleared", "replica faults cleared", "all replicas refuse or fail", "replica delay set", "network drops open connections' data",
	"network drops one direction", "network resets connections", "network delay set", "network faults cleared", "store down", "store up", "store slow", "store prompt", "link to the store slow", "configuration grows", "store history lost", "configuration",
}

// TestSoakCrashes runs each seed of -soak.seeds with prompts of which one part crashes replicas, and with a request that
// does and comes again, beside crashes of other causes, restarts of gateways one after the other, and faults of replicas, network and store.
func TestSoakCrashes(t *testing.T) { runCrashKinds(t, crashKinds...) }

// TestSoakCrashesBeforeAnswers is the same with a part that crashes replicas before they have sent anything of the answer, each second time.
func TestSoakCrashesBeforeAnswers(t *testing.T) {
	runCrashKinds(t, crashingPartKind("part", replica.EitherMoment))
}

func runCrashKinds(t *testing.T, kinds ...crashKind) {
	t.Helper()
	program := buildRouter(t)
	for _, kind := range kinds {
		for _, seed := range parseSeeds(t, *randomSeeds) {
			t.Run(fmt.Sprintf("%s/%d", kind.name, seed), func(t *testing.T) {
				t.Parallel()
				runCrashSeed(t, program, kind, seed)
			})
		}
	}
}

func runCrashSeed(t *testing.T, program string, kind crashKind, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, seed+1))
	c := startCluster(t, program, 3, 4+rng.IntN(5), retryRatios[1], false)
	for _, r := range c.replicas {
		kind.setUp(r, func() {
			c.mu.Lock()
			c.starts[r.ID] = r.Born()
			c.mu.Unlock()
			c.register(r, "ready")
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), *faultDuration)
	defer cancel()
	made := c.startCrashCallers(ctx, kind, rng.Uint64(), time.Duration(100+rng.IntN(400))*time.Millisecond)
	played := slices.Clone(crashActions)
	for _, a := range actions {
		if slices.Contains(crashActionNames, a.name) {
			played = append(played, a)
		}
	}
	for ctx.Err() == nil {
		a := played[rng.IntN(len(played))]
		c.logf("action: %s", a.name)
		a.apply(c, rng)
		sleep(ctx, time.Duration(rng.IntN(900))*time.Millisecond)
	}
	c.clearFaults()
	calls := made()
	c.checkCalls(calls)
	c.checkRetries(calls)
	c.checkCrashes(kind, calls)
	for _, g := range c.gateways {
		c.waitServing(g)
	}
	if t.Failed() {
		for _, line := range c.log {
			fmt.Println(line)
		}
	}
}

// startCrashCallers starts callers with sound requests and one with crashing ones, which waits between
// its calls. The returned function waits for their end and returns the calls.
func (c *cluster) startCrashCallers(ctx context.Context, kind crashKind, seed uint64, wait time.Duration) func() []call {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		calls []call
	)
	for i := range callerCount {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(i)))
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; ctx.Err() == nil; n++ {
				result := call{id: fmt.Sprintf("p%d-%d", i, n), key: permanentKey, gateway: rng.IntN(len(c.gateways))}
				kind.prepare(&result, i, rng)
				pause := time.Duration(rng.IntN(60)) * time.Millisecond
				if i == 0 {
					pause = wait
				}
				c.send(client, &result)
				mu.Lock()
				calls = append(calls, result)
				mu.Unlock()
				sleep(ctx, pause)
			}
		})
	}
	return func() []call {
		wg.Wait()
		return calls
	}
}

// checkCrashes checks that from contactTime after the last crash by which gateways have to know, few crashing requests
// reach replicas from gateways in touch, and that some sound requests are served. Not counted are requests that
// the network held back.
func (c *cluster) checkCrashes(kind crashKind, calls []call) {
	var crashes []time.Time
	for _, r := range c.replicas {
		crashes = append(crashes, r.Crashes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late, ids := 0, []string{}
	if len(crashes) >= kind.crashes {
		learnt := crashes[kind.crashes-1].Add(contactTime)
		for i, r := range c.replicas {
			for _, a := range r.Arrivals() {
				gateway, err := strconv.Atoi(a.Header.Get(gatewayHeader))
				if err != nil || !kind.crashing(a) || a.At.Before(learnt) ||
					c.gateways[gateway].disturbed.within(a.At.Add(-contactTime), a.At) || c.heldBack[i+1].within(a.At.Add(-contactTime), a.At) {
					continue
				}
				late++
				ids = append(ids, a.ID)
			}
		}
	}
	if late > maxLateRequests {
		c.t.Errorf("%d crashing requests reached replicas late, %d crashes: %v", late, len(crashes), ids)
		c.logCalls(ids)
	}
	sound := func(result call) bool {
		return result.path != crashingTarget && (len(result.parts) == 0 || result.parts[1].ID != crashingPart)
	}
	served := countCalls(calls, func(result call) bool { return sound(result) && succeeded(result) })
	c.logf("%d crashes, %d late; %d of %d sound calls served", len(crashes), late, served, countCalls(calls, sound))
	if served == 0 {
		c.t.Errorf("no sound call succeeded")
	}
}
