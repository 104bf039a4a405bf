package placement

import (
	"cmp"
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

const (
	// beginShare and endShare are the shares of a service's requests at which spillover begins and ends, as it is reported.
	beginShare, endShare = 0.1, 0.03
	// minPlacementRate is the least number of requests per second at which it begins.
	minPlacementRate = 1.0
)

// spilloverShare is the share of a service's requests that left the data centre lately. Those that go to long shared parts
// don't count: they cross at any load.
type spilloverShare struct {
	placed, left rate
	spilling     bool
}

// observe adds a request that has been placed.
func (s *spilloverShare) observe(now domain.Instant, reason SpilloverReason) {
	if reason == SpilloverPrefix {
		return
	}
	s.placed.add(now, 1)
	if reason != SpilloverNone {
		s.left.add(now, 1)
	}
}

// value returns the share.
func (s *spilloverShare) value(now domain.Instant) float64 {
	placed := s.placed.value(now)
	if placed == 0 {
		return 0
	}
	return s.left.value(now) / placed
}

// ServiceSpillover is the spillover of one service.
type ServiceSpillover struct {
	Service string
	// Spilling is whether requests leave the data centre; Changed whether that is new.
	Spilling, Changed bool
	// Share is the share of the requests that do.
	Share float64
	// Shortages is how short each data centre is of capacity for some requests, from 0 to 1, in the order of the names.
	Shortages []Shortage
}

// Shortage is how short of capacity a data centre is.
type Shortage struct {
	DataCentre string
	Value      float64
}

// Spillover returns the spillover of each service that has had requests, in the order of the names. The next call reports what has changed since.
func (t *Table) Spillover(now domain.Instant) []ServiceSpillover {
	var list []ServiceSpillover
	for name, svc := range t.services {
		share := &svc.overflow.share
		if share.placed.updatedAt == 0 {
			continue
		}
		entry, was := ServiceSpillover{Service: name, Share: share.value(now), Shortages: svc.overflow.shortages(now)}, share.spilling
		switch {
		case entry.Share >= beginShare && share.placed.value(now) >= minPlacementRate:
			share.spilling = true
		case entry.Share <= endShare || share.placed.value(now) < minPlacementRate/2:
			share.spilling = false
		}
		entry.Spilling, entry.Changed = share.spilling, share.spilling != was
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b ServiceSpillover) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// shortages returns the highest shortage of each data centre.
func (o *overflow) shortages(now domain.Instant) []Shortage {
	var list []Shortage
	for key, held := range o.held {
		at, known := slices.BinarySearchFunc(list, key.dataCentre, func(s Shortage, name string) int { return cmp.Compare(s.DataCentre, name) })
		if !known {
			list = slices.Insert(list, at, Shortage{DataCentre: key.dataCentre})
		}
		list[at].Value = max(list[at].Value, held.current(now))
	}
	return list
}
