package peers

import (
	"context"
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

const (
	// interval is the time between two digests. A shorter one brings less than
	// it costs small hosts in wake-ups.
	interval = 100 * time.Millisecond
	// quietInterval is the time between two digests that say the same.
	quietInterval = 400 * time.Millisecond
	// mentionEvery is the number of digests of which one names the known peers.
	mentionEvery = 8
	// maxDatagram is the largest digest that is read, in bytes.
	maxDatagram = 8192
)

// Board is where digests come from and go to.
type Board interface {
	// Digest returns this process's requests in progress.
	Digest() placement.PeerDigest
	// PeerDigest takes those of a peer, in place of what it told before.
	PeerDigest(peer string, d placement.PeerDigest)
}

// Exchange sends and receives digests.
type Exchange struct {
	address     netip.AddrPort
	board       Board
	incarnation uint64
	started     time.Time
	conn        *net.UDPConn
	sequence    uint64
	last        placement.PeerDigest
	lastSent    time.Time

	mu      sync.Mutex
	members *Members
}

// NewExchange returns an exchange at an address. All peers use its port.
func NewExchange(address netip.AddrPort, seeds []netip.AddrPort, board Board) *Exchange {
	return &Exchange{
		address:     address,
		board:       board,
		incarnation: uint64(time.Now().UnixMicro()),
		started:     time.Now(),
		members:     NewMembers(address.Addr(), hosts(seeds)),
	}
}

func hosts(addresses []netip.AddrPort) []netip.Addr {
	list := make([]netip.Addr, 0, len(addresses))
	for _, address := range addresses {
		list = append(list, address.Addr())
	}
	return list
}

// SetSeeds replaces the peers that are always told.
func (e *Exchange) SetSeeds(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members.SetSeeds(hosts(seeds))
}

// Run exchanges digests until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address))
	if err != nil {
		return errors.Wrapf(err, "step=listen for digests address=%s", e.address)
	}
	e.conn = conn
	stop := context.AfterFunc(ctx, func() {
		if err := conn.Close(); err != nil {
			klog.ErrorS(err, "digest socket not closed")
		}
	})
	defer stop()
	go e.receive(ctx)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.expire()
			e.send()
		}
	}
}

// Known returns the number of peers that may be running.
func (e *Exchange) Known() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Known()
}

func (e *Exchange) now() domain.Instant { return domain.Instant(time.Since(e.started)) }

func (e *Exchange) expire() {
	e.mu.Lock()
	silent := e.members.Expire(e.now())
	e.mu.Unlock()
	for _, peer := range silent {
		klog.InfoS("peer silent", "peer", peer)
		e.board.PeerDigest(peer.String(), placement.PeerDigest{})
	}
}

func (e *Exchange) send() {
	digest := e.board.Digest()
	if slices.Equal(digest.Loads, e.last.Loads) && time.Since(e.lastSent) < quietInterval {
		return
	}
	e.last, e.lastSent = digest, time.Now()
	e.sequence++
	e.mu.Lock()
	targets := e.members.Targets()
	var named []netip.Addr
	if e.sequence%mentionEvery == 1 {
		named = e.members.Alive()
	}
	e.mu.Unlock()
	datagram, err := proto.Marshal(e.encode(digest, named))
	if err != nil {
		klog.ErrorS(err, "digest not encoded", "endpoints", len(digest.Loads))
		return
	}
	for _, target := range targets {
		if _, err := e.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(target, e.address.Port())); err != nil {
			klog.V(1).InfoS("digest not sent", "peer", target, "err", err)
		}
	}
}

func (e *Exchange) encode(digest placement.PeerDigest, named []netip.Addr) *pb.Digest {
	d := &pb.Digest{Incarnation: e.incarnation, Sequence: e.sequence}
	for _, l := range digest.Loads {
		d.Endpoint = append(d.Endpoint, l.Endpoint)
		d.InFlight = append(d.InFlight, uint32(max(l.InFlight, 0)))
		d.Decoding = append(d.Decoding, uint32(max(l.Decoding, 0)))
		d.Unread = append(d.Unread, uint32(max(l.Unread, 0)))
		d.LongUnread = append(d.LongUnread, uint32(max(l.LongPromptTokens, 0)))
		d.Memory = append(d.Memory, uint32(max(l.Memory, 0)))
		d.Given = append(d.Given, uint32(max(l.Given, 0)))
		d.Gap = append(d.Gap, uint32(max(l.Gap.Milliseconds(), 0)))
	}
	for _, r := range digest.PrefillDemands {
		d.Service = append(d.Service, r.Service)
		d.Reading = append(d.Reading, uint32(max(r.TokensPerSecond, 0)))
		d.SetAside = append(d.SetAside, uint32(max(r.SetAside, 0)))
	}
	for _, address := range named {
		bytes := address.As4()
		d.Peer = append(d.Peer, binary.BigEndian.Uint32(bytes[:]))
	}
	return d
}

func (e *Exchange) receive(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				klog.ErrorS(err, "digest not received")
			}
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		e.take(from.Addr().Unmap(), buffer[:n])
	}
}

// take reads one datagram. One that can't be read says nothing.
func (e *Exchange) take(from netip.Addr, datagram []byte) {
	var d pb.Digest
	if err := proto.Unmarshal(datagram, &d); err != nil {
		klog.V(1).InfoS("digest not read", "peer", from, "err", err)
		return
	}
	digest, ok := decode(&d)
	if !ok {
		klog.V(1).InfoS("digest of uneven lists", "peer", from)
		return
	}
	named := make([]netip.Addr, 0, len(d.Peer))
	for _, number := range d.Peer {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], number)
		named = append(named, netip.AddrFrom4(bytes))
	}
	e.mu.Lock()
	newer, fresh := e.members.Heard(e.now(), from, d.Incarnation, d.Sequence, named)
	e.mu.Unlock()
	if fresh {
		klog.InfoS("peer heard", "peer", from, "incarnation", d.Incarnation)
	}
	if newer {
		e.board.PeerDigest(from.String(), digest)
	}
}

// decode reports false for lists that don't fit together.
func decode(d *pb.Digest) (placement.PeerDigest, bool) {
	n := len(d.Endpoint)
	for _, list := range [][]uint32{d.InFlight, d.Decoding, d.Unread, d.LongUnread, d.Memory, d.Given, d.Gap} {
		if len(list) != n {
			return placement.PeerDigest{}, false
		}
	}
	if len(d.Service) != len(d.Reading) || len(d.Service) != len(d.SetAside) {
		return placement.PeerDigest{}, false
	}
	var digest placement.PeerDigest
	for i := range n {
		digest.Loads = append(digest.Loads, placement.PeerLoad{
			Endpoint:         d.Endpoint[i],
			InFlight:         int(d.InFlight[i]),
			Decoding:         int(d.Decoding[i]),
			Unread:           int(d.Unread[i]),
			LongPromptTokens: int(d.LongUnread[i]),
			Memory:           int(d.Memory[i]),
			Given:            int(d.Given[i]),
			Gap:              time.Duration(d.Gap[i]) * time.Millisecond,
		})
	}
	for i := range d.Service {
		digest.PrefillDemands = append(digest.PrefillDemands, placement.PeerPrefillDemand{
			Service: d.Service[i], TokensPerSecond: int(d.Reading[i]), SetAside: int(d.SetAside[i]),
		})
	}
	return digest, true
}
