package replay

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// crashDelay is the time from the first event of an answer until its prompt crashes the engine, and
	// crashDowntime the time until the engine is back with another start.
	crashDelay, crashDowntime = 60 * time.Millisecond, 1200 * time.Millisecond
	// crashContactTime is the time after the fifth crash, and after the start of a gateway, from which on at
	// most maxLateCrashers requests with the part may be sent.
	crashContactTime = 3 * time.Second
	maxLateCrashers  = 3
)

// crashers are the gateways' records of crashes, and what is known of the crashes themselves.
type crashers struct {
	sim  *simulation
	part uint64 // crashes engines
	// beforeHead is whether engines crash before the head of the answer has reached the gateway.
	beforeHead bool
	ledgers    []*crashblame.Ledger
	runs       map[*request]*crashblame.Run
	started    []time.Duration         // of each gateway
	crashAt    map[int]time.Duration   // engines that crash, by index
	backAt     map[int]time.Duration   // engines that are down, by index
	crashes    []time.Duration         // under the part
	sent       map[time.Duration][]int // gateways that sent a request with the part, by time
}

func newCrashers(sim *simulation, part uint64) *crashers {
	k := &crashers{sim: sim, part: part, runs: make(map[*request]*crashblame.Run), crashAt: make(map[int]time.Duration), backAt: make(map[int]time.Duration), sent: make(map[time.Duration][]int)}
	for range sim.gateways {
		k.ledgers, k.started = append(k.ledgers, nil), append(k.started, 0)
	}
	for i := range sim.gateways {
		k.startGateway(i)
	}
	return k
}

// startGateway replaces a gateway's process by one that knows nothing. Its requests are lost.
func (k *crashers) startGateway(i int) {
	for q := range k.runs {
		if q.gateway == i {
			q.ended = true
			delete(k.runs, q)
		}
	}
	k.sim.gateways[i] = k.sim.newGateway()
	k.sim.introduceGateways()
	k.ledgers[i], k.started[i] = crashblame.New(k.sim.instant()), k.sim.now
	for j, l := range k.ledgers {
		var others []uint64
		for other := range k.ledgers {
			if other != j {
				others = append(others, uint64(other))
			}
		}
		if l != nil {
			l.SetProcesses(uint64(j), others)
		}
	}
}

func crashParts(q *request) []crashblame.Part {
	var parts []crashblame.Part
	for _, p := range q.query.Parts[:len(q.query.Parts)-1] {
		parts = append(parts, crashblame.Part(p.ID))
	}
	return parts
}

// admits reports whether a request may be sent by its gateway.
func (k *crashers) admits(q *request) bool {
	if k == nil {
		return true
	}
	v := k.ledgers[q.gateway].Admit(k.sim.instant(), crashParts(q))
	if v.Probe {
		k.ledgers[q.gateway].EndProbe(v.Blamed, true)
	}
	return !v.Refused
}

// sends records that a request is sent. It reports whether the engine is there.
func (k *crashers) sends(q *request, engine int) bool {
	if k == nil {
		return true
	}
	if _, down := k.backAt[engine]; down {
		return false
	}
	if slices.Contains(crashParts(q), crashblame.Part(k.part)) {
		k.sent[k.sim.now] = append(k.sent[k.sim.now], q.gateway)
	}
	start := k.sim.engines[engine].started
	k.runs[q] = k.ledgers[q.gateway].Sent(crashblame.Process{Endpoint: uint32(engine), Start: start}, crashParts(q))
	return true
}

// event records an event of an answer at a time.
func (k *crashers) event(q *request, engine int, at time.Duration, last bool) {
	if k == nil || k.runs[q] == nil {
		return
	}
	now := domain.Instant(at) + 1
	crashing := slices.Contains(crashParts(q), crashblame.Part(k.part))
	if crashing && k.crashAt[engine] == 0 {
		crashAt := at + crashDelay
		if k.beforeHead {
			crashAt = at
		}
		k.crashAt[engine] = crashAt
		k.crashes = append(k.crashes, crashAt)
	}
	if crashing && k.beforeHead {
		return
	}
	l := k.ledgers[q.gateway]
	l.Received(now, k.runs[q])
	if last {
		l.Completed(now, k.runs[q])
		delete(k.runs, q)
	}
}

// advance crashes engines, starts them again, and exchanges what gateways know.
func (k *crashers) advance() {
	if k == nil {
		return
	}
	for i, e := range k.sim.engines {
		if at, ok := k.crashAt[i]; ok && at <= k.sim.now {
			delete(k.crashAt, i)
			k.crash(i)
		}
		if at, ok := k.backAt[i]; ok && at <= k.sim.now {
			delete(k.backAt, i)
			e.started += int64(len(k.sim.engines))
			for _, g := range k.sim.gateways {
				k.sim.register(g, i)
			}
		}
	}
	for i, l := range k.ledgers {
		for _, p := range l.Unheard(k.sim.instant()) {
			if _, down := k.backAt[int(p.Endpoint)]; !down && k.sim.engines[p.Endpoint].started == p.Start {
				l.Heard(k.sim.instant(), p)
			}
		}
		for _, c := range l.StartChecks(k.sim.instant()) {
			_, down := k.backAt[int(c.Process.Endpoint)]
			switch {
			case down || c.Ask && k.sim.engines[c.Process.Endpoint].started != c.Process.Start:
				l.Gone(k.sim.instant(), c.Process)
			case c.Ask:
				l.Alive(k.sim.instant(), c.Process)
			default:
			}
		}
		l.Tick(k.sim.instant())
		if k.sim.now%digestInterval != 0 || k.sim.gateways[i].isolated {
			continue
		}
		n := l.News(k.sim.instant())
		for j, other := range k.ledgers {
			if i != j && !k.sim.gateways[j].isolated {
				other.PeerNews(k.sim.instant(), n)
			}
		}
	}
}

// crash ends an engine with all its requests.
func (k *crashers) crash(i int) {
	e := k.sim.engines[i]
	for _, r := range e.runs {
		q := r.request
		if run := k.runs[q]; run != nil && !q.ended {
			q.ended = true
			k.ledgers[q.gateway].Lost(k.sim.instant(), run)
			k.sim.gateways[q.gateway].table.RecordEnd(k.sim.instant(), q.ticket, placement.ResultUnreachable)
		}
		delete(k.runs, q)
	}
	e.runs, e.usedMemory, e.parts = nil, 0, make(map[uint64]*cachedPart)
	k.backAt[i] = k.sim.now + crashDowntime
}

// late returns how many requests with the part were sent by gateways in touch after the fifth crash.
func (k *crashers) late() int {
	if len(k.crashes) < 5 {
		return 0
	}
	slices.Sort(k.crashes)
	learnt, late := k.crashes[4]+crashContactTime, 0
	for at, gateways := range k.sent {
		for _, g := range gateways {
			if at > learnt && at > k.started[g]+crashContactTime {
				late++
			}
		}
	}
	return late
}

// TestPromptPartCrashesEngines guards against engines that crash one after the other under one part of prompts, whose
// requests arrive at all gateways, beside crashes without a cause, gateways that restart in series
// and one that is cut off from its peers for a while. Sound requests, which share the crashing ones' first
// part, are served nearly as often as without them.
func TestPromptPartCrashesEngines(t *testing.T) {
	t.Parallel()
	checkCrashingPart(t, false)
}

// TestPromptPartCrashesEnginesBeforeAnswer is the same where engines crash before the head of the answer has arrived, so that
// the requests that wait there can't be told from the one that crashes them.
func TestPromptPartCrashesEnginesBeforeAnswer(t *testing.T) {
	t.Parallel()
	checkCrashingPart(t, true)
}

func checkCrashingPart(t *testing.T, beforeHead bool) {
	t.Helper()
	for seed := uint64(90); seed < 94; seed++ {
		sim := newSimulation(seed, 5, engines)
		sim.crashers = newCrashers(sim, 1<<50)
		sim.crashers.beforeHead = beforeHead
		load := []workload{longPrompts(constantRate(30)), shortPrompts(constantRate(45)), longAnswers(constantRate(14))}
		sim.simulate(5*time.Second, load...)
		crashing := shortPrompts(constantRate(4))
		crashing.name, crashing.crashing = "crash", true
		load = append(load, crashing)
		sim.simulate(3*time.Second, load...)
		sim.crashers.crash(int(seed) % engines)
		sim.gateways[4].isolated = true
		sim.simulate(2*time.Second, load...)
		sim.gateways[4].isolated = false
		for i := range 4 {
			sim.crashers.startGateway(i)
			sim.simulate(800*time.Millisecond, load...)
		}
		sim.crashers.crash(int(seed+5) % engines)
		sim.simulate(6*time.Second, load...)
		sim.finishRequests()
		k := sim.crashers
		t.Logf("seed %d: %d crashes under the part, %d late", seed, len(k.crashes), k.late())
		assert.Check(t, k.late() <= maxLateCrashers, "seed %d: %d requests with the part were sent after the fifth crash", seed, k.late())
		checkAtLeast(t, "short served after the crashes", sim.fractionOf("short", 16*time.Second, time.Hour, (*request).served), 0.9)
	}
}
