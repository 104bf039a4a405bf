package wire

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmux"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// PeerTarget is another entry to which a link may be dialled.
type PeerTarget struct {
	ID domain.EntryID
	// Address is an IP address with a port.
	Address string
}

// PeerEvents receives the state and the messages of links between entries. Calls
// for one peer are sequential: PeerUp and PeerDown alternate, and messages are
// delivered only between PeerUp and PeerDown. Messages about shares of limits that
// arrive on a loan link are exempt: they are delivered at any time. A call may
// block to apply backpressure to the sender.
type PeerEvents interface {
	PeerUp(id domain.EntryID, inc domain.Incarnation)
	PeerDown(id domain.EntryID)
	OnPeerMessage(id domain.EntryID, m *pb.ToPeer)
}

// PeerLinks maintains an entry's links to other entries. Of two entries the one
// with the smaller name dials. Messages about shares of limits are also sent to
// entries without a link, over short-lived loan links: an entry borrows a part of
// another's share of a client account's limit. It is safe for concurrent use.
type PeerLinks struct {
	self     Identity
	dialer   *dialer[*pb.ToPeer, *pb.ToPeer]
	acceptor *acceptor[*pb.ToPeer, *pb.ToPeer]
	loans    *loanLinks
}

// NewPeerLinks returns PeerLinks without targets.
func NewPeerLinks(self Identity, events PeerEvents, opts Options) *PeerLinks {
	callbacks := peerEvents[*pb.ToPeer]{
		up: func(name string, inc domain.Incarnation) {
			events.PeerUp(domain.EntryID(name), inc)
		},
		down: func(name string, _ domain.Incarnation) {
			events.PeerDown(domain.EntryID(name))
		},
		receive: func(name string, _ domain.Incarnation, m *pb.ToPeer) {
			events.OnPeerMessage(domain.EntryID(name), m)
		},
	}
	l := &PeerLinks{
		self:     self,
		dialer:   newDialer(entryToPeer, self, opts, callbacks),
		acceptor: newAcceptor(entryToPeer, self, opts, callbacks),
		loans:    newLoanLinks(self, opts, callbacks),
	}
	l.acceptor.validatePeer = func(name string) error {
		if name >= self.Name {
			return errors.Newf("entry %q must be dialled by %q", name, self.Name)
		}
		return nil
	}
	return l
}

// SetTargets starts, updates and stops the links that this entry dials so that
// they match the targets. It ignores this entry and targets with smaller names,
// which dial this entry. A target whose address is not an IP address with a port
// counts as absent and is named in the error.
func (l *PeerLinks) SetTargets(targets []PeerTarget) error {
	addresses := map[string]string{}
	for _, t := range targets {
		if string(t.ID) > l.self.Name {
			addresses[string(t.ID)] = t.Address
		}
	}
	return l.dialer.setTargets(addresses)
}

// SetLenders sets the entries that loan links may be dialled to. The caller passes
// all declared entries.
func (l *PeerLinks) SetLenders(targets []PeerTarget) { l.loans.setAddresses(targets) }

// Serve accepts connections until the context is cancelled, then closes them and
// the listener and returns nil. It returns an error if the listener fails.
func (l *PeerLinks) Serve(ctx context.Context, listener net.Listener) error {
	mux := drpcmux.New()
	if err := pb.DRPCRegisterEntry(mux, entryServer{peers: l.acceptor, loans: l.loans.acceptor}); err != nil {
		return stepError(err, "register", l.self.Name)
	}
	return l.acceptor.serveDRPC(ctx, mux, listener)
}

// Send queues a message, which must not be modified afterwards. It never blocks:
// the message is dropped if the link is down, the queue is full or the message
// exceeds MaxMessageBytes. A message about shares of limits is sent over a loan
// link if the link to the peer is down.
func (l *PeerLinks) Send(peer domain.EntryID, m *pb.ToPeer) {
	name := string(peer)
	switch m.GetKind().(type) {
	case *pb.ToPeer_ShareAsk:
		if !l.isUp(name) {
			l.loans.sendRequest(name, m)
			return
		}
	case *pb.ToPeer_ShareLoan:
		if !l.isUp(name) {
			l.loans.sendReply(name, m)
			return
		}
	}
	if name > l.self.Name {
		l.dialer.send(name, m)
		return
	}
	l.acceptor.send(name, 0, m)
}

// isUp reports whether a link to a peer is up.
func (l *PeerLinks) isUp(name string) bool {
	if name > l.self.Name {
		return l.dialer.isUp(name)
	}
	return l.acceptor.findSession(name, 0) != nil
}

// Reconnect closes the link to a peer. The entry with the smaller name dials again.
func (l *PeerLinks) Reconnect(peer domain.EntryID) {
	if string(peer) > l.self.Name {
		l.dialer.reconnect(string(peer))
		return
	}
	l.acceptor.closeSession(string(peer), 0)
}

// Dropped returns the number of messages that Send dropped. It is inexact for
// requests sent while their loan link is not up yet.
func (l *PeerLinks) Dropped() uint64 {
	return l.dialer.dropped.Load() + l.acceptor.dropped.Load() + l.loans.droppedMessages()
}

// Close closes all links, rejects new ones and waits until no event is being delivered.
func (l *PeerLinks) Close() {
	l.dialer.close()
	l.acceptor.close()
	l.loans.close()
}

// entryServer implements the drpc service of an entry.
type entryServer struct {
	peers *acceptor[*pb.ToPeer, *pb.ToPeer]
	loans *acceptor[*pb.ToPeer, *pb.ToPeer]
}

// Peers serves a stream of another entry: a peer link or a loan link.
func (s entryServer) Peers(st pb.DRPCEntry_PeersStream) error {
	if isLoanStream(st.Context()) {
		return s.loans.serve(st.Context(), st, 0)
	}
	return s.peers.serve(st.Context(), st, 0)
}
