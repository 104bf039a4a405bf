package usage

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/lease"
	"github.com/dunlinpulley/dunlinpulley/internal/standin/cloudapi"
)

const (
	modelWindow  = 5 * time.Second
	modelLate    = 10 * time.Second
	modelReentry = 3 * time.Second
	// modelStep is the time between two looks of a gateway at what is due.
	modelStep = 100 * time.Millisecond
	// modelStart is the true time at which a model starts, in the middle of a window.
	modelStart = 353440000*modelWindow + 2*time.Second
)

// fate is how a call ends.
type fate struct {
	performed bool          // whether it is performed
	after     time.Duration // when, from the call on
	answered  bool          // whether the answer arrives, after as long again
}

// soundFate is that of calls without faults.
var soundFate = fate{performed: true, after: 5 * time.Millisecond, answered: true}

// node is a gateway of the model.
type node struct {
	name        string
	address     netip.Addr
	reporter    *Reporter
	life        int
	frozenUntil time.Duration
	runs        bool
	wallOff     time.Duration // time of day minus true time
	noPeers     bool          // whether it is cut off from all peers
	noStore     bool
	noProvider  bool
	deferred    []func()
	events      []Event
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
}

// world is gateways with a store and a provider.
type world struct {
	now      time.Duration // since the start
	late     time.Duration // after which reports are overdue
	nodes    []*node
	events   []event
	rules    cloudapi.Rules
	row      *lease.Row
	version  int64 // of the row; 0 if there is none
	counter  int64 // of the store's changes
	era      int64
	restored time.Duration // sum of the times by which the store's clock went back

	copyRow                  *lease.Row
	copyVersion, copyCounter int64

	reads, writes int
	counted       map[int64]map[string]uint64 // true counts
	storeFate     func() fate
	callFate      func() fate
	loseMessage   func() bool
	providerBusy  bool
	atFix         func(*node) // called once, when the next write is performed
}

func newWorld(nodes int, late time.Duration) *world {
	w := &world{
		era: 1, late: late, rules: cloudapi.Rules{Reentry: modelReentry}, counted: make(map[int64]map[string]uint64),
		storeFate: func() fate { return soundFate }, callFate: func() fate { return soundFate }, loseMessage: func() bool { return false },
	}
	for i := range nodes {
		n := &node{name: fmt.Sprintf("front-%d", i), address: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)})}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *node) {
	n.life++
	n.runs, n.frozenUntil, n.deferred = true, 0, nil
	n.reporter = New(Settings{
		Holder: n.name, Start: uint64(n.life)*100 + 1, Address: n.address, Window: modelWindow, Late: w.late, Reentry: modelReentry, CallsPerSecond: 5,
	}, w.steady(n), w.wall(n))
}

func (w *world) steady(*node) time.Duration { return w.now + time.Hour }

func (w *world) wall(n *node) time.Duration { return modelStart + w.now + n.wallOff }

func (w *world) at(after time.Duration, do func()) {
	w.events = append(w.events, event{w.now + after, do})
}

// deliver calls a function for the life of a node that was running at the time of this call, once it is not frozen.
func (w *world) deliver(n *node) func(func()) {
	life := n.life
	return func(do func()) {
		switch {
		case !n.runs || n.life != life:
		case w.now < n.frozenUntil:
			n.deferred = append(n.deferred, do)
		default:
			do()
		}
	}
}

func (w *world) reading() confirmation.StoreTime {
	return confirmation.StoreTime{Era: w.era, Millis: (time.Minute + w.now - w.restored).Milliseconds()}
}

func (w *world) read(n *node) {
	w.reads++
	f, deliver, answer := w.storeFate(), w.deliver(n), lease.Answer{SentAt: w.steady(n)}
	if n.noStore {
		f = fate{}
	}
	if !f.performed || !f.answered {
		w.at(800*time.Millisecond, func() { deliver(func() { n.reporter.StoreFailed(w.steady(n), "lost") }) })
		return
	}
	w.at(min(f.after, time.Second), func() {
		row, version := w.row, w.version
		answer.Reading = w.reading()
		w.at(f.after, func() {
			deliver(func() {
				answer.ReceivedAt = w.steady(n)
				n.reporter.Read(answer, row, version)
			})
		})
	})
}

func (w *world) write(n *node, row lease.Row, version int64) {
	w.writes++
	f, deliver, answer := w.storeFate(), w.deliver(n), lease.Answer{SentAt: w.steady(n)}
	if n.noStore {
		f = fate{}
	}
	answered := f.performed && f.answered && f.after <= 400*time.Millisecond
	if !answered {
		w.at(800*time.Millisecond, func() {
			deliver(func() {
				answer.ReceivedAt = w.steady(n)
				n.reporter.Wrote(lease.Unknown, answer, 0, "lost")
			})
		})
	}
	if !f.performed {
		return
	}
	w.at(f.after, func() {
		outcome := lease.Conflict
		if w.version == version {
			w.counter++
			w.row, w.version, outcome = &row, w.counter, lease.Written
			if w.atFix != nil {
				w.at(2*f.after, func() { w.hook(n) })
			}
		}
		answer.Reading = w.reading()
		newVersion := w.version
		if !answered {
			return
		}
		w.at(f.after, func() {
			deliver(func() {
				answer.ReceivedAt = w.steady(n)
				n.reporter.Wrote(outcome, answer, newVersion, "")
			})
		})
	})
}

// hook calls atFix for a node, as the answer of its write arrives.
func (w *world) hook(n *node) {
	if w.atFix != nil {
		w.atFix(n)
		w.atFix = nil
	}
}

func (w *world) call(n *node, c Call) {
	if !n.reporter.MayCall(w.steady(n), c.Token) {
		n.reporter.CallEnded(w.steady(n), c, CallNotMade, 0, "lease")
		return
	}
	f, deliver := w.callFate(), w.deliver(n)
	if n.noProvider {
		f = fate{}
	}
	// What has not arrived by the time limit never does.
	f.after = min(f.after, CallTimeout/2)
	end := func(after time.Duration, outcome CallOutcome) {
		w.at(after, func() { deliver(func() { n.reporter.CallEnded(w.steady(n), c, outcome, 0, "model") }) })
	}
	if !f.performed {
		end(CallTimeout, CallUnanswered)
		return
	}
	w.at(f.after, func() {
		accepted := !w.providerBusy
		w.rules.Check(cloudapi.Call{At: time.Unix(0, 0).Add(w.now), Holder: n.name, Token: c.Token, Window: c.Window, Body: string(c.Body), Accepted: accepted})
		switch {
		case !f.answered:
			end(CallTimeout-f.after, CallUnanswered)
		case accepted:
			end(f.after, CallAccepted)
		default:
			end(f.after, CallLater)
		}
	})
}

// step advances the time and does what is due.
func (w *world) step() {
	w.now += modelStep
	for again := true; again; {
		again = false
		for i, e := range w.events {
			if e.at <= w.now {
				w.events = append(w.events[:i:i], w.events[i+1:]...)
				e.do()
				again = true
				break
			}
		}
	}
	for _, n := range w.nodes {
		if n.runs && w.now >= n.frozenUntil {
			deferred := n.deferred
			n.deferred = nil
			for _, do := range deferred {
				do()
			}
			w.act(n)
		}
	}
}

// reach reports whether messages between two nodes arrive.
func (w *world) reach(n, other *node) bool {
	return n != other && other.runs && !n.noPeers && !other.noPeers && !w.loseMessage()
}

// act does what is due at a node.
func (w *world) act(n *node) {
	now := w.steady(n)
	n.reporter.Tick(now, w.wall(n))
	var alive []netip.Addr
	for _, other := range w.nodes {
		if other != n && other.runs && !other.noPeers && !n.noPeers {
			alive = append(alive, other.address)
		}
	}
	for _, m := range n.reporter.Counts().Due(now, n.reporter.Targets(alive)) {
		for _, other := range w.nodes {
			if other.address == m.To && w.reach(n, other) {
				w.deliver(other)(func() {
					if ack, ok := other.reporter.Counts().Handle(n.address, m.Message); ok && w.reach(other, n) {
						n.reporter.Counts().Handle(other.address, ack)
					}
				})
			}
		}
	}
	if news, ok := n.reporter.News(); ok {
		for _, other := range w.nodes {
			if w.reach(n, other) {
				w.deliver(other)(func() { other.reporter.Hear(w.steady(other), news) })
			}
		}
	}
	call, row, version := n.reporter.NextStoreCall(now, Surroundings{Alive: alive, Name: func(a Account) (string, bool) {
		return accountNames[a], accountNames[a] != ""
	}})
	switch call {
	case ReadRow:
		w.read(n)
	case WriteRow:
		w.write(n, row, version)
	}
	if c, ok := n.reporter.NextCall(now); ok {
		w.call(n, c)
	}
	n.events = append(n.events, n.reporter.Events()...)
}

var accountNames = map[Account]string{AccountOf("hule930"): "hule930", AccountOf("fida11"): "fida11"}

// count has a node count requests.
func (w *world) count(n *node, account string, requests int) {
	if !n.runs || w.now < n.frozenUntil {
		return
	}
	window := int64((modelStart + w.now) / modelWindow)
	if w.counted[window] == nil {
		w.counted[window] = make(map[string]uint64)
	}
	for range requests {
		n.reporter.Count(w.steady(n), AccountOf(account))
		w.counted[window][account]++
	}
}

func (w *world) restore() {
	w.era++
	w.row, w.version, w.counter = w.copyRow, w.copyVersion, w.copyCounter
	w.restored += 500 * time.Millisecond
}

// holders returns how often each node has taken the lease.
func (w *world) kinds(kind EventKind) int {
	sum := 0
	for _, n := range w.nodes {
		for _, e := range n.events {
			if e.Kind == kind {
				sum++
			}
		}
	}
	return sum
}

// runFor lets a time pass, in which each node counts three requests a step.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.now < end; {
		for _, n := range w.nodes {
			w.count(n, "hule930", 3)
		}
		w.step()
	}
}

// Guards against calls that cost without need, and against wrong counts: without faults each window is reported in time
// with all counts, by one holder, with one write a window and no read.
func TestWindowsAreReportedWithoutFaults(t *testing.T) {
	w := newWorld(5, modelLate)
	w.runFor(20 * time.Second)
	reads, writes, delivered := w.reads, w.writes, w.kinds(Delivered)
	w.runFor(10 * modelWindow)
	assert.Equal(t, w.reads-reads, 0)
	assert.Equal(t, w.writes-writes, 10)
	assert.Equal(t, w.kinds(Delivered)-delivered, 10)
	assert.Equal(t, w.kinds(Missed), 0)
	assert.Equal(t, w.kinds(Taken), 1)
	assert.DeepEqual(t, w.rules.Violations, []string(nil))
	for _, c := range w.rules.Calls {
		assert.Equal(t, c.Body, fmt.Sprintf(`{"window":%d,"counts":{"hule930":%d}}`, c.Window, w.counted[c.Window]["hule930"]))
		end := time.Duration(c.Window+1)*modelWindow - modelStart
		assert.Assert(t, c.At.Sub(time.Unix(0, 0)) < end+modelLate, "window %d", c.Window)
	}
}

// drawFate draws how a call ends, up to a time after which it may be performed.
func drawFate(t *rapid.T, latest time.Duration) fate {
	f := fate{performed: rapid.IntRange(0, 4).Draw(t, "performed") > 0, answered: rapid.IntRange(0, 4).Draw(t, "answered") > 0, after: 5 * time.Millisecond}
	if rapid.IntRange(0, 3).Draw(t, "slow") == 0 {
		f.after = time.Duration(rapid.IntRange(1, int(latest/time.Millisecond)).Draw(t, "after")) * time.Millisecond
	}
	return f
}

// holder returns the gateway that holds the lease as it knows, or any one.
func (w *world) holder(t *rapid.T) *node {
	for _, n := range w.nodes {
		if _, held := n.reporter.Held(w.steady(n)); held && n.runs && rapid.IntRange(0, 2).Draw(t, "holder") > 0 {
			return n
		}
	}
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// disturb draws what happens in a second.
func (w *world) disturb(t *rapid.T) {
	n := w.holder(t)
	switch rapid.IntRange(0, 23).Draw(t, "disturbance") {
	case 0, 1:
		n.frozenUntil = w.now + time.Duration(rapid.IntRange(200, 15_000).Draw(t, "frozen"))*time.Millisecond
	case 2:
		n.runs = false
	case 3, 4, 5:
		for _, n := range w.nodes {
			if !n.runs {
				w.start(n)
			}
		}
	case 6:
		n.noPeers = !n.noPeers
	case 7:
		n.noStore = !n.noStore
	case 8:
		n.noProvider = !n.noProvider
	case 9:
		w.copyRow, w.copyVersion, w.copyCounter = w.row, w.version, w.counter
	case 10:
		if kind := rapid.IntRange(0, 5).Draw(t, "restore"); kind < 2 {
			w.restore()
			n.runs = n.runs && kind == 0
		}
	case 12, 13:
		n.reporter.Stop()
		w.at(time.Duration(rapid.IntRange(300, 3000).Draw(t, "stopped"))*time.Millisecond, func() { w.start(n) })
	case 14:
		w.providerBusy = !w.providerBusy
	case 15:
		n.wallOff = time.Duration(rapid.IntRange(-100, 100).Draw(t, "off")) * time.Millisecond
	case 16, 17:
		for _, n := range w.nodes {
			n.noPeers, n.noStore, n.noProvider, w.providerBusy = false, false, false, false
		}
	case 18:
		if n.runs && w.now >= n.frozenUntil {
			n.reporter.SawEra(w.steady(n), w.era)
		}
	case 19:
		w.counter += int64(rapid.IntRange(0, 3).Draw(t, "others")) // other rows change
	case 20:
		n.wallOff = time.Duration(rapid.IntRange(-5, 5).Draw(t, "jump")) * time.Second
	case 21:
		w.atFix = func(n *node) { n.frozenUntil = w.now + 9*time.Second + time.Duration(n.address.As4()[3])*time.Second }
	case 22:
		w.atFix = func(n *node) { n.runs = false }
	}
}

// Guards against breaks of Rule ONE, whatever happens: calls to the store and the provider that are lost, answered by
// nobody or performed late, gateways that freeze, end, start again or are cut off, and a store that comes back from a copy.
func TestRuleOneHolds(t *testing.T) {
	accepted, restores := 0, int64(0)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.IntRange(2, 4).Draw(t, "nodes"), modelLate*time.Duration(rapid.IntRange(1, 3).Draw(t, "late")))
		faults := false
		w.storeFate = func() fate {
			if !faults {
				return soundFate
			}
			return drawFate(t, 6*time.Second)
		}
		w.callFate = func() fate {
			if !faults {
				return soundFate
			}
			return drawFate(t, CallTimeout)
		}
		w.loseMessage = func() bool { return faults && rapid.IntRange(0, 3).Draw(t, "lost") == 0 }
		w.runFor(time.Duration(rapid.IntRange(0, 12).Draw(t, "calm")) * time.Second)
		for range rapid.IntRange(30, 150).Draw(t, "seconds") {
			faults = rapid.IntRange(0, 2).Draw(t, "faults") == 0
			w.disturb(t)
			w.runFor(time.Second)
		}
		if len(w.rules.Violations) > 0 {
			t.Fatalf("%q", w.rules.Violations)
		}
		accepted, restores = accepted+len(w.rules.Calls), restores+w.era-1
	})
	t.Logf("%d calls, %d restores", accepted, restores)
}
