package policy

import (
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
)

// PartsPerLimit is the number of parts that a limit is divided into.
const PartsPerLimit = 1_000_000

// maxInitialHolders is the maximum number of entries that an account's limit is split
// between initially. All other entries borrow from them.
const maxInitialHolders = 4

const (
	// LoanDuration is the duration of a loan.
	LoanDuration = 10 * time.Second
	// LoanMargin covers the clock drift between two entries over a loan: the lender
	// extends the loan by it, the borrower shortens the loan by it.
	LoanMargin = 200 * time.Millisecond
	// LoanRequestTimeout is the timeout of a loan request. It is longer than a request
	// and its reply can be in transit: an entry closes a connection to a peer without
	// messages for 3 s (peerTimeout of package revision), and the messages on it are
	// lost, so each of the two takes at most 3 s.
	LoanRequestTimeout = 7 * time.Second
	// refusalBackoff is the delay before the next request to a peer that refused a loan.
	refusalBackoff = 500 * time.Millisecond
)

// SplitLimit returns the entries that hold an account's limit initially, in order of
// preference, and the number of parts of each. unit is the smallest number of parts
// that an entry can use; a smaller share might not admit a single call. Every holder
// has a multiple of unit except the first, which also has the remainder.
func SplitLimit(account domain.AccountID, entries []domain.EntryID, unit uint32) ([]domain.EntryID, []uint32) {
	names := make([]string, len(entries))
	for i, entry := range entries {
		names[i] = string(entry)
	}
	units := max(1, PartsPerLimit/max(1, unit))
	n := min(maxInitialHolders, len(entries), int(units))
	selected := SelectByRendezvous(string(account), names, n)
	holders := make([]domain.EntryID, len(selected))
	parts := make([]uint32, len(selected))
	remaining := uint32(PartsPerLimit)
	for i := len(selected) - 1; i >= 0; i-- {
		holders[i] = domain.EntryID(selected[i])
		parts[i] = units / uint32(n) * unit
		if i == 0 {
			parts[i] = remaining
		}
		remaining -= parts[i]
	}
	return holders, parts
}

// Loan is a number of parts of a limit that one entry lends to another.
type Loan struct {
	ID    uint64         // set by the caller of Offer; rises with each new loan or refusal of the lender
	Peer  domain.EntryID // the other entry: the borrower if this entry is the lender, or the lender
	Parts uint32
	Until domain.Instant // on the local clock of the entry that holds this value
}

// loanRequests is the state of the loan requests that an entry sends to one peer.
type loanRequests struct {
	peer domain.EntryID
	// sentAt holds the times of requests that may still be answered, oldest first. A
	// reply doesn't identify its request, so the loan period counts from the oldest.
	sentAt       []domain.Instant
	unanswered   bool // the newest request has no reply yet
	refusedUntil domain.Instant
	lastLoanID   uint64 // highest ID received from the peer
}

// LimitShare is one entry's part of an account's limit. The zero value has no parts;
// Start sets the first base.
//
// Invariant: the parts in use at all entries together never exceed the whole limit.
// A lender stops using lent parts before it sends the loan and resumes when the loan
// duration plus LoanMargin has passed on its clock. A borrower counts the loan from
// the time of the oldest request that the loan may answer, which is not later than
// the loan itself, and accepts each loan once.
type LimitShare struct {
	base       uint32 // own parts, without loans
	unit       uint32 // see SplitLimit; each loan is a multiple of it
	lent       []Loan
	borrowed   []Loan
	requests   []*loanRequests
	nextBase   uint32         // base from nextBaseAt on
	nextBaseAt domain.Instant // 0 for none
}

// Start sets the first base. A restarted entry doesn't know which loans it made
// before the restart, so until these have expired it treats all lendable parts as
// lent. started is the start time of the process.
func (s *LimitShare) Start(now, started domain.Instant, base, unit uint32) {
	s.base = base
	s.unit = unit
	if end := started.Add(LoanDuration + LoanMargin); now < end {
		s.lent = append(s.lent, Loan{Parts: s.lendable(), Until: end})
	}
}

// SetBase sets the base of a configuration that took effect at effectiveAt. A lower
// base applies at once. A higher base applies after the loan duration plus twice
// LoanMargin, when the previous holders have stopped using the parts and their loans
// have expired: one margin is the lender's extension of a loan, the other covers the
// drift between the lender's clock and the local clock.
func (s *LimitShare) SetBase(effectiveAt domain.Instant, base, unit uint32) {
	s.unit = unit
	s.nextBaseAt = 0
	if base <= s.base {
		s.base = base
		return
	}
	s.nextBase = base
	s.nextBaseAt = effectiveAt.Add(LoanDuration + 2*LoanMargin)
}

// Parts returns the number of parts that the entry may use now.
func (s *LimitShare) Parts() uint32 {
	parts := int64(s.base)
	for _, l := range s.lent {
		parts -= int64(l.Parts)
	}
	for _, l := range s.borrowed {
		parts += int64(l.Parts)
	}
	return uint32(max(0, parts))
}

// ApplyNextDue applies the earliest due event, the end of a loan or an increase of the
// base, and returns its time. It returns false if no event is due. The caller repeats
// it until it returns false.
func (s *LimitShare) ApplyNextDue(now domain.Instant) (domain.Instant, bool) {
	var earliest *[]Loan
	dueAt, index := now+1, 0 // an event is due if it is before now+1
	for _, loans := range []*[]Loan{&s.lent, &s.borrowed} {
		for i, l := range *loans {
			if l.Until < dueAt {
				earliest, dueAt, index = loans, l.Until, i
			}
		}
	}
	if s.nextBaseAt != 0 && s.nextBaseAt < dueAt {
		dueAt = s.nextBaseAt
		s.base = s.nextBase
		s.nextBaseAt = 0
		return dueAt, true
	}
	if earliest == nil {
		return 0, false
	}
	*earliest = append((*earliest)[:index], (*earliest)[index+1:]...)
	return dueAt, true
}

// lendable returns the number of parts that may be lent in total: half of the base,
// rounded down to units but at least one unit, or 0 if the base is less than a unit.
func (s *LimitShare) lendable() uint32 {
	unit := max(1, s.unit)
	if s.base < unit {
		return 0
	}
	return max(unit, s.base/2/unit*unit)
}

// Offer returns the loan to answer a peer's request with: its current loan, or a new
// one of at most want parts, without an ID. A loan of 0 parts is a refusal. Offer
// changes nothing.
func (s *LimitShare) Offer(peer domain.EntryID, want uint32) (loan Loan, isNew bool) {
	available := s.lendable()
	for _, l := range s.lent {
		if l.Peer == peer {
			return l, false
		}
		available -= min(available, l.Parts)
	}
	unit := max(1, s.unit)
	return Loan{Peer: peer, Parts: min(want, available) / unit * unit}, true
}

// Lend records a new loan, whose parts are no longer usable here, and sets its expiry.
func (s *LimitShare) Lend(now domain.Instant, l Loan) Loan {
	l.Until = now.Add(LoanDuration + LoanMargin)
	s.lent = append(s.lent, l)
	return l
}

// Remaining returns the rest of the loan duration, which the lender reports to the
// borrower. l is the lender's record.
func (l Loan) Remaining(now domain.Instant) time.Duration {
	return l.Until.Sub(now) - LoanMargin
}

// MayRequestLoan reports whether a loan request may be sent to a peer: this entry has no
// loan from the peer, the last request was answered or has timed out, and
// refusalBackoff has passed since the peer's last refusal.
func (s *LimitShare) MayRequestLoan(now domain.Instant, peer domain.EntryID) bool {
	for _, l := range s.borrowed {
		if l.Peer == peer {
			return false
		}
	}
	r := s.requestsTo(peer)
	if r.unanswered {
		return now.Sub(r.sentAt[len(r.sentAt)-1]) >= LoanRequestTimeout
	}
	return now >= r.refusedUntil
}

// RecordRequest records that a loan request is sent to a peer.
func (s *LimitShare) RecordRequest(now domain.Instant, peer domain.EntryID) {
	r := s.requestsTo(peer)
	r.dropExpired(now)
	r.sentAt = append(r.sentAt, now)
	r.unanswered = true
}

// Borrow processes the reply to a loan request and reports whether the loan is
// accepted. Replies without an open request, repeated and outdated replies, and
// expired loans are rejected. A loan of 0 parts is a refusal. remaining is the rest of
// the loan duration at the time of the reply, as reported by the lender.
func (s *LimitShare) Borrow(now domain.Instant, l Loan, remaining time.Duration) bool {
	requests := s.requestsTo(l.Peer)
	requests.dropExpired(now)
	if !requests.unanswered || len(requests.sentAt) == 0 || l.ID <= requests.lastLoanID {
		return false
	}
	requests.lastLoanID = l.ID
	requests.unanswered = false
	if l.Parts == 0 {
		requests.refusedUntil = now.Add(refusalBackoff)
		return false
	}
	l.Until = requests.sentAt[0].Add(remaining - LoanMargin)
	if l.Until <= now {
		return false
	}
	s.borrowed = append(s.borrowed, l)
	return true
}

// requestsTo returns the request state of a peer and creates it if necessary.
func (s *LimitShare) requestsTo(peer domain.EntryID) *loanRequests {
	for _, r := range s.requests {
		if r.peer == peer {
			return r
		}
	}
	r := &loanRequests{peer: peer}
	s.requests = append(s.requests, r)
	return r
}

// dropExpired drops requests that have timed out.
func (r *loanRequests) dropExpired(now domain.Instant) {
	for len(r.sentAt) > 0 && now.Sub(r.sentAt[0]) >= LoanRequestTimeout {
		r.sentAt = r.sentAt[1:]
	}
}
