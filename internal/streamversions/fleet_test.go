package streamversions

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	modelService = 1
	maxVersion   = 3
	// modelMaxGap is the time between two readings up to which a gateway takes nothing for missed, and leastServed the least time for which the
	// entry of a process is there.
	modelMaxGap, leastServed = 4 * time.Second, 5 * time.Second
	// modelInterval is the longest time between two readings of a gateway that reaches the store.
	modelInterval = 2 * time.Second
)

// fleet is a model of gateways that follow a registry, for TestTakenUpStreamsKeepTheirVersion. Callers take streams up for lifetime.
type fleet struct {
	now       domain.Instant
	gateways  []*modelGateway // nil: ended
	running   map[string]Process
	registry  map[string]Process // entries; they change only while the store is up
	writtenAt map[string]domain.Instant
	down      bool // whether the store is
	starts    int64
	changes   []registryChange
	began     map[Stream]*beginning
	lost      func() bool // draws whether a datagram gets lost
}

// registryChange is a change of an entry. It is removed if there is none any more.
type registryChange struct {
	at      domain.Instant
	id      string
	process Process
	removed bool
}

type modelGateway struct {
	records  *Records
	services *Services
	copied   map[string]Process // entries that it has read
	readTo   int                // number of changes that it has read
	readAt   domain.Instant
	// cutStore and cutPeers are whether it reaches neither the store, nor any peer.
	cutStore, cutPeers bool
	// sureAt is from when on it knows by itself which versions have served for lifetime, unless an endpoint of lapsed isn't back.
	sureAt domain.Instant
	lapsed map[string]Process
	former map[string]Process // last processes of entries that it has seen removed
}

// beginning is where a stream began, and which gateways keep its record.
type beginning struct {
	version Version
	at      domain.Instant
	kept    []*modelGateway
}

func newFleet(n int) *fleet {
	f := &fleet{
		gateways: make([]*modelGateway, n), running: make(map[string]Process), registry: make(map[string]Process),
		writtenAt: make(map[string]domain.Instant), began: make(map[Stream]*beginning), lost: func() bool { return false },
	}
	for _, id := range []string{"e0", "e1"} {
		f.serve(id, 1)
	}
	for i := range f.gateways {
		f.start(i, true)
	}
	return f
}

// serve starts a process of an endpoint, which writes its entry if the store is up.
func (f *fleet) serve(id string, version Version) {
	f.starts++
	f.running[id] = Process{Service: modelService, Version: version, Start: f.starts}
	f.write(id)
}

// write has a process write its entry.
func (f *fleet) write(id string) {
	process, runs := f.running[id]
	if f.down || !runs || f.registry[id] == process {
		return
	}
	f.registry[id], f.writtenAt[id] = process, f.now
	f.changes = append(f.changes, registryChange{at: f.now, id: id, process: process})
}

// expire removes an entry, if the store is up.
func (f *fleet) expire(id string) {
	if _, ok := f.registry[id]; !ok || f.down {
		return
	}
	delete(f.registry, id)
	f.changes = append(f.changes, registryChange{at: f.now, id: id, removed: true})
}

// mayEnd reports whether the process of an endpoint has served for so long that it may end.
func (f *fleet) mayEnd(id string) bool {
	return f.registry[id] != f.running[id] || f.now.Sub(f.writtenAt[id]) >= leastServed
}

// start starts a gateway, or starts it again: it reads the registry, and hears of streams from its peers. first is whether the
// deployment starts.
func (f *fleet) start(i int, first bool) {
	g := &modelGateway{records: NewRecords(), services: NewServices(first), copied: make(map[string]Process), sureAt: f.now, readAt: f.now, lapsed: make(map[string]Process), former: make(map[string]Process)}
	if !first {
		g.sureAt = f.now.Add(lifetime)
	}
	f.gateways[i] = g
	for id, process := range f.registry {
		g.services.Put(f.now, id, process)
		g.copied[id] = process
	}
	g.readTo = len(f.changes)
	g.services.RegistryRead(f.now)
	g.services.Followed()
	for j, peer := range f.gateways {
		if peer == nil || j == i || peer.cutPeers {
			continue
		}
		for _, r := range peer.records.All(f.now) {
			if f.keeps(i, j, r.Stream) {
				f.keep(g, r)
			}
		}
	}
}

// keep has a gateway keep a record.
func (f *fleet) keep(g *modelGateway, r Record) {
	g.records.Add(f.now, r)
	if b := f.began[r.Stream]; b != nil {
		b.kept = append(b.kept, g)
	}
}

// read has a gateway read the changes of the registry, if it reaches the store: of each entry the newest form.
func (f *fleet) read(i int) {
	g := f.gateways[i]
	if g == nil || g.cutStore || f.down {
		return
	}
	newest, missed := make(map[string]registryChange), f.now.Sub(g.readAt) > modelMaxGap
	for _, c := range f.changes[g.readTo:] {
		newest[c.id] = c
	}
	for id, c := range newest {
		was, known := g.copied[id]
		switch {
		case c.removed && !known:
			g.services.MissedEntries(f.now)
			g.sureAt = f.now.Add(lifetime)
		case c.removed:
			g.services.Lapsed(id)
			g.services.Remove(f.now, id)
			delete(g.copied, id)
			g.former[id] = was
			if missed {
				g.lapsed[id] = was
			}
		default:
			g.services.Put(f.now, id, c.process)
			g.copied[id] = c.process
			if !known {
				was = g.former[id]
			}
			if missed && was != c.process {
				g.sureAt = f.now.Add(lifetime)
			}
			if former, ok := g.lapsed[id]; ok {
				if former != c.process {
					g.sureAt = f.now.Add(lifetime)
				}
				delete(g.lapsed, id)
			}
		}
	}
	if missed {
		g.services.Missed(f.now)
	} else {
		g.services.Followed()
	}
	g.readTo, g.readAt = len(f.changes), f.now
}

// current reports whether a gateway has noticed no loss of the store.
func (f *fleet) current(g *modelGateway) bool { return f.now.Sub(g.readAt) <= modelMaxGap }

// peersOf returns the other gateways. One that has ended is not known to have.
func (f *fleet) peersOf(i int) []uint64 {
	var others []uint64
	for j := range f.gateways {
		if j != i {
			others = append(others, uint64(j))
		}
	}
	return others
}

// reach reports whether a datagram from one gateway can reach another one.
func (f *fleet) reach(from, to int) bool {
	return from != to && f.gateways[from] != nil && f.gateways[to] != nil && !f.gateways[from].cutPeers && !f.gateways[to].cutPeers
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
	state, version := g.services.State(f.now, modelService, f.current(g))
	return Answer{State: state, Version: version}
}

// begin begins a stream at an endpoint that a gateway knows, whose process it has confirmed, and tells its peers.
func (f *fleet) begin(i int, stream Stream, id string) {
	g := f.gateways[i]
	if g == nil {
		return
	}
	process, ok := g.copied[id]
	if !ok || f.running[id] != process {
		return
	}
	f.began[stream] = &beginning{version: process.Version, at: f.now}
	record := Record{Stream: stream, Version: process.Version, Left: lifetime}
	f.keep(g, record)
	copies := Copies
	if state, _ := g.services.State(f.now, modelService, f.current(g)); state == StateSole {
		copies = CopiesOfSole
	}
	for _, keeper := range Choose(stream, f.peersOf(i), copies) {
		if f.reach(i, int(keeper)) && !f.lost() {
			f.keep(f.gateways[keeper], record)
		}
	}
}

// askHistory has a gateway ask a peer what served in the times that it has missed.
func (f *fleet) askHistory(i, peer int) {
	if !f.reach(i, peer) || f.lost() {
		return
	}
	g := f.gateways[i]
	if len(g.services.Unsure(f.now, f.current(g))) == 0 {
		return
	}
	if a := f.answer(peer, 0); a.State == StateSole {
		g.services.Adopt(f.now, f.now, modelService, a.Version)
	}
}

// takeUp returns the version at which a gateway lets a stream go on, or 0, and whether a gateway with a record of it was heard. A caller
// that doesn't name its stream asks for stream 0, of which nobody has a record.
func (f *fleet) takeUp(i int, stream Stream) (version Version, recorded bool) {
	g := f.gateways[i]
	f.read(i)
	own := f.answer(i, stream)
	recorded = own.Known
	var answers []Answer
	for _, peer := range Choose(stream, f.peersOf(i), MaxAsked) {
		if f.reach(i, int(peer)) && !f.lost() {
			a := f.answer(int(peer), stream)
			answers, recorded = append(answers, a), recorded || a.Known
		}
	}
	return Decide(own, answers, !g.cutStore && !f.down), recorded
}

// keptInReach reports whether a record of a stream is kept by a gateway or by one that it reaches.
func (f *fleet) keptInReach(i int, stream Stream) bool {
	for j, g := range f.gateways {
		for _, keeper := range f.began[stream].kept {
			if g != nil && g == keeper && (j == i || f.reach(i, j)) {
				return true
			}
		}
	}
	return false
}

// visit has a version serve at an endpoint for a while and leave it, beside gateways that are cut off from the store all the while. A stream
// may begin there, and the gateways that have seen the version may end.
func (f *fleet) visit(t *rapid.T, stream Stream, id string, version Version) {
	var saw []int
	for i, g := range f.gateways {
		if g == nil {
			continue
		}
		g.cutStore = rapid.Bool().Draw(t, "cut off")
		if !g.cutStore {
			saw = append(saw, i)
		}
	}
	former, served := f.running[id]
	f.serve(id, version)
	for _, i := range saw {
		f.read(i)
	}
	if len(saw) > 0 {
		f.begin(rapid.SampledFrom(saw).Draw(t, "begins"), stream, id)
	}
	f.now = f.now.Add(leastServed)
	for _, i := range saw {
		if rapid.IntRange(0, 3).Draw(t, "ends") > 0 {
			f.gateways[i] = nil
		}
	}
	if served && rapid.Bool().Draw(t, "former version again") {
		f.serve(id, former.Version)
	} else {
		delete(f.running, id)
		f.expire(id)
	}
	for _, g := range f.gateways {
		if g != nil {
			g.cutStore = false
		}
	}
}

// ORDER: a stream that is taken up at any gateway goes on at the version that began it or not at all, while processes of several versions come
// and go, also unseen while the store is down or a gateway is cut off from it, gateways are cut off, end and start again, and
// datagrams are lost.
//
// LOST: it goes on where a gateway that has been told of it is in reach, and, if there was no other version, at each gateway that
// reaches the store and has known the endpoints for long, whatever others do, but for changes of entries in a gap of its readings.
func TestTakenUpStreamsKeepTheirVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(2, 7).Draw(t, "gateways"))
		anyLost := false
		f.lost = func() bool {
			lost := rapid.IntRange(0, 9).Draw(t, "lost") == 0
			anyLost = anyLost || lost
			return lost
		}
		gateway := func(label string) int { return rapid.IntRange(0, len(f.gateways)-1).Draw(t, label) }
		endpoint := func() string { return fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint")) }
		streams, several := Stream(0), false
		version := func() Version {
			v := Version(max(1, rapid.IntRange(-maxVersion, maxVersion).Draw(t, "version")))
			several = several || v != 1
			return v
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			longest := rapid.SampledFrom([]time.Duration{time.Second, 10 * time.Second, 3 * lifetime / 10}).Draw(t, "longest")
			f.now = f.now.Add(time.Duration(rapid.Int64Range(0, int64(longest)).Draw(t, "pause")))
			for i, g := range f.gateways {
				if g != nil && f.now.Sub(g.readAt) >= modelInterval {
					f.read(i)
				}
			}
			switch rapid.IntRange(0, 17).Draw(t, "event") {
			case 0:
				if id := endpoint(); f.mayEnd(id) {
					f.serve(id, version())
				}
			case 1:
				if id := endpoint(); f.mayEnd(id) {
					delete(f.running, id)
					f.expire(id)
				}
			case 2: // an entry that was not renewed
				f.expire(endpoint())
			case 3:
				f.write(endpoint())
			case 4, 5:
				f.down = true
			case 6:
				f.down = false
				for id := range maps.Clone(f.registry) {
					if f.running[id] != f.registry[id] {
						f.expire(id)
					}
				}
				for id := range f.running {
					f.write(id)
				}
			case 7:
				f.start(gateway("restarted"), false)
			case 8:
				f.gateways[gateway("killed")] = nil
			case 9:
				if g := f.gateways[gateway("cut")]; g != nil {
					g.cutStore, g.cutPeers = rapid.Bool().Draw(t, "store"), rapid.Bool().Draw(t, "peers")
				}
			case 10:
				for _, g := range f.gateways {
					if g != nil {
						g.cutStore, g.cutPeers = false, false
					}
				}
			case 11:
				f.askHistory(gateway("asker"), gateway("asked"))
			case 14:
				if id := endpoint(); !f.down && f.mayEnd(id) {
					streams++
					f.visit(t, streams, id, version())
				}
			case 12, 13:
				streams++
				f.begin(gateway("first"), streams, endpoint())
			default:
				if streams == 0 {
					continue
				}
				stream, next := Stream(rapid.Int64Range(1, int64(streams)).Draw(t, "stream")), gateway("next")
				began := f.began[stream]
				if began == nil || f.now.Sub(began.at) > lifetime || f.gateways[next] == nil {
					continue
				}
				asked, named := Stream(0), rapid.IntRange(0, 2).Draw(t, "named") > 0
				if named {
					asked = stream
				}
				anyLost = false
				got, recorded := f.takeUp(next, asked)
				assert.Assert(t, got == 0 || got == began.version, "ORDER: stream %d began at %d and goes on at %d", stream, began.version, got)
				if named && f.keptInReach(next, stream) && !anyLost {
					assert.Assert(t, recorded && got == began.version, "LOST: stream %d of version %d may not go on, though it is recorded", stream, began.version)
				}
				if g := f.gateways[next]; !several && !f.down && !g.cutStore && f.now >= g.sureAt && len(g.lapsed) == 0 && len(g.copied) > 0 {
					assert.Assert(t, got == began.version, "LOST: stream %d may not go on, though no other version has served", stream)
				}
			}
			for i := range f.gateways {
				if rapid.Bool().Draw(t, "reads") {
					f.read(i)
				}
			}
		}
	})
}

// Guards against a stream that goes on at another version at a gateway that was cut off while the version of the stream came and went, once the
// gateway at which it began is gone: as an endpoint of its own, or in place of another one.
func TestVersionThatServedDuringACut(t *testing.T) {
	for _, id := range []string{"e0", "e2"} {
		f := newFleet(2)
		former := f.running[id]
		f.now = f.now.Add(time.Minute)
		f.read(0)
		f.read(1)
		f.gateways[1].cutStore, f.gateways[1].cutPeers = true, true
		f.serve(id, 2)
		f.read(0)
		f.begin(0, 1, id)
		f.now = f.now.Add(leastServed)
		if former.Version == 0 {
			delete(f.running, id)
			f.expire(id)
		} else {
			f.serve(id, former.Version)
		}
		f.gateways[0] = nil
		got, _ := f.takeUp(1, 1)
		assert.Equal(t, got, Version(0), "cut off")
		f.gateways[1].cutStore, f.gateways[1].cutPeers = false, false
		f.now = f.now.Add(time.Minute)
		got, _ = f.takeUp(1, 1)
		assert.Equal(t, got, Version(0), "in touch again, %s", id)
	}
}

// Guards against streams of the former version that go on nowhere, and against ones of the other version that go on at the former one, after a
// gateway has ended that alone has seen the other version come and go.
func TestStreamsOfAGatewayThatEndsInACut(t *testing.T) {
	f := newFleet(3)
	f.now = f.now.Add(time.Minute)
	for i := range f.gateways {
		f.read(i)
	}
	f.begin(0, 1, "e0")
	f.gateways[1].cutStore, f.gateways[2].cutStore = true, true
	f.serve("e2", 2)
	f.read(0)
	f.begin(0, 2, "e2")
	f.now = f.now.Add(leastServed)
	delete(f.running, "e2")
	f.expire("e2")
	f.gateways[0] = nil
	f.gateways[1].cutStore, f.gateways[2].cutStore = false, false
	for _, i := range []int{1, 2} {
		for stream, want := range map[Stream]Version{1: 1, 2: 2, 3: 0} {
			got, _ := f.takeUp(i, stream)
			assert.Equal(t, got, want, "stream %d at gateway %d", stream, i)
		}
	}
}
