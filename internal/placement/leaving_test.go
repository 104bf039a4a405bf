package placement

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// leaves makes an endpoint say in an answer that it leaves.
func leaves(table *Table, now domain.Instant, id string) bool {
	return table.RecordLeaving(now, &Ticket{Endpoint: table.byID[id].Endpoint})
}

// picks reports whether any of some requests are placed on an endpoint.
func picks(table *Table, now domain.Instant, id string) bool {
	for range 4 * defaultSlots {
		if ticket := table.Pick(now, plainQuery()); ticket != nil && ticket.Endpoint.ID == id {
			table.RecordEnd(now, ticket, ResultServed)
			return true
		}
	}
	return false
}

// An endpoint that has said that it leaves gets no request until a later start of it is
// registered: not by an entry that calls it ready, and not if its entry was missing in between.
func TestLeavingEndpointIsUsedAgain(t *testing.T) {
	table := newTable(2)
	e := table.byID["e00"].Endpoint
	assert.Assert(t, picks(table, start, "e00"))
	assert.Assert(t, leaves(table, start, "e00"))
	assert.Assert(t, !leaves(table, start, "e00"), "the second answer changed something")
	assert.Assert(t, !picks(table, start, "e00"))
	assert.Equal(t, table.Obstacles(start, plainQuery())[ObstacleLeaving], 1)
	now := start.Add(time.Hour)
	table.Put(now, e)
	assert.Assert(t, !picks(table, now, "e00"), "used again after an entry of the same start")
	table.Remove("e00")
	table.Put(now, e)
	assert.Assert(t, !picks(table, now, "e00"), "used again after its entry was missing")
	e.Start++
	table.Put(now, e)
	assert.Assert(t, picks(table, now, "e00"))
	e.Start--
	assert.Assert(t, !table.RecordLeaving(now, &Ticket{Endpoint: e}), "an answer of the earlier process counted for the later one")
	assert.Assert(t, picks(table, now, "e00"))
}

// A process knows from its peers which endpoints leave, whether it has their entries yet or not.
func TestLeavingIsUnknownToPeers(t *testing.T) {
	a, b := newTable(2), newTable(2)
	e := b.byID["e00"].Endpoint
	b.Remove("e00")
	leaves(a, start, "e00")
	d := a.Digest(start.Add(50 * time.Millisecond))
	assert.Equal(t, len(d.Leavings), 1)
	assert.Equal(t, d.Leavings[0].Age, 50*time.Millisecond)
	assert.Equal(t, len(b.PeerDigest(start, "a", d).Leaving), 0)
	b.Put(start, e)
	assert.Assert(t, !picks(b, start, "e00"))
	assert.Equal(t, len(b.Digest(start).Leavings), 0, "what a peer was told was told again")

	leaves(a, start, "e01")
	assert.DeepEqual(t, b.PeerDigest(start, "a", a.Digest(start)).Leaving, []string{"e01"})
	e = b.byID["e01"].Endpoint
	e.Start++
	b.Put(start, e)
	assert.Assert(t, picks(b, start, "e01"))
	assert.Equal(t, len(b.PeerDigest(start, "a", a.Digest(start)).Leaving), 0, "the leaving of the earlier process ended the later one")
	assert.Assert(t, picks(b, start, "e01"))
}

// The leaving of endpoints without an entry is forgotten after leavingMemory.
func TestLeavingsAreBounded(t *testing.T) {
	table := newTable(3)
	leaves(table, start, "e00")
	leaves(table, start, "e01")
	table.Remove("e00")
	now := start.Add(leavingMemory + 1)
	table.Put(now, table.byID["e02"].Endpoint)
	assert.Equal(t, len(table.leavings), 1)
	assert.Equal(t, len(table.Digest(now).Leavings), 1)
	assert.Assert(t, !picks(table, now, "e01"))
}

// BenchmarkPickBesideUnusable compares the time of one placement at the design size with and
// without endpoints that leave or pause.
func BenchmarkPickBesideUnusable(b *testing.B) {
	for _, share := range []int{0, 10} {
		for _, kind := range []string{"plain", "engines"} {
			b.Run(fmt.Sprintf("%s/unusable=1in%d", kind, share), func(b *testing.B) {
				const endpoints = 860
				table := newTable(endpoints)
				for i := range endpoints {
					switch id := fmt.Sprintf("e%02d", i); {
					case share == 0 || i%share > 0:
					case i%(2*share) == 0:
						leaves(table, start, id)
					default:
						refuse(table, start, id, time.Minute)
					}
				}
				query := plainQuery()
				if kind == "engines" {
					query = longPromptQuery(1)
				}
				b.ResetTimer()
				for range b.N {
					if ticket := table.Pick(start, query); ticket != nil {
						table.RecordEnd(start, ticket, ResultServed)
					}
				}
			})
		}
	}
}
