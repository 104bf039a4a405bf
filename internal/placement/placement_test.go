package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const start = domain.Instant(time.Second)

func newTable(n int) *Table {
	t := New(Settings{DataCentre: "a", CacheLife: 30 * time.Second})
	for i := range n {
		t.Put(start, Endpoint{ID: fmt.Sprintf("e%02d", i), Service: "s", DataCentre: "a", Slots: 8, Start: 1})
	}
	return t
}

func plain() Query { return Query{Service: "s"} }

func longQuery(session uint64) Query {
	return Query{
		Service: "s", Rank: 2, Output: 50, Target: time.Second,
		Parts: []Part{{ID: session, Tokens: 6300}, {ID: session + 1e6, Tokens: 2900}},
	}
}

func notesQuery(n uint64) Query {
	return Query{
		Service: "s", Output: 280, Target: 300 * time.Millisecond,
		Parts: []Part{{ID: n, Tokens: 170}, {ID: n + 1e6, Tokens: 540}},
	}
}

func TestLeavingEndpointsGetNothing(t *testing.T) {
	table := newTable(2)
	table.Put(start, Endpoint{ID: "e00", Service: "s", DataCentre: "a", Slots: 8, Start: 1, Draining: true})
	for range 5 {
		assert.Equal(t, table.Pick(start, plain()).Endpoint.ID, "e01")
	}
	table.Remove("e01")
	assert.Assert(t, table.Pick(start, plain()) == nil)
}

// Long prompts go anywhere when the engines where they belong are gone: to
// others that read, and to those of long outputs when there is no other.
func TestLongPromptsLeaveLostHomes(t *testing.T) {
	for n, lost := range map[int]int{6: 2, 4: 2, 3: 2, 2: 1} {
		table := newTable(n)
		q := longQuery(7)
		var homesOf []string
		for range lost {
			ticket := table.Pick(start, q)
			assert.Assert(t, ticket != nil && ticket.Home > 0, "%d engines", n)
			homesOf = append(homesOf, ticket.Endpoint.ID)
			table.End(start, ticket, ResultSilent)
		}
		ticket := table.Pick(start.Add(time.Millisecond), q)
		assert.Assert(t, ticket != nil, "%d engines, lost %v", n, homesOf)
		for _, id := range homesOf {
			assert.Assert(t, ticket.Endpoint.ID != id)
		}
	}
}

func TestTriedEndpointsAreLeftOut(t *testing.T) {
	table := newTable(2)
	q := plain()
	q.Exclude = []string{"e00"}
	assert.Equal(t, table.Pick(start, q).Endpoint.ID, "e01")
	q.Exclude = append(q.Exclude, "e01")
	assert.Assert(t, table.Pick(start, q) == nil)
}

func TestPlainRequestsWaitWhenAllAreFull(t *testing.T) {
	table := newTable(1)
	for range int(plainQueueShare * 8) {
		assert.Assert(t, table.Pick(start, plain()) != nil)
	}
	assert.Assert(t, table.Pick(start, plain()) == nil)
}

// An endpoint that starts again under its identifier knows nothing of before.
func TestRestartForgets(t *testing.T) {
	table := newTable(1)
	ticket := table.Pick(start, longQuery(1))
	table.Put(start, Endpoint{ID: "e00", Service: "s", DataCentre: "a", Slots: 8, Start: 2})
	s := table.byID["e00"]
	assert.Equal(t, s.own.inFlight, 0)
	assert.Equal(t, len(s.parts), 0)
	table.End(start, ticket, ResultUnreachable)
	assert.Equal(t, s.own.inFlight, 0, "the end of a request at the earlier start")
}

func TestUnreachableEndpointIsAvoidedForAWhile(t *testing.T) {
	table := newTable(2)
	ticket := table.Pick(start, plain())
	lost := ticket.Endpoint.ID
	table.End(start, ticket, ResultUnreachable)
	for range 4 {
		assert.Assert(t, table.Pick(start, plain()).Endpoint.ID != lost)
	}
	// It is the only one left: better than none.
	table.Remove(map[string]string{"e00": "e01", "e01": "e00"}[lost])
	assert.Equal(t, table.Pick(start, plain()).Endpoint.ID, lost)
}

// An endpoint that says nothing on any connection while work is outstanding is
// left until it is heard again.
func TestSilentEndpointIsLeft(t *testing.T) {
	table := newTable(2)
	first := table.Pick(start, plain())
	silent := first.Endpoint.ID
	now := start.Add(silenceBound + time.Millisecond)
	for range 5 {
		assert.Assert(t, table.Pick(now, plain()).Endpoint.ID != silent)
	}
	table.Heard(now, first, 1)
	assert.Equal(t, table.Pick(now, plain()).Endpoint.ID, silent)
}

// An engine that has much to read is not silent: it is busy.
func TestBusyEngineIsNotSilent(t *testing.T) {
	table := newTable(1)
	ticket := table.Pick(start, longQuery(1))
	assert.Assert(t, ticket != nil)
	s := table.byID["e00"]
	s.own.unread = 60_000
	now := start.Add(silenceBound + 500*time.Millisecond)
	assert.Assert(t, !s.silent(now, initialPace))
	assert.Assert(t, s.silent(now.Add(time.Second), initialPace))
}

func TestSessionsHaveAHome(t *testing.T) {
	table := newTable(12)
	home := table.Pick(start, longQuery(7))
	assert.Equal(t, home.Home, 1)
	other := newTable(12)
	assert.Equal(t, other.Pick(start, longQuery(7)).Endpoint.ID, home.Endpoint.ID, "every process knows the same home")
}

// A long prompt waits for its home rather than being read anew elsewhere.
func TestLongPromptsStayHome(t *testing.T) {
	table := newTable(12)
	for range 200 {
		ticket := table.Pick(start, longQuery(7))
		if ticket == nil {
			return
		}
		assert.Assert(t, ticket.Home > 0)
	}
	t.Fatal("two endpoints took 200 long prompts at once")
}

// Urgent prompts don't wait for long ones, which engines read after them.
func TestShortPromptsPassLongOnes(t *testing.T) {
	table := newTable(2)
	for table.Pick(start, longQuery(7)) != nil {
		continue
	}
	short := Query{Service: "s", Rank: 1, Output: 24, Target: 500 * time.Millisecond, Parts: []Part{{1, 500}, {2, 1800}}}
	assert.Assert(t, table.Pick(start, short) != nil)
}

func TestLongPromptsKeepOffLongOutputs(t *testing.T) {
	table := newTable(12)
	streams := make(map[string]bool)
	for n := range uint64(8) {
		ticket := table.Pick(start, notesQuery(n))
		streams[ticket.Endpoint.ID] = true
	}
	for n := range uint64(60) {
		if ticket := table.Pick(start, longQuery(n)); ticket != nil {
			assert.Assert(t, !streams[ticket.Endpoint.ID])
		}
	}
}

// Engines with several long outputs are spared long prompts on either side, and
// those that have just left the side of long outputs until the last one ends.
func TestEnginesWithLongOutputsAreSpared(t *testing.T) {
	table := newTable(12)
	home := table.Pick(start, longQuery(7))
	s := home.state
	s.own.decoding = sparedStreams
	for table.Pick(start, longQuery(7)) != nil {
		continue
	}
	assert.Equal(t, s.own.inFlight, 1, "no further long prompt")

	table = newTable(12)
	table.Pick(start, notesQuery(1))
	open := table.service("s").endpoints
	split := &table.service("s").split
	split.recent = len(open)
	open[len(open)-1].own.decoding = 1
	for n := range uint64(60) {
		ticket := table.Pick(start, longQuery(n))
		assert.Assert(t, ticket == nil || ticket.state != open[len(open)-1])
	}
}

// Long prompts are metered, so that engines have time for what they answer.
func TestLongPromptsAreMetered(t *testing.T) {
	table := newTable(12)
	now := start
	given := make(map[string]float64)
	const (
		seconds = 10
		// mostDuty leaves engines a quarter of their time for what they answer.
		mostDuty = 0.75
	)
	for range seconds * 100 {
		now = now.Add(10 * time.Millisecond)
		for range 5 {
			if ticket := table.Pick(now, longQuery(7)); ticket != nil {
				given[ticket.Endpoint.ID] += float64(ticket.Unread)
				// The engine reads at once, so that nothing but the meter holds it back.
				table.Heard(now.Add(time.Millisecond), ticket, 1)
				table.End(now.Add(time.Millisecond), ticket, ResultServed)
			}
		}
	}
	assert.Assert(t, len(given) > 0)
	pace := table.service("s").pace.tokens()
	for endpoint, tokens := range given {
		most := pace*mostDuty*1000*seconds + 2*9200
		assert.Assert(t, tokens <= 1.2*most, "%s was given %.0f tokens, at most %.0f at pace %.0f", endpoint, tokens, most, pace)
	}
}

// A jump of long outputs gets more endpoints; the split goes back later.
func TestSplitFollowsDemand(t *testing.T) {
	table := newTable(12)
	now := start
	// Callers ask for as much reading all the time.
	ask := func() {
		for n := range uint64(20) {
			table.Asked(now, longQuery(n))
		}
	}
	ask()
	before := table.Pick(now, notesQuery(0)).Split
	var tickets []*Ticket
	for n := range uint64(70) {
		now = now.Add(20 * time.Millisecond)
		table.Asked(now, longQuery(n))
		if ticket := table.Pick(now, notesQuery(n)); ticket != nil {
			tickets = append(tickets, ticket)
		}
	}
	grown := tickets[len(tickets)-1].Split
	assert.Assert(t, grown > before, "%d endpoints before, %d after", before, grown)
	for _, ticket := range tickets {
		table.End(now, ticket, ResultServed)
	}
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		ask()
		table.End(now, table.Pick(now, notesQuery(99)), ResultServed)
	}
	assert.Assert(t, table.Pick(now, notesQuery(100)).Split < grown)
}

func TestPaceIsLearned(t *testing.T) {
	var p pace
	for range 500 {
		p.learn(initialBase+500*time.Millisecond, 60_000)
	}
	assert.Assert(t, p.tokens() > 100 && p.tokens() < 140, "pace %v", p.tokens())
	p.learn(initialBase+time.Microsecond, 1<<30)
	assert.Assert(t, p.tokens() <= maxPace)
}

// Whatever happens, what is counted is what is in progress.
func TestCountsMatchTickets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(4)
		now := start
		var open []*Ticket
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Uint64Range(0, 20).Draw(t, "session")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				q := []Query{plain(), longQuery(n), notesQuery(n)}[rapid.IntRange(0, 2).Draw(t, "kind")]
				if ticket := table.Pick(now, q); ticket != nil {
					open = append(open, ticket)
				}
			case 3:
				if len(open) > 0 {
					table.Heard(now, open[rapid.IntRange(0, len(open)-1).Draw(t, "heard")], 1)
				}
			case 4:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "end")
					result := Result(rapid.IntRange(int(ResultServed), int(ResultCancelled)).Draw(t, "result"))
					table.End(now, open[i], result)
					table.End(now, open[i], result)
					open = append(open[:i], open[i+1:]...)
				}
			case 5:
				peer := fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "peer"))
				var d PeerDigest
				for id := range table.byHash {
					d.Loads = append(d.Loads, PeerLoad{Endpoint: id, InFlight: int(n)})
				}
				if rapid.Bool().Draw(t, "gone") {
					d = PeerDigest{}
				}
				table.PeerDigest(peer, d)
			}
			checkCounts(t, table, open)
		}
	})
}

func checkCounts(t *rapid.T, table *Table, open []*Ticket) {
	inFlight, told := 0, 0
	for _, s := range table.byID {
		inFlight += s.own.inFlight
		told += s.peers.inFlight
		assert.Assert(t, s.own.inFlight >= 0 && s.own.unread >= 0 && s.own.long >= 0 && s.own.memory >= 0)
	}
	assert.Equal(t, inFlight, len(open))
	want := 0
	for _, d := range table.peers {
		for _, l := range d.Loads {
			want += l.InFlight
		}
	}
	assert.Equal(t, told, want)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 42, 860} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table := newTable(n)
			now := start
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(10 * time.Millisecond)
				if ticket := table.Pick(now, longQuery(uint64(i%1000))); ticket != nil {
					table.Heard(now, ticket, 1)
					table.End(now, ticket, ResultServed)
				}
			}
		})
	}
}
