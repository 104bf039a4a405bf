package peers

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// send sends what is due.
func (e *Exchange) send(now time.Time) {
	digest, confirmed, crashes := e.handler.Digest(), e.handler.Confirmation(), e.handler.CrashNews()
	busy := e.observeLoad(now, digest.Levels)
	e.mu.Lock()
	relayed, rowInterval := e.members.Relayed(), e.members.RowInterval(busy)
	alive := len(e.members.Alive(e.now()))
	e.mu.Unlock()
	e.listedPeers = min(e.listedPeers, alive)
	met := !relayed && alive > e.listedPeers
	digest.Parts = append(e.heldParts, digest.Parts...)
	e.heldParts = nil
	urgent := e.urgent(digest, confirmed.Version, crashes.Size())
	if relayed {
		e.sendNews(now, digest, confirmed, crashes)
		e.sendSum(now, busy, confirmed, crashes)
		e.ping(now, confirmed)
	}
	if due := e.changed(digest, confirmed.Version) || urgent || met || now.Sub(e.lastSent) >= unchangedInterval; !due || !urgent && now.Sub(e.lastSent) < rowInterval-sendInterval/2 {
		e.heldParts = digest.Parts
		return
	}
	e.sendDigest(now, relayed, met, digest, confirmed, crashes)
}

// observeLoad records the counts of requests of this process and reports whether engines were too loaded for some lately, here or at a peer
// of the data centre.
func (e *Exchange) observeLoad(now time.Time, levels []placement.PeerLevel) bool {
	blocked := countBlocked(levels)
	e.mu.Lock()
	defer e.mu.Unlock()
	// Levels without requests lately are not in the digest, so that the sum can fall.
	if blocked > e.blocked || e.rowBlocked {
		e.blockedAt = now
	}
	e.blocked, e.rowBlocked = blocked, false
	return !e.blockedAt.IsZero() && now.Sub(e.blockedAt) < busyTime
}

// countBlocked returns the requests in counts that were blocked (see placement.Table.BlockedBefore).
func countBlocked(levels []placement.PeerLevel) uint32 {
	var blocked uint32
	for _, l := range levels {
		blocked += l.Blocked
	}
	return blocked
}

// changed reports whether a digest has news that don't wait for unchangedInterval: other endpoint
// loads, limits, leavings or blocked requests, new parts, or another version of the configuration. A
// change of only the prefill demands waits for that interval.
func (e *Exchange) changed(digest placement.PeerDigest, version int64) bool {
	return version != e.lastVersion || len(digest.Parts) > 0 || !slices.Equal(digest.Loads, e.lastDigest.Loads) || !slices.EqualFunc(digest.Levels, e.lastDigest.Levels, sameCounts) ||
		!sameNews(digest, e.lastDigest)
}

// urgent reports whether there are news that wait for no interval.
func (e *Exchange) urgent(digest placement.PeerDigest, version int64, crashes int) bool {
	return version != e.lastVersion || crashes != e.lastCrashes || !sameNews(digest, e.lastDigest)
}

// sameNews reports whether two digests have the same limits and leavings of endpoints, but for their age.
func sameNews(a, b placement.PeerDigest) bool {
	return slices.EqualFunc(a.Limits, b.Limits, sameLimit) && slices.EqualFunc(a.Leavings, b.Leavings, sameLeaving)
}

// sameLimit reports whether two statements of limits differ in their age at most.
func sameLimit(a, b placement.PeerLimit) bool {
	return a.Endpoint == b.Endpoint && a.PerSecond == b.PerSecond
}

// sameLeaving reports whether two statements of leaving differ in their age at most.
func sameLeaving(a, b placement.PeerLeaving) bool {
	return a.Endpoint == b.Endpoint && a.Start == b.Start
}

// sendDigest sends the state of this process to all, or to its row. met is whether there are peers that have not been listed yet.
func (e *Exchange) sendDigest(now time.Time, relayed, met bool, digest placement.PeerDigest, confirmed confirmation.Confirmation, crashes crashblame.News) {
	size := crashes.Size()
	if size != e.lastCrashes || now.Sub(e.blamesTold) >= blamesInterval {
		e.blamesTold = now
	} else {
		crashes.Blames = nil
	}
	unchanged := slices.Equal(digest.Loads, e.lastDigest.Loads)
	e.lastCrashes, e.lastDigest, e.lastVersion, e.lastSent = size, digest, confirmed.Version, now
	e.digests++
	e.mu.Lock()
	// Peers that know no sums get it whole in any case.
	whole, partial := e.members.Legacy(), e.members.Row()
	if !relayed {
		whole, partial = splitTargets(e.members.Targets(), e.members.Elsewhere())
	}
	var listed, partialListed []ListedPeer
	lists := met || e.digests%peerListInterval == 1
	if lists {
		listed = e.members.List(e.members.Alive(e.now()))
		partialListed = listed
		if relayed {
			// Those of other data centres are listed in sums.
			partialListed = e.members.List(e.members.Summed())
		}
		e.listedPeers = len(listed)
	}
	hash := e.members.Hash()
	wholeDue := e.wholeDue || unchanged || e.digests%wholeInterval == 0
	e.wholeDue = false
	e.mu.Unlock()
	send := func(targets []netip.Addr, d *pb.Digest, digest placement.PeerDigest, listed []ListedPeer) {
		if !relayed {
			d.ToAll = true
			if lists {
				d.Members = hash
			}
		}
		encodeConfirmation(d, confirmed)
		encodeDigest(d, digest)
		encodePeers(d, listed)
		encodeCrashes(d, crashes)
		e.sendTo(targets, d)
	}
	if len(whole) > 0 {
		send(whole, e.message(), digest, listed)
	}
	if relayed || len(partial) > 0 {
		d := e.message()
		d.UnitTokens = relayedUnit
		send(partial, d, e.partial(digest, wholeDue), partialListed)
	}
}

// sendNews tells the processes of other data centres at once what must reach all: crashes, and endpoints that name a limit or leave.
func (e *Exchange) sendNews(now time.Time, digest placement.PeerDigest, confirmed confirmation.Confirmation, crashes crashblame.News) {
	size := crashes.Size()
	changed := size != e.newsCrashes || !sameNews(digest, e.newsTold)
	if changed {
		e.newsDue = e.newsDue[:0]
		for _, after := range newsTimes {
			e.newsDue = append(e.newsDue, now.Add(after))
		}
	} else {
		if len(e.newsDue) == 0 || now.Before(e.newsDue[0]) {
			return
		}
		e.newsDue = e.newsDue[1:]
	}
	e.newsCrashes, e.newsTold = size, placement.PeerDigest{Limits: digest.Limits, Leavings: digest.Leavings}
	d := e.message()
	d.News = true
	encodeConfirmation(d, confirmed)
	encodeDigest(d, e.newsTold)
	encodeCrashes(d, crashes)
	e.mu.Lock()
	targets := e.members.Elsewhere()
	e.mu.Unlock()
	e.sendTo(targets, d)
}

// sendSum sends the sum over this data centre to the targets of this process. A later version of the configuration waits for the next
// tick only.
func (e *Exchange) sendSum(now time.Time, busy bool, confirmed confirmation.Confirmation, crashes crashblame.News) {
	e.mu.Lock()
	interval := e.members.SumInterval(busy)
	if now.Sub(e.lastSum) < interval-sendInterval/2 && confirmed.Version == e.sumVersion {
		e.mu.Unlock()
		return
	}
	targets, summed := e.members.SumTargets(e.now()), e.members.Summed()
	listed := append(e.members.List(summed), ListedPeer{Address: e.address.Addr(), DataCentre: e.dataCentre, Incarnation: e.incarnation})
	e.mu.Unlock()
	e.lastSum, e.sumVersion = now, confirmed.Version
	if len(targets) == 0 {
		return
	}
	names := make([]string, 0, len(summed))
	for _, peer := range summed {
		names = append(names, peer.String())
	}
	d := e.message()
	d.Sum, d.UnitTokens = true, relayedUnit
	encodeConfirmation(d, confirmed)
	encodeDigest(d, e.handler.SumDigest(names))
	encodePeers(d, listed)
	encodeCrashes(d, crashblame.News{Blames: crashes.Blames})
	e.sendTo(targets, d)
}

// ping tells the seeds of this process, so that it is found again, and gets their list of peers if they know others.
func (e *Exchange) ping(now time.Time, confirmed confirmation.Confirmation) {
	if now.Sub(e.lastPing) < pingInterval {
		return
	}
	e.lastPing = now
	e.mu.Lock()
	seeds, hash := e.members.PingTargets(), e.members.Hash()
	e.mu.Unlock()
	d := e.message()
	d.News, d.Members = true, hash
	encodeConfirmation(d, confirmed)
	e.sendTo(seeds, d)
}

// introduce sends a peer the list of all known peers.
func (e *Exchange) introduce(peer netip.Addr) {
	e.mu.Lock()
	list := e.members.List(e.members.Alive(e.now()))
	e.mu.Unlock()
	d := e.message()
	d.News = true
	encodeConfirmation(d, e.handler.Confirmation())
	encodePeers(d, list)
	e.sendTo([]netip.Addr{peer}, d)
}

// message returns a message with what all have in common.
func (e *Exchange) message() *pb.Digest {
	d := &pb.Digest{Incarnation: e.incarnation, Sequence: e.sequence.Add(1), Format: currentFormat, DataCentre: e.dataCentre}
	encodeRegistryConfirmation(d, e.handler.RegistryConfirmation())
	if n, ok := e.handler.LeaseNews(); ok && e.tellsLease(n, d.Sequence) {
		d.Lease = encodeLease(n)
	}
	return d
}

// sendTo sends a message to peers.
func (e *Exchange) sendTo(targets []netip.Addr, d *pb.Digest) {
	conn := e.conn.Load()
	if conn == nil || len(targets) == 0 {
		return
	}
	datagram, err := proto.Marshal(d)
	if err != nil {
		klog.ErrorS(err, "digest not encoded", "endpoints", len(d.Endpoint))
		return
	}
	for _, target := range targets {
		if _, err := (*conn).WriteToUDPAddrPort(datagram, netip.AddrPortFrom(target, e.address.Port())); err != nil {
			klog.V(1).InfoS("digest not sent", "peer", target, "err", err)
		}
	}
}
