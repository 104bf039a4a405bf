package memorylimit

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const kib, mib = 1 << 10, 1 << 20

var testLimits = Limits{Bytes: 30 * mib, Bodies: 25 * mib, Answers: 15 * mib, Reserved: 3 * mib}

// model checks a budget against a plain account of what each holder has.
type model struct {
	*rapid.T
	b       *Budget
	now     domain.Instant
	open    []*Holder
	held    map[*Holder]int64
	waiting map[*Holder]int64
}

func (m *model) apply(c Changes) {
	for _, h := range c.Granted {
		m.held[h] += m.waiting[h]
		delete(m.waiting, h)
	}
	for _, h := range c.Refused {
		assert.Assert(m, m.waiting[h] > 0)
		delete(m.waiting, h)
	}
	for _, h := range c.Shed {
		delete(m.waiting, h)
		// The endpoint may have run a request whose body is complete, and a shed one is answered that it has not run.
		assert.Assert(m, h.phase == sending || h.share == Bodies && h.phase == receiving)
	}
}

func (m *model) check() {
	var used [shareCount]int64
	for h, n := range m.held {
		assert.Equal(m, h.Held(), n)
		used[h.share] += n
	}
	assert.Equal(m, used, m.b.used)
	assert.Assert(m, used[Bodies] <= testLimits.Bodies && used[Answers] <= testLimits.Answers && used[Bodies]+used[Answers] <= testLimits.Bytes)
	assert.Equal(m, len(m.waiting), len(m.b.waiting))
	if len(m.waiting) > 0 {
		assert.Assert(m, sum(m.b.freeing) > 0, "waits for bytes that nobody gives back")
	}
}

// Guards against bytes beyond the limits, bytes that get lost, requests that wait for each other for ever, and complete
// bodies that are shed: whatever holders do, the limits hold, and who waits waits for one that was told to give way.
func TestBudgetHoldsItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, b: NewBudget(testLimits), held: make(map[*Holder]int64), waiting: make(map[*Holder]int64)}
		pick := func() *Holder {
			if len(m.open) == 0 {
				t.Skip("none is open")
			}
			return rapid.SampledFrom(m.open).Draw(t, "holder")
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { m.check() },
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"open": func(t *rapid.T) {
				h := m.b.Open(m.now, rapid.SampledFrom([]Share{Bodies, Answers}).Draw(t, "share"), rapid.Bool().Draw(t, "urgent"))
				m.open, m.held[h] = append(m.open, h), 0
			},
			"take": func(t *rapid.T) {
				h := pick()
				if h.phase != receiving || m.waiting[h] > 0 {
					t.Skip("takes nothing now")
				}
				n := int64(rapid.SampledFrom([]int{4 * kib, 64 * kib, 2 * mib, 20 * mib}).Draw(t, "bytes"))
				outcome, changes := m.b.Take(m.now, h, n)
				m.apply(changes)
				switch outcome {
				case Granted:
					m.held[h] += n
				case Waiting:
					m.waiting[h] = n
				}
			},
			"complete": func(*rapid.T) {
				if h := pick(); m.waiting[h] == 0 {
					m.b.Complete(h)
				}
			},
			"send": func(*rapid.T) {
				if h := pick(); h.share == Answers && h.phase == kept {
					m.b.Send(m.now, h)
				}
			},
			"withdraw": func(t *rapid.T) {
				h := pick()
				assert.Equal(t, m.b.Withdraw(h), m.waiting[h] > 0)
				delete(m.waiting, h)
			},
			"close": func(*rapid.T) {
				h := pick()
				delete(m.waiting, h)
				changes := m.b.Close(m.now, h)
				delete(m.held, h)
				m.apply(changes)
				m.open = slices.DeleteFunc(m.open, func(other *Holder) bool { return other == h })
			},
		})
	})
}

// receive opens a body and takes bytes for it.
func receive(t *testing.T, b *Budget, now domain.Instant, urgent bool, n int64) *Holder {
	t.Helper()
	h := b.Open(now, Bodies, urgent)
	outcome, _ := b.Take(now, h, n)
	assert.Equal(t, outcome, Granted)
	return h
}

func at(d time.Duration) domain.Instant { return domain.Instant(d) }

// Guards against bodies that stop short of their end and keep others out: they give way, and the new one gets its bytes
// when they have.
func TestStoppedBodiesGiveWay(t *testing.T) {
	b := NewBudget(testLimits)
	stopped := receive(t, b, 0, false, 16*mib)
	smaller := receive(t, b, 0, false, 6*mib)
	next := b.Open(at(30*time.Second), Bodies, false)
	outcome, changes := b.Take(at(30*time.Second), next, mib)
	assert.Equal(t, outcome, Waiting)
	assert.DeepEqual(t, []bool{stopped.Shed(), smaller.Shed(), len(changes.Shed) == 1}, []bool{true, false, true})
	changes = b.Close(at(30*time.Second), stopped)
	assert.Assert(t, len(changes.Granted) == 1 && changes.Granted[0] == next && next.Held() == mib)
}

// Guards against bodies that all wait for the others: if all make progress, the last one to begin gives way.
func TestYoungestBodyGivesWay(t *testing.T) {
	b := NewBudget(testLimits)
	old := receive(t, b, at(1), false, 11*mib)
	young := receive(t, b, at(2), false, 11*mib)
	outcome, _ := b.Take(at(3), young, mib)
	assert.Equal(t, outcome, Refused)
	outcome, changes := b.Take(at(3), old, mib)
	assert.Assert(t, outcome == Waiting && len(changes.Shed) == 1 && changes.Shed[0] == young)
	assert.Assert(t, !b.Complete(young), "a shed body may not go on")
}

// Guards against the answer of a request that has run and that is refused within its share, as bodies of requests that
// have not run take the total or wait for it: the last one to begin gives way, and the answer comes before the bodies.
func TestAnswerComesBeforeArrivingBodies(t *testing.T) {
	b := NewBudget(testLimits)
	old := receive(t, b, at(1), false, 11*mib)
	young := receive(t, b, at(2), false, 11*mib)
	outcome, _ := b.Take(at(3), old, mib)
	assert.Assert(t, outcome == Waiting && young.Shed())
	next := b.Open(at(3), Answers, false)
	outcome, _ = b.Take(at(3), next, 8*mib)
	assert.Equal(t, outcome, Granted, "neither the reserve nor a body that waits may keep an answer out")
	last := b.Open(at(3), Answers, false)
	outcome, _ = b.Take(at(3), last, 7*mib)
	assert.Equal(t, outcome, Waiting)
	changes := b.Close(at(4), young)
	assert.Assert(t, len(changes.Granted) > 0 && changes.Granted[0] == last, "an answer waits behind a body")

	b = NewBudget(testLimits)
	old = receive(t, b, at(1), true, 11*mib)
	young = receive(t, b, at(2), false, 9*mib)
	assert.Assert(t, b.Complete(receive(t, b, at(3), true, 5*mib)))
	next = b.Open(at(4), Answers, false)
	outcome, _ = b.Take(at(4), next, 8*mib)
	assert.DeepEqual(t, []bool{outcome == Waiting, old.Shed(), young.Shed()}, []bool{true, false, true})
}

// Guards against bodies that are shed for one that is refused nevertheless, as the bytes of all that may give way are not
// enough for it.
func TestNoneIsShedInVain(t *testing.T) {
	b := NewBudget(testLimits)
	old := b.Open(at(1), Bodies, false)
	assert.Assert(t, b.Complete(receive(t, b, at(1), false, 16*mib)))
	young := receive(t, b, at(2), false, 3*mib)
	younger := receive(t, b, at(3), false, 2*mib)
	outcome, changes := b.Take(at(4), old, 8*mib)
	assert.Assert(t, outcome == Refused && len(changes.Shed) == 0 && !young.Shed() && !younger.Shed())
	outcome, changes = b.Take(at(4), old, 3*mib)
	assert.Assert(t, outcome == Waiting && len(changes.Shed) == 1 && younger.Shed(), "only as many give way as are needed")
	changes = b.Close(at(4), younger)
	assert.Assert(t, len(changes.Granted) == 1 && changes.Granted[0] == old)
}

// Guards against a body that is shed as its client's upload seems to lag, while it waits for bytes of the budget or
// because it has waited.
func TestWaitForBytesIsNoLag(t *testing.T) {
	b := NewBudget(testLimits)
	old := receive(t, b, 0, false, 11*mib)
	young := receive(t, b, at(1), false, 11*mib)
	begin := at(20 * time.Second)
	b.Progress(begin, young, 0)
	outcome, _ := b.Take(begin, old, mib)
	assert.Assert(t, outcome == Waiting && young.Shed())
	before, later := old.lag(begin), begin.Add(time.Second)
	assert.Equal(t, old.lag(later), before)
	changes := b.Close(later, young)
	assert.Assert(t, len(changes.Granted) == 1)
	assert.Equal(t, old.lag(later), before)
	assert.Equal(t, old.lag(later.Add(time.Minute)), before+time.Minute)
}

// Guards against large bodies that starve urgent and small ones.
func TestReservedPart(t *testing.T) {
	b := NewBudget(testLimits)
	for range 22 {
		assert.Assert(t, b.Complete(receive(t, b, 0, false, mib)))
	}
	large := b.Open(0, Bodies, false)
	outcome, _ := b.Take(0, large, mib)
	assert.Equal(t, outcome, Refused)
	receive(t, b, 0, false, 64*kib)
	receive(t, b, 0, true, mib)
}

// Guards against answers that nobody reads and that keep others out.
func TestUnreadAnswersGiveWay(t *testing.T) {
	b := NewBudget(testLimits)
	unread := b.Open(0, Answers, false)
	_, _ = b.Take(0, unread, 14*mib)
	b.Complete(unread)
	b.Send(at(time.Second), unread)
	next := b.Open(at(time.Second), Answers, false)
	outcome, _ := b.Take(at(time.Second), next, 2*mib)
	assert.Equal(t, outcome, Refused)
	outcome, changes := b.Take(at(20*time.Second), next, 2*mib)
	assert.Assert(t, outcome == Waiting && len(changes.Shed) == 1 && changes.Shed[0] == unread)
}

// Guards against a smallest host that can't hold the largest answer, or the largest body, alone.
func TestSmallestHostHoldsTheLargestRequest(t *testing.T) {
	l := Divide(112*mib, 3075)
	assert.Assert(t, l.Answers >= 16*mib+64*kib)
	assert.Assert(t, l.Bodies-l.Reserved >= 8*mib+64*kib)
	assert.Assert(t, l.Conns.Conns >= 800 && l.Conns.Conns+l.EndpointConns+fileDescriptors < 3075)
	assert.DeepEqual(t, Divide(0, 0), Limits{Answers: defaultAnswers})
}

// Guards against small answers that are refused because answers without end hold the memory: the largest of these gives way.
func TestAnswersWithoutEndKeepSmallOnesOut(t *testing.T) {
	b := NewBudget(Limits{Answers: 1 << 20, Bytes: 2 << 20, ReservedAnswers: 128 << 10})
	var endless []*Holder
	for {
		h := b.Open(0, Answers, false)
		h.SetOpenEnded()
		_, _ = b.Take(0, h, SmallBytes)
		outcome, changes := b.Take(0, h, 200<<10)
		if outcome != Granted {
			assert.Assert(t, outcome == Refused && len(changes.Shed) == 0, "a large answer without end sheds others")
			break
		}
	}
	var small *Holder
	for {
		small = b.Open(0, Answers, false)
		if outcome, changes := b.Take(0, small, 16<<10); outcome != Granted {
			assert.Equal(t, outcome, Waiting)
			assert.Assert(t, len(changes.Shed) == 1 && changes.Shed[0].openEnded && changes.Shed[0].held > SmallBytes)
			endless = changes.Shed
			break
		}
	}
	changes := b.Close(0, endless[0])
	assert.Assert(t, len(changes.Granted) == 1 && changes.Granted[0] == small)
}
