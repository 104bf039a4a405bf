package peers

import (
	"context"
	"encoding/binary"
	"math"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/prefixindex"
)

const (
	// sendInterval is the time between two digests. A shorter interval costs small
	// hosts more in wake-ups than it gains.
	sendInterval = 100 * time.Millisecond
	// unchangedInterval is the time between two digests while the endpoint loads
	// are the same.
	unchangedInterval = 400 * time.Millisecond
	// peerListInterval is the interval, in digests, at which a digest lists the
	// peers whose last digests are valid.
	peerListInterval = 8
	// blamesInterval is the time between two digests that list the blamed prompt parts while nothing has
	// changed of crashes. It is below the time for which a process that has started makes no probe.
	blamesInterval = 800 * time.Millisecond
	// maxDatagram is the size of the receive buffer, and so of the largest digest, in bytes: the largest payload of UDP
	// over IPv4.
	maxDatagram = 65_507
)

// DigestHandler provides this process's digests and receives those of its peers.
type DigestHandler interface {
	// Digest returns the current state of this process.
	Digest() placement.PeerDigest
	// PeerDigest replaces the last digest of a peer. An empty digest removes the peer.
	PeerDigest(peer string, d placement.PeerDigest)
	// PeersKnown handles a change of the peers that may be running or were a while ago.
	PeersKnown(peers []netip.Addr)
	// Confirmation returns the newest confirmation of the configuration that this
	// process knows.
	Confirmation() confirmation.Confirmation
	// PeerConfirmation handles the confirmation that a peer knows.
	PeerConfirmation(peer string, c confirmation.Confirmation)
	// CrashNews returns what this process tells of crashes of endpoints.
	CrashNews() crashblame.News
	// PeerCrashNews handles what a peer tells of them.
	PeerCrashNews(peer string, n crashblame.News)
	// PeerStarted handles the first digest of a peer, or the first one since it started again
	// or was out of reach.
	PeerStarted(peer netip.Addr)
	// PeerStreams handles what a peer tells or asks of streams.
	PeerStreams(peer netip.Addr, m StreamMessage)
}

// Exchange sends this process's digests to its peers and receives theirs.
type Exchange struct {
	address     netip.AddrPort
	handler     DigestHandler
	incarnation uint64
	started     time.Time
	conn        atomic.Pointer[net.UDPConn] // nil before Run
	sequence    uint64
	lastDigest  placement.PeerDigest
	lastVersion int64 // of the configuration, as confirmed in the last digest
	lastCrashes int   // size of the crash news in the last digest
	blamesTold  time.Time
	lastSent    time.Time
	knownPeers  []netip.Addr // last ones passed to PeersKnown; nil before the first call

	mu      sync.Mutex
	members *Members
}

// NewExchange returns an Exchange that listens at an address once it runs. All
// peers use the port of this address; the ports of the seeds are ignored.
func NewExchange(address netip.AddrPort, seeds []netip.AddrPort, handler DigestHandler) *Exchange {
	return &Exchange{
		address:     address,
		handler:     handler,
		incarnation: uint64(time.Now().UnixMicro()),
		started:     time.Now(),
		members:     NewMembers(address.Addr(), withoutPorts(seeds)),
	}
}

// withoutPorts returns the IP addresses of a list of addresses and ports.
func withoutPorts(addrPorts []netip.AddrPort) []netip.Addr {
	list := make([]netip.Addr, 0, len(addrPorts))
	for _, addrPort := range addrPorts {
		list = append(list, addrPort.Addr())
	}
	return list
}

// SetSeeds replaces the peers that digests are always sent to.
func (e *Exchange) SetSeeds(seeds []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.members.SetSeeds(withoutPorts(seeds))
}

// Run exchanges digests until the context ends.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address))
	if err != nil {
		return errors.Wrapf(err, "step=listen for digests address=%s", e.address)
	}
	e.conn.Store(conn)
	stop := context.AfterFunc(ctx, func() {
		if err := conn.Close(); err != nil {
			klog.ErrorS(err, "digest socket not closed")
		}
	})
	defer stop()
	go e.receive(ctx, conn)
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.expire()
			e.send(conn)
		}
	}
}

// PeerCount returns the number of peers that may be running.
func (e *Exchange) PeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.PeerCount()
}

// Alive returns the peers whose last digest is valid.
func (e *Exchange) Alive() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Alive()
}

// Known returns the peers that may be running and the seeds.
func (e *Exchange) Known() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Targets()
}

// ProcessCount returns the number of processes, this one included, that may be running or
// were a while ago.
func (e *Exchange) ProcessCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.ProcessCount()
}

func (e *Exchange) now() domain.Instant { return domain.Instant(time.Since(e.started)) }

// expire removes the digests of expired peers from the handler and passes changes of the
// known peers on to it.
func (e *Exchange) expire() {
	e.mu.Lock()
	expired, remembered := e.members.Expire(e.now()), e.members.Remembered()
	e.mu.Unlock()
	if e.knownPeers == nil || !slices.Equal(remembered, e.knownPeers) {
		e.knownPeers = remembered
		e.handler.PeersKnown(remembered)
	}
	for _, peer := range expired {
		klog.InfoS("peer silent", "peer", peer)
		e.handler.PeerDigest(peer.String(), placement.PeerDigest{})
	}
}

// changed reports whether a digest has news that don't wait for unchangedInterval: other endpoint
// loads, limits, leavings or blocked requests, new parts, or another version of the configuration.
func (e *Exchange) changed(digest placement.PeerDigest, version int64) bool {
	return version != e.lastVersion || len(digest.Parts) > 0 || !slices.Equal(digest.Loads, e.lastDigest.Loads) || !slices.EqualFunc(digest.Levels, e.lastDigest.Levels, sameCounts) ||
		!slices.EqualFunc(digest.Limits, e.lastDigest.Limits, sameLimit) || !slices.EqualFunc(digest.Leavings, e.lastDigest.Leavings, sameLeaving)
}

// send sends a digest to all targets, unless it has no news and unchangedInterval has not passed. A
// change of only the prefill demands waits for that interval.
func (e *Exchange) send(conn *net.UDPConn) {
	digest, confirmed, crashes := e.handler.Digest(), e.handler.Confirmation(), e.handler.CrashNews()
	if !e.changed(digest, confirmed.Version) && crashes.Size() == e.lastCrashes && time.Since(e.lastSent) < unchangedInterval {
		return
	}
	size := crashes.Size()
	if size != e.lastCrashes || time.Since(e.blamesTold) >= blamesInterval {
		e.blamesTold = time.Now()
	} else {
		crashes.Blames = nil
	}
	e.lastCrashes = size
	e.lastDigest, e.lastVersion, e.lastSent = digest, confirmed.Version, time.Now()
	e.sequence++
	e.mu.Lock()
	targets := e.members.Targets()
	var listedPeers []netip.Addr
	if e.sequence%peerListInterval == 1 {
		listedPeers = e.members.Alive()
	}
	e.mu.Unlock()
	message := e.encode(digest, confirmed, listedPeers)
	encodeCrashes(message, crashes)
	datagram, err := proto.Marshal(message)
	if err != nil {
		klog.ErrorS(err, "digest not encoded", "endpoints", len(digest.Loads))
		return
	}
	for _, target := range targets {
		if _, err := conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(target, e.address.Port())); err != nil {
			klog.V(1).InfoS("digest not sent", "peer", target, "err", err)
		}
	}
}

// sameLimit reports whether two statements of limits differ in their age at most.
func sameLimit(a, b placement.PeerLimit) bool {
	return a.Endpoint == b.Endpoint && a.PerSecond == b.PerSecond
}

// sameLeaving reports whether two statements of leaving differ in their age at most.
func sameLeaving(a, b placement.PeerLeaving) bool {
	return a.Endpoint == b.Endpoint && a.Start == b.Start
}

// limitScale is the number of units of Digest.limit_millis in one request per second.
const limitScale = 1000

// encode returns the message for a digest. Negative amounts become 0.
func (e *Exchange) encode(digest placement.PeerDigest, confirmed confirmation.Confirmation, listedPeers []netip.Addr) *pb.Digest {
	d := &pb.Digest{Incarnation: e.incarnation, Sequence: e.sequence}
	d.ConfirmedVersion, d.ConfirmedEra, d.ConfirmedAt = uint64(confirmed.Version), uint64(confirmed.At.Era), uint64(confirmed.At.Millis)
	for _, l := range digest.Loads {
		d.Endpoint = append(d.Endpoint, l.Endpoint)
		d.InFlight = append(d.InFlight, uint32(max(l.InFlight, 0)))
		d.Decoding = append(d.Decoding, uint32(max(l.Decoding, 0)))
		d.BacklogLevels = append(d.BacklogLevels, 0)
		for level, tokens := range l.Backlog {
			if tokens > 0 {
				d.BacklogLevels[len(d.BacklogLevels)-1] |= 1 << level
				d.Backlog = append(d.Backlog, uint32(tokens))
			}
		}
		d.Memory = append(d.Memory, uint32(max(l.Memory, 0)))
		d.Given = append(d.Given, uint32(max(l.Given, 0)))
		d.Gap = append(d.Gap, uint32(max(l.Gap.Milliseconds(), 0)))
	}
	for _, demand := range digest.PrefillDemands {
		d.Service = append(d.Service, demand.Service)
		d.Reading = append(d.Reading, uint32(max(demand.TokensPerSecond, 0)))
		d.SetAside = append(d.SetAside, uint32(max(demand.SetAside, 0)))
	}
	encodeLevels(d, digest.Levels)
	for _, p := range digest.Parts {
		d.CachedPart = append(d.CachedPart, uint32(p.Part))
		d.CachedAt = append(d.CachedAt, p.Endpoint)
	}
	for _, l := range digest.Limits {
		d.LimitedEndpoint = append(d.LimitedEndpoint, l.Endpoint)
		d.LimitMillis = append(d.LimitMillis, int64(math.Round(max(l.PerSecond, -1)*limitScale)))
		d.LimitAge = append(d.LimitAge, uint32(max(l.Age.Milliseconds(), 0)))
	}
	for _, l := range digest.Leavings {
		d.LeavingEndpoint = append(d.LeavingEndpoint, l.Endpoint)
		d.LeavingStart = append(d.LeavingStart, l.Start)
		d.LeavingAge = append(d.LeavingAge, uint32(max(l.Age.Milliseconds(), 0)))
	}
	for _, address := range listedPeers {
		bytes := address.As4()
		d.Peer = append(d.Peer, binary.BigEndian.Uint32(bytes[:]))
	}
	return d
}

// receive handles datagrams until the socket is closed.
func (e *Exchange) receive(ctx context.Context, conn *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
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
		e.handleDatagram(from.Addr().Unmap(), buffer[:n])
	}
}

// handleDatagram passes a peer's digest to the handler. Datagrams that can't be
// decoded and digests older than the last one are ignored.
func (e *Exchange) handleDatagram(from netip.Addr, datagram []byte) {
	var d pb.Digest
	if err := proto.Unmarshal(datagram, &d); err != nil {
		klog.V(1).InfoS("digest not decoded", "peer", from, "err", err)
		return
	}
	if d.Streams != nil {
		e.handleStreams(from, d.Streams)
		return
	}
	digest, ok := decode(&d)
	crashes, crashesOK := decodeCrashes(&d)
	if !ok || !crashesOK {
		klog.V(1).InfoS("digest ignored: its lists differ in length", "peer", from)
		return
	}
	listedPeers := make([]netip.Addr, 0, len(d.Peer))
	for _, ipv4 := range d.Peer {
		var bytes [4]byte
		binary.BigEndian.PutUint32(bytes[:], ipv4)
		listedPeers = append(listedPeers, netip.AddrFrom4(bytes))
	}
	e.mu.Lock()
	newer, joined := e.members.RecordDigest(e.now(), from, d.Incarnation, d.Sequence, listedPeers)
	e.mu.Unlock()
	if joined {
		klog.InfoS("peer heard", "peer", from, "incarnation", d.Incarnation)
		e.handler.PeerStarted(from)
	}
	if newer {
		e.handler.PeerDigest(from.String(), digest)
		if crashes.Size() > 0 {
			e.handler.PeerCrashNews(from.String(), crashes)
		}
		e.handler.PeerConfirmation(from.String(), confirmation.Confirmation{
			Version: int64(d.ConfirmedVersion), At: confirmation.StoreTime{Era: int64(d.ConfirmedEra), Millis: int64(d.ConfirmedAt)},
		})
	}
}

// decode returns the digest of a message, or false if its lists differ in length.
func decode(d *pb.Digest) (placement.PeerDigest, bool) {
	n := len(d.Endpoint)
	for _, list := range [][]uint32{d.InFlight, d.Decoding, d.BacklogLevels, d.Memory, d.Given, d.Gap} {
		if len(list) != n {
			return placement.PeerDigest{}, false
		}
	}
	backlogs, ok := decodeBacklogs(d.BacklogLevels, d.Backlog)
	if !ok {
		return placement.PeerDigest{}, false
	}
	if len(d.Service) != len(d.Reading) || len(d.Service) != len(d.SetAside) || len(d.CachedPart) != len(d.CachedAt) ||
		len(d.LimitedEndpoint) != len(d.LimitMillis) || len(d.LimitedEndpoint) != len(d.LimitAge) ||
		len(d.LeavingEndpoint) != len(d.LeavingStart) || len(d.LeavingEndpoint) != len(d.LeavingAge) {
		return placement.PeerDigest{}, false
	}
	var digest placement.PeerDigest
	if digest.Levels, ok = decodeLevels(d); !ok {
		return placement.PeerDigest{}, false
	}
	for i := range n {
		digest.Loads = append(digest.Loads, placement.PeerLoad{
			Endpoint: d.Endpoint[i],
			InFlight: int(d.InFlight[i]),
			Decoding: int(d.Decoding[i]),
			Backlog:  backlogs[i],
			Memory:   int(d.Memory[i]),
			Given:    int(d.Given[i]),
			Gap:      time.Duration(d.Gap[i]) * time.Millisecond,
		})
	}
	for i := range d.Service {
		digest.PrefillDemands = append(digest.PrefillDemands, placement.PeerPrefillDemand{
			Service: d.Service[i], TokensPerSecond: int(d.Reading[i]), SetAside: int(d.SetAside[i]),
		})
	}
	for i, part := range d.CachedPart {
		digest.Parts = append(digest.Parts, placement.PeerPart{Endpoint: d.CachedAt[i], Part: prefixindex.Key(part)})
	}
	for i, endpoint := range d.LimitedEndpoint {
		digest.Limits = append(digest.Limits, placement.PeerLimit{
			Endpoint: endpoint, PerSecond: float64(d.LimitMillis[i]) / limitScale, Age: time.Duration(d.LimitAge[i]) * time.Millisecond,
		})
	}
	for i, endpoint := range d.LeavingEndpoint {
		digest.Leavings = append(digest.Leavings, placement.PeerLeaving{
			Endpoint: endpoint, Start: d.LeavingStart[i], Age: time.Duration(d.LeavingAge[i]) * time.Millisecond,
		})
	}
	return digest, true
}

// decodeBacklogs returns the backlog of each endpoint, or false if the number of
// tokens differs from the number of levels.
func decodeBacklogs(levels, tokens []uint32) ([]placement.Backlog, bool) {
	backlogs := make([]placement.Backlog, len(levels))
	for i, mask := range levels {
		for level := range backlogs[i] {
			if mask&(1<<level) == 0 {
				continue
			}
			if len(tokens) == 0 {
				return nil, false
			}
			backlogs[i][level], tokens = int(tokens[0]), tokens[1:]
		}
	}
	return backlogs, len(tokens) == 0
}
