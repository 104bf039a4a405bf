package peers

import (
	"encoding/binary"
	"net/netip"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

// SendUsage sends counts of requests, or the acknowledgement of such, to a peer. Delivery is best-effort.
func (e *Exchange) SendUsage(to netip.Addr, m usage.Message) {
	u := &pb.Usage{Start: m.Start, Window: uint64(m.Window), Version: m.Version, Ended: m.Ended, Acknowledges: m.Acknowledges}
	for account, n := range m.Counts {
		u.Account = append(u.Account, uint32(account))
		u.Count = append(u.Count, n)
	}
	e.sendTo([]netip.Addr{to}, &pb.Digest{Usage: u})
}

// handleUsage passes a peer's message to the handler.
func (e *Exchange) handleUsage(from netip.Addr, u *pb.Usage) error {
	if len(u.Account) != len(u.Count) {
		return errors.Newf("usage of %d accounts has %d counts", len(u.Account), len(u.Count))
	}
	m := usage.Message{
		Start: u.Start, Window: int64(u.Window), Version: u.Version, Ended: u.Ended, Acknowledges: u.Acknowledges,
		Counts: make(map[usage.Account]uint32, len(u.Account)),
	}
	for i, account := range u.Account {
		m.Counts[usage.Account(account)] = u.Count[i]
	}
	e.handler.PeerUsage(from, m)
	return nil
}

// tellsLease reports whether the state of the lease is in a message.
func (e *Exchange) tellsLease(n usage.News, sequence uint64) bool {
	now := e.clock()
	e.mu.Lock()
	defer e.mu.Unlock()
	if n != e.leaseTold {
		e.leaseTold, e.leaseDue = n, now.Add(leaseTime)
	}
	return now.Before(e.leaseDue) || sequence%leaseInterval == 0
}

// encodeLease encodes the state of the lease.
func encodeLease(n usage.News) *pb.Lease {
	l := &pb.Lease{Token: uint64(n.Token), Window: uint64(n.Window)}
	if n.Holder.Is4() {
		bytes := n.Holder.As4()
		l.Holder = binary.BigEndian.Uint32(bytes[:])
	}
	return l
}

// decodeLease returns the state of the lease in a message.
func decodeLease(l *pb.Lease) usage.News {
	n := usage.News{Token: int64(l.Token), Window: int64(l.Window)}
	if l.Holder != 0 {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], l.Holder)
		n.Holder = netip.AddrFrom4(bytes)
	}
	return n
}
