package peers

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/placement"
)

// Guards against whole digests ten times a second between data centres, which were two thirds of all bytes there, and against ones that are never
// whole.
func TestDigestsElsewhereArePartial(t *testing.T) {
	n := newNetwork(8)
	for _, dataCentre := range []string{"a", "a", "b", "c"} {
		n.add(dataCentre, false)
	}
	sender := n.processes[0]
	assert.NilError(t, n.run(2*time.Second))
	whole, partial := 0, 0
	for range 2 * wholeInterval {
		sender.place(2000)
		sender.tick()
		for _, k := range n.queue {
			var d pb.Digest
			assert.NilError(t, proto.Unmarshal(k.datagram, &d))
			if n.process(k.to).dataCentre == "a" {
				assert.Assert(t, !d.Partial, "at home")
				continue
			}
			assert.Assert(t, d.ToAll)
			if d.Partial {
				partial++
			} else {
				whole++
			}
		}
		assert.NilError(t, n.run(sendInterval))
	}
	t.Logf("whole %d, partial %d", whole, partial)
	assert.Assert(t, whole >= 2 && partial > 8*whole)
}

// ownLoads are the loads of a process's own requests.
func (p *networkProcess) ownLoads() []placement.PeerLoad {
	return p.table.SumDigest(p.instant(), nil).Loads
}

// toldLoads are the loads of another process as p knows them.
func (p *networkProcess) toldLoads(other *networkProcess) []placement.PeerLoad {
	return p.table.SumDigest(p.instant(), []string{other.address.Addr().String()}).Loads
}

// Guards against receivers in other data centres whose loads differ from the sender's, and against a lost partial digest whose
// loads stay away for seconds when nothing changes any more.
func TestPartialDigestsEndInTheSendersLoads(t *testing.T) {
	n := newNetwork(8)
	for _, dataCentre := range []string{"a", "a", "b", "c"} {
		n.add(dataCentre, false)
	}
	sender, receivers := n.processes[0], n.processes[2:]
	check := func(step int) {
		want := sender.ownLoads()
		for _, r := range receivers {
			assert.DeepEqual(t, inFlight(r.toldLoads(sender)), inFlight(want))
		}
		assert.Assert(t, len(want) > 0, "step %d", step)
	}
	assert.NilError(t, n.run(2*time.Second))
	for step := range 3 * wholeInterval {
		sender.place(2000)
		if step%3 == 2 {
			sender.end()
		}
		assert.NilError(t, n.run(sendInterval))
		check(step)
	}
	// Until the rates of prefill have fallen to zero, the loads change by themselves.
	for range 2 * wholeInterval {
		sender.place(2000)
	}
	assert.NilError(t, n.run(20*time.Second))
	for lost := range wholeInterval {
		sender.end()
		n.lost = func(from, _ *networkProcess) bool { return from == sender }
		assert.NilError(t, n.run(sendInterval))
		n.lost = nil
		assert.NilError(t, n.run(unchangedInterval+sendInterval))
		check(lost)
	}
}

// inFlight returns the requests in progress by endpoint.
func inFlight(loads []placement.PeerLoad) map[uint32]int {
	counts := make(map[uint32]int)
	for _, l := range loads {
		counts[l.Endpoint] = l.InFlight
	}
	return counts
}

// Guards against the loads of a peer before its restart that stay beside those of its first partial digest.
func TestRestartVoidsLoadsOfPartialDigests(t *testing.T) {
	for _, listed := range []bool{false, true} {
		n := newNetwork(2)
		receiver, peer, other := n.add("a", false), n.add("b", false), n.add("c", false)
		hear := func(from *networkProcess, incarnation uint64, digest placement.PeerDigest, list ...ListedPeer) {
			d := &pb.Digest{Incarnation: incarnation, Sequence: 1, Format: currentFormat, DataCentre: from.exchange.dataCentre, ToAll: true}
			encodeDigest(d, digest)
			encodePeers(d, list)
			datagram, err := proto.Marshal(d)
			assert.NilError(t, err)
			assert.NilError(t, receiver.exchange.handleDatagram(from.address, datagram))
		}
		hear(peer, 1, placement.PeerDigest{Loads: []placement.PeerLoad{{Endpoint: 1, InFlight: 9}}})
		if listed {
			hear(other, 1, placement.PeerDigest{}, ListedPeer{Address: peer.address.Addr(), DataCentre: peer.exchange.dataCentre, Incarnation: 2})
		}
		hear(peer, 2, placement.PeerDigest{Loads: []placement.PeerLoad{{Endpoint: 2, InFlight: 1}}, Partial: true})
		assert.DeepEqual(t, inFlight(receiver.toldLoads(peer)), map[uint32]int{2: 1})
	}
}
