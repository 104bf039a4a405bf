package peers

import (
	"net/netip"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/usage"
)

// usageHandler records what peers tell of usage.
type usageHandler struct {
	unexpectedDigestHandler
	news     usage.News
	known    bool
	messages []usage.Message
}

func (h *usageHandler) LeaseNews() (usage.News, bool) { return h.news, h.known }

func (h *usageHandler) PeerUsage(_ netip.Addr, m usage.Message) { h.messages = append(h.messages, m) }

// sentDatagrams is a socket that keeps what is sent.
type sentDatagrams struct{ list [][]byte }

func (s *sentDatagrams) WriteToUDPAddrPort(datagram []byte, _ netip.AddrPort) (int, error) {
	s.list = append(s.list, datagram)
	return len(datagram), nil
}

// Guards against counts and states of the lease that change on their way, and against digests that differ where usage
// is not reported.
func TestUsageOnTheWire(t *testing.T) {
	sender, receiver := &usageHandler{unexpectedDigestHandler: unexpectedDigestHandler{t}}, &usageHandler{unexpectedDigestHandler: unexpectedDigestHandler{t}}
	from := NewExchange(netip.AddrPortFrom(addr(1), 99), "a", nil, sender)
	to := NewExchange(netip.AddrPortFrom(addr(2), 99), "a", nil, receiver)
	now := time.Now()
	from.clock = func() time.Time { return now }
	wire := &sentDatagrams{}
	from.attach(wire)

	assert.Assert(t, from.message().Lease == nil)
	m := usage.Message{Start: 5, Window: 353445120, Version: 7, Ended: true, Counts: map[usage.Account]uint32{1: 412, 2: 11}}
	ack := usage.Message{Start: 5, Window: 353445120, Version: 7, Acknowledges: true, Counts: map[usage.Account]uint32{}}
	from.SendUsage(addr(2), m)
	from.SendUsage(addr(2), ack)
	for _, datagram := range wire.list {
		assert.NilError(t, to.handleDatagram(from.address, datagram))
	}
	assert.DeepEqual(t, receiver.messages, []usage.Message{m, ack})
	assert.Assert(t, len(wire.list[0]) < 48, "%d bytes", len(wire.list[0]))

	told := 0
	for _, sender.news = range []usage.News{{Token: 1<<32 + 3, Holder: addr(1), Window: 353445120}, {Token: 1<<32 + 3, Window: 353445121}} {
		sender.known = true
		d := from.message()
		datagram, err := proto.Marshal(d)
		assert.NilError(t, err)
		var received pb.Digest
		assert.NilError(t, proto.Unmarshal(datagram, &received))
		assert.Equal(t, decodeLease(received.Lease), sender.news)
		told++
	}
	now = now.Add(2 * leaseTime)
	for range leaseInterval {
		if from.message().Lease != nil {
			told++
		}
	}
	assert.Equal(t, told, 3)
	assert.ErrorContains(t, to.handleUsage(addr(1), &pb.Usage{Account: []uint32{1}}), "1 accounts has 0 counts")
}
