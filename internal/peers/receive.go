package peers

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// maxDatagram is the size of the receive buffer, and so of the largest digest, in bytes: the largest payload of UDP
	// over IPv4.
	maxDatagram = 65_507
	// ignoredLogInterval is the least time between two log lines on datagrams that can't be used.
	ignoredLogInterval = time.Second
)

// receive handles datagrams until the socket is closed.
func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	var logged time.Time
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "digest not received")
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if err := e.handleDatagram(from, buffer[:n]); err != nil {
			if total := e.ignored.Add(1); time.Since(logged) >= ignoredLogInterval {
				logged = time.Now()
				klog.InfoS("datagram ignored", "peer", from, "bytes", n, "cause", err, "ignored", total)
			}
		}
	}
}

// handleDatagram passes what a peer tells to the handler. It returns an error if the datagram can't be used; nothing has
// changed then. Datagrams older than the last one of their sender are no error.
func (e *Exchange) handleDatagram(from netip.AddrPort, datagram []byte) error {
	peer := from.Addr().Unmap()
	if from.Port() != e.address.Port() {
		return errors.Newf("sent from port %d, peers have %d", from.Port(), e.address.Port())
	}
	var d pb.Digest
	if err := proto.Unmarshal(datagram, &d); err != nil {
		return errors.Wrap(err, "step=decode digest")
	}
	if d.Streams != nil {
		return e.handleStreams(peer, d.Streams)
	}
	if d.Registry != nil {
		return e.handleRegistry(d.Registry)
	}
	if d.Usage != nil {
		return e.handleUsage(peer, d.Usage)
	}
	digest, ok := decode(&d)
	crashes, crashesOK := decodeCrashes(&d)
	listed, listedOK := decodePeers(&d)
	if !ok || !crashesOK || !listedOK {
		return errors.New("lists differ in length")
	}
	r := e.record(peer, &d, &digest, listed)
	for _, address := range r.Started {
		klog.InfoS("peer heard", "peer", address, "by", peer)
		e.handler.PeerStarted(address)
	}
	if !r.Newer {
		return nil
	}
	for _, address := range r.Restarted {
		// The next digest may be partial, which would add to the loads of the earlier start.
		e.handler.PeerDigest(address.String(), placement.PeerDigest{KeepLevels: true})
	}
	for _, address := range r.Summed {
		e.handler.PeerDigest(address.String(), placement.PeerDigest{})
	}
	switch {
	case d.News:
		e.handler.PeerNews(peer.String(), digest.Limits, digest.Leavings)
	case d.Sum:
		e.handler.PeerDigest(dataCentreName(d.DataCentre), digest)
	case r.takesOwn:
		e.handler.PeerDigest(peer.String(), digest)
	}
	if crashes.Size() > 0 {
		e.handler.PeerCrashNews(peer.String(), crashes)
	}
	e.handler.PeerConfirmation(peer.String(), decodeConfirmation(&d))
	e.handler.PeerRegistry(decodeRegistryConfirmation(&d))
	if d.Lease != nil {
		e.handler.PeerLeaseNews(decodeLease(d.Lease))
	}
	if r.introduces {
		e.introduce(peer)
	}
	return nil
}

// received is what a digest has changed, and what is to be done for it.
type received struct {
	Recorded
	takesOwn   bool // whether the sender's own state in it is used
	introduces bool // whether the sender needs the list of all peers
}

// record records a digest's sender and the peers that it lists, and completes the decoded digest.
func (e *Exchange) record(peer netip.Addr, d *pb.Digest, digest *placement.PeerDigest, listed []ListedPeer) received {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	own := !d.News && !d.Sum
	r := received{Recorded: e.members.Record(now, Message{
		From: peer, Incarnation: d.Incarnation, Sequence: d.Sequence, Format: d.Format, DataCentre: d.DataCentre,
		ToAll: d.ToAll, Own: own, Sum: d.Sum, Listed: listed, Present: d.Format > 0,
	})}
	r.takesOwn = own && e.takesOwn(d)
	digest.Relayed = r.takesOwn && e.members.IsSummed(peer)
	if digest.Relayed {
		blocked := countBlocked(digest.Levels)
		e.rowBlocked = e.rowBlocked || blocked > e.peerCounts[peer]
		e.peerCounts[peer] = blocked
	}
	e.wholeDue = e.wholeDue || len(r.Started) > 0
	if !r.Newer {
		return r
	}
	last, introduced := e.introduced[peer]
	r.introduces = e.members.Relayed() && d.Members != 0 && d.Members != e.members.Hash() && (!introduced || now.Sub(last) >= introductionInterval)
	if r.introduces {
		e.introduced[peer] = now
	}
	if d.Sum {
		digest.CountedBy, digest.KeepLevels = e.recordSum(peer, d.DataCentre)
	}
	return r
}

// takesOwn reports whether the state of a digest's sender is used. That of a process elsewhere which doesn't tell it to all
// comes in sums. The caller must hold e.mu.
func (e *Exchange) takesOwn(d *pb.Digest) bool {
	return d.Format == 0 || d.ToAll || d.DataCentre == e.dataCentre
}

// recordSum records a sum over a data centre by a peer. It returns the process whose counts of requests are used, and whether
// those in the sum are not, as they are of another one. The caller must hold e.mu.
func (e *Exchange) recordSum(peer netip.Addr, dataCentre uint32) (counter string, keep bool) {
	now := e.now()
	s := e.sums[dataCentre]
	if s == nil {
		s = &sumState{counter: peer, countedAt: now}
		e.sums[dataCentre] = s
	}
	s.at = now
	if s.counter != peer && now.Sub(s.countedAt) > 2*e.members.SumInterval(false) {
		s.counter = peer
	}
	if s.counter == peer {
		s.countedAt = now
	}
	return s.counter.String(), s.counter != peer
}
