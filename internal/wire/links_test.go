package wire

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// recorder records events as text lines. A test that waits for a missing line is
// ended by the timeout of go test.
type recorder struct {
	lines chan string
	// delay is the duration of down. It exposes an up that is delivered before the
	// preceding down has returned.
	delay atomic.Int64 // nanoseconds
}

func newRecorder() *recorder { return &recorder{lines: make(chan string, 4096)} }

// describe returns the kind of a message and the value of its first field.
func describe(m proto.Message) string {
	kind := m.ProtoReflect().WhichOneof(m.ProtoReflect().Descriptor().Oneofs().ByName("kind"))
	inner := m.ProtoReflect().Get(kind).Message()
	return fmt.Sprint(kind.Name(), " ", inner.Get(inner.Descriptor().Fields().ByNumber(1)))
}

func (r *recorder) up(id string, inc domain.Incarnation) {
	r.lines <- fmt.Sprintf("up %s/%d", id, inc)
}

func (r *recorder) down(id string) {
	time.Sleep(time.Duration(r.delay.Load()))
	r.lines <- "down " + id
}

func (r *recorder) AgentUp(id domain.EndpointID, inc domain.Incarnation) { r.up(string(id), inc) }
func (r *recorder) AgentDown(id domain.EndpointID)                       { r.down(string(id)) }
func (r *recorder) OnAgentMessage(id domain.EndpointID, m *pb.ToEntry) {
	r.lines <- describe(m) + " from " + string(id)
}
func (r *recorder) EntryUp(id domain.EntryID, inc domain.Incarnation) { r.up(string(id), inc) }
func (r *recorder) EntryDown(id domain.EntryID, inc domain.Incarnation) {
	r.down(fmt.Sprintf("%s/%d", id, inc))
}
func (r *recorder) OnEntryMessage(id domain.EntryID, inc domain.Incarnation, m *pb.ToAgent) {
	r.lines <- fmt.Sprintf("%s from %s/%d", describe(m), id, inc)
}
func (r *recorder) PeerUp(id domain.EntryID, inc domain.Incarnation) { r.up(string(id), inc) }
func (r *recorder) PeerDown(id domain.EntryID)                       { r.down(string(id)) }
func (r *recorder) OnPeerMessage(id domain.EntryID, m *pb.ToPeer) {
	r.lines <- describe(m) + " from " + string(id)
}

// expect checks the next lines and waits for them.
func (r *recorder) expect(t *testing.T, want ...string) {
	t.Helper()
	for _, w := range want {
		assert.Equal(t, <-r.lines, w)
	}
}

func identity(name string, inc domain.Incarnation) Identity {
	return Identity{Name: name, Incarnation: inc, Revision: func() domain.Revision { return 1 }}
}

// shortBackoff keeps the pauses before a link is dialled again short.
var shortBackoff = Options{BackoffMin: time.Millisecond, BackoffMax: 5 * time.Millisecond}

func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// agent is an agent that serves links and records their events.
type agent struct {
	*recorder
	links   *EntryLinks
	address string
	stop    func()
}

func startAgent(t *testing.T, inc domain.Incarnation, address string) *agent {
	t.Helper()
	a := &agent{recorder: newRecorder()}
	a.links = NewEntryLinks(identity("engine-1", inc), a, shortBackoff)
	listener := listen(t, address)
	a.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- a.links.Serve(ctx, listener) }()
	a.stop = sync.OnceFunc(func() {
		cancel()
		assert.NilError(t, <-served)
		a.links.Close()
	})
	t.Cleanup(a.stop)
	return a
}

func startEntry(t *testing.T, inc domain.Incarnation, address string, change ...func(*Options)) (*recorder, *AgentLinks) {
	t.Helper()
	r := newRecorder()
	opts := shortBackoff
	for _, f := range change {
		f(&opts)
	}
	links := NewAgentLinks(identity("entry-1", inc), r, opts)
	t.Cleanup(links.Close)
	assert.NilError(t, links.SetTargets([]AgentTarget{{ID: "engine-1", Address: address}}))
	return r, links
}

func reserve(call uint64) *pb.ToAgent {
	return &pb.ToAgent{Kind: &pb.ToAgent_Reserve{Reserve: &pb.Reserve{Call: call}}}
}

func handOver(call uint64) *pb.ToAgent {
	return &pb.ToAgent{Kind: &pb.ToAgent_HandOver{HandOver: &pb.HandOver{Call: call}}}
}

func grant(call uint64) *pb.ToEntry {
	return &pb.ToEntry{Kind: &pb.ToEntry_Grant{Grant: &pb.Grant{Call: call}}}
}

func frame(call uint64) *pb.ToEntry {
	return &pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: &pb.Frame{Call: call, Part: &pb.Frame_End{End: &pb.End{}}}}}
}

func TestAgentMessagesBothWays(t *testing.T) {
	a := startAgent(t, 7, "127.0.0.1:0")
	r, links := startEntry(t, 3, a.address)
	r.expect(t, "up engine-1/7")
	a.expect(t, "up entry-1/3")
	links.Send("engine-1", reserve(1))
	a.expect(t, "reserve 1 from entry-1/3")
	links.Send("engine-1", handOver(2))
	a.expect(t, "hand_over 2 from entry-1/3")
	a.links.Send("entry-1", 3, grant(5))
	r.expect(t, "grant 5 from engine-1")
	a.links.Send("entry-1", 3, frame(6))
	r.expect(t, "frame 6 from engine-1")
	assert.Equal(t, links.Dropped()+a.links.Dropped(), uint64(0))
	links.Close()
	r.expect(t, "down engine-1")
	a.expect(t, "down entry-1/3")
}
