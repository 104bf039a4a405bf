package capacity

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// loanMeasures returns the measures of loans of limits between entries that have no
// permanent link to each other.
func loanMeasures() []Measure {
	sizes := []int{10, 20, 40}
	return []Measure{{
		Name: "loan-bytes", Title: "Bytes of requests for a share of a limit and their replies, each on a new link to another entry, with Hello messages and drpc framing",
		Size: "asks", Unit: "bytes in both directions", Sizes: sizes, Run: loanBytes, Deterministic: true,
	}, {
		Name: "loan-processor", Title: "CPU time of both ends for a request and its reply on a new link, including the sockets",
		Size: "asks", Unit: "microseconds", Sizes: sizes, Run: loanCPUTime,
	}}
}

// loanPeer is one end of a loan of an account's limit. As the lender it answers each
// request with a loan, as the borrower it counts the received loans.
type loanPeer struct {
	links    *wire.PeerLinks
	received atomic.Int64
}

// PeerUp does nothing.
func (l *loanPeer) PeerUp(domain.EntryID, domain.Incarnation) {}

// PeerDown does nothing.
func (l *loanPeer) PeerDown(domain.EntryID) {}

// OnPeerMessage answers a request for a share or counts a loan. The sizes of the
// loan's numbers affect its encoded size.
func (l *loanPeer) OnPeerMessage(id domain.EntryID, message *pb.ToPeer) {
	request := message.GetShareAsk()
	if request == nil {
		l.received.Add(1)
		return
	}
	loan := &pb.ShareLoan{Account: request.Account, Loan: 1000, Parts: request.Parts, TtlMs: 10_000}
	l.links.Send(id, &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: loan}})
}

// borrow requests one loan from each of lenderCount entries and returns the bytes on
// the connections. Each request is for 250,000 millionths of the account's limit.
func borrow(lenderCount int) (int64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes atomic.Int64
	var targets []wire.PeerTarget
	for i := range lenderCount {
		listener, err := net.Listen("tcp", loopback)
		if err != nil {
			return 0, errors.Wrapf(err, "step=listen peer=%s", entryName(i))
		}
		lender := &loanPeer{}
		lender.links = wire.NewPeerLinks(identity(entryName(i)), lender, wire.Options{})
		defer lender.links.Close()
		go func() { _ = lender.links.Serve(ctx, countingListener{Listener: listener, bytes: &bytes}) }()
		targets = append(targets, wire.PeerTarget{ID: domain.EntryID(entryName(i)), Address: listener.Addr().String()})
	}
	borrower := &loanPeer{}
	borrower.links = wire.NewPeerLinks(identity(entryName(lenderCount)), borrower, wire.Options{})
	defer borrower.links.Close()
	borrower.links.SetLenders(targets)
	for i, target := range targets {
		ask := &pb.ShareAsk{Account: accountName(i), Parts: 250_000}
		borrower.links.Send(target.ID, &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: ask}})
	}
	if !waitFor(func() bool { return borrower.received.Load() == int64(lenderCount) }) {
		return 0, errors.Newf("step=loans peer=entries received %d of %d loans", borrower.received.Load(), lenderCount)
	}
	return bytes.Load(), nil
}

func loanBytes(lenderCount int) (float64, error) {
	bytes, err := borrow(lenderCount)
	return float64(bytes), err
}

func loanCPUTime(lenderCount int) (float64, error) {
	before := cpuTime()
	_, err := borrow(lenderCount)
	return float64((cpuTime() - before).Microseconds()), err
}
