package streamversions

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Services are the versions that serve each service, from the registry. A service is given
// by a hash of its name. They are not safe
// for concurrent use.
type Services struct {
	endpoints map[string]served
	gone      map[served]domain.Instant // when a version was last served by an endpoint that is gone or has another one
	read      bool                      // whether the registry has been read completely
	readAt    domain.Instant            // when it was first
}

// served is a version of a service.
type served struct {
	service uint32 // hash of its name
	version Version
}

// NewServices returns Services without endpoints.
func NewServices() *Services {
	return &Services{endpoints: make(map[string]served), gone: make(map[served]domain.Instant)}
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

// Expire discards the versions that were last served longer than lifetime ago.
func (s *Services) Expire(now domain.Instant, lifetime time.Duration) {
	for version, at := range s.gone {
		if now.Sub(at) > lifetime {
			delete(s.gone, version)
		}
	}
}

// State says how many versions of a service have served for as long as a stream can live.
type State uint8

// The states of a service.
const (
	// StateUnsure means that this process can't tell: it has just started, or its copy of
	// the registry may be out of date. It knows of one version at most.
	StateUnsure State = iota
	// StateSole means that one version has served.
	StateSole
	// StateMixed means that several versions have.
	StateMixed
)

// State returns the state of a service over the last lifetime, and the version if only one is
// known. current is whether the registry can be read.
func (s *Services) State(now domain.Instant, service uint32, lifetime time.Duration, current bool) (State, Version) {
	var only Version
	for _, e := range s.endpoints {
		if e.service != service {
			continue
		}
		if only != 0 && only != e.version {
			return StateMixed, 0
		}
		only = e.version
	}
	for e, at := range s.gone {
		if e.service != service || now.Sub(at) > lifetime {
			continue
		}
		if only != 0 && only != e.version {
			return StateMixed, 0
		}
		only = e.version
	}
	if only == 0 || !current || !s.read || now.Sub(s.readAt) < lifetime {
		return StateUnsure, only
	}
	return StateSole, only
}
