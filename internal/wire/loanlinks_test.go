package wire

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

// loanRecorder records the messages of its peers, and answers each request for a
// share with a loan.
type loanRecorder struct {
	links *PeerLinks
	lines chan string
}

func (r *loanRecorder) PeerUp(id domain.EntryID, _ domain.Incarnation) { r.lines <- "up " + string(id) }
func (r *loanRecorder) PeerDown(id domain.EntryID)                     { r.lines <- "down " + string(id) }
func (r *loanRecorder) OnPeerMessage(id domain.EntryID, m *pb.ToPeer) {
	if request := m.GetShareAsk(); request != nil {
		r.lines <- fmt.Sprintf("request %d from %s", request.Parts, id)
		r.links.Send(id, &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: &pb.ShareLoan{Parts: request.Parts}}})
		return
	}
	r.lines <- fmt.Sprintf("loan %d from %s", m.GetShareLoan().GetParts(), id)
}

func startLender(t *testing.T, name string) (*loanRecorder, PeerTarget) {
	t.Helper()
	r := &loanRecorder{lines: make(chan string, 64)}
	r.links = NewPeerLinks(identity(name, 1), r, shortBackoff)
	listener := listen(t, "127.0.0.1:0")
	t.Cleanup(r.links.Close)
	go r.links.Serve(t.Context(), listener)
	return r, PeerTarget{ID: domain.EntryID(name), Address: listener.Addr().String()}
}

// Entries without a peer link exchange requests and loans in both directions, and
// no PeerUp is reported for loan links.
func TestShareMessagesUseLoanLinks(t *testing.T) {
	a, toA := startLender(t, "a")
	b, toB := startLender(t, "b")
	shareRequest := func(parts uint32) *pb.ToPeer {
		return &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: &pb.ShareAsk{Account: "x", Parts: parts}}}
	}
	a.links.SetLenders([]PeerTarget{toA, toB})
	b.links.SetLenders([]PeerTarget{toA, toB})
	for i := range uint32(3) {
		a.links.Send("b", shareRequest(10+i))
		assert.Equal(t, <-b.lines, fmt.Sprintf("request %d from a", 10+i))
		assert.Equal(t, <-a.lines, fmt.Sprintf("loan %d from b", 10+i))
		b.links.Send("a", shareRequest(20+i))
		assert.Equal(t, <-a.lines, fmt.Sprintf("request %d from b", 20+i))
		assert.Equal(t, <-b.lines, fmt.Sprintf("loan %d from a", 20+i))
	}
	a.links.loans.expire("b")
	assert.Equal(t, len(a.links.loans.dialled), 0)
	a.links.Send("b", shareRequest(30))
	assert.Equal(t, <-b.lines, "request 30 from a")
	assert.Equal(t, <-a.lines, "loan 30 from b")
	a.links.Send("c", shareRequest(1))
	assert.Equal(t, a.links.Dropped(), uint64(1))
}

// Messages about shares use the peer link if it is up.
func TestShareMessagesPreferPeerLink(t *testing.T) {
	a, toA := startLender(t, "a")
	b, toB := startLender(t, "b")
	targets := []PeerTarget{toA, toB}
	a.links.SetLenders(targets)
	assert.NilError(t, a.links.SetTargets(targets))
	assert.Equal(t, <-a.lines, "up b")
	assert.Equal(t, <-b.lines, "up a")
	a.links.Send("b", &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: &pb.ShareAsk{Parts: 1}}})
	assert.Equal(t, <-b.lines, "request 1 from a")
	assert.Equal(t, <-a.lines, "loan 1 from b")
	assert.Equal(t, len(a.links.loans.dialled), 0)
}
