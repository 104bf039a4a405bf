package peers

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

const (
	// sendInterval is the least time between two digests. A shorter interval costs small
	// hosts more in wake-ups than it gains.
	sendInterval = 100 * time.Millisecond
	// unchangedInterval is the time between two digests while the endpoint loads
	// are the same.
	unchangedInterval = 400 * time.Millisecond
	// peerListInterval is the interval, in digests, at which a digest lists the
	// peers whose last digests are valid. New ones are listed at once.
	peerListInterval = 8
	// wholeInterval is the interval, in digests, at which a partial digest is replaced by a whole one while loads change.
	// One that is lost leaves the receivers with old loads.
	wholeInterval = 12
	// blamesInterval is the time between two digests that list the blamed prompt parts while nothing has
	// changed of crashes. It is below the time for which a process that has started makes no probe.
	blamesInterval = 800 * time.Millisecond
	// sumMaxAge is how long the sum over another data centre is valid at least.
	sumMaxAge = 3 * time.Second
	// busyTime is how long after a request that no endpoint took on arrival states are told more often.
	busyTime = time.Second
	// pingInterval is the time between two messages to the seeds while states are relayed.
	pingInterval = 2 * time.Second
	// leaseTime is how long a change of the lease's state is in all messages, and leaseInterval the interval, in messages, at
	// which it is in them otherwise.
	leaseTime, leaseInterval = time.Second, 8
	// introductionInterval is the least time between two lists of all known peers for one peer.
	introductionInterval = time.Second
)

// newsTimes are how long after a change the news of it are sent again, as datagrams get lost.
var newsTimes = [...]time.Duration{300 * time.Millisecond, 900 * time.Millisecond}

// DigestHandler provides this process's digests and receives those of its peers.
type DigestHandler interface {
	// Digest returns the current state of this process.
	Digest() placement.PeerDigest
	// SumDigest returns the sum of the current state of this process and of the last digests of peers.
	SumDigest(peers []string) placement.PeerDigest
	// SetRelaying sets whether the states of processes are relayed.
	SetRelaying(bool)
	// PeerDigest replaces the last digest of a peer, or of a data centre. An empty digest removes it.
	PeerDigest(peer string, d placement.PeerDigest)
	// PeerNews handles what a peer says at once of limits and of endpoints that leave.
	PeerNews(peer string, limits []placement.PeerLimit, leavings []placement.PeerLeaving)
	// PeersKnown handles a change of the peers that may be running or were a while ago.
	PeersKnown(peers []netip.Addr)
	// Confirmation returns the newest confirmation of the configuration that this
	// process knows.
	Confirmation() confirmation.Confirmation
	// PeerConfirmation handles the confirmation that a peer knows.
	PeerConfirmation(peer string, c confirmation.Confirmation)
	// SetRegistryRole sets how this process learns of changes of the registry.
	SetRegistryRole(registryrelay.Role)
	// RegistryConfirmation returns the newest confirmation of the registry that this process knows.
	RegistryConfirmation() confirmation.Confirmation
	// PeerRegistry handles the confirmation that a peer knows.
	PeerRegistry(c confirmation.Confirmation)
	// PeerRegistryChanges handles changes that a peer hands on.
	PeerRegistryChanges(c registryrelay.Changes)
	// CrashNews returns what this process tells of crashes of endpoints.
	CrashNews() crashblame.News
	// PeerCrashNews handles what a peer tells of them.
	PeerCrashNews(peer string, n crashblame.News)
	// PeerStarted handles the first message of a peer, or the first one since it started again
	// or was out of reach.
	PeerStarted(peer netip.Addr)
	// PeerStreams handles what a peer tells or asks of streams.
	PeerStreams(peer netip.Addr, m StreamMessage)
	// LeaseNews returns the newest state of the lease of duties that is known here, or false if there is none.
	LeaseNews() (usage.News, bool)
	// PeerLeaseNews handles what a peer knows of it.
	PeerLeaseNews(n usage.News)
	// PeerUsage handles a peer's counts of requests, or its acknowledgement of such.
	PeerUsage(peer netip.Addr, m usage.Message)
}

// Exchange sends this process's digests to its peers and receives theirs.
type Exchange struct {
	address     netip.AddrPort
	dataCentre  uint32
	handler     DigestHandler
	incarnation uint64
	started     time.Time
	clock       func() time.Time
	conn        atomic.Pointer[datagramSender] // nil before Run
	hurried     chan struct{}                  // holds a value if news are to be sent at once
	sequence    atomic.Uint64
	ignored     atomic.Int64 // datagrams that could not be used

	// These are used by Run only.
	lastDigest  placement.PeerDigest
	lastVersion int64 // of the configuration, as confirmed in the last digest
	lastCrashes int   // size of the crash news in the last digest
	blamesTold  time.Time
	lastSent    time.Time
	digests     int                  // sent
	listedPeers int                  // in the last list, or fewer if some are gone
	toldLoads   []placement.PeerLoad // that the row knows
	heldParts   []placement.PeerPart // announced to no peer yet
	newsTold    placement.PeerDigest // last news
	newsCrashes int                  // size of the crash news in them
	newsDue     []time.Time          // when they are sent again
	lastSum     time.Time
	blocked     uint32    // requests of this process that were blocked
	blockedAt   time.Time // when there were more of them; zero if there never were
	sumVersion  int64     // of the configuration, as confirmed in the last sum
	lastPing    time.Time
	knownPeers  []netip.Addr // last ones passed to PeersKnown; nil before the first call
	wasRelayed  bool

	mu         sync.Mutex
	members    *Members
	sums       map[uint32]*sumState // by data centre
	introduced map[netip.Addr]domain.Instant
	leaseTold  usage.News            // last state of the lease that was told
	leaseDue   time.Time             // until then it is in all messages
	wholeDue   bool                  // whether a peer needs a whole digest
	rowBlocked bool                  // whether a peer of the data centre has told of more blocked requests
	peerCounts map[netip.Addr]uint32 // of such requests, as peers of the data centre told last
}

// datagramSender is the socket that datagrams are sent on.
type datagramSender interface {
	WriteToUDPAddrPort(datagram []byte, to netip.AddrPort) (int, error)
}

// sumState is what is known of the sums over a data centre.
type sumState struct {
	at        domain.Instant // arrival of the last one
	counter   netip.Addr     // sender whose counts of requests are used
	countedAt domain.Instant // arrival of its last sum
}

// NewExchange returns an Exchange that listens at an address once it runs. All
// peers use the port of this address; the ports of the seeds are ignored.
func NewExchange(address netip.AddrPort, dataCentre string, seeds []netip.AddrPort, handler DigestHandler) *Exchange {
	hash := uint32(xxhash.Sum64String(dataCentre))
	return &Exchange{
		address:     address,
		dataCentre:  hash,
		handler:     handler,
		incarnation: uint64(time.Now().UnixMicro()),
		started:     time.Now(),
		clock:       time.Now,
		hurried:     make(chan struct{}, 1),
		members:     NewMembers(address.Addr(), hash, withoutPorts(seeds)),
		sums:        make(map[uint32]*sumState),
		introduced:  make(map[netip.Addr]domain.Instant),
		peerCounts:  make(map[netip.Addr]uint32),
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

// SetSeeds replaces the peers that messages are always sent to.
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
	e.attach(conn)
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
			e.tick()
		case <-e.hurried:
			e.send(e.clock())
		}
	}
}

// attach sets the socket that datagrams are sent on.
func (e *Exchange) attach(conn datagramSender) { e.conn.Store(&conn) }

// tick does what is due. It is called once in sendInterval.
func (e *Exchange) tick() {
	e.expire()
	e.send(e.clock())
}

// Hurry has news sent at once: a process that ends a moment later has told them.
func (e *Exchange) Hurry() {
	select {
	case e.hurried <- struct{}{}:
	default:
	}
}

// PeerCount returns the number of peers that may be running.
func (e *Exchange) PeerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.PeerCount()
}

// Alive returns the peers that run, as far as is known.
func (e *Exchange) Alive() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Alive(e.now())
}

// Known returns the peers that may be running and the seeds.
func (e *Exchange) Known() []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Targets()
}

// SetFirstStart records that the whole deployment starts for the first time. It is called before Run.
func (e *Exchange) SetFirstStart() { e.members.SetFirstStart() }

// Divide returns among how many processes a bound over all of them is divided.
func (e *Exchange) Divide() Division {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members.Divide(e.now())
}

// Ignored returns the number of datagrams that could not be used.
func (e *Exchange) Ignored() int64 { return e.ignored.Load() }

func (e *Exchange) now() domain.Instant { return domain.Instant(e.clock().Sub(e.started)) }

// dataCentreName identifies the sum over a data centre to the handler.
func dataCentreName(dataCentre uint32) string { return fmt.Sprintf("data centre %08x", dataCentre) }

// expire removes the digests of expired peers from the handler and passes changes of the
// known peers on to it.
func (e *Exchange) expire() {
	now := e.now()
	e.mu.Lock()
	expired, remembered := e.members.Expire(now, e.members.MaxAge()), e.members.Remembered()
	e.members.UpdateRelaying()
	relayed, role, silent := e.members.Relayed(), e.members.RegistryRole(), e.expireSums(now)
	for peer, at := range e.introduced {
		if now.Sub(at) > introductionInterval {
			delete(e.introduced, peer)
		}
	}
	e.mu.Unlock()
	if e.knownPeers == nil || !slices.Equal(remembered, e.knownPeers) {
		e.knownPeers = remembered
		e.handler.PeersKnown(remembered)
	}
	if relayed != e.wasRelayed {
		klog.InfoS("states relayed", "relayed", relayed, "peers", len(remembered))
		e.wasRelayed, e.toldLoads = relayed, nil
		e.handler.SetRelaying(relayed)
	}
	e.handler.SetRegistryRole(role)
	e.mu.Lock()
	for _, peer := range expired {
		delete(e.peerCounts, peer)
	}
	e.mu.Unlock()
	for _, peer := range expired {
		klog.InfoS("peer silent", "peer", peer)
		e.handler.PeerDigest(peer.String(), placement.PeerDigest{})
	}
	for _, name := range silent {
		klog.InfoS("peer silent", "peer", name)
		e.handler.PeerDigest(name, placement.PeerDigest{})
	}
}

// expireSums removes the sums that are too old and returns the names of their data centres. The caller must hold e.mu.
func (e *Exchange) expireSums(now domain.Instant) []string {
	maxAge := max(sumMaxAge, 3*e.members.SumInterval(false))
	if e.members.Isolated() {
		maxAge = isolationGracePeriod
	}
	var silent []string
	for dataCentre, s := range e.sums {
		if now.Sub(s.at) > maxAge {
			delete(e.sums, dataCentre)
			silent = append(silent, dataCentreName(dataCentre))
		}
	}
	slices.Sort(silent)
	return silent
}
