package wire

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmetadata"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// purposeKey is the metadata key of the purpose of a stream between entries.
	purposeKey = "purpose"
	// purposeLoans is the purpose of a loan link: messages about shares of limits only.
	purposeLoans = "loans"
	// loanLinkLifetime is the age at which a loan link is closed and its undelivered
	// messages are dropped. It is well below policy.LoanRequestTimeout, so that no reply to a
	// request for a share is delivered after that time.
	loanLinkLifetime = 2 * time.Second
	// maxLoanLinks is the maximum number of loan links dialled by an entry that exist
	// at the same time. Requests to further entries are dropped.
	maxLoanLinks = 64
)

// loanProtocol is either side of a loan link. It is entryToPeer with the purpose of
// the stream in its metadata.
var loanProtocol = protocol[*pb.ToPeer, *pb.ToPeer]{
	name:      "loan",
	streams:   1,
	wrapHello: entryToPeer.wrapHello,
	hello:     entryToPeer.hello,
	route:     entryToPeer.route,
	open: func(ctx context.Context, conn drpc.Conn, _ int) (stream[*pb.ToPeer, *pb.ToPeer], error) {
		return pb.NewDRPCEntryClient(conn).Peers(drpcmetadata.Add(ctx, purposeKey, purposeLoans))
	},
}

// isLoanStream reports whether an accepted stream belongs to a loan link.
func isLoanStream(ctx context.Context) bool {
	meta, _ := drpcmetadata.Get(ctx)
	return meta[purposeKey] == purposeLoans
}

// loanLinks transfers requests for shares of limits, and the replies to them,
// between entries that have no peer link. The limit of a client account is divided
// among the entries. An entry may borrow a part of another entry's share: it sends
// a ShareAsk, and the lender replies with a ShareLoan. The borrower dials.
type loanLinks struct {
	dialer   *dialer[*pb.ToPeer, *pb.ToPeer]
	acceptor *acceptor[*pb.ToPeer, *pb.ToPeer]
	dropped  atomic.Uint64 // requests for which no link could be dialled

	mu        sync.Mutex
	addresses map[string]string       // address of each entry that may be dialled
	dialled   map[string]string       // address of each link, by entry
	pending   map[string][]*pb.ToPeer // messages to send when the link is up, by entry
}

func newLoanLinks(self Identity, opts Options, events peerEvents[*pb.ToPeer]) *loanLinks {
	l := &loanLinks{addresses: map[string]string{}, dialled: map[string]string{}, pending: map[string][]*pb.ToPeer{}}
	callbacks := events
	callbacks.up = func(string, domain.Incarnation) {}
	callbacks.down = func(string, domain.Incarnation) {}
	l.acceptor = newAcceptor(loanProtocol, self, opts, callbacks)
	callbacks.up = func(name string, _ domain.Incarnation) { l.sendPending(name) }
	l.dialer = newDialer(loanProtocol, self, opts, callbacks)
	return l
}

// setAddresses sets the entries that may be dialled.
func (l *loanLinks) setAddresses(targets []PeerTarget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addresses = map[string]string{}
	for _, t := range targets {
		l.addresses[string(t.ID)] = t.Address
	}
}

// sendRequest sends a message to an entry. It dials a link first if there is none.
// The message is dropped if the entry has no known address or maxLoanLinks exist.
func (l *loanLinks) sendRequest(name string, m *pb.ToPeer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.dialled[name]; ok {
		if !l.dialer.send(name, m) {
			l.pending[name] = append(l.pending[name], m)
		}
		return
	}
	address, known := l.addresses[name]
	if !known || len(l.dialled) >= maxLoanLinks {
		l.dropped.Add(1)
		return
	}
	l.dialled[name] = address
	l.pending[name] = []*pb.ToPeer{m}
	l.updateTargetsLocked(name)
	time.AfterFunc(loanLinkLifetime, func() { l.expire(name) })
}

// updateTargetsLocked updates the dialer's links after a change of dialled for an entry.
func (l *loanLinks) updateTargetsLocked(name string) {
	if err := l.dialer.setTargets(l.dialled); err != nil {
		klog.V(1).InfoS("failed to update loan links", "peer", name, "error", err)
	}
}

// sendPending sends the messages that were queued until the link to an entry was up.
func (l *loanLinks) sendPending(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.pending[name] {
		l.dialer.send(name, m)
	}
	delete(l.pending, name)
}

// expire closes the link to an entry and drops its pending messages.
func (l *loanLinks) expire(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.dialled, name)
	delete(l.pending, name)
	l.updateTargetsLocked(name)
}

// sendReply sends a message on the link that an entry has dialled for its request.
func (l *loanLinks) sendReply(name string, m *pb.ToPeer) {
	l.acceptor.send(name, 0, m)
}

// droppedMessages returns the number of messages that could not be queued on a link
// that is up. It does not count the request for which a link is dialled, even if
// the link never comes up. It counts further requests made before the link is up,
// even if they are sent later.
func (l *loanLinks) droppedMessages() uint64 {
	return l.dropped.Load() + l.dialer.dropped.Load() + l.acceptor.dropped.Load()
}

func (l *loanLinks) close() {
	l.dialer.close()
	l.acceptor.close()
}
