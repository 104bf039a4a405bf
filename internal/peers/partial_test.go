package peers

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
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
