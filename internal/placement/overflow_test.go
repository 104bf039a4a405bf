package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// spilloverTable returns a table in data centre a with the numbers of endpoints of 6 slots in data centres a, b and c.
func spilloverTable(policy Spillover, endpoints ...int) *Table {
	t := New(Settings{DataCentre: "a", CacheTTL: 30 * time.Second, Spillover: policy})
	for site, n := range endpoints {
		for i := range n {
			dataCentre := string(rune('a' + site))
			t.Put(start, Endpoint{ID: fmt.Sprintf("%s%02d", dataCentre, i), Service: "s", DataCentre: dataCentre, Slots: 6, Start: 1})
		}
	}
	return t
}

var auto = Spillover{Mode: SpilloverAuto}

// placeAll places n requests and returns the number in each data centre.
func placeAll(t *testing.T, table *Table, now domain.Instant, n int, q Query) map[string]int {
	t.Helper()
	placed := make(map[string]int)
	for range n {
		ticket := table.Pick(now, q)
		assert.Assert(t, ticket != nil)
		assert.Equal(t, ticket.Spillover == SpilloverNone, ticket.Endpoint.DataCentre == "a")
		placed[ticket.Endpoint.DataCentre]++
	}
	return placed
}

// Guards against plain requests that cross while slots at home are free, and against ones that queue there while others are idle.
func TestPlainRequestsLeaveAFullDataCentre(t *testing.T) {
	table := spilloverTable(auto, 1, 1, 1)
	assert.DeepEqual(t, placeAll(t, table, start, 3, plainQuery()), map[string]int{"a": 3})
	placed := placeAll(t, table, start, 9, plainQuery())
	assert.Assert(t, placed["a"]+3 <= 5, "%v", placed)
	assert.Assert(t, placed["b"] >= 3 && placed["c"] >= 3, "%v", placed)
}

// Guards against waiting for home's endpoints when there are none, all are gone or none is usable.
func TestEmptyDataCentre(t *testing.T) {
	table := spilloverTable(auto, 0, 1, 1)
	ticket := table.Pick(start, plainQuery())
	assert.Equal(t, ticket.Spillover, SpilloverNoEndpoint)
	table = spilloverTable(auto, 1, 1, 0)
	table.RecordEnd(start, table.Pick(start, plainQuery()), ResultUnreachable)
	assert.Equal(t, table.Pick(start, plainQuery()).Spillover, SpilloverNoEndpoint)
}

func TestForbiddenSpillover(t *testing.T) {
	table := spilloverTable(Spillover{Mode: SpilloverForbidden}, 1, 1, 1)
	assert.DeepEqual(t, placeAll(t, table, start, 18, plainQuery()), map[string]int{"a": 18})
	assert.Assert(t, table.Pick(start, plainQuery()) == nil)
	assert.Assert(t, spilloverTable(Spillover{Mode: SpilloverForbidden}, 0, 1).Pick(start, decodeHeavyQuery(1)) == nil)
}

// Guards against a price that changes nothing.
func TestPriceOfSpillover(t *testing.T) {
	placed := placeAll(t, spilloverTable(Spillover{Mode: SpilloverAuto, Price: 1}, 1, 1, 1), start, 15, plainQuery())
	assert.Assert(t, placed["a"] > 8, "%v", placed)
}

// Guards against a home endpoint that always reports to be full, or to be idle, and so draws or sends away what others could serve better.
func TestWrongLoadsAtHome(t *testing.T) {
	for _, wrong := range []ReportedLoad{{Running: 6, Waiting: 9, Slots: 6}, {Slots: 6}} {
		table := spilloverTable(auto, 2, 1, 1)
		ticket := table.Pick(start, plainQuery())
		table.RecordLoad(start, ticket, wrong)
		table.RecordEnd(start, ticket, ResultServed)
		placed := placeAll(t, table, start.Add(time.Millisecond), 20, plainQuery())
		for _, dataCentre := range []string{"a", "b", "c"} {
			assert.Assert(t, placed[dataCentre] >= 3 && placed[dataCentre] <= 12, "%v: %v", wrong, placed)
		}
	}
}

// Guards against long shared parts that are prefilled again at home, and against crossings for short ones.
func TestSharedPartsAndSpillover(t *testing.T) {
	for name, q := range map[string]Query{"long": longPromptQuery(3), "short": decodeHeavyQuery(3)} {
		table := spilloverTable(auto, 4, 4, 4)
		crossed := 0
		for session := range uint64(12) {
			q.Parts[0].ID, q.Parts[1].ID = session, session+1e6
			ticket := table.Pick(start, q)
			assert.Assert(t, ticket != nil)
			table.RecordReceived(start, ticket, 1)
			table.RecordEnd(start, ticket, ResultServed)
			if ticket.Spillover != SpilloverNone {
				assert.Equal(t, ticket.Spillover, SpilloverPrefix)
				assert.Assert(t, ticket.AffinityRank > 0)
				crossed++
			}
		}
		assert.Equal(t, crossed > 0, name == "long", "%s: %d", name, crossed)
	}
}

// Guards against a decode pool that is in one data centre.
func TestDecodePoolIsSpread(t *testing.T) {
	table := spilloverTable(auto, 17, 19, 19)
	for n := 3; n <= 55; n++ {
		count := make(map[string]int)
		for _, s := range table.services["s"].endpoints[:n] {
			count[s.DataCentre]++
		}
		for dataCentre, total := range map[string]int{"a": 17, "b": 19, "c": 19} {
			share := float64(n) * float64(total) / 55
			assert.Assert(t, float64(count[dataCentre]) > share-1.2 && float64(count[dataCentre]) < share+1.2, "%d: %v", n, count)
		}
	}
}

// Guards against other decisions than before in a deployment with one data centre, whatever arrives and is served.
func TestOneDataCentreDecidesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := []*Table{spilloverTable(auto, 8), spilloverTable(Spillover{}, 8)}
		tickets := make([][]*Ticket, 2)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			session, kind, served := uint64(rapid.IntRange(1, 4).Draw(t, "session")), rapid.IntRange(0, 2).Draw(t, "kind"), rapid.IntRange(0, 2).Draw(t, "served")
			for i, table := range tables {
				ticket := table.Arrive(now, []Query{plainQuery(), longPromptQuery(session), decodeHeavyQuery(session)}[kind])
				if ticket != nil {
					tickets[i] = append(tickets[i], ticket)
				}
				for range min(served, len(tickets[i])) {
					table.RecordReceived(now, tickets[i][0], 1)
					table.RecordEnd(now, tickets[i][0], ResultServed)
					tickets[i] = tickets[i][1:]
				}
			}
			assert.Equal(t, len(tickets[0]), len(tickets[1]))
			for i := range tickets[0] {
				assert.Equal(t, tickets[0][i].Endpoint, tickets[1][i].Endpoint)
				assert.Equal(t, tickets[0][i].Score, tickets[1][i].Score)
			}
		}
	})
}

// Guards against a shortage that ends and begins with each request, and against one that lasts.
func TestShortageIsHeld(t *testing.T) {
	var h heldShortage
	assert.Equal(t, h.observe(start, 1), 1.0)
	assert.Assert(t, h.observe(start.Add(50*time.Millisecond), 0) > 0.8)
	assert.Assert(t, h.observe(start.Add(time.Second), 0) < 0.05)
}

// Guards against a slow link that is not seen, is seen in the queues of a far data centre, or is never tried again.
func TestLinkDelay(t *testing.T) {
	var o overflow
	observe := func(now domain.Instant, dataCentre string, latencies ...time.Duration) {
		for _, latency := range latencies {
			o.observeDelay(now, dataCentre, latency*time.Millisecond)
		}
	}
	observe(start, "a", 40, 60, 50)
	observe(start, "b", 900, 42, 700)
	assert.Equal(t, o.extraDelay(start, "a", "b"), time.Duration(0), "queues")
	observe(start, "c", 190, 240, 300)
	assert.Equal(t, o.extraDelay(start, "a", "c"), 150*time.Millisecond)
	assert.Equal(t, o.extraDelay(start, "a", "a"), time.Duration(0))
	later := start.Add(linkWindow)
	observe(later, "a", 41, 42, 43)
	observe(later, "c", 45, 60, 70)
	assert.Equal(t, o.extraDelay(later, "a", "c"), time.Duration(0), "the link is as before")
	observe(later, "b", 300, 340, 330)
	for _, at := range []time.Duration{linkWindow, 2 * linkWindow} {
		observe(later.Add(at), "b", 300, 340, 330)
		observe(later.Add(at), "a", 40, 41, 42)
	}
	assert.Equal(t, o.extraDelay(later.Add(2*linkWindow), "a", "b"), 260*time.Millisecond)
	observe(later.Add(linkMemory+3*linkWindow), "a", 40, 41, 42)
	assert.Equal(t, o.extraDelay(later.Add(linkMemory+3*linkWindow), "a", "b"), time.Duration(0), "tried again")
}

// Guards against spillover that is reported with each request that leaves, or not at all.
func TestSpilloverIsReported(t *testing.T) {
	table := spilloverTable(auto, 1, 1, 1)
	placeAll(t, table, start, 3, plainQuery())
	report := table.Spillover(start)
	assert.Equal(t, len(report), 1)
	assert.Assert(t, !report[0].Spilling && !report[0].Changed && report[0].Share == 0)
	placeAll(t, table, start, 9, plainQuery())
	report = table.Spillover(start)
	assert.Assert(t, report[0].Spilling && report[0].Changed && report[0].Share > 0.5)
	assert.Equal(t, report[0].Shortages[0].DataCentre, "a")
	assert.Assert(t, report[0].Shortages[0].Value > 0)
	assert.Assert(t, !table.Spillover(start)[0].Changed)
	report = table.Spillover(start.Add(10 * time.Second))
	assert.Assert(t, !report[0].Spilling && report[0].Changed)
}

// Guards against a retry, which excludes home's only endpoint, that makes home count as short for other requests.
func TestRetriesLeaveShortages(t *testing.T) {
	table := spilloverTable(auto, 1, 1, 1)
	placeAll(t, table, start, 2, plainQuery())
	q := plainQuery()
	q.Exclude = []string{"a00"}
	assert.Equal(t, table.Pick(start, q).Spillover, SpilloverNoEndpoint)
	assert.DeepEqual(t, placeAll(t, table, start.Add(time.Millisecond), 1, plainQuery()), map[string]int{"a": 1})
}

// Guards against a wait that uses up a short target and makes home count as short for requests with a long one.
func TestShortagesDependOnTargets(t *testing.T) {
	table := spilloverTable(auto, 2, 2)
	svc := table.service("s")
	for _, s := range svc.endpoints {
		if table.isHome(s) {
			s.local.backlog[0] = 60 * initialPrefillSpeed
		}
	}
	shortage := func(target time.Duration) float64 {
		q := decodeHeavyQuery(1)
		q.Target = target
		return table.crossings(start, svc, svc.endpoints, q, func(*endpointState) bool { return true }).sites[0].shortage
	}
	assert.Equal(t, shortage(120*time.Millisecond), 1.0)
	assert.Equal(t, shortage(3*time.Second), 0.0)
}

// Guards against long shared parts that are sent over a slow link though an engine at home may take them.
func TestLongSharedPartsAvoidSlowLinks(t *testing.T) {
	crossed := func(elsewhere time.Duration) (n int) {
		for session := range uint64(40) {
			table := spilloverTable(auto, 4, 4, 4)
			for dataCentre, latency := range map[string]time.Duration{"a": 40 * time.Millisecond, "b": elsewhere, "c": elsewhere} {
				for range minLinkSamples {
					table.service("s").overflow.observeDelay(start, dataCentre, latency)
				}
			}
			n += placeAll(t, table, start, 1, longPromptQuery(session))["a"]
		}
		return 40 - n
	}
	near, far := crossed(40*time.Millisecond), crossed(2*time.Second)
	t.Logf("crossed: %d, over a slow link %d", near, far)
	assert.Assert(t, far < near)
}

// Guards against decode-heavy requests that all cross to the only engine of the decode pool while home is idle, and against ones that
// stay at home when it has no room.
func TestDecodePoolOfOneEngineElsewhere(t *testing.T) {
	table := spilloverTable(auto, 2, 2, 2)
	for _, dataCentre := range []string{"a", "b", "c"} {
		if table.services["s"].endpoints[0].DataCentre != dataCentre {
			table.settings.DataCentre = dataCentre
		}
	}
	var crossed []bool
	for n := range uint64(20) {
		ticket := table.Pick(start, decodeHeavyQuery(100*n))
		assert.Assert(t, ticket != nil)
		table.RecordReceived(start, ticket, 1)
		crossed = append(crossed, ticket.Spillover != SpilloverNone)
	}
	assert.DeepEqual(t, crossed[:5], make([]bool, 5))
	assert.Assert(t, slices.Contains(crossed, true))
}

// Small deployments, whose decode pool has an engine or two, must decide as if data centres hardly mattered: streams that stay near
// a pool that small run late.
func TestSpilloverNeedsEndpoints(t *testing.T) {
	endpoints := func(counts ...int) []*endpointState {
		var list []*endpointState
		for i, n := range counts {
			for range n {
				list = append(list, &endpointState{Endpoint: Endpoint{DataCentre: string(rune('a' + i))}})
			}
		}
		return list
	}
	auto := Spillover{Mode: SpilloverAuto, MinEndpoints: MinSpilloverEndpoints}
	assert.Equal(t, auto.modeFor(endpoints(3, 3, 3, 3)), SpilloverAnywhere)
	assert.Equal(t, auto.modeFor(endpoints(1, 1, 1)), SpilloverAnywhere)
	assert.Equal(t, auto.modeFor(endpoints(18, 18, 17)), SpilloverAuto)
	assert.Equal(t, auto.modeFor(endpoints(6, 6)), SpilloverAuto)
	assert.Equal(t, auto.modeFor(endpoints(6, 5)), SpilloverAnywhere)
	assert.Equal(t, Spillover{Mode: SpilloverAuto}.modeFor(endpoints(1, 1)), SpilloverAuto)
	assert.Equal(t, Spillover{Mode: SpilloverForbidden, MinEndpoints: 6}.modeFor(endpoints(1, 1)), SpilloverForbidden)
}
