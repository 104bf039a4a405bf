package peers

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/confirmation"
	"github.com/dunlinpulley/dunlinpulley/internal/crashblame"
	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
	"github.com/dunlinpulley/dunlinpulley/internal/registryrelay"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

func addr(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

// instant returns the time d after the start. The start is not 0, because
// isolatedSince is 0 for a process that is not isolated.
func instant(d time.Duration) domain.Instant { return domain.Instant(d) + 1 }

// record records a digest of a peer's own state in the first format.
func record(m *Members, now domain.Instant, from netip.Addr, incarnation, sequence uint64, listed []netip.Addr) (newer, joined bool) {
	message := Message{From: from, Incarnation: incarnation, Sequence: sequence, Own: true}
	for _, address := range listed {
		message.Listed = append(message.Listed, ListedPeer{Address: address})
	}
	recorded := m.Record(now, message)
	return recorded.Newer, len(recorded.Started) > 0
}

func TestStaleDigestsAreIgnored(t *testing.T) {
	m := NewMembers(addr(1), 0, nil)
	newer, joined := record(m, instant(0), addr(2), 5, 10, nil)
	assert.Assert(t, newer && joined)
	newer, _ = record(m, instant(1), addr(2), 5, 9, nil)
	assert.Assert(t, !newer, "older sequence number")
	newer, _ = record(m, instant(2), addr(2), 4, 99, nil)
	assert.Assert(t, !newer, "older incarnation")
	newer, _ = record(m, instant(3), addr(2), 6, 1, nil)
	assert.Assert(t, newer, "newer incarnation with a low sequence number")
	newer, _ = record(m, instant(3), addr(1), 9, 1, nil)
	assert.Assert(t, !newer, "digest of this process itself")
}

func TestListedPeersAreAddedAndExpire(t *testing.T) {
	m := NewMembers(addr(1), 0, []netip.Addr{addr(1), addr(9)})
	record(m, instant(0), addr(2), 1, 1, []netip.Addr{addr(1), addr(3)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{addr(2), addr(3), addr(9)}, compareAddrs)
	m.Expire(instant(memberTimeout+2*time.Second), digestMaxAge)
	assert.DeepEqual(t, m.Targets(), []netip.Addr{addr(9)}, compareAddrs)
}

func TestPeerDigestExpires(t *testing.T) {
	m := NewMembers(addr(1), 0, nil)
	for n := byte(2); n <= 5; n++ {
		record(m, instant(0), addr(n), 1, 1, nil)
	}
	for n := byte(3); n <= 5; n++ {
		record(m, instant(digestMaxAge), addr(n), 1, 2, nil)
	}
	assert.DeepEqual(t, m.Expire(instant(digestMaxAge+time.Millisecond), digestMaxAge), []netip.Addr{addr(2)}, compareAddrs)
	assert.Assert(t, !m.Isolated())
}

// A process that receives no digests keeps the last ones for isolationGracePeriod.
func TestIsolatedProcessKeepsDigests(t *testing.T) {
	m := NewMembers(addr(1), 0, nil)
	for n := byte(2); n <= 5; n++ {
		record(m, instant(0), addr(n), 1, 1, nil)
	}
	assert.Equal(t, len(m.Expire(instant(2*digestMaxAge), digestMaxAge)), 0)
	assert.Assert(t, m.Isolated())
	assert.Equal(t, len(m.Expire(instant(2*digestMaxAge+isolationGracePeriod), digestMaxAge)), 4)
}

var compareAddrs = addrComparer()

// unexpectedDigestHandler fails the test if it receives a digest.
type unexpectedDigestHandler struct{ t *testing.T }

func (h unexpectedDigestHandler) Digest() placement.PeerDigest { return placement.PeerDigest{} }

func (h unexpectedDigestHandler) PeerDigest(peer string, _ placement.PeerDigest) {
	h.t.Errorf("a digest of %s was accepted", peer)
}

func (h unexpectedDigestHandler) SumDigest([]string) placement.PeerDigest {
	return placement.PeerDigest{}
}

func (h unexpectedDigestHandler) LeaseNews() (usage.News, bool) { return usage.News{}, false }

func (h unexpectedDigestHandler) PeerLeaseNews(usage.News) {}

func (h unexpectedDigestHandler) PeerUsage(netip.Addr, usage.Message) {}

func (h unexpectedDigestHandler) SetRelaying(bool) {}

func (h unexpectedDigestHandler) SetRegistryRole(registryrelay.Role) {}

func (h unexpectedDigestHandler) RegistryConfirmation() confirmation.Confirmation {
	return confirmation.Confirmation{}
}

func (h unexpectedDigestHandler) PeerRegistry(confirmation.Confirmation) {
	h.t.Error("a confirmation of the registry was accepted")
}

func (h unexpectedDigestHandler) PeerRegistryChanges(registryrelay.Changes) {
	h.t.Error("changes of the registry were accepted")
}

func (h unexpectedDigestHandler) PeerNews(peer string, _ []placement.PeerLimit, _ []placement.PeerLeaving) {
	h.t.Errorf("news of %s were accepted", peer)
}

func (h unexpectedDigestHandler) PeersKnown([]netip.Addr) {}

func (h unexpectedDigestHandler) Confirmation() confirmation.Confirmation {
	return confirmation.Confirmation{}
}

func (h unexpectedDigestHandler) PeerConfirmation(peer string, _ confirmation.Confirmation) {
	h.t.Errorf("a confirmation of %s was accepted", peer)
}

func (h unexpectedDigestHandler) CrashNews() crashblame.News { return crashblame.News{} }

func (h unexpectedDigestHandler) PeerCrashNews(peer string, _ crashblame.News) {
	h.t.Errorf("crash news of %s were accepted", peer)
}

func (h unexpectedDigestHandler) PeerStarted(peer netip.Addr) { h.t.Errorf("%s was heard", peer) }

func (h unexpectedDigestHandler) PeerStreams(peer netip.Addr, _ StreamMessage) {
	h.t.Errorf("a stream message of %s was accepted", peer)
}

func TestSeedsCanChange(t *testing.T) {
	m := NewMembers(addr(1), 0, []netip.Addr{addr(1), addr(2)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{addr(2)}, addrComparer())
	record(m, instant(0), addr(4), 1, 1, nil)
	m.SetSeeds([]netip.Addr{addr(3), addr(1)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{addr(3), addr(4)}, addrComparer())
}

func TestInvalidDatagramsAreIgnored(t *testing.T) {
	const port = 7000
	e := NewExchange(netip.AddrPortFrom(addr(1), port), "a", nil, unexpectedDigestHandler{t})
	encode := func(d *pb.Digest) []byte {
		datagram, err := proto.Marshal(d)
		assert.NilError(t, err)
		return datagram
	}
	valid := encode(&pb.Digest{Incarnation: 1, Sequence: 1, Endpoint: []uint32{1}, InFlight: []uint32{1}, Decoding: []uint32{0}, BacklogLevels: []uint32{0}, Memory: []uint32{0}, Given: []uint32{0}, Gap: []uint32{0}})
	for name, c := range map[string]struct {
		port     uint16
		datagram []byte
	}{
		"no message":                  {port, []byte{0xff, 0xff, 0xff}},
		"truncated":                   {port, valid[:len(valid)-1]},
		"from a port of no peer":      {port + 1, valid},
		"lists of different length":   {port, encode(&pb.Digest{Incarnation: 1, Sequence: 1, Endpoint: []uint32{1, 2}, InFlight: []uint32{1}})},
		"peers without data centres":  {port, encode(&pb.Digest{Incarnation: 1, Sequence: 1, Format: 1, Peer: []uint32{1}})},
		"crashes without parts":       {port, encode(&pb.Digest{Incarnation: 1, Sequence: 1, CrashedEndpoint: []uint32{1}, CrashedStart: []int64{1}, CrashedParts: []uint32{9}})},
		"registry without versions":   {port, encode(&pb.Digest{Registry: &pb.Registry{Key: []string{"a"}}})},
		"streams of different length": {port, encode(&pb.Digest{Streams: &pb.Streams{Begun: []uint64{1}}})},
	} {
		assert.Assert(t, e.handleDatagram(netip.AddrPortFrom(addr(2), c.port), c.datagram) != nil, name)
		assert.Equal(t, e.PeerCount(), 0, name)
	}
	_, ok := decode(&pb.Digest{Endpoint: []uint32{1, 2}, InFlight: []uint32{1}})
	assert.Assert(t, !ok)
	for _, invalid := range []*pb.Digest{{Service: []uint32{1}}, {LimitedEndpoint: []uint32{1}, LimitAge: []uint32{1}}, {LimitMillis: []int64{1}}, {LeavingEndpoint: []uint32{1}, LeavingAge: []uint32{1}}, {Processes: []uint32{1}}} {
		_, ok = decode(invalid)
		assert.Assert(t, !ok)
	}
}

// A peer that is out of reach is remembered after its removal, until it is heard again or
// departedMemory has passed.
func TestRemovedPeersAreRemembered(t *testing.T) {
	m := NewMembers(addr(1), 0, nil)
	record(m, instant(0), addr(2), 1, 1, nil)
	record(m, instant(0), addr(3), 1, 1, nil)
	removedAt := instant(0).Add(memberTimeout + time.Millisecond)
	for now := instant(0); now <= removedAt+isolated; now = now.Add(time.Second) {
		record(m, now, addr(4), 1, uint64(now), nil)
		m.Expire(now, digestMaxAge)
	}
	assert.Equal(t, m.PeerCount(), 1)
	assert.DeepEqual(t, m.Remembered(), []netip.Addr{addr(2), addr(3), addr(4)}, addrComparer())
	now := removedAt + isolated
	record(m, now, addr(3), 2, 1, nil)
	assert.Equal(t, m.PeerCount(), 2)
	assert.DeepEqual(t, m.Remembered(), []netip.Addr{addr(2), addr(3), addr(4)}, addrComparer())
	now = now.Add(departedMemory)
	record(m, now, addr(3), 2, 2, nil)
	record(m, now, addr(4), 1, uint64(now), nil)
	m.Expire(now, digestMaxAge)
	m.Expire(now.Add(time.Millisecond), digestMaxAge)
	assert.DeepEqual(t, m.Remembered(), []netip.Addr{addr(3), addr(4)}, addrComparer())
}

// A process that loses contact with all others goes on counting them for departedMemory, so
// that the shares of a divided limit don't grow on both sides of a partition.
func TestPartitionKeepsProcessCount(t *testing.T) {
	const peerCount = 24
	m := NewMembers(addr(1), 0, []netip.Addr{addr(2), addr(99)})
	for i := range byte(peerCount) {
		record(m, instant(0), addr(2+i), 1, 1, nil)
	}
	now := instant(0)
	for ; now < instant(0).Add(2*departedMemory); now = now.Add(time.Second) {
		m.Expire(now, digestMaxAge)
		d := m.Divide(now)
		assert.Equal(t, d.Processes, 1+peerCount+1, "at %s", time.Duration(now))
		assert.Assert(t, !d.Share, "at %s: a process that hears from none has a share", time.Duration(now))
	}
	assert.Equal(t, m.PeerCount(), 0)
	assert.Equal(t, m.Divide(instant(0).Add(countedMemory+time.Second)).Processes, 1+2, "only the seeds are left")
}

// isolated is time for the digests of isolated peers to expire.
const isolated = domain.Instant(2 * isolationGracePeriod)

// Peers are told of news at once, among them a later configuration: one that doesn't hear of it from the
// store has little time to apply it.
func TestDigestsWithNewsAreSentAtOnce(t *testing.T) {
	e := &Exchange{lastVersion: 7, lastDigest: placement.PeerDigest{Limits: []placement.PeerLimit{{Endpoint: 1, PerSecond: 2, Age: time.Second}}}}
	same := e.lastDigest
	same.Limits = []placement.PeerLimit{{Endpoint: 1, PerSecond: 2, Age: 2 * time.Second}}
	same.PrefillDemands = []placement.PeerPrefillDemand{{Service: 1}}
	assert.Assert(t, !e.changed(same, 7))
	assert.Assert(t, e.changed(same, 8))
	for name, change := range map[string]func(*placement.PeerDigest){
		"load":    func(d *placement.PeerDigest) { d.Loads = []placement.PeerLoad{{Endpoint: 1}} },
		"part":    func(d *placement.PeerDigest) { d.Parts = []placement.PeerPart{{Endpoint: 1}} },
		"blocked": func(d *placement.PeerDigest) { d.Levels = []placement.PeerLevel{{Service: 1}} },
		"leaving": func(d *placement.PeerDigest) { d.Leavings = []placement.PeerLeaving{{Endpoint: 1}} },
		"limit":   func(d *placement.PeerDigest) { d.Limits = nil },
	} {
		changed := same
		change(&changed)
		assert.Assert(t, e.changed(changed, 7), name)
	}
}

func TestDigestRoundTrip(t *testing.T) {
	want := placement.PeerDigest{
		Loads:          []placement.PeerLoad{{Endpoint: 7, InFlight: 1, Decoding: 2, Backlog: placement.Backlog{0: 3, 9: 4}, Memory: 5, Given: 6, Gap: 7 * time.Millisecond}},
		PrefillDemands: []placement.PeerPrefillDemand{{Service: 8, TokensPerSecond: 9, SetAside: 10}},
		Levels:         []placement.PeerLevel{{Service: 20, Level: 9, Requests: 21, Blocked: 22, Lost: 24, PrefillTokens: 1 << 40, Pressure: 1.5, Starving: true}, {Service: 23}},
		Parts:          []placement.PeerPart{{Endpoint: 11, Part: 12}},
		Limits:         []placement.PeerLimit{{Endpoint: 13, PerSecond: 1.7, Age: 14 * time.Millisecond}, {Endpoint: 15, PerSecond: -1}, {Endpoint: 16, PerSecond: 0}},
		Leavings:       []placement.PeerLeaving{{Endpoint: 17, Start: 1796375105833, Age: 18 * time.Millisecond}, {Endpoint: 19}},
	}
	var d pb.Digest
	encodeDigest(&d, want)
	got, ok := decode(&d)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, want)
}

func TestStreamMessageRoundTrip(t *testing.T) {
	want := StreamMessage{
		Begun: []streamversions.Record{{Stream: 1, Version: 2, Left: 3 * time.Millisecond}, {Stream: 1 << 63, Version: 0}},
		Asked: []StreamQuestion{{Stream: 4, Service: 5}},
		Answers: []StreamAnswer{
			{Stream: 6, Answer: streamversions.Answer{Known: true, Version: 7}}, {Stream: 8, Answer: streamversions.Answer{State: streamversions.StateSole, Version: 9}},
			{Stream: 10, Answer: streamversions.Answer{State: streamversions.StateMixed}}, {Stream: 11, Answer: streamversions.Answer{Version: 12}},
		},
	}
	got, ok := decodeStreams(encodeStreams(want))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, want)
	for _, invalid := range []*pb.Streams{{Begun: []uint64{1}}, {Begun: []uint64{1}, BegunVersion: []uint32{1}}, {AskedService: []uint32{1}}, {Answered: []uint64{1}, AnsweredVersion: []uint32{1}}} {
		_, ok := decodeStreams(invalid)
		assert.Assert(t, !ok)
	}
}

// Processes that don't know stream messages ignore them as old digests.
func TestStreamMessageIsAnOldDigest(t *testing.T) {
	m := NewMembers(addr(1), 0, nil)
	newer, joined := record(m, instant(0), addr(2), 0, 0, nil)
	assert.Assert(t, !newer && !joined)
}

func TestRegistryChangesRoundTrip(t *testing.T) {
	want := registryrelay.Changes{Era: 2, From: 5, To: 9, Doubted: true, Rows: []registryrelay.Row{{Key: "a", Version: 6, Value: []byte("x")}, {Key: "b", Version: 9, Removed: true}}}
	got, ok := decodeRegistry(encodeRegistry(want))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, want)
}
