package memorylimit

import (
	"slices"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// Share is a part of the bytes.
type Share uint8

// The shares.
const (
	Bodies Share = iota
	Answers
	shareCount
	// AnswerHeads are a part of Answers with a bound of its own, a half of it.
	AnswerHeads
)

// answerHeadsDivisor divides the limit of Answers for heads.
const answerHeadsDivisor = 2

// phase is what happens to the bytes of a holder.
type phase uint8

const (
	receiving phase = iota // they arrive
	kept                   // all have arrived
	sending                // they are written to a client
)

// Holder is a body or a buffered answer.
type Holder struct {
	Owner             any // the caller's own
	share             Share
	isHead            bool // see AnswerHeads
	openEnded         bool // whether an answer says no end
	urgent            bool
	phase             phase
	began, progressed domain.Instant // began is the begin of the transfer that goes on
	held              int64
	moved             int64         // bytes of the transfer that goes on
	wants             int64         // bytes for which it waits
	waited            time.Duration // for bytes, during the transfer that goes on
	shed              bool
}

// Held returns the bytes that a holder has.
func (h *Holder) Held() int64 { return h.held }

// Share returns the share that a holder uses.
func (h *Holder) Share() Share { return h.share }

// Shed reports whether the holder has to give its bytes back.
func (h *Holder) Shed() bool { return h.shed }

// lag returns how long the transfer of a holder has made no progress, or how far it is behind the usual rate. What it
// waits for bytes of the budget doesn't count, as the client is not the reason.
func (h *Holder) lag(now domain.Instant) time.Duration {
	if h.wants > 0 {
		now = h.progressed
	}
	due := time.Duration(float64(h.moved) / usualRate * float64(time.Second))
	return max(now.Sub(h.progressed), now.Sub(h.began)-h.waited-due)
}

// SetOpenEnded records that an answer says no end: it gives way to small ones.
func (h *Holder) SetOpenEnded() { h.openEnded = true }

// Receiving reports whether the bytes of the holder arrive.
func (h *Holder) Receiving() bool { return h.phase == receiving }

// Outcome is what became of a wish for bytes.
type Outcome uint8

// The outcomes.
const (
	Granted Outcome = iota
	Waiting         // until holders that are shed have given their bytes back
	Refused
)

// Changes are holders whose state changed by a call: Shed have to give their bytes back, Granted got the bytes for
// which they waited, and Refused won't get them.
type Changes struct{ Shed, Granted, Refused []*Holder }

// Budget divides bytes among holders. It is not safe for concurrent use.
type Budget struct {
	limits  Limits
	used    [shareCount]int64
	freeing [shareCount]int64 // held by holders that are shed
	heads   int64             // bytes that AnswerHeads have
	holders map[*Holder]struct{}
	waiting []*Holder // answers before bodies, each in the order of their wishes
}

// NewBudget returns a budget that nobody uses.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, holders: make(map[*Holder]struct{})}
}

// SetLimits replaces the limits. Holders keep what they have.
func (b *Budget) SetLimits(l Limits) { b.limits = l }

// Used returns the bytes that holders have.
func (b *Budget) Used(s Share) int64 { return b.used[s] }

// Open adds a holder without bytes, whose bytes begin to arrive.
func (b *Budget) Open(now domain.Instant, s Share, urgent bool) *Holder {
	h := &Holder{share: s, urgent: urgent, began: now, progressed: now}
	if s == AnswerHeads {
		h.share, h.isHead = Answers, true
	}
	b.holders[h] = struct{}{}
	return h
}

// Take asks for bytes, as the transfer of a holder has made progress. While it waits, the holder may not ask again.
func (b *Budget) Take(now domain.Instant, h *Holder, n int64) (Outcome, Changes) {
	var changes Changes
	if h.shed || h.isHead && b.limits.Answers > 0 && b.heads+n > b.limits.Answers/answerHeadsDivisor {
		return Refused, changes
	}
	h.moved, h.progressed = h.held, now
	ahead := b.ahead(h)
	if h.urgent {
		ahead = [shareCount]int64{}
	}
	if b.fits(h, n, ahead) {
		b.grant(now, h, n)
		return Granted, changes
	}
	shed, ok := b.shedFor(now, h, n)
	if !ok {
		return Refused, changes
	}
	changes.Shed = shed
	for _, v := range shed {
		b.stopWaiting(v)
	}
	h.wants = n
	b.enqueue(h)
	return Waiting, changes
}

// ahead returns the bytes that holders want that come before h, by their shares. Answers come before bodies: their
// requests have run. Holders that are shed get nothing more.
func (b *Budget) ahead(h *Holder) [shareCount]int64 {
	var ahead [shareCount]int64
	for _, other := range b.waiting {
		if !other.shed && (h.share == Bodies || other.share == Answers) {
			ahead[other.share] += other.wants
		}
	}
	return ahead
}

// enqueue adds a holder to those that wait.
func (b *Budget) enqueue(h *Holder) {
	at := len(b.waiting)
	if h.share == Answers {
		if i := slices.IndexFunc(b.waiting, func(other *Holder) bool { return other.share == Bodies }); i >= 0 {
			at = i
		}
	}
	b.waiting = slices.Insert(b.waiting, at, h)
}

// Progress records that n bytes of a transfer have moved.
func (b *Budget) Progress(now domain.Instant, h *Holder, n int64) {
	h.moved += n
	h.progressed = now
}

// Complete records that all bytes of a holder have arrived. It returns false if the holder was shed before.
func (b *Budget) Complete(h *Holder) bool {
	h.phase = kept
	return !h.shed
}

// Send records that the bytes of a holder begin to be written to a client.
func (b *Budget) Send(now domain.Instant, h *Holder) {
	h.phase, h.began, h.progressed, h.moved, h.waited = sending, now, now, 0, 0
}

// Return gives bytes back.
func (b *Budget) Return(now domain.Instant, h *Holder, n int64) Changes {
	b.used[h.share] -= n
	h.held -= n
	if h.isHead {
		b.heads -= n
	}
	if h.shed {
		b.freeing[h.share] -= n
	}
	return b.serveWaiting(now)
}

// Close gives all bytes of a holder back and removes it.
func (b *Budget) Close(now domain.Instant, h *Holder) Changes {
	delete(b.holders, h)
	b.stopWaiting(h)
	return b.Return(now, h, h.held)
}

// Withdraw ends the wait of a holder. It returns false if it doesn't wait.
func (b *Budget) Withdraw(h *Holder) bool {
	waits := h.wants > 0
	b.stopWaiting(h)
	return waits
}

func (b *Budget) stopWaiting(h *Holder) {
	if h.wants == 0 {
		return
	}
	h.wants = 0
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Holder) bool { return other == h })
}

// serveWaiting grants wishes in their order. When no more bytes are to come, it refuses the others, so that none waits
// for another one that waits.
func (b *Budget) serveWaiting(now domain.Instant) Changes {
	var changes Changes
	for len(b.waiting) > 0 {
		h := b.waiting[0]
		n := h.wants
		fits := b.fits(h, n, [shareCount]int64{})
		if !fits && sum(b.freeing) > 0 {
			break
		}
		b.stopWaiting(h)
		if fits {
			b.grant(now, h, n)
			changes.Granted = append(changes.Granted, h)
		} else {
			changes.Refused = append(changes.Refused, h)
		}
	}
	return changes
}

func (b *Budget) grant(now domain.Instant, h *Holder, n int64) {
	h.waited += now.Sub(h.progressed) // the last progress was the wish
	h.progressed = now
	h.held += n
	b.used[h.share] += n
	if h.isHead {
		b.heads += n
	}
}

// sum returns the bytes of all shares.
func sum(bytes [shareCount]int64) int64 {
	var all int64
	for _, n := range bytes {
		all += n
	}
	return all
}

// reserved returns the part of the bytes that a holder may not use if it gets n more.
func (b *Budget) reserved(h *Holder, n int64) int64 {
	if h.urgent || h.share == Answers || h.held+n <= SmallBytes {
		return 0
	}
	return b.limits.Reserved
}

// excess returns by how much n more bytes of a holder exceed its own share and the total, of which used bytes are taken.
// It is not positive if they fit.
func (b *Budget) excess(h *Holder, n int64, used [shareCount]int64) (ofShare, ofTotal int64) {
	reserved := b.reserved(h, n)
	limit, shareReserved := b.limits.Answers, int64(0)
	if h.share == Answers && !h.urgent && h.held+n > SmallBytes {
		shareReserved = b.limits.ReservedAnswers
	}
	if h.share == Bodies {
		limit, shareReserved = b.limits.Bodies, reserved
	}
	if limit > 0 {
		ofShare = used[h.share] + n - (limit - shareReserved)
	}
	if b.limits.Bytes > 0 {
		ofTotal = sum(used) + n - (b.limits.Bytes - reserved)
	}
	return ofShare, ofTotal
}

// fits reports whether a holder may have n more bytes after others got those that are ahead.
func (b *Budget) fits(h *Holder, n int64, ahead [shareCount]int64) bool {
	expected := b.used
	for share := range expected {
		expected[share] += ahead[share]
	}
	ofShare, ofTotal := b.excess(h, n, expected)
	return ofShare <= 0 && ofTotal <= 0
}
