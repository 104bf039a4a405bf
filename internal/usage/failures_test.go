package usage

import (
	"cmp"
	"encoding/json"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// current returns the node that holds the lease; nil if none does.
func (w *world) current() *node {
	for _, n := range w.nodes {
		if _, held := n.reporter.Held(w.steady(n)); held && n.runs {
			return n
		}
	}
	return nil
}

// untilFixed lets time pass until a node has fixed a further window.
func (w *world) untilFixed() {
	for before := w.kinds(Fixed); w.kinds(Fixed) == before; {
		w.runFor(modelStep)
	}
}

// lateWindows returns the windows that ended in a time and were not accepted before they were overdue.
func (w *world) lateWindows(from, to time.Duration) []int64 {
	accepted := make(map[int64]time.Duration)
	for _, c := range w.rules.Calls {
		if at := c.At.Sub(time.Unix(0, 0)); c.Accepted && (accepted[c.Window] == 0 || at < accepted[c.Window]) {
			accepted[c.Window] = at
		}
	}
	var late []int64
	for k := int64((modelStart + from) / modelWindow); ; k++ {
		end := time.Duration(k+1)*modelWindow - modelStart
		if end > to {
			return late
		}
		if at := accepted[k]; end > from && (at == 0 || at > end+modelLate) {
			late = append(late, k)
		}
	}
}

// Guards against reports that come late or never after a failure of the holder or around it: the next gateway has to take
// over in time, and Rule ONE holds.
func TestReportsAfterFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		fail func(w *world, holder *node)
		late int     // windows that may be late
		off  float64 // share by which counts may differ; 0 for modelOff
	}{
		{"killed before the fixing write", func(w *world, holder *node) { w.runFor(modelWindow - 600*time.Millisecond); holder.runs = false }, 0, 0},
		{"killed between the write and the call", func(w *world, _ *node) {
			w.atFix = func(n *node) { n.runs = false }
			w.runFor(modelWindow)
		}, 0, 0},
		{"killed after the call", func(w *world, holder *node) { w.runFor(time.Second); holder.runs = false }, 0, 0},
		{"frozen past the lease", func(w *world, holder *node) { holder.frozenUntil = w.now + 14*time.Second }, 0, 0},
		{"frozen at the write", func(w *world, _ *node) {
			w.atFix = func(n *node) { n.frozenUntil = w.now + 14*time.Second }
		}, 0, 0},
		{"cut off from the store", func(_ *world, holder *node) { holder.noStore = true }, 0, 0},
		{"cut off from the provider", func(_ *world, holder *node) { holder.noProvider = true }, 0, 0},
		{"cut off from its peers", func(_ *world, holder *node) { holder.noPeers = true }, 0, 0.2}, // nobody hears its counts
		{"stopped", func(_ *world, holder *node) { holder.reporter.Stop() }, 0, 0},
		{"store down for five seconds", func(w *world, _ *node) { w.setStore(true); w.at(5*time.Second, func() { w.setStore(false) }) }, 0, 0},
		{"store restored", func(w *world, _ *node) {
			w.copyRow, w.copyVersion, w.copyCounter = w.row, w.version, w.counter
			w.runFor(2 * modelWindow)
			w.restore()
		}, 0, 0},
		{"store restored and holder killed", func(w *world, holder *node) {
			w.copyRow, w.copyVersion, w.copyCounter = w.row, w.version, w.counter
			w.runFor(2 * modelWindow)
			w.restore()
			for _, n := range w.nodes {
				n.reporter.SawEra(w.steady(n), w.era)
			}
			holder.runs = false
		}, 1, 0},
		{"provider without answers", func(w *world, _ *node) {
			w.callFate = func() fate { return fate{performed: true, after: 5 * time.Millisecond} }
			w.at(6*time.Second, func() { w.callFate = func() fate { return soundFate } })
		}, 0, 0},
		{"provider busy", func(w *world, _ *node) {
			w.providerBusy = true
			w.at(6*time.Second, func() { w.providerBusy = false })
		}, 0, 0},
		{"write without an answer", func(w *world, _ *node) {
			lost := true
			w.storeFate = func() fate {
				f := fate{performed: lost, after: 5 * time.Millisecond}
				if !lost {
					return soundFate
				}
				lost = false
				return f
			}
		}, 0, 0},
		{"write performed late", func(w *world, _ *node) {
			first := true
			w.storeFate = func() fate {
				if !first {
					return soundFate
				}
				first = false
				return fate{performed: true, after: 2 * time.Second}
			}
		}, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(5, modelLate)
			w.runFor(25 * time.Second)
			w.untilFixed()
			holder := w.current()
			assert.Assert(t, holder != nil)
			failed := w.now
			c.fail(w, holder)
			w.runFor(8 * modelWindow)
			late := w.lateWindows(failed-2*time.Second, w.now-modelLate)
			assert.Assert(t, len(late) <= c.late, "%d windows late: %v", len(late), late)
			assert.DeepEqual(t, w.rules.Violations, []string(nil))
			for _, call := range w.rules.Calls {
				want := float64(w.counted[call.Window]["hule930"])
				var got report
				assert.NilError(t, json.Unmarshal([]byte(call.Body), &got))
				assert.Assert(t, math.Abs(float64(got.Counts["hule930"])-want) <= cmp.Or(c.off, modelOff)*want, "window %d: %d of %g", call.Window, got.Counts["hule930"], want)
			}
		})
	}
}

// modelOff is the share by which a report may differ from the true counts.
const modelOff = 0.05

// setStore sets whether no gateway reaches the store.
func (w *world) setStore(down bool) {
	for _, n := range w.nodes {
		n.noStore = down
	}
}

// Guards against a former holder that follows another one too soon: A releases the lease, B takes it, reports and releases
// it, and A, which has started again, must wait.
func TestHoldersDoNotAlternate(t *testing.T) {
	w := newWorld(2, modelLate)
	w.runFor(25 * time.Second)
	w.untilFixed()
	w.providerBusy = true // so that each holder has something to send
	w.untilFixed()
	w.runFor(time.Second)
	first := w.current()
	first.reporter.Stop()
	for w.current() == nil || w.current() == first {
		w.runFor(modelStep)
	}
	second := w.current()
	w.start(first)
	w.runFor(500 * time.Millisecond)
	second.reporter.Stop()
	for w.current() != first {
		w.runFor(modelStep)
	}
	w.runFor(3 * modelWindow)
	assert.DeepEqual(t, w.rules.Violations, []string(nil))
}

// Guards against a second body of a window that was sent before the store came back from a copy without it: the gateway
// that follows knows other counts than the one that sent it.
func TestWindowSentBeforeRestoreIsNotFixedAgain(t *testing.T) {
	w := newWorld(2, 3*modelLate)
	w.runFor(25 * time.Second)
	w.untilFixed()
	holder := w.current()
	w.runFor(time.Second)
	w.copyRow, w.copyVersion, w.copyCounter = w.row, w.version, w.counter
	w.loseMessage = func() bool { return true }
	w.count(holder, "fida11", 50)
	w.untilFixed()
	w.runFor(200 * time.Millisecond) // too soon for the other one to have read the row
	sent := w.rules.Calls[len(w.rules.Calls)-1]
	holder.runs = false
	w.loseMessage = func() bool { return false }
	w.restore()
	w.runFor(8 * modelWindow)
	assert.Equal(t, w.kinds(Taken), 2)
	for _, c := range w.rules.Calls {
		assert.Assert(t, c.Window != sent.Window || c.Body == sent.Body, "%s, before %s", c.Body, sent.Body)
	}
	assert.DeepEqual(t, w.rules.Violations, []string(nil))
}

// Guards against a holder that acts on when its lease has ended: it stood still with a report to send, hears no peer, and
// another gateway has reported meanwhile.
func TestThawedHolderSendsNothing(t *testing.T) {
	w := newWorld(3, 3*modelLate)
	w.runFor(25 * time.Second)
	w.atFix = func(n *node) { n.frozenUntil, n.noPeers = w.now+15*time.Second, true }
	w.untilFixed()
	w.runFor(8 * modelWindow)
	assert.Equal(t, w.kinds(Taken), 2)
	assert.DeepEqual(t, w.rules.Violations, []string(nil))
}

// Guards against a token that is lower than one that was seen, and a window that is fixed twice, after a former holder's
// write of the era before has replaced the row: the store has given out the version of its condition again.
func TestRowReplacedByWriteOfEarlierEra(t *testing.T) {
	w := newWorld(3, 3*modelLate)
	w.runFor(25 * time.Second)
	w.untilFixed()
	w.copyRow, w.copyVersion, w.copyCounter = w.row, w.version, w.counter
	for range 2 {
		w.runFor(time.Second)
		w.current().runs = false
		w.runFor(2 * modelWindow)
	}
	before := w.row
	for _, n := range w.nodes[1:] {
		w.start(n)
	}
	w.restore()
	w.runFor(5 * modelWindow)
	w.version++
	w.counter++
	w.row = before
	for _, n := range w.nodes {
		w.start(n)
	}
	w.runFor(5 * modelWindow)
	assert.DeepEqual(t, w.rules.Violations, []string(nil))
	assert.Assert(t, w.rules.Calls[len(w.rules.Calls)-1].At.Sub(time.Unix(0, 0)) > w.now-2*modelWindow, "no report since")
}
