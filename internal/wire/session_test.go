package wire

import (
	"io"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// delayedStream returns one message immediately and a second one after its session
// was terminated.
type delayedStream struct {
	first    *pb.ToEntry
	stop     chan struct{}
	received int
}

func (s *delayedStream) Send(*pb.ToAgent) error { return nil }

func (s *delayedStream) Recv() (*pb.ToEntry, error) {
	s.received++
	switch s.received {
	case 1:
		return s.first, nil
	case 2:
		<-s.stop
		return grant(2), nil
	}
	return nil, io.EOF
}

func TestMessagesAfterTerminationAreDropped(t *testing.T) {
	delayed := &delayedStream{first: grant(1)}
	ss := &sessionStream[*pb.ToAgent, *pb.ToEntry]{stream: delayed, closeTransport: func() {}, queue: newQueue[*pb.ToAgent](Options{})}
	s := newSession("engine-1", 7, []*sessionStream[*pb.ToAgent, *pb.ToEntry]{ss})
	delayed.stop = s.stop
	var lines []string
	err := s.run(handlers[*pb.ToEntry]{
		up:   func() { lines = append(lines, "up") },
		down: func() { lines = append(lines, "down") },
		receive: func(*pb.ToEntry) {
			lines = append(lines, "message")
			s.terminate(errClosedLocally)
		},
	})
	assert.ErrorIs(t, err, errClosedLocally)
	assert.DeepEqual(t, lines, []string{"up", "message", "down"})
	assert.Assert(t, !s.send(0, reserve(1)))

	// A session that was terminated before run calls no handler.
	assert.ErrorIs(t, s.run(handlers[*pb.ToEntry]{}), errClosedLocally)
}

func TestInvalidHellosAreRejected(t *testing.T) {
	hello := func(h *pb.Hello) *pb.ToEntry { return &pb.ToEntry{Kind: &pb.ToEntry_Hello{Hello: h}} }
	for message, want := range map[*pb.ToEntry]string{
		grant(1): "not a hello",
		hello(&pb.Hello{Name: "a", Incarnation: 1, Protocol: ProtocolVersion + 1}): "protocol version 2, want 1",
		hello(&pb.Hello{Incarnation: 1, Protocol: ProtocolVersion}):                "without name",
		hello(&pb.Hello{Name: "a", Protocol: ProtocolVersion}):                     "without name or incarnation",
	} {
		_, _, err := entryToAgent.receiveHello(&delayedStream{first: message})
		assert.ErrorContains(t, err, want)
	}
}

func TestMessageRouting(t *testing.T) {
	assert.Equal(t, entryToAgent.route(handOver(1)), answerStream)
	assert.Equal(t, entryToAgent.route(&pb.ToAgent{Kind: &pb.ToAgent_Ack{}}), answerStream)
	assert.Equal(t, entryToAgent.route(reserve(1)), controlStream)
	assert.Equal(t, agentToEntry.route(frame(1)), answerStream)
	assert.Equal(t, agentToEntry.route(&pb.ToEntry{Kind: &pb.ToEntry_HandOverReply{}}), answerStream)
	assert.Equal(t, agentToEntry.route(grant(1)), controlStream)
}

func TestStreamGrouping(t *testing.T) {
	a := newAcceptor(agentToEntry, identity("engine-1", 7), Options{}, peerEvents[*pb.ToAgent]{})
	closed := map[string]bool{}
	join := func(name string, inc domain.Incarnation, dialNumber uint64, index int) (bool, error) {
		ss := &sessionStream[*pb.ToEntry, *pb.ToAgent]{closeTransport: func() { closed[name] = true }}
		_, complete, err := a.join("entry-1", groupID{incarnation: inc, dialNumber: dialNumber}, ss, index)
		return complete, err
	}
	steps := []struct {
		name       string
		inc        domain.Incarnation
		dialNumber uint64
		index      int
		complete   bool
		err        error
	}{
		{"old control", 3, 1, controlStream, false, nil},
		{"new control", 3, 2, controlStream, false, nil},
		{"late answers of the old group", 3, 1, answerStream, false, errSuperseded},
		{"second control of the new group", 3, 2, controlStream, false, errSuperseded},
		{"new answers", 3, 2, answerStream, true, nil},
		{"older incarnation", 2, 9, controlStream, false, errSuperseded},
		{"newer incarnation", 4, 1, answerStream, false, nil},
		{"control of the newer incarnation", 4, 1, controlStream, true, nil},
	}
	for _, s := range steps {
		complete, err := join(s.name, s.inc, s.dialNumber, s.index)
		assert.ErrorIs(t, err, s.err, s.name)
		assert.Equal(t, complete, s.complete, s.name)
	}
	assert.DeepEqual(t, closed, map[string]bool{"old control": true, "new control": true, "new answers": true})
	assert.Assert(t, a.findSession("entry-1", 3) == nil)
	assert.Assert(t, a.findSession("entry-1", 4) != nil)
}
