package streamversions

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const lifetime = 10 * time.Second

func at(d time.Duration) domain.Instant { return domain.Instant(0).Add(d) }

func TestRecordsOfSeveralVersionsAllowNone(t *testing.T) {
	r := NewRecords()
	assert.Assert(t, r.Add(0, Record{Stream: 1, Version: 3, Left: time.Second}))
	assert.Assert(t, r.Add(0, Record{Stream: 1, Version: 3, Left: 2 * time.Second}))
	version, ok := r.Version(at(2*time.Second), 1)
	assert.Assert(t, ok && version == 3)
	assert.Assert(t, r.Add(0, Record{Stream: 1, Version: 5, Left: time.Second}))
	version, ok = r.Version(at(2*time.Second), 1)
	assert.Assert(t, ok && version == 0)
	_, ok = r.Version(at(2*time.Second+1), 1)
	assert.Assert(t, !ok)
	r.Expire(at(2*time.Second + 1))
	assert.Equal(t, r.Len(), 0)
}

func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords()
	for i := range Stream(maxRecords) {
		assert.Assert(t, r.Add(0, Record{Stream: i, Version: 1, Left: time.Hour}))
	}
	assert.Assert(t, !r.Add(0, Record{Stream: maxRecords, Version: 1, Left: time.Second}))
	r.Expire(at(MaxLeft + 1))
	assert.Equal(t, r.Len(), 0)
}

func TestStateRemembersVersionsThatAreGone(t *testing.T) {
	s := NewServices()
	s.Put(0, "a", 1, 11)
	s.RegistryRead(0)
	state, version := s.State(at(lifetime-1), 1, lifetime, true)
	assert.Assert(t, state == StateUnsure && version == 11, "a process that has just started doesn't know what served before")
	state, version = s.State(at(lifetime), 1, lifetime, true)
	assert.Assert(t, state == StateSole && version == 11)
	state, _ = s.State(at(lifetime), 1, lifetime, false)
	assert.Equal(t, state, StateUnsure)
	s.Put(at(lifetime), "a", 1, 13)
	state, _ = s.State(at(2*lifetime), 1, lifetime, true)
	assert.Equal(t, state, StateMixed)
	state, version = s.State(at(2*lifetime+1), 1, lifetime, true)
	assert.Assert(t, state == StateSole && version == 13)
	s.Put(at(2*lifetime), "b", 1, 11)
	s.Remove(at(3*lifetime), "b")
	s.Put(0, "c", 2, 11)
	state, _ = s.State(at(4*lifetime), 1, lifetime, true)
	assert.Equal(t, state, StateMixed)
	s.Expire(at(4*lifetime+1), lifetime)
	state, _ = s.State(at(4*lifetime+1), 1, lifetime, true)
	assert.Equal(t, state, StateSole)
}

func TestDecide(t *testing.T) {
	known, conflict := Answer{Known: true, Version: 3}, Answer{Known: true}
	sole, unsure, nothing, mixed := Answer{State: StateSole, Version: 3}, Answer{Version: 3}, Answer{}, Answer{State: StateMixed}
	for _, c := range []struct {
		name    string
		own     Answer
		answers []Answer
		asked   int
		named   bool
		want    Version
	}{
		{"own record", known, nil, 4, true, 3},
		{"record of a peer", mixed, []Answer{mixed, known}, 4, true, 3},
		{"records that differ", known, []Answer{{Known: true, Version: 5}}, 4, true, 0},
		{"record of several versions", conflict, nil, 4, true, 0},
		{"no other version", sole, []Answer{sole, unsure, nothing}, 4, true, 3},
		{"a peer that has run for longer", unsure, []Answer{sole}, 4, true, 3},
		{"another version at a peer", sole, []Answer{sole, mixed}, 4, true, 0},
		{"another version at an unsure peer", sole, []Answer{{Version: 5}}, 4, true, 0},
		{"no peer in reach", sole, nil, 4, true, 0},
		{"no peer exists", sole, nil, 0, true, 3},
		{"all have just started", unsure, []Answer{unsure}, 4, true, 0},
		{"all have just started, not named", unsure, []Answer{unsure}, 4, false, 3},
		{"not named, several versions", unsure, []Answer{mixed}, 4, false, 0},
		{"not named, no peer in reach", sole, nil, 4, false, 0},
		{"nothing is known", nothing, []Answer{nothing}, 1, true, 0},
	} {
		assert.Equal(t, Decide(c.own, c.answers, c.asked, c.named), c.want, c.name)
	}
}

func TestChooseAgrees(t *testing.T) {
	counts := make(map[uint64]int)
	for stream := range Stream(1000) {
		chosen := Choose(stream, []uint64{1, 2, 3, 4, 5}, Copies)
		assert.DeepEqual(t, Choose(stream, []uint64{5, 3, 1, 4, 2}, Copies), chosen)
		assert.Assert(t, chosen[0] != chosen[1])
		for _, process := range chosen {
			counts[process]++
		}
	}
	for process, n := range counts {
		assert.Assert(t, n > 300 && n < 500, "process %d keeps %d of 1000", process, n)
	}
	assert.Equal(t, len(Choose(1, []uint64{7}, MaxAsked)), 1)
}

// fleet is a model of gateways with their own copies of the registry, for
// TestTakenUpStreamsKeepTheirVersion. Streams live for lifetime.
type fleet struct {
	now      domain.Instant
	gateways []*modelGateway
	registry map[string]Version // endpoints of the service
	began    map[Stream]beginning
}

type modelGateway struct {
	records  *Records
	services *Services
	registry map[string]Version // its copy
	isolated bool               // cut off from the store and from all peers
	told     bool               // whether it has noticed that the store is out of reach
}

type beginning struct {
	version Version
	at      domain.Instant
	gateway int
}

const modelService = 1

// start starts a gateway, or starts it again: it knows the registry and what its peers tell it.
func (f *fleet) start(i int) {
	f.gateways[i] = &modelGateway{records: NewRecords(), services: NewServices(), registry: make(map[string]Version)}
	f.read(i)
	f.gateways[i].services.RegistryRead(f.now)
	for j, peer := range f.gateways {
		if peer == nil || j == i || peer.isolated {
			continue
		}
		for _, r := range peer.records.All(f.now) {
			if f.keeps(i, j, r.Stream) {
				f.gateways[i].records.Add(f.now, r)
			}
		}
	}
}

// read brings a gateway's copy of the registry up to date.
func (f *fleet) read(i int) {
	g := f.gateways[i]
	for id := range g.registry {
		if _, ok := f.registry[id]; !ok {
			g.services.Remove(f.now, id)
			delete(g.registry, id)
		}
	}
	for id, version := range f.registry {
		g.services.Put(f.now, id, modelService, version)
		g.registry[id] = version
	}
}

// peersOf returns the processes in reach of a gateway. While it has noticed nothing of its
// isolation, it knows all others.
func (f *fleet) peersOf(i int) []uint64 {
	var others []uint64
	for j := range f.gateways {
		if j != i {
			others = append(others, uint64(j))
		}
	}
	return others
}

// keeps reports whether a gateway keeps the records of a stream that another one knows.
func (f *fleet) keeps(i, of int, stream Stream) bool {
	for _, keeper := range Choose(stream, f.peersOf(of), Copies) {
		if keeper == uint64(i) {
			return true
		}
	}
	return false
}

func (f *fleet) answer(i int, stream Stream) Answer {
	g := f.gateways[i]
	if version, ok := g.records.Version(f.now, stream); ok {
		return Answer{Known: true, Version: version}
	}
	state, version := g.services.State(f.now, modelService, lifetime, !g.told)
	return Answer{State: state, Version: version}
}

// begin begins a stream at an endpoint that a gateway knows, and tells its peers.
func (f *fleet) begin(i int, stream Stream, id string, lost func() bool) {
	g := f.gateways[i]
	version, ok := g.registry[id]
	if _, runs := f.registry[id]; !ok || !runs {
		return
	}
	f.began[stream] = beginning{version, f.now, i}
	record := Record{Stream: stream, Version: version, Left: lifetime}
	g.records.Add(f.now, record)
	if state, _ := g.services.State(f.now, modelService, lifetime, !g.told); state == StateSole || g.isolated {
		return
	}
	for _, keeper := range Choose(stream, f.peersOf(i), Copies) {
		if peer := f.gateways[keeper]; !peer.isolated && !lost() {
			peer.records.Add(f.now, record)
		}
	}
}

// takeUp returns the version at which a gateway lets a stream go on, or 0.
func (f *fleet) takeUp(i int, stream Stream, lost func() bool) Version {
	own := f.answer(i, stream)
	var answers []Answer
	for _, peer := range Choose(stream, f.peersOf(i), MaxAsked) {
		if !f.gateways[i].isolated && !f.gateways[peer].isolated && !lost() {
			answers = append(answers, f.answer(int(peer), stream))
		}
	}
	return Decide(own, answers, len(f.gateways)-1, true)
}

// A stream that is taken up at any gateway goes on at the version that began it or not at all,
// while endpoints of several versions come and go, gateways start again and are cut off, and
// datagrams are lost. If nothing was lost, cut off or started again since, it goes on.
func TestTakenUpStreamsKeepTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{gateways: make([]*modelGateway, rapid.IntRange(2, 7).Draw(t, "gateways")), registry: map[string]Version{"e0": 1, "e1": 1}, began: make(map[Stream]beginning)}
		for i := range f.gateways {
			f.start(i)
		}
		disturbedAt := domain.Instant(-1)
		gateway := func(label string) int { return rapid.IntRange(0, len(f.gateways)-1).Draw(t, label) }
		endpoint := func() string { return fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint")) }
		streams := Stream(0)
		lost := func() bool {
			gone := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			if gone {
				disturbedAt = f.now
			}
			return gone
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			f.now = f.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause")))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				id := endpoint()
				if _, ok := f.registry[id]; !ok {
					f.registry[id] = Version(rapid.IntRange(1, 3).Draw(t, "version"))
				}
			case 1:
				delete(f.registry, endpoint())
			case 2:
				f.start(gateway("restarted"))
				disturbedAt = f.now
			case 3:
				for _, g := range f.gateways {
					g.isolated, g.told = false, false
				}
				f.gateways[gateway("isolated")].isolated = true
				disturbedAt = f.now
			case 4:
				for _, g := range f.gateways {
					g.told = g.isolated
				}
			case 5:
				for _, g := range f.gateways {
					g.isolated, g.told = false, false
				}
			case 6, 7:
				streams++
				f.begin(gateway("first"), streams, endpoint(), lost)
			default:
				if streams == 0 {
					continue
				}
				stream := Stream(rapid.Int64Range(1, int64(streams)).Draw(t, "stream"))
				began, ok := f.began[stream]
				if !ok || f.now.Sub(began.at) > lifetime {
					continue
				}
				version := f.takeUp(gateway("next"), stream, lost)
				assert.Assert(t, version == 0 || version == began.version, "stream %d began at %d and goes on at %d", stream, began.version, version)
				if disturbedAt < began.at && !f.anyIsolated() {
					assert.Assert(t, version == began.version, "stream %d of version %d may not go on", stream, began.version)
				}
			}
			for i, g := range f.gateways {
				if !g.isolated {
					f.read(i)
				}
			}
		}
	})
}

func (f *fleet) anyIsolated() bool {
	for _, g := range f.gateways {
		if g.isolated {
			return true
		}
	}
	return false
}
