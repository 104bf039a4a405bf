package streamversions

import (
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Services are the versions that serve each service, from the registry. A service is given
// by a hash of its name. They are not safe
// for concurrent use.
type Services struct {
	endpoints map[string]served
	gone      map[served]domain.Instant // when a version was last served by an endpoint that is gone or has another one
	read      bool                      // whether the registry has been read completely
	readAt    domain.Instant            // since when no change of it has been missed
	// nothingBefore is whether no stream can have begun before this process started.
	nothingBefore bool
	// adopted are the services of which a peer knows that they had no other version before readAt.
	adopted map[uint32]bool
}

// served is a version of a service.
type served struct {
	service uint32 // hash of its name
	version Version
}

// NewServices returns Services without endpoints. firstStart is whether the process is among the first of its
// deployment, so that no stream began before.
func NewServices(firstStart bool) *Services {
	return &Services{endpoints: make(map[string]served), gone: make(map[served]domain.Instant), adopted: make(map[uint32]bool), nothingBefore: firstStart}
}

// Put records an endpoint and its version.
func (s *Services) Put(now domain.Instant, endpoint string, service uint32, version Version) {
	current := served{service, version}
	if old, ok := s.endpoints[endpoint]; ok && old != current {
		s.gone[old] = now
	}
	s.endpoints[endpoint] = current
}

// Remove records that an endpoint is gone.
func (s *Services) Remove(now domain.Instant, endpoint string) {
	if old, ok := s.endpoints[endpoint]; ok {
		s.gone[old] = now
		delete(s.endpoints, endpoint)
	}
}

// RegistryRead records that all endpoints have been put.
func (s *Services) RegistryRead(now domain.Instant) {
	if !s.read {
		s.read, s.readAt = true, now
	}
}

// Missed records that endpoints may have come and gone unseen until now, so that former versions of the services are not known
// any more.
func (s *Services) Missed(now domain.Instant) {
	s.readAt, s.nothingBefore = now, false
	clear(s.adopted)
}

// ReadSince returns since when no change of the registry has been missed.
func (s *Services) ReadSince() domain.Instant { return s.readAt }

// Adopt takes over what a peer knows of the time before this process read the registry: that a service had only one
// version. askedAt is when the peer was asked.
func (s *Services) Adopt(now, askedAt domain.Instant, service uint32, version Version) {
	if state, only := s.State(now, service, true); s.read && askedAt >= s.readAt && state == StateUnsure && only == version {
		s.adopted[service] = true
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
		if seen[e.service] {
			continue
		}
		seen[e.service] = true
		if state, _ := s.State(now, e.service, current); state == StateUnsure {
			list = append(list, e.service)
		}
	}
	return list
}

// Expire discards the versions that were last served longer than MaxLeft ago.
func (s *Services) Expire(now domain.Instant) {
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
	knowsBefore := s.nothingBefore || s.adopted[service] || now.Sub(s.readAt) >= MaxLeft
	switch {
	case several:
		return StateMixed, 0
	case only == 0 || !current || !s.read || !knowsBefore:
		return StateUnsure, only
	default:
		return StateSole, only
	}
}

// versions returns the only version that endpoints of a service have, or had until less than MaxLeft ago; 0 if there
// is none, or several.
func (s *Services) versions(now domain.Instant, service uint32) (only Version, several bool) {
	for _, e := range s.endpoints {
		if e.service != service {
			continue
		}
		if only != 0 && only != e.version {
			return 0, true
		}
		only = e.version
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
