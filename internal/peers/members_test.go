package peers

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

func host(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }

func at(d time.Duration) domain.Instant { return domain.Instant(d) + 1 }

func TestOldDigestsAreIgnored(t *testing.T) {
	m := NewMembers(host(1), nil)
	newer, fresh := m.Heard(at(0), host(2), 5, 10, nil)
	assert.Assert(t, newer && fresh)
	newer, _ = m.Heard(at(1), host(2), 5, 9, nil)
	assert.Assert(t, !newer, "an older sequence number")
	newer, _ = m.Heard(at(2), host(2), 4, 99, nil)
	assert.Assert(t, !newer, "an earlier life")
	newer, _ = m.Heard(at(3), host(2), 6, 1, nil)
	assert.Assert(t, newer, "a later life begins anew")
	newer, _ = m.Heard(at(3), host(1), 9, 1, nil)
	assert.Assert(t, !newer, "its own digest")
}

func TestPeersAreLearnedAndForgotten(t *testing.T) {
	m := NewMembers(host(1), []netip.Addr{host(1), host(9)})
	m.Heard(at(0), host(2), 1, 1, []netip.Addr{host(1), host(3)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{host(2), host(3), host(9)}, addresses)
	m.Expire(at(memberTime + 2*time.Second))
	assert.DeepEqual(t, m.Targets(), []netip.Addr{host(9)}, addresses)
}

func TestSilentPeerIsNotBelieved(t *testing.T) {
	m := NewMembers(host(1), nil)
	for n := byte(2); n <= 5; n++ {
		m.Heard(at(0), host(n), 1, 1, nil)
	}
	for n := byte(3); n <= 5; n++ {
		m.Heard(at(aliveTime), host(n), 1, 2, nil)
	}
	assert.DeepEqual(t, m.Expire(at(aliveTime+time.Millisecond)), []netip.Addr{host(2)}, addresses)
	assert.Assert(t, !m.CutOff())
}

// A process that hears nobody keeps what its peers told, for a while.
func TestCutOffKeepsDigests(t *testing.T) {
	m := NewMembers(host(1), nil)
	for n := byte(2); n <= 5; n++ {
		m.Heard(at(0), host(n), 1, 1, nil)
	}
	assert.Equal(t, len(m.Expire(at(2*aliveTime))), 0)
	assert.Assert(t, m.CutOff())
	assert.Equal(t, len(m.Expire(at(2*aliveTime+cutOffTime))), 4)
}

var addresses = cmpAddresses()

// The board that a damaged datagram must not reach.
type noBoard struct{ t *testing.T }

func (b noBoard) Digest() placement.PeerDigest { return placement.PeerDigest{} }

func (b noBoard) PeerDigest(peer string, _ placement.PeerDigest) {
	b.t.Errorf("a digest of %s was taken", peer)
}

func TestSeedsCanChange(t *testing.T) {
	m := NewMembers(host(1), []netip.Addr{host(1), host(2)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{host(2)}, cmpAddresses())
	m.Heard(at(0), host(4), 1, 1, nil)
	m.SetSeeds([]netip.Addr{host(3), host(1)})
	assert.DeepEqual(t, m.Targets(), []netip.Addr{host(3), host(4)}, cmpAddresses())
}

func TestDamagedDatagrams(t *testing.T) {
	e := NewExchange(netip.AddrPortFrom(host(1), 7000), nil, noBoard{t})
	e.take(host(2), []byte{0xff, 0xff, 0xff})
	_, ok := decode(&pb.Digest{Endpoint: []uint32{1, 2}, InFlight: []uint32{1}})
	assert.Assert(t, !ok)
	_, ok = decode(&pb.Digest{Service: []uint32{1}})
	assert.Assert(t, !ok)
}

func TestDigestRoundTrip(t *testing.T) {
	want := placement.PeerDigest{
		Loads:          []placement.PeerLoad{{Endpoint: 7, InFlight: 1, Decoding: 2, Unread: 3, LongPromptTokens: 4, Memory: 5, Given: 6, Gap: 7 * time.Millisecond}},
		PrefillDemands: []placement.PeerPrefillDemand{{Service: 8, TokensPerSecond: 9, SetAside: 10}},
	}
	e := &Exchange{}
	got, ok := decode(e.encode(want, nil))
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, want)
}
