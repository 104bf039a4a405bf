package wire

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"storj.io/drpc/drpcmetadata"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// clientBytes returns the bytes that a client sends to open a peer stream and send
// messages on it.
func clientBytes(dialNumber string, messages ...*pb.ToPeer) []byte {
	var out []byte
	id := drpcwire.ID{Stream: 1}
	frame := func(kind drpcwire.Kind, data []byte) {
		id.Message++
		out = drpcwire.AppendFrame(out, drpcwire.Frame{ID: id, Kind: kind, Data: data, Done: true})
	}
	meta, _ := drpcmetadata.Encode(nil, map[string]string{dialNumberKey: dialNumber})
	frame(drpcwire.KindInvokeMetadata, meta)
	frame(drpcwire.KindInvoke, []byte("/dunlinpulley.wire.v1.Entry/Peers"))
	for _, m := range messages {
		data, _ := proto.Marshal(m)
		frame(drpcwire.KindMessage, data)
	}
	return out
}

// serveBytes serves a connection on which a client sends data and then calls
// after, until the connection is closed.
func serveBytes(t *testing.T, links *PeerLinks, data []byte, after func(net.Conn)) {
	mux := drpcmux.New()
	assert.NilError(t, pb.DRPCRegisterEntry(mux, entryServer{peers: links.acceptor, loans: links.loans.acceptor}))
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions(links.acceptor.opts)})
	clientConn, serverConn := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, clientConn) }()
	go func() {
		_, _ = clientConn.Write(data)
		after(clientConn)
	}()
	_ = server.ServeOne(context.Background(), serverConn)
}

// serveBytes returns only once the connection is closed, so this test blocks if a
// client that sends no Hello is not disconnected.
func TestStreamWithoutHelloIsClosed(t *testing.T) {
	links := NewPeerLinks(identity("b", 1), newRecorder(), Options{HelloTimeout: 20 * time.Millisecond})
	serveBytes(t, links, clientBytes("1"), func(net.Conn) {})
}

// FuzzAcceptedBytes sends arbitrary bytes to the accepting side. Up and down must
// alternate, messages must be of known kinds and arrive only between up and down,
// and no state of the connection may be left once it is closed.
func FuzzAcceptedBytes(f *testing.F) {
	hello := &pb.ToPeer{Kind: &pb.ToPeer_Hello{Hello: &pb.Hello{Name: "a", Incarnation: 5, Protocol: ProtocolVersion}}}
	loan := &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: &pb.ShareLoan{Loan: 1}}}
	f.Add(clientBytes("1", hello, loan, hello, &pb.ToPeer{}, loan))
	f.Add(clientBytes("1", loan, hello))
	f.Add(clientBytes("-1", hello))
	f.Add(clientBytes("1", &pb.ToPeer{Kind: &pb.ToPeer_Hello{Hello: &pb.Hello{Name: "a", Incarnation: 5}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := newRecorder()
		events.lines = make(chan string, len(data)+2)
		links := NewPeerLinks(identity("b", 1), events, Options{})
		serveBytes(t, links, data, func(clientConn net.Conn) { clientConn.Close() })
		links.Close()
		assert.Equal(t, len(links.acceptor.peers), 0)
		close(events.lines)
		up := false
		for line := range events.lines {
			isUp, isDown := strings.HasPrefix(line, "up "), strings.HasPrefix(line, "down ")
			assert.Equal(t, up, !isUp, line)
			up = !isDown
		}
		assert.Assert(t, !up)
	})
}

// FuzzMessages decodes arbitrary bytes as each message type. Every message that
// isDeliverable accepts must have a known kind other than Hello and be the same
// after it is encoded and decoded again.
func FuzzMessages(f *testing.F) {
	for _, m := range []proto.Message{reserve(1), handOver(2), grant(3), frame(4), &pb.ToEntry{Kind: &pb.ToEntry_Frame{Frame: &pb.Frame{}}}} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, m := range []proto.Message{&pb.ToAgent{}, &pb.ToEntry{}, &pb.ToPeer{}} {
			if proto.Unmarshal(data, m) != nil || !isDeliverable(m) {
				continue
			}
			kind := m.ProtoReflect().Descriptor().Oneofs().ByName("kind")
			field := m.ProtoReflect().WhichOneof(kind)
			assert.Assert(t, field != nil && field.Name() != "hello")
			again, err := proto.Marshal(m)
			assert.NilError(t, err)
			copied := m.ProtoReflect().New().Interface()
			assert.NilError(t, proto.Unmarshal(again, copied))
			assert.Assert(t, proto.Equal(m, copied), fmt.Sprint(m))
		}
	})
}

func TestOversizePacketIsRefused(t *testing.T) {
	opts := managerOptions(Options{})
	packet := drpcwire.AppendFrame(nil, drpcwire.Frame{
		ID: drpcwire.ID{Stream: 1, Message: 1}, Kind: drpcwire.KindMessage, Data: make([]byte, MaxMessageBytes+1), Done: true,
	})
	_, err := drpcwire.NewReaderWithOptions(bytes.NewReader(packet), opts.Reader).ReadPacket()
	assert.ErrorContains(t, err, "data overflow")
}
