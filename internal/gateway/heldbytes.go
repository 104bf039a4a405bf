package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/endpointconn"
	"github.com/dunlinpulley/dunlinpulley/internal/memorylimit"
)

// shedWait is how long bytes are waited for that others have been told to give back. They need only wake up.
const shedWait = time.Second

// pieceSizes are the sizes of the pieces in which bytes are held. The first one of a transfer is small, as it may not go on.
var pieceSizes = [...]int{4 << 10, 16 << 10, 64 << 10}

var (
	// errNoMemory means that there is no room for more bytes, or that the ones held have to be given back.
	errNoMemory = errors.New("no memory left")
	// errTooLong means that a body or an answer exceeds its limit.
	errTooLong = errors.New("too long")
)

// byteGuard divides the process's memory among the bodies and the answers that it holds. Their bytes are kept in pieces that
// are used again, so that they leave no garbage.
type byteGuard struct {
	now    func() domain.Instant
	closed *closings

	mu     sync.Mutex
	budget *memorylimit.Budget
	free   [len(pieceSizes)][][]byte
}

func newByteGuard(l memorylimit.Limits, now func() domain.Instant, closed *closings) *byteGuard {
	return &byteGuard{now: now, closed: closed, budget: memorylimit.NewBudget(l)}
}

// heldBytes are the bytes of a body or an answer. One goroutine uses them; the guard only calls abort.
type heldBytes struct {
	guard  *byteGuard
	holder *memorylimit.Holder
	abort  func() // makes the transfer that goes on fail; may be called by others
	// abortArrival replaces abort while the bytes arrive; nil if abort does that too.
	abortArrival func()
	pieces       [][]byte
	size         int64
	result       chan bool // of a wait; nil outside of one
	closed       bool
}

// open returns an empty heldBytes. The user calls close when it is done.
func (g *byteGuard) open(s memorylimit.Share, urgent bool, abort func()) *heldBytes {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := &heldBytes{guard: g, holder: g.budget.Open(g.now(), s, urgent), abort: abort}
	h.holder.Owner = h
	return h
}

// openAnswer returns an empty heldBytes for an answer to a call that arrives on a connection. openEnded is whether it says no end.
func (g *Gateway) openAnswer(c *call, conn *endpointconn.Conn, openEnded bool) *heldBytes {
	h := g.bytes.open(memorylimit.Answers, c.rank == 0, func() { g.callerConns.abort(c.http) })
	if openEnded {
		g.bytes.mu.Lock()
		defer g.bytes.mu.Unlock()
		h.abortArrival = conn.Abort
		h.holder.SetOpenEnded()
	}
	return h
}

// apply tells holders what became of them. The caller must not hold g.mu.
func (g *byteGuard) apply(changes memorylimit.Changes) {
	tell := func(holder *memorylimit.Holder, granted bool) *heldBytes {
		h, ok := holder.Owner.(*heldBytes)
		if !ok {
			return nil
		}
		g.mu.Lock()
		result := h.result
		g.mu.Unlock()
		if result != nil {
			select {
			case result <- granted:
			default: // its wait has ended
			}
		}
		return h
	}
	for _, holder := range changes.Granted {
		tell(holder, true)
	}
	for _, holder := range changes.Refused {
		tell(holder, false)
	}
	for _, holder := range changes.Shed {
		if h := tell(holder, false); h != nil {
			reason := shedBody
			if holder.Share() == memorylimit.Answers {
				reason = shedAnswer
			}
			g.closed.count(reason)
			g.mu.Lock()
			arrives := holder.Receiving()
			g.mu.Unlock()
			if arrives && h.abortArrival != nil {
				h.abortArrival()
			} else {
				h.abort()
			}
		}
	}
}

// take gets n bytes of the budget or returns errNoMemory.
func (h *heldBytes) take(ctx context.Context, n int64) error {
	g := h.guard
	g.mu.Lock()
	outcome, changes := g.budget.Take(g.now(), h.holder, n)
	var result chan bool
	if outcome == memorylimit.Waiting {
		result = make(chan bool, 1)
		h.result = result
	}
	g.mu.Unlock()
	g.apply(changes)
	if outcome == memorylimit.Waiting {
		outcome = h.await(ctx, result)
	}
	if outcome != memorylimit.Granted {
		return errNoMemory
	}
	return nil
}

// await waits for the result of a wish.
func (h *heldBytes) await(ctx context.Context, result chan bool) memorylimit.Outcome {
	g := h.guard
	timer := time.NewTimer(shedWait)
	defer timer.Stop()
	granted := false
	select {
	case granted = <-result:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	h.result = nil
	if g.budget.Withdraw(h.holder) {
		return memorylimit.Refused
	}
	select {
	case granted = <-result:
	default:
	}
	if !granted || h.holder.Shed() {
		return memorylimit.Refused
	}
	return memorylimit.Granted
}

// addPiece adds an empty piece of a size class.
func (h *heldBytes) addPiece(ctx context.Context, class int) error {
	if err := h.take(ctx, int64(pieceSizes[class])); err != nil {
		return err
	}
	g := h.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	var piece []byte
	if free := g.free[class]; len(free) > 0 {
		piece, g.free[class] = free[len(free)-1], free[:len(free)-1]
	} else {
		piece = make([]byte, 0, pieceSizes[class])
	}
	h.pieces = append(h.pieces, piece)
	return nil
}

// readFrom reads r to its end. length is that of r, negative if it is not known. It returns errTooLong after limit bytes.
func (h *heldBytes) readFrom(ctx context.Context, r io.Reader, length, limit int64) error {
	for {
		last := len(h.pieces) - 1
		if last < 0 || len(h.pieces[last]) == cap(h.pieces[last]) {
			if err := h.addPiece(ctx, h.nextClass(length)); err != nil {
				return err
			}
			last++
		}
		piece := h.pieces[last]
		n, err := r.Read(piece[len(piece):cap(piece)])
		h.pieces[last] = piece[:len(piece)+n]
		h.size += int64(n)
		switch {
		case h.size > limit:
			return errTooLong
		case err == io.EOF: // errors.Is takes microseconds
			return nil
		case err != nil:
			return err
		}
	}
}

// nextClass returns the size class of the next piece: the smallest that holds the rest, and none larger than the number of
// pieces so far allows.
func (h *heldBytes) nextClass(length int64) int {
	class := min(len(h.pieces), len(pieceSizes)-1)
	for class > 0 && length >= 0 && length-h.size <= int64(pieceSizes[class-1]) {
		class--
	}
	return class
}

// complete records that all bytes have arrived. It returns errNoMemory if they have to be given back.
func (h *heldBytes) complete() error {
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	if !h.guard.budget.Complete(h.holder) {
		return errNoMemory
	}
	return nil
}

// wasShed reports whether the bytes have to be given back.
func (h *heldBytes) wasShed() bool {
	if h == nil {
		return false
	}
	h.guard.mu.Lock()
	defer h.guard.mu.Unlock()
	return h.holder.Shed()
}

// sendTo writes the bytes to a client and gives back those that it has taken.
func (h *heldBytes) sendTo(w io.Writer) error {
	g := h.guard
	g.mu.Lock()
	g.budget.Send(g.now(), h.holder)
	g.mu.Unlock()
	for i, piece := range h.pieces {
		n, err := w.Write(piece)
		if err != nil {
			return err
		}
		g.mu.Lock()
		g.budget.Progress(g.now(), h.holder, int64(n))
		changes := g.putBack(h, i)
		g.mu.Unlock()
		g.apply(changes)
	}
	return nil
}

// putBack returns a piece. The caller must hold g.mu.
func (g *byteGuard) putBack(h *heldBytes, i int) memorylimit.Changes {
	piece := h.pieces[i]
	h.pieces[i] = nil
	if piece == nil {
		return memorylimit.Changes{}
	}
	for class, size := range pieceSizes {
		if cap(piece) == size {
			g.free[class] = append(g.free[class], piece[:0])
		}
	}
	return g.budget.Return(g.now(), h.holder, int64(cap(piece)))
}

// close gives all bytes back. Further calls do nothing.
func (h *heldBytes) close() {
	if h == nil || h.closed {
		return
	}
	h.closed = true
	g := h.guard
	g.mu.Lock()
	var all []memorylimit.Changes
	for i := range h.pieces {
		if changes := g.putBack(h, i); len(changes.Granted)+len(changes.Refused) > 0 {
			all = append(all, changes)
		}
	}
	all = append(all, g.budget.Close(g.now(), h.holder))
	g.mu.Unlock()
	for _, changes := range all {
		g.apply(changes)
	}
}

// trim gives half of the free pieces to the garbage collector.
func (g *byteGuard) trim() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for class, free := range g.free {
		keep := len(free) / 2
		clear(free[keep:])
		g.free[class] = free[:keep]
	}
}

// setLimits replaces the limits.
func (g *byteGuard) setLimits(l memorylimit.Limits) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.SetLimits(l)
}

// held returns the bytes that bodies and answers take.
func (g *byteGuard) held() (bodies, answers int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Used(memorylimit.Bodies), g.budget.Used(memorylimit.Answers)
}
