package wire

import (
	"context"
	"net"

	"storj.io/drpc/drpcmux"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// EntryEvents receives the state and the messages of an agent's links to entries.
// Calls for one entry are sequential: EntryUp and EntryDown alternate, and
// messages are delivered only between EntryUp and EntryDown. A call may block to
// apply backpressure to the sender.
type EntryEvents interface {
	EntryUp(id domain.EntryID, inc domain.Incarnation)
	EntryDown(id domain.EntryID, inc domain.Incarnation)
	OnEntryMessage(id domain.EntryID, inc domain.Incarnation, m *pb.ToAgent)
}

// EntryLinks serves the links that entries dial to an agent. It is safe for
// concurrent use.
type EntryLinks struct {
	acceptor *acceptor[*pb.ToEntry, *pb.ToAgent]
}

// NewEntryLinks returns EntryLinks. Call Serve to accept links.
func NewEntryLinks(self Identity, events EntryEvents, opts Options) *EntryLinks {
	return &EntryLinks{acceptor: newAcceptor(agentToEntry, self, opts, peerEvents[*pb.ToAgent]{
		up: func(name string, inc domain.Incarnation) {
			events.EntryUp(domain.EntryID(name), inc)
		},
		down: func(name string, inc domain.Incarnation) {
			events.EntryDown(domain.EntryID(name), inc)
		},
		receive: func(name string, inc domain.Incarnation, m *pb.ToAgent) {
			events.OnEntryMessage(domain.EntryID(name), inc, m)
		},
	})}
}

// Serve accepts connections until the context is cancelled, then closes them and
// the listener and returns nil. It returns an error if the listener fails.
func (l *EntryLinks) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterAgent(mux, agentServer{l.acceptor}); err != nil {
		return stepError(err, "register", l.acceptor.self.Name)
	}
	return l.acceptor.serveDRPC(ctx, mux, listener)
}

// Send queues a message, which must not be modified afterwards. It never blocks:
// the message is dropped if that incarnation of the entry has no link, the queue
// is full or the message exceeds MaxMessageBytes.
func (l *EntryLinks) Send(entry domain.EntryID, inc domain.Incarnation, m *pb.ToEntry) {
	l.acceptor.send(string(entry), inc, m)
}

// Disconnect closes the link of an entry's incarnation, if any.
func (l *EntryLinks) Disconnect(entry domain.EntryID, inc domain.Incarnation) {
	l.acceptor.closeSession(string(entry), inc)
}

// Dropped returns the number of messages that Send dropped.
func (l *EntryLinks) Dropped() uint64 { return l.acceptor.dropped.Load() }

// Close closes all links, rejects new ones and waits until no event is being delivered.
func (l *EntryLinks) Close() { l.acceptor.close() }

// agentServer implements the drpc service of an agent.
type agentServer struct {
	acceptor *acceptor[*pb.ToEntry, *pb.ToAgent]
}

// Control serves the control stream of an entry.
func (s agentServer) Control(st pb.DRPCAgent_ControlStream) error {
	return s.acceptor.serve(st.Context(), st, controlStream)
}

// Answers serves the answer stream of an entry.
func (s agentServer) Answers(st pb.DRPCAgent_AnswersStream) error {
	return s.acceptor.serve(st.Context(), st, answerStream)
}
