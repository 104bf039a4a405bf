package wire

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// dialNumberKey is the metadata key of the dial number. Streams that were dialled
// together for one session have the same number. It increases with each attempt to
// dial of one incarnation.
const dialNumberKey = "pair"

// The streams of a session between an entry and an agent.
const (
	controlStream = iota
	answerStream
	agentStreamCount
)

// protocol describes one side of a kind of link that sends messages of type S and
// receives messages of type R.
type protocol[S, R proto.Message] struct {
	// name is the kind of link, for logs.
	name string
	// streams is the number of streams of a session.
	streams int
	// wrapHello returns a message that contains a Hello.
	wrapHello func(*pb.Hello) S
	// hello returns the Hello in a message, or nil.
	hello func(R) *pb.Hello
	// route returns the index of the stream on which a message is sent.
	route func(S) int
	// open opens the stream with an index as a client. It is nil on a side that only accepts.
	open func(ctx context.Context, conn drpc.Conn, index int) (stream[S, R], error)
}

// entryToAgent is the entry's side of a link to an agent, which it dials.
// Hand-overs, answers and acknowledgements have a stream and thus a connection of
// their own, so that large bodies do not delay the other messages.
var entryToAgent = protocol[*pb.ToAgent, *pb.ToEntry]{
	name:      "agent",
	streams:   agentStreamCount,
	wrapHello: func(h *pb.Hello) *pb.ToAgent { return &pb.ToAgent{Kind: &pb.ToAgent_Hello{Hello: h}} },
	hello:     (*pb.ToEntry).GetHello,
	route: func(m *pb.ToAgent) int {
		switch m.GetKind().(type) {
		case *pb.ToAgent_HandOver, *pb.ToAgent_Ack:
			return answerStream
		}
		return controlStream
	},
	open: func(ctx context.Context, conn drpc.Conn, index int) (stream[*pb.ToAgent, *pb.ToEntry], error) {
		client := pb.NewDRPCAgentClient(conn)
		if index == answerStream {
			return client.Answers(ctx)
		}
		return client.Control(ctx)
	},
}

// agentToEntry is the agent's side of a link from an entry.
var agentToEntry = protocol[*pb.ToEntry, *pb.ToAgent]{
	name:      "entry",
	streams:   agentStreamCount,
	wrapHello: func(h *pb.Hello) *pb.ToEntry { return &pb.ToEntry{Kind: &pb.ToEntry_Hello{Hello: h}} },
	hello:     (*pb.ToAgent).GetHello,
	route: func(m *pb.ToEntry) int {
		switch m.GetKind().(type) {
		case *pb.ToEntry_HandOverReply, *pb.ToEntry_Frame:
			return answerStream
		}
		return controlStream
	},
}

// entryToPeer is either side of a link between two entries.
var entryToPeer = protocol[*pb.ToPeer, *pb.ToPeer]{
	name:      "peer",
	streams:   1,
	wrapHello: func(h *pb.Hello) *pb.ToPeer { return &pb.ToPeer{Kind: &pb.ToPeer_Hello{Hello: h}} },
	hello:     (*pb.ToPeer).GetHello,
	route:     func(*pb.ToPeer) int { return 0 },
	open: func(ctx context.Context, conn drpc.Conn, _ int) (stream[*pb.ToPeer, *pb.ToPeer], error) {
		return pb.NewDRPCEntryClient(conn).Peers(ctx)
	},
}

// newHello returns the Hello of this process.
func newHello(self Identity) *pb.Hello {
	return &pb.Hello{
		Name:        self.Name,
		Incarnation: uint64(self.Incarnation),
		Revision:    uint64(self.Revision()),
		Protocol:    ProtocolVersion,
	}
}

// receiveHello receives the first message of a stream and returns the peer's name
// and incarnation. It returns an error if the message is not a valid Hello of
// this protocol version.
func (p protocol[S, R]) receiveHello(s stream[S, R]) (string, domain.Incarnation, error) {
	m, err := s.Recv()
	if err != nil {
		return "", 0, err
	}
	hello := p.hello(m)
	if hello == nil {
		return "", 0, errors.New("first message is not a hello")
	}
	if hello.GetProtocol() != ProtocolVersion {
		return "", 0, errors.Newf("protocol version %d, want %d", hello.GetProtocol(), ProtocolVersion)
	}
	if hello.GetName() == "" || hello.GetIncarnation() == 0 {
		return "", 0, errors.New("hello without name or incarnation")
	}
	return hello.GetName(), domain.Incarnation(hello.GetIncarnation()), nil
}

// isDeliverable reports whether a decoded message is of a known kind other than
// Hello, and not a Frame without a part. Kinds that a later release has added under
// the same ProtocolVersion decode as no kind.
func isDeliverable(m proto.Message) bool {
	switch m := m.(type) {
	case *pb.ToAgent:
		return m.GetKind() != nil && m.GetHello() == nil
	case *pb.ToEntry:
		frame := m.GetFrame()
		if frame != nil && frame.GetPart() == nil {
			return false
		}
		return m.GetKind() != nil && m.GetHello() == nil
	case *pb.ToPeer:
		return m.GetKind() != nil && m.GetHello() == nil
	}
	return false
}
