package peers

import (
	"net/netip"
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Partial digests. Most loads of a process are the same in the next digest. Peers of its data centre, while states are relayed, and peers
// elsewhere, while they are not, get only what has changed. One may be lost, so each wholeInterval-th digest is whole, and so is each one with
// the same loads as the last: these are sent so seldom that wholeInterval of them take seconds.

// partial returns what has changed of a digest's loads since the last call, or the digest itself if a whole one is due.
func (e *Exchange) partial(digest placement.PeerDigest, wholeDue bool) placement.PeerDigest {
	before := e.toldLoads
	e.toldLoads = digest.Loads
	if wholeDue {
		return digest
	}
	digest.Loads, digest.Partial = placement.ChangedLoads(before, digest.Loads), true
	e.toldLoads = placement.ApplyLoads(slices.Clone(before), digest.Loads, func(placement.PeerLoad, int) {})
	return digest
}

// splitTargets divides the targets of a digest into those that get it whole and those of other data centres that
// understand partial ones, between which bytes cost more.
func splitTargets(targets, elsewhere []netip.Addr) (whole, partial []netip.Addr) {
	for _, target := range targets {
		if slices.Contains(elsewhere, target) {
			partial = append(partial, target)
		} else {
			whole = append(whole, target)
		}
	}
	return whole, partial
}
