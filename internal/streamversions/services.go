package streamversions

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Services are the versions that serve each service, from the registry. A service is given
// by a hash of its name. They are not safe
// for concurrent use.
//
// What a process has seen of a time stays true of it. After a gap between two readings of the registry it lacks only what can have come
// and gone in the gap: other processes may have read that, and begun streams there. An endpoint whose entry is still of the same process had
// no other one in between, so that a gap in which no entry has changed leaves nothing unknown.
type Services struct {
	endpoints map[string]Process
	gone      map[served]domain.Instant // when a version was last served by an endpoint that is gone or has another one
	read      bool                      // whether the registry has been read completely
	readAt    domain.Instant            // when it was
	// nothingBefore is whether no stream can have begun before this process started.
	nothingBefore bool
	// removed are the last processes of endpoints that are gone.
	removed map[string]removedProcess
	// changed are the endpoints whose entries have changed since the last reading, with their last processes before.
	changed map[string]known
	// lapsed are the endpoints that have no entry any more and are not removed yet.
	lapsed map[string]bool
	// doubts are the endpoints whose entries have changed in a gap: earlier ones in the gap are not known.
	doubts map[string]doubt
	// unseenAt is the end of the last gap in which entries may have come and gone of which nothing is known, if unseen.
	unseenAt domain.Instant
	unseen   bool
	// adopted is when peers were asked that know that a service had no other version until then.
	adopted map[uint32]domain.Instant
}

// Process is a process of an endpoint.
type Process struct {
	Service uint32 // hash of its name
	Version Version
	Start   int64 // of the process, in Unix milliseconds; 0 if the endpoint never starts again under its identifier
}

func (p Process) served() served { return served{p.Service, p.Version} }

// served is a version of a service.
type served struct {
	service uint32
	version Version
}

// removedProcess is the process of an endpoint that was removed at a time.
type removedProcess struct {
	process Process
	at      domain.Instant
}

// known is the last process of an endpoint, if one is known.
type known struct {
	process Process
	ok      bool
}

// doubt is an endpoint that may have had other processes in a gap.
type doubt struct {
	service uint32
	was     known // before the gap; the doubt ends if that process has an entry again
	at      domain.Instant
}

// NewServices returns Services without endpoints. firstStart is whether the process is among the first of its
// deployment, so that no stream began before.
func NewServices(firstStart bool) *Services {
	return &Services{
		endpoints: make(map[string]Process), gone: make(map[served]domain.Instant), adopted: make(map[uint32]domain.Instant), nothingBefore: firstStart,
		removed: make(map[string]removedProcess), changed: make(map[string]known), lapsed: make(map[string]bool), doubts: make(map[string]doubt),
	}
}

// Put records the entry of an endpoint.
func (s *Services) Put(now domain.Instant, endpoint string, process Process) {
	old, ok := s.endpoints[endpoint]
	if ok && old == process {
		if before := s.changed[endpoint]; before.ok && before.process == process {
			delete(s.changed, endpoint)
		}
	} else {
		s.note(endpoint)
	}
	if ok && old.served() != process.served() {
		s.gone[old.served()] = now
	}
	if d := s.doubts[endpoint]; d.was.ok && d.was.process == process {
		delete(s.doubts, endpoint)
	}
	delete(s.lapsed, endpoint)
	delete(s.removed, endpoint)
	s.endpoints[endpoint] = process
}

// note keeps the last process of an endpoint before the last reading.
func (s *Services) note(endpoint string) {
	if _, noted := s.changed[endpoint]; noted {
		return
	}
	if process, ok := s.endpoints[endpoint]; ok {
		s.changed[endpoint] = known{process, true}
		return
	}
	former, ok := s.removed[endpoint]
	s.changed[endpoint] = known{former.process, ok}
}

// Lapsed records that an endpoint has no entry any more. It counts as serving until it is removed or has one again.
func (s *Services) Lapsed(endpoint string) {
	if _, ok := s.endpoints[endpoint]; ok {
		s.note(endpoint)
		s.lapsed[endpoint] = true
	}
}

// Remove records that an endpoint is gone.
func (s *Services) Remove(now domain.Instant, endpoint string) {
	if old, ok := s.endpoints[endpoint]; ok {
		s.note(endpoint)
		s.gone[old.served()], s.removed[endpoint] = now, removedProcess{old, now}
		delete(s.endpoints, endpoint)
		delete(s.lapsed, endpoint)
	}
}

// RegistryRead records that all endpoints have been put.
func (s *Services) RegistryRead(now domain.Instant) {
	if !s.read {
		s.read, s.readAt = true, now
	}
}

// Followed records a reading of the registry, so soon after the last one that no entry can have come and gone unseen.
func (s *Services) Followed() { clear(s.changed) }

// Missed records a reading of the registry after a gap: of an entry that has changed in it, only the newest form is known.
func (s *Services) Missed(now domain.Instant) {
	for endpoint, was := range s.changed {
		current, exists := s.endpoints[endpoint]
		if was.ok && exists && was.process == current && !s.lapsed[endpoint] {
			continue
		}
		if !was.ok && !exists || was.ok && exists && was.process.Service != current.Service {
			s.MissedEntries(now)
			continue
		}
		d := doubt{service: current.Service, was: was, at: now}
		if !exists {
			d.service = was.process.Service
		}
		if _, doubted := s.doubts[endpoint]; doubted {
			d.was = known{}
		}
		s.doubts[endpoint] = d
	}
	clear(s.changed)
}

// MissedEntries records that entries may have come and gone unseen until now, of any service.
func (s *Services) MissedEntries(now domain.Instant) {
	s.unseenAt, s.unseen = now, true
}

// ReadSince returns since when nothing has been missed.
func (s *Services) ReadSince() domain.Instant {
	since := s.readAt
	if s.unseen {
		since = max(since, s.unseenAt)
	}
	for _, d := range s.doubts {
		since = max(since, d.at)
	}
	return since
}

// knowsFormer reports whether no version of a service can have served unseen in the last MaxLeft.
func (s *Services) knowsFormer(now domain.Instant, service uint32) bool {
	adoptedAt, adopted := s.adopted[service]
	settled := func(at domain.Instant) bool { return now.Sub(at) >= MaxLeft || adopted && adoptedAt >= at }
	if !s.nothingBefore && !settled(s.readAt) || s.unseen && !settled(s.unseenAt) {
		return false
	}
	for _, d := range s.doubts {
		if d.service == service && !settled(d.at) {
			return false
		}
	}
	return true
}

// Adopt takes over what a peer knows of the times that this process has missed: that a service had only one
// version. askedAt is when the peer was asked.
func (s *Services) Adopt(now, askedAt domain.Instant, service uint32, version Version) {
	if state, only := s.State(now, service, true); s.read && askedAt >= s.ReadSince() && state == StateUnsure && only == version {
		s.adopted[service] = askedAt
	}
}

// Unsure returns the services with endpoints whose former versions are not known here, in no order. current is whether
// the registry can be read.
func (s *Services) Unsure(now domain.Instant, current bool) []uint32 {
	if !s.read || !current {
		return nil
	}
	seen := make(map[uint32]bool)
	var list []uint32
	for _, e := range s.endpoints {
		if seen[e.Service] {
			continue
		}
		seen[e.Service] = true
		if state, _ := s.State(now, e.Service, current); state == StateUnsure {
			list = append(list, e.Service)
		}
	}
	return list
}

// maxChanged bounds the changes that are kept until the next reading. If there are more, entries count as unseen.
const maxChanged = 1 << 14

// Expire discards the versions that were last served, and the doubts that began, longer than MaxLeft ago.
func (s *Services) Expire(now domain.Instant) {
	if len(s.changed) > maxChanged {
		s.MissedEntries(now)
		clear(s.changed)
	}
	for endpoint, d := range s.doubts {
		if now.Sub(d.at) > MaxLeft {
			delete(s.doubts, endpoint)
		}
	}
	for endpoint, former := range s.removed {
		if now.Sub(former.at) > MaxLeft {
			delete(s.removed, endpoint)
		}
	}
	for version, at := range s.gone {
		if now.Sub(at) > MaxLeft {
			delete(s.gone, version)
		}
	}
}

// State says how many versions of a service have served for as long as a stream can be taken up.
type State uint8

// The states of a service.
const (
	// StateUnsure means that this process can't tell: it has just started, has missed changes of the
	// registry, or its copy of it may be out of date. It knows of one version at most.
	StateUnsure State = iota
	// StateSole means that one version has served.
	StateSole
	// StateMixed means that several versions have.
	StateMixed
)

// State returns the state of a service over the last MaxLeft, whatever the time limits of callers are here: a stream may have
// begun at another process, for a caller with a longer one. It also returns the version if only one is
// known. current is whether the registry can be read.
func (s *Services) State(now domain.Instant, service uint32, current bool) (State, Version) {
	only, several := s.versions(now, service)
	switch {
	case several:
		return StateMixed, 0
	case only == 0 || !current || !s.read || !s.knowsFormer(now, service):
		return StateUnsure, only
	default:
		return StateSole, only
	}
}

// versions returns the only version that endpoints of a service have, or had until less than MaxLeft ago; 0 if there
// is none, or several.
func (s *Services) versions(now domain.Instant, service uint32) (only Version, several bool) {
	for _, e := range s.endpoints {
		if e.Service != service {
			continue
		}
		if only != 0 && only != e.Version {
			return 0, true
		}
		only = e.Version
	}
	for e, at := range s.gone {
		if e.service != service || now.Sub(at) > MaxLeft {
			continue
		}
		if only != 0 && only != e.version {
			return 0, true
		}
		only = e.version
	}
	return only, false
}
