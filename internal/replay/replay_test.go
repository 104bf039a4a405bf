package replay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

const (
	gateways = 4
	engines  = 12
	// topTarget is the share of the highest tier that has to be in time
	// wherever the engines left alive could serve it.
	topTarget = 0.99
)

func atLeast(t *testing.T, what string, got, want float64) {
	t.Helper()
	t.Logf("%s: %.3f (at least %.3f)", what, got, want)
	assert.Check(t, got >= want, "%s: %.3f, want at least %.3f", what, got, want)
}

// A calm day: everything is in time.
func TestCalmLoad(t *testing.T) {
	w := newWorld(1, gateways, engines)
	w.play(20*time.Second, long(steady(25)), short(steady(30)), notes(steady(10)))
	w.drain()
	for _, kind := range []string{"long", "short", "notes"} {
		atLeast(t, kind+" in time", w.share(kind, 0, time.Hour, (*request).inTime), topTarget)
	}
}

// A burst of long prompts must not pause the urgent streams.
func TestBurstOfLongPrompts(t *testing.T) {
	w := newWorld(2, gateways, engines)
	w.play(20*time.Second, long(burst(60, 2.5, 5*time.Second, 14*time.Second)), short(steady(45)), notes(steady(15)))
	w.drain()
	atLeast(t, "notes in time", w.share("notes", 0, time.Hour, (*request).inTime), topTarget)
	atLeast(t, "short in time", w.share("short", 0, time.Hour, (*request).inTime), 0.9)
	// A request that was sent should end: engines don't work for callers that have left.
	sent := func(q *request) bool { return q.ticket != nil }
	wasted := w.share("long", 0, time.Hour, func(q *request) bool { return sent(q) && !q.done })
	atLeast(t, "long not wasted", 1-wasted, 0.9)
}

// A load that keeps the engines reading for long: what is sent there ends, and
// isn't read for callers that have left by then.
func TestReadingIsNotWastedInOverload(t *testing.T) {
	w := newWorld(8, gateways, engines)
	w.play(20*time.Second, long(steady(180)), short(steady(49)), notes(steady(16)))
	w.drain()
	sent, wasted := 0, 0
	for _, q := range w.requests {
		if q.kind == "long" && q.ticket != nil {
			sent++
			if !q.done {
				wasted++
			}
		}
	}
	atLeast(t, "of what was sent, ended", 1-float64(wasted)/float64(sent), 0.95)
}

// A jump of long outputs beside many long prompts: engines that make tokens are
// filled, so that the others are left to read.
func TestLongOutputsLeaveEnginesToRead(t *testing.T) {
	w := newWorld(9, gateways, engines)
	w.play(15*time.Second, long(steady(130)), short(steady(49)), notes(burst(16, 3, 4*time.Second, 12*time.Second)))
	w.drain()
	served := func(q *request) bool { return q.done }
	atLeast(t, "long served", w.share("long", 0, time.Hour, served), 0.8)
	atLeast(t, "notes in time", w.share("notes", 0, time.Hour, (*request).inTime), 0.9)
}

// Sessions keep their engines in a burst: their shared parts aren't read again.
func TestSessionsStayHome(t *testing.T) {
	w := newWorld(3, gateways, engines)
	w.play(20*time.Second, long(burst(40, 2.5, 5*time.Second, 14*time.Second)), notes(steady(15)))
	w.drain()
	atLeast(t, "tokens not read again", w.readOnce(), 0.75)
}

// In overload a busy home doesn't send its sessions where they are read again:
// nothing would be won, as all engines are busy.
func TestBusyHomesKeepTheirSessions(t *testing.T) {
	w := newWorld(10, gateways, engines)
	w.play(20*time.Second, long(steady(200)), short(steady(49)), notes(steady(16)))
	w.drain()
	atLeast(t, "tokens not read again", w.readOnce(), 0.95)
	atLeast(t, "long served", w.share("long", 0, time.Hour, func(q *request) bool { return q.done }), 0.6)
}

// A jump of long outputs gets more engines within a second or two.
func TestBurstOfLongOutputs(t *testing.T) {
	w := newWorld(4, gateways, engines)
	w.play(20*time.Second, long(steady(35)), notes(burst(15, 2, 6*time.Second, 12*time.Second)))
	w.drain()
	atLeast(t, "notes in time", w.share("notes", 0, time.Hour, (*request).inTime), 0.97)
}

// A few engines work several times as long, and their queues look like others'.
func TestSlowEngines(t *testing.T) {
	w := newWorld(11, gateways, engines)
	load := []stream{long(steady(40)), short(steady(49)), notes(steady(16))}
	w.play(4*time.Second, load...)
	for _, e := range w.engines[:3] {
		e.slow = 5
	}
	w.play(12*time.Second, load...)
	w.drain()
	for _, kind := range []string{"long", "short", "notes"} {
		atLeast(t, kind+" in time", w.share(kind, 0, time.Hour, (*request).inTime), 0.95)
	}
}

// A gateway that hears no peer still keeps the urgent streams in time.
func TestGatewayCutOff(t *testing.T) {
	w := newWorld(5, gateways, engines)
	w.play(4*time.Second, long(steady(30)), notes(steady(12)))
	w.gateways[0].cut = true
	w.play(8*time.Second, long(steady(30)), notes(steady(12)))
	w.drain()
	atLeast(t, "notes in time", w.share("notes", 0, time.Hour, (*request).inTime), 0.95)
}

// No kind is worse off than a less urgent one of the same service.
func TestNoInversionInOverload(t *testing.T) {
	w := newWorld(6, gateways, engines)
	w.play(15*time.Second, long(steady(150)), short(steady(60)), notes(steady(20)))
	w.drain()
	served := func(q *request) bool { return q.done }
	top, middle, low := w.share("notes", 0, time.Hour, served), w.share("short", 0, time.Hour, served), w.share("long", 0, time.Hour, served)
	t.Logf("served: notes %.3f, short %.3f, long %.3f", top, middle, low)
	assert.Assert(t, cmp.Comparison(func() cmp.Result {
		if top >= middle-0.05 && middle >= low-0.05 {
			return cmp.ResultSuccess
		}
		return cmp.ResultFailure("a kind is served less often than a less urgent one")
	}))
	atLeast(t, "long served", low, 0.3)
}

// The same load and seed give the same decisions.
func TestDeterminism(t *testing.T) {
	play := func() []string {
		w := newWorld(7, gateways, engines)
		w.play(5*time.Second, long(steady(60)), short(steady(40)), notes(steady(15)))
		var log []string
		for _, q := range w.requests {
			if q.ticket != nil {
				log = append(log, q.ticket.Endpoint.ID)
			} else {
				log = append(log, "")
			}
		}
		return log
	}
	assert.DeepEqual(t, play(), play())
}
