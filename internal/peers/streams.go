package peers

import (
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/peers/pb"
	"github.com/dunlinpulley/dunlinpulley/internal/streamversions"
)

// StreamMessage is what one process tells or asks another of streams that callers may take up.
type StreamMessage struct {
	Begun   []streamversions.Record
	Asked   []StreamQuestion
	Answers []StreamAnswer
}

// StreamQuestion asks at which version a stream began.
type StreamQuestion struct {
	Stream streamversions.Stream
	// Service is the low 32 bits of the hash of the name of the stream's service.
	Service uint32
}

// StreamAnswer answers a StreamQuestion.
type StreamAnswer struct {
	Stream streamversions.Stream
	Answer streamversions.Answer
}

// maxStreamsPerDatagram bounds the streams in one datagram, which take 24 bytes each at most.
const maxStreamsPerDatagram = 300

// SendStreams sends a message to a peer. Delivery is best-effort.
func (e *Exchange) SendStreams(peer netip.Addr, m StreamMessage) {
	for len(m.Begun) > maxStreamsPerDatagram {
		e.sendStreams(peer, StreamMessage{Begun: m.Begun[:maxStreamsPerDatagram]})
		m.Begun = m.Begun[maxStreamsPerDatagram:]
	}
	e.sendStreams(peer, m)
}

func (e *Exchange) sendStreams(peer netip.Addr, m StreamMessage) {
	e.sendTo([]netip.Addr{peer}, &pb.Digest{Streams: encodeStreams(m)})
}

func encodeStreams(m StreamMessage) *pb.Streams {
	s := &pb.Streams{}
	for _, r := range m.Begun {
		s.Begun = append(s.Begun, uint64(r.Stream))
		s.BegunVersion = append(s.BegunVersion, uint32(r.Version))
		s.BegunLeft = append(s.BegunLeft, uint32(max(r.Left.Milliseconds(), 0)))
	}
	for _, q := range m.Asked {
		s.Asked = append(s.Asked, uint64(q.Stream))
		s.AskedService = append(s.AskedService, q.Service)
	}
	for _, a := range m.Answers {
		s.Answered = append(s.Answered, uint64(a.Stream))
		s.Knowledge = append(s.Knowledge, knowledgeOf(a.Answer))
		s.AnsweredVersion = append(s.AnsweredVersion, uint32(a.Answer.Version))
	}
	return s
}

func knowledgeOf(a streamversions.Answer) pb.Knowledge {
	switch {
	case a.Known:
		return pb.Knowledge_KNOWLEDGE_STREAM
	case a.State == streamversions.StateSole:
		return pb.Knowledge_KNOWLEDGE_SOLE
	case a.State == streamversions.StateMixed:
		return pb.Knowledge_KNOWLEDGE_MIXED
	default:
		return pb.Knowledge_KNOWLEDGE_UNSURE
	}
}

// decodeStreams returns the message of a peer, or false if its lists differ in length.
func decodeStreams(s *pb.Streams) (StreamMessage, bool) {
	if len(s.BegunVersion) != len(s.Begun) || len(s.BegunLeft) != len(s.Begun) || len(s.AskedService) != len(s.Asked) ||
		len(s.Knowledge) != len(s.Answered) || len(s.AnsweredVersion) != len(s.Answered) {
		return StreamMessage{}, false
	}
	var m StreamMessage
	for i, stream := range s.Begun {
		m.Begun = append(m.Begun, streamversions.Record{
			Stream: streamversions.Stream(stream), Version: streamversions.Version(s.BegunVersion[i]), Left: time.Duration(s.BegunLeft[i]) * time.Millisecond,
		})
	}
	for i, stream := range s.Asked {
		m.Asked = append(m.Asked, StreamQuestion{Stream: streamversions.Stream(stream), Service: s.AskedService[i]})
	}
	for i, stream := range s.Answered {
		a := streamversions.Answer{Version: streamversions.Version(s.AnsweredVersion[i])}
		switch s.Knowledge[i] {
		case pb.Knowledge_KNOWLEDGE_STREAM:
			a.Known = true
		case pb.Knowledge_KNOWLEDGE_SOLE:
			a.State = streamversions.StateSole
		case pb.Knowledge_KNOWLEDGE_MIXED:
			a.State = streamversions.StateMixed
		default:
			a.State = streamversions.StateUnsure
		}
		m.Answers = append(m.Answers, StreamAnswer{Stream: streamversions.Stream(stream), Answer: a})
	}
	return m, true
}

// handleStreams passes a peer's message to the handler.
func (e *Exchange) handleStreams(from netip.Addr, s *pb.Streams) error {
	m, ok := decodeStreams(s)
	if !ok {
		return errors.New("lists of streams differ in length")
	}
	e.handler.PeerStreams(from, m)
	return nil
}
