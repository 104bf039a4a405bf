package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// PeerLoad is what one process has in progress at one endpoint.
type PeerLoad struct {
	// Endpoint is the low half of the hash of the endpoint's identifier.
	Endpoint uint32
	InFlight int
	Decoding int
	Unread   int
	Long     int
	Memory   int
	// Given is the prompt tokens a second that the process gives it to read.
	Given int
	// Gap is the mean time between two events of the process's streams there;
	// 0 if it had none lately.
	Gap time.Duration
}

// PeerReading is what one process's callers ask the engines of a service to read.
type PeerReading struct {
	// Service is the low half of the hash of the service's name.
	Service uint32
	// Tokens is the prompt tokens a second.
	Tokens int
	// SetAside is how many endpoints the process would set aside for long outputs.
	SetAside int
}

// PeerDigest is what a process tells the others.
type PeerDigest struct {
	Loads    []PeerLoad
	Readings []PeerReading
}

func (l PeerLoad) work() work {
	return work{inFlight: l.InFlight, decoding: l.Decoding, unread: l.Unread, long: l.Long, memory: l.Memory, given: l.Given}
}

// Digest returns what this process has in progress.
func (t *Table) Digest(now domain.Instant) PeerDigest {
	var d PeerDigest
	for _, s := range t.byID {
		given := int(s.given.value(now))
		gap := s.gaps.known(now)
		if s.own == (work{}) && given == 0 && gap == 0 {
			continue
		}
		d.Loads = append(d.Loads, PeerLoad{
			Endpoint: s.hash(), InFlight: s.own.inFlight, Decoding: s.own.decoding,
			Unread: s.own.unread, Long: s.own.long, Memory: s.own.memory, Given: given, Gap: gap,
		})
	}
	slices.SortFunc(d.Loads, func(a, b PeerLoad) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	for name, of := range t.services {
		if tokens := int(of.reading.value(now)); tokens > 0 || of.split.wanted > 0 {
			d.Readings = append(d.Readings, PeerReading{Service: serviceHash(name), Tokens: tokens, SetAside: of.split.wanted})
		}
	}
	slices.SortFunc(d.Readings, func(a, b PeerReading) int { return cmp.Compare(a.Service, b.Service) })
	return d
}

func serviceHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// PeerDigest replaces what a peer has told before. Nothing is left of it when
// the digest is empty.
func (t *Table) PeerDigest(peer string, d PeerDigest) {
	t.addPeer(t.peers[peer].Loads, -1)
	if len(d.Loads) == 0 && len(d.Readings) == 0 {
		delete(t.peers, peer)
		return
	}
	t.peers[peer] = d
	t.addPeer(d.Loads, 1)
}

func (t *Table) addPeer(loads []PeerLoad, sign int) {
	for _, l := range loads {
		if s := t.byHash[l.Endpoint]; s != nil {
			s.peers.add(l.work(), sign)
			s.peerGaps.add(l.Gap, sign)
		}
	}
}

// asked returns the prompt tokens a second that callers of all processes ask a
// service's engines to read, and the sizes that the peers would choose for the split.
func (t *Table) asked(now domain.Instant, of *service, name string) (tokens float64, setAside []int) {
	tokens = of.reading.value(now)
	hash := serviceHash(name)
	for _, d := range t.peers {
		for _, r := range d.Readings {
			if r.Service == hash {
				tokens += float64(r.Tokens)
				setAside = append(setAside, r.SetAside)
			}
		}
	}
	return tokens, setAside
}
