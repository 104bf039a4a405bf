package streamversions

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const lifetime = MaxLeft

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
	s := NewServices(false)
	s.Put(0, "a", Process{Service: 1, Version: 11})
	s.RegistryRead(0)
	state, version := s.State(at(lifetime-1), 1, true)
	assert.Assert(t, state == StateUnsure && version == 11, "a process that has just started doesn't know what served before")
	state, version = s.State(at(lifetime), 1, true)
	assert.Assert(t, state == StateSole && version == 11)
	state, _ = s.State(at(lifetime), 1, false)
	assert.Equal(t, state, StateUnsure)
	s.Put(at(lifetime), "a", Process{Service: 1, Version: 13})
	state, _ = s.State(at(2*lifetime), 1, true)
	assert.Equal(t, state, StateMixed)
	state, version = s.State(at(2*lifetime+1), 1, true)
	assert.Assert(t, state == StateSole && version == 13)
	s.Put(at(2*lifetime), "b", Process{Service: 1, Version: 11})
	s.Remove(at(3*lifetime), "b")
	s.Put(0, "c", Process{Service: 2, Version: 11})
	state, _ = s.State(at(4*lifetime), 1, true)
	assert.Equal(t, state, StateMixed)
	s.Expire(at(4*lifetime + 1))
	state, _ = s.State(at(4*lifetime+1), 1, true)
	assert.Equal(t, state, StateSole)
}

// No stream began before the first processes of a deployment.
func TestFirstStartKnowsWhatServedBefore(t *testing.T) {
	s := NewServices(true)
	s.Put(0, "a", Process{Service: 1, Version: 11})
	state, _ := s.State(0, 1, true)
	assert.Equal(t, state, StateUnsure, "the registry has not been read")
	s.RegistryRead(0)
	state, version := s.State(0, 1, true)
	assert.Assert(t, state == StateSole && version == 11)
}

// A process that has started takes over from a peer what served before, if both know the same version and the
// peer was asked after the registry had been read here.
func TestHistoryIsAdoptedFromPeers(t *testing.T) {
	for _, c := range []struct {
		name    string
		askedAt domain.Instant
		version Version
		second  bool // whether a second version serves
		want    State
	}{
		{"adopted", at(2), 11, false, StateSole},
		{"asked before the registry was read", at(0), 11, false, StateUnsure},
		{"another version at the peer", at(2), 13, false, StateUnsure},
		{"several versions here", at(2), 11, true, StateMixed},
	} {
		s := NewServices(false)
		s.Put(0, "a", Process{Service: 1, Version: 11})
		if c.second {
			s.Put(0, "b", Process{Service: 1, Version: 13})
		}
		assert.Equal(t, len(s.Unsure(at(2), true)), 0, "before the registry is read there is nothing to ask")
		s.RegistryRead(at(1))
		if !c.second {
			assert.DeepEqual(t, s.Unsure(at(2), true), []uint32{1})
		}
		s.Adopt(at(3), c.askedAt, 1, c.version)
		state, _ := s.State(at(3), 1, true)
		assert.Equal(t, state, c.want, c.name)
	}
}

func TestDecide(t *testing.T) {
	known, conflict := Answer{Known: true, Version: 3}, Answer{Known: true}
	sole, unsure, nothing, mixed := Answer{State: StateSole, Version: 3}, Answer{Version: 3}, Answer{}, Answer{State: StateMixed}
	for _, c := range []struct {
		name    string
		own     Answer
		answers []Answer
		stale   bool // whether the registry can't be read
		want    Version
	}{
		{name: "own record", own: known, want: 3},
		{name: "own record, registry out of reach", own: known, stale: true, want: 3},
		{name: "record of a peer", own: mixed, answers: []Answer{mixed, known}, want: 3},
		{name: "records that differ", own: known, answers: []Answer{{Known: true, Version: 5}}},
		{name: "record of several versions", own: conflict},
		{name: "no other version", own: sole, answers: []Answer{sole, unsure, nothing}, want: 3},
		{name: "no other version, registry out of reach", own: sole, answers: []Answer{sole, unsure, nothing}, stale: true},
		{name: "a peer that has run for longer", own: unsure, answers: []Answer{sole}, want: 3},
		{name: "another version at a peer", own: sole, answers: []Answer{sole, mixed}},
		{name: "another version at an unsure peer", own: sole, answers: []Answer{{Version: 5}}},
		{name: "no peer answers", own: sole, want: 3},
		{name: "no peer answers, registry out of reach", own: sole, stale: true},
		{name: "no peer answers one that has just started", own: unsure},
		{name: "no peer answers, several versions", own: mixed},
		{name: "all have just started", own: unsure, answers: []Answer{unsure}},
		{name: "all have just started, some know no version", own: unsure, answers: []Answer{nothing}},
		{name: "several versions at a peer", own: unsure, answers: []Answer{mixed}},
		{name: "nothing is known", own: nothing, answers: []Answer{nothing}},
	} {
		assert.Equal(t, Decide(c.own, c.answers, !c.stale), c.want, c.name)
	}
}

// readServices returns the services of a first process of a deployment that has read the entries of two endpoints of service 1, and one of
// service 2.
func readServices() *Services {
	s := NewServices(true)
	for _, id := range []string{"a", "b"} {
		s.Put(0, id, Process{Service: 1, Version: 11, Start: 100})
	}
	s.Put(0, "c", Process{Service: 2, Version: 11, Start: 100})
	s.RegistryRead(0)
	s.Followed()
	return s
}

// Guards against streams that go on nowhere after a gap between two readings of the registry in which nothing has changed, and against a
// version that came and went in the gap and is taken never to have served.
func TestGapsLeaveUnknownWhatHasChanged(t *testing.T) {
	former, later := Process{Service: 1, Version: 11, Start: 100}, Process{Service: 1, Version: 11, Start: 200}
	gap := at(time.Second)
	for _, c := range []struct {
		name   string
		change func(s *Services)
		sure   bool // of service 1
		other  bool // of service 2
	}{
		{"nothing", func(*Services) {}, true, true},
		{"written again", func(s *Services) { s.Put(gap, "a", former) }, true, true},
		{"started again", func(s *Services) { s.Put(gap, "a", later) }, false, true},
		{"new endpoint", func(s *Services) { s.Put(gap, "d", later) }, false, true},
		{"gone", func(s *Services) { s.Remove(gap, "a") }, false, true},
		{"lapsed", func(s *Services) { s.Lapsed("a") }, false, true},
		{"lapsed and back", func(s *Services) { s.Lapsed("a"); s.Put(gap, "a", former) }, true, true},
		{"gone and back", func(s *Services) { s.Remove(gap, "a"); s.Put(gap, "a", former) }, true, true},
		{"gone and back as another process", func(s *Services) { s.Remove(gap, "a"); s.Put(gap, "a", later) }, false, true},
		{"came and went", func(s *Services) { s.Put(gap, "d", former); s.Remove(gap, "d") }, false, false},
		{"came and went unseen", func(s *Services) { s.MissedEntries(gap) }, false, false},
		{"at another service", func(s *Services) { s.Put(gap, "a", Process{Service: 2, Version: 11, Start: 100}) }, false, false},
	} {
		s := readServices()
		c.change(s)
		s.Missed(gap)
		for service, sure := range map[uint32]bool{1: c.sure, 2: c.other} {
			state, version := s.State(gap, service, true)
			assert.Equal(t, state == StateSole, sure, "%s: service %d", c.name, service)
			assert.Equal(t, version, Version(11), c.name)
			assert.Equal(t, slices.Contains(s.Unsure(gap, true), service), !sure, c.name)
			state, _ = s.State(gap.Add(MaxLeft), service, true)
			assert.Equal(t, state, StateSole, "%s: at the end of what streams can have begun in the gap", c.name)
		}
		s.Expire(gap.Add(MaxLeft + 1))
		assert.Equal(t, len(s.doubts), 0, c.name)
	}
}

func TestChangesAreBounded(t *testing.T) {
	s := readServices()
	for i := range maxChanged + 1 {
		s.Put(0, fmt.Sprintf("e%d", i), Process{Service: 1, Version: 11, Start: 1})
	}
	s.Expire(at(1))
	assert.Equal(t, len(s.changed), 0)
	state, _ := s.State(at(1), 1, true)
	assert.Equal(t, state, StateUnsure)
}

// An endpoint that lapsed in a gap is the same process if that writes its entry again, and not if an earlier gap left it unknown.
func TestDoubtEndsWithTheFormerProcess(t *testing.T) {
	former, later := Process{Service: 1, Version: 11, Start: 100}, Process{Service: 1, Version: 11, Start: 200}
	state := func(s *Services, now domain.Instant) State {
		got, _ := s.State(now, 1, true)
		return got
	}
	s := readServices()
	s.Lapsed("a")
	s.Missed(at(1))
	s.Remove(at(2), "a")
	s.Followed()
	assert.Equal(t, state(s, at(3)), StateUnsure)
	s.Put(at(4), "a", former)
	assert.Equal(t, state(s, at(4)), StateSole)

	s.Put(at(5), "a", later)
	s.Missed(at(5))
	assert.Equal(t, state(s, at(5)), StateUnsure)
	s.Lapsed("a")
	s.Missed(at(6))
	s.Put(at(7), "a", later)
	assert.Equal(t, state(s, at(7)), StateUnsure, "the gap before is not known")
	assert.Equal(t, s.ReadSince(), at(6))
	s.Adopt(at(8), at(5), 1, 11)
	assert.Equal(t, state(s, at(8)), StateUnsure, "a peer that was asked before may have missed it too")
	s.Adopt(at(8), at(7), 1, 11)
	assert.Equal(t, state(s, at(8)), StateSole)
	s.MissedEntries(at(9))
	assert.Equal(t, state(s, at(9)), StateUnsure, "what was adopted says nothing of later")
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
