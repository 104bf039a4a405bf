package integration

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// event is a function scheduled for a time. Events of the same time run in the
// order in which they were scheduled.
type event struct {
	at  domain.Instant
	seq uint64
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// scheduler holds the simulated time and runs events in order of time.
type scheduler struct {
	now    domain.Instant
	seq    uint64
	events eventHeap
}

func (t *scheduler) after(d time.Duration, fn func()) {
	t.seq++
	heap.Push(&t.events, event{at: t.now.Add(d), seq: t.seq, fn: fn})
}

func (t *scheduler) runUntil(end domain.Instant) {
	for len(t.events) > 0 && t.events[0].at <= end {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.fn()
	}
	t.now = end
}

// faultKind is a kind of injected fault, or faultReconnect, an entry's reaction to a
// silent link. Tests fail if a kind that they expect was never counted.
type faultKind string

const (
	faultDrop          faultKind = "message dropped"
	faultDuplicate     faultKind = "message repeated"
	faultDelay         faultKind = "message delayed"
	faultCut           faultKind = "link cut silently"
	faultReconnect     faultKind = "link reopened after silence"
	faultReset         faultKind = "link reset"
	faultAgentCrash    faultKind = "agent crashed"
	faultAgentPause    faultKind = "agent paused"
	faultEntryCrash    faultKind = "entry crashed"
	faultEntryPause    faultKind = "entry paused"
	faultEngineCrash   faultKind = "endpoint crashed"
	faultEngineSlow    faultKind = "endpoint slow"
	faultEngineRefuse  faultKind = "endpoint refused"
	faultStoreDown     faultKind = "store down"
	faultStoreSlow     faultKind = "store slow"
	faultStoreLost     faultKind = "store reply lost"
	faultCallerGone    faultKind = "caller hung up"
	faultDrain         faultKind = "endpoint drained"
	faultAgentShutdown faultKind = "agent stopped gracefully"
	faultEntryShutdown faultKind = "entry stopped gracefully"
)

var allFaults = []faultKind{
	faultDrop, faultDuplicate, faultDelay, faultCut, faultReconnect, faultReset, faultAgentCrash, faultAgentPause,
	faultEntryCrash, faultEntryPause, faultEngineCrash, faultEngineSlow, faultEngineRefuse, faultStoreDown,
	faultStoreSlow, faultStoreLost, faultCallerGone, faultDrain, faultAgentShutdown, faultEntryShutdown,
}

// faultCounts counts faults by kind: those of messages, of the store and of callers,
// refused runs and reconnections when they take effect, the others when they are
// injected, even without effect.
type faultCounts map[faultKind]int

// messageFaults holds the probabilities, per message between entry and agent,
// that the network drops, duplicates or delays it.
type messageFaults struct {
	drop, duplicate, delay float64
}

const (
	// maxDelay is the upper bound of a message's usual latency, maxAddedDelay of
	// the latency that a delayed message has in addition.
	maxDelay      = 3 * time.Millisecond
	maxAddedDelay = 400 * time.Millisecond
	dialDelay     = 20 * time.Millisecond
)

// link is the connection between an entry and an agent. A link that is up and cut
// loses all messages, and neither side is notified.
type link struct {
	entry *entryNode
	agent *agentNode
	up    bool
	cut   bool
	// generation changes with each connect and disconnect. Messages to an entry
	// from an earlier generation are dropped. Messages to an agent are not checked
	// and may arrive after a disconnection or reconnection.
	generation int
	dialing    bool
}

// transmit delivers a message over a link with random latency and the current
// message faults.
func (sim *simulation) transmit(l *link, deliver func()) {
	if !l.up {
		return
	}
	if l.cut {
		return
	}
	if sim.chance(sim.messageFaults.drop) {
		sim.counts[faultDrop]++
		return
	}
	copies := 1
	if sim.chance(sim.messageFaults.duplicate) {
		sim.counts[faultDuplicate]++
		copies = 2
	}
	for range copies {
		d := time.Duration(sim.rng.Int64N(int64(maxDelay)))
		if sim.chance(sim.messageFaults.delay) {
			sim.counts[faultDelay]++
			d += time.Duration(sim.rng.Int64N(int64(maxAddedDelay)))
		}
		sim.time.after(d, deliver)
	}
}

func (sim *simulation) chance(p float64) bool { return p > 0 && sim.rng.Float64() < p }

// disconnect takes a link down and notifies the given sides of it.
func (sim *simulation) disconnect(l *link, notifyEntry, notifyAgent bool) {
	if !l.up {
		return
	}
	l.up = false
	l.generation++
	if notifyEntry {
		l.entry.linkDown(l.agent)
	}
	if notifyAgent {
		l.agent.linkDown(l.entry)
	}
}

// dialLinks starts to connect each link that is down, not cut, and has both
// processes running.
func (sim *simulation) dialLinks() {
	for _, l := range sim.links {
		if l.up || l.dialing || l.cut || !l.entry.running() || !l.agent.running() {
			continue
		}
		l.dialing = true
		sim.time.after(dialDelay, func() { sim.connect(l) })
	}
}

func (sim *simulation) connect(l *link) {
	l.dialing = false
	if l.up || l.cut || !l.entry.running() || !l.agent.running() {
		return
	}
	l.up = true
	l.generation++
	l.agent.linkUp(l.entry)
	l.entry.linkUp(l.agent)
}

// newRand returns a generator for a seed. The second half of the PCG seed is a fixed
// constant, 2^64 divided by the golden ratio.
func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)) }
