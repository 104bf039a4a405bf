package gateway

import (
	"k8s.io/klog/v2"

	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
)

// ordinaryHeadCost is the cost up to which the head of an answer is not counted: 2 KiB in 30 lines take 8 KiB.
const ordinaryHeadCost = 16 << 10

// accountHead takes memory for a part of the answer's head. Heads of answers have half of the memory for answers at most, so that endpoints that send
// nothing else leave the other half to others.
func (a *attempt) accountHead(bytes, lines int) error {
	a.headCost += memorylimit.HeadCost(bytes, lines)
	if a.headCost <= ordinaryHeadCost {
		return nil
	}
	g, c := a.gateway, a.call
	if a.head == nil {
		a.head = g.bytes.open(memorylimit.AnswerHeads, c.rank == 0, func() {})
	}
	if missing := a.headCost - a.head.holder.Held(); missing > 0 {
		return a.head.take(c.http.Context(), missing)
	}
	return nil
}

// recordEndless reports to the placement table that the endpoint sent more than any answer may have, or bytes that are no answer.
func (a *attempt) recordEndless() {
	g := a.gateway
	g.mu.Lock()
	spared := g.table.RecordEndless(g.now(), a.ticket)
	g.mu.Unlock()
	if spared > 0 {
		klog.InfoS("endpoint spared", "endpoint", a.ticket.Endpoint.ID, "for", spared, "cause", "answers without end")
	}
}
