package entry

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// loanRequestInterval is the time after which another peer is asked while one has not answered.
	loanRequestInterval = 50 * time.Millisecond
	// concurrencyRetryAfter is the Retry-After of a call over its account's concurrency.
	concurrencyRetryAfter = time.Second
	// tokenWindow is the time that the token limit is stated for.
	tokenWindow = time.Minute
	// maxTokenUnits is the most units that a token limit is split into.
	maxTokenUnits = 16
	// starvationGuardInterval is the number of waiting calls let in for each that is let in by age.
	starvationGuardInterval = 4
	// shareRoundingSlack is the part of one call that rounding may take from a share.
	shareRoundingSlack = 1e-4
)

// startLimit lets a call go on within its account's limits. A call over this
// entry's share waits shortly for a loan from another entry.
func (c *Core) startLimit(cl *call) {
	ac := c.account(cl.Account)
	c.refreshAccount(ac)
	if !ac.limited() {
		c.startAfterLimits(cl)
		return
	}
	if len(ac.waiting) == 0 && c.chargeLimits(ac, cl) {
		c.startAfterLimits(cl)
		return
	}
	cl.stage = stageLimitWait
	cl.limitDeadline = c.now.Add(c.cfg.LimitWait)
	ac.enqueueWaiting(cl)
	c.calls.wakeAt(cl, c.now)
}

// processLimitWait looks again at a call that waits for its account's limits.
func (c *Core) processLimitWait(cl *call) {
	if cl.stage != stageLimitWait {
		return
	}
	ac := c.account(cl.Account)
	c.admitWithinLimits(ac)
	if cl.stage != stageLimitWait {
		return
	}
	refill, fills := c.refillTime(ac, cl)
	fills = fills && refill <= cl.limitDeadline
	if c.now >= cl.limitDeadline || !fills && !c.canBorrow(ac) {
		c.finishLimited(cl, ac)
		return
	}
	c.requestLoan(ac)
	next := min(c.now.Add(loanRequestInterval), cl.limitDeadline)
	if fills {
		next = min(next, max(refill, c.now+1))
	}
	c.calls.wakeAt(cl, next)
}

// refillTime returns when this entry's own buckets have room for a waiting call,
// after those that wait before it. It returns false when that does not depend on time.
func (c *Core) refillTime(ac *account, cl *call) (domain.Instant, bool) {
	if ac.parts == 0 || ac.limits.Concurrency > 0 && ac.openCalls >= ac.maxConcurrent() {
		return 0, false
	}
	var wait time.Duration
	if ac.limits.RequestsPerSecond > 0 {
		calls := ac.calls.Wait(c.now, 1)
		if calls < 0 {
			return 0, false
		}
		ahead := float64(ac.waitingAhead(cl))
		wait = calls + time.Duration(ahead/ac.calls.Rate()*float64(time.Second))
	}
	if ac.limits.TokensPerMinute > 0 {
		tokens := ac.tokens.Wait(c.now, ac.tokensNeeded(cl))
		if tokens < 0 {
			return 0, false
		}
		wait = max(wait, tokens)
	}
	return c.now.Add(wait), true
}

// admitWithinLimits lets waiting calls go on, higher tiers first. Each
// guardInterval-th place goes to the call that has waited longest, so that a
// burst of one class does not keep an account's other classes out.
func (c *Core) admitWithinLimits(ac *account) {
	c.refreshAccount(ac)
	for len(ac.waiting) > 0 {
		cl := ac.nextWaiting()
		if !c.chargeLimits(ac, cl) {
			return
		}
		ac.admittedCount++
		ac.removeWaiting(cl)
		c.startAfterLimits(cl)
	}
}

// chargeLimits counts a call against this entry's share, if there is room.
func (c *Core) chargeLimits(ac *account, cl *call) bool {
	if ac.parts == 0 {
		return false
	}
	if ac.limits.Concurrency > 0 && ac.openCalls >= ac.maxConcurrent() {
		return false
	}
	need := ac.tokensNeeded(cl)
	if ac.limits.RequestsPerSecond > 0 && !ac.calls.Has(c.now, 1) {
		return false
	}
	if ac.limits.TokensPerMinute > 0 && !ac.tokens.Has(c.now, need) {
		return false
	}
	ac.calls.Charge(c.now, 1)
	ac.tokens.Charge(c.now, need)
	ac.openCalls++
	cl.limitsCharged = true
	cl.tokensCharged = need
	return true
}

// settleLimits settles a call's place and tokens at its end. The answer's
// length was not known before: tokens not used come back, others are owed.
func (c *Core) settleLimits(cl *call, end CallerEnd) {
	ac := c.accounts.byID[cl.Account]
	if ac == nil {
		return
	}
	ac.removeWaiting(cl)
	if !cl.limitsCharged {
		return
	}
	cl.limitsCharged = false
	ac.openCalls--
	used := float64(max(cl.PromptTokens, end.PromptTokens)) + float64(end.AnswerTokens)
	if end.Outcome == domain.OutcomeNotRun {
		used = 0
	}
	c.refreshAccount(ac)
	ac.tokens.Charge(c.now, used-cl.tokensCharged)
	if len(ac.waiting) > 0 {
		c.calls.wakeAt(ac.waiting[0], c.now)
	}
}

// tokensNeeded is what a call may use, at most what the share ever holds.
func (ac *account) tokensNeeded(cl *call) float64 {
	return min(float64(cl.PromptTokens)+float64(cl.tokenLimit()), ac.tokens.Capacity())
}

// maxConcurrent is the calls in progress that this entry's share allows.
func (ac *account) maxConcurrent() uint32 {
	part := float64(ac.limits.Concurrency) * float64(ac.parts) / policy.ShareWhole
	return uint32(math.Floor(part + shareRoundingSlack))
}

// limitRetryAfter estimates when the account's limits have room again.
func (c *Core) limitRetryAfter(ac *account, cl *call) time.Duration {
	wait := concurrencyRetryAfter
	if ac.limits.RequestsPerSecond > 0 {
		wait = max(wait, ac.calls.Wait(c.now, 1))
	}
	if ac.limits.TokensPerMinute > 0 {
		wait = max(wait, ac.tokens.Wait(c.now, ac.tokensNeeded(cl)))
	}
	return min(wait, maxRetryAfter)
}

// waitingAhead counts the calls that go before a waiting one.
func (ac *account) waitingAhead(cl *call) int {
	for i, other := range ac.waiting {
		if other == cl {
			return i
		}
	}
	return len(ac.waiting)
}

// refreshAccount brings an account's limits and share up to date.
func (c *Core) refreshAccount(ac *account) {
	if ac.revision != c.Revision() {
		c.applyLimits(ac)
	}
	if !ac.limited() {
		return
	}
	for {
		at, ok := ac.share.Expire(c.now)
		if !ok {
			break
		}
		ac.applyShare(at)
	}
	ac.applyShare(c.now)
}

// applyLimits takes an account's limits from the newest configuration.
func (c *Core) applyLimits(ac *account) {
	known, ok := c.config.Account(ac.id)
	if !ok {
		return // calls in progress keep their limits
	}
	ac.revision = c.Revision()
	ac.limits = known.Limits
	if ac.limits.RequestsPerSecond > 0 && ac.limits.Burst <= 0 {
		ac.limits.Burst = max(1, ac.limits.RequestsPerSecond)
	}
	if !ac.limited() {
		return
	}
	entries := c.entries(c.config)
	unit := shareUnit(ac.limits)
	holders, _ := policy.Split(ac.id, entries, unit)
	ac.holders = holders
	base := c.baseShare(c.config, ac.id)
	first := !ac.hasShare
	if first {
		ac.hasShare = true
		ac.share.Start(c.now, c.startTime, c.minBaseShare(ac.id, base), unit)
		ac.applyShare(c.startTime)
	}
	if !first || c.now < c.sharesEffective {
		ac.share.Change(max(c.startTime, c.sharesEffective.Add(-shareIncreaseDelay)), base, unit)
	}
}

// shareIncreaseDelay is the time that a configuration's higher shares wait.
const shareIncreaseDelay = policy.LoanLife + 2*policy.LoanMargin

// minBaseShare is the smallest base that an account has had in the configurations
// whose holders may still use their shares.
func (c *Core) minBaseShare(id domain.AccountID, base uint32) uint32 {
	for _, previous := range c.previous {
		if c.now < previous.until {
			base = min(base, c.baseShare(previous.config, id))
		}
	}
	return base
}

// baseShare is this entry's part of an account's limit in a configuration.
func (c *Core) baseShare(config domain.Config, id domain.AccountID) uint32 {
	known, ok := config.Account(id)
	if !ok {
		return 0
	}
	holders, parts := policy.Split(id, c.entries(config), shareUnit(known.Limits))
	for i, h := range holders {
		if h == c.cfg.EntryID {
			return parts[i]
		}
	}
	return 0
}

func (c *Core) entries(config domain.Config) []domain.EntryID {
	entries := config.Entries()
	if len(entries) == 0 {
		return []domain.EntryID{c.cfg.EntryID}
	}
	return entries
}

// shareUnit is the least part of the limits that lets one call in.
func shareUnit(l domain.Limits) uint32 {
	least := math.Inf(1)
	if l.RequestsPerSecond > 0 {
		least = max(1, l.Burst)
		if l.Burst <= 0 {
			least = max(1, l.RequestsPerSecond)
		}
	}
	if l.Concurrency > 0 {
		least = min(least, float64(l.Concurrency))
	}
	if l.TokensPerMinute > 0 {
		least = min(least, maxTokenUnits)
	}
	return uint32(max(1, policy.ShareWhole/least))
}

// applyShare gives the buckets the rate and capacity of the share at an instant.
func (ac *account) applyShare(at domain.Instant) {
	ac.parts = ac.share.Parts()
	part := float64(ac.parts) / policy.ShareWhole
	ac.calls.Set(at, ac.limits.RequestsPerSecond*part, ac.limits.Burst*part)
	perSecond := ac.limits.TokensPerMinute / tokenWindow.Seconds()
	ac.tokens.Set(at, perSecond*part, ac.limits.TokensPerMinute*part)
}

// canBorrow reports whether another entry could lend a share soon.
func (c *Core) canBorrow(ac *account) bool {
	for _, peer := range ac.holders {
		if peer == c.cfg.EntryID {
			continue
		}
		if ac.share.MayAsk(c.now, peer) || c.now.Sub(ac.loanRequestedAt) < c.cfg.LimitWait && ac.lender == peer {
			return true
		}
	}
	return false
}

// requestLoan asks the next holder that may lend a part of the account's limit.
func (c *Core) requestLoan(ac *account) {
	if ac.lender != "" && c.now.Sub(ac.loanRequestedAt) < loanRequestInterval {
		return
	}
	for _, peer := range ac.holders {
		if peer == c.cfg.EntryID || !ac.share.MayAsk(c.now, peer) {
			continue
		}
		ac.share.Asked(c.now, peer)
		ac.lender = peer
		ac.loanRequestedAt = c.now
		c.emit(SendPeer{Peer: peer, Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: &pb.ShareAsk{
			Account: string(ac.id), Parts: c.loanSize(ac),
		}}}})
		return
	}
}

// loanSize is enough for the waiting calls, or an even part if that is more.
func (c *Core) loanSize(ac *account) uint32 {
	even := policy.ShareWhole / len(c.entries(c.config))
	needed := len(ac.waiting) * int(shareUnit(ac.limits))
	return uint32(min(max(even, needed), policy.ShareWhole))
}

// onPeerMessage takes another entry's word on shares.
func (c *Core) onPeerMessage(in PeerMessage) {
	switch m := in.Message.GetKind().(type) {
	case *pb.ToPeer_ShareAsk:
		c.onShareAsk(in.Peer, m.ShareAsk)
	case *pb.ToPeer_ShareLoan:
		c.onShareLoan(in.Peer, m.ShareLoan)
	}
}

// onShareAsk lends a part of this entry's share that it does not need itself.
// The buckets give up the level that goes with it before the loan is told.
func (c *Core) onShareAsk(peer domain.EntryID, m *pb.ShareAsk) {
	id := domain.AccountID(m.GetAccount())
	if c.config == nil || peer == c.cfg.EntryID {
		return
	}
	if _, ok := c.config.Account(id); !ok {
		return
	}
	ac := c.account(id)
	c.refreshAccount(ac)
	if !ac.limited() {
		return
	}
	loan, isNew := ac.share.Offer(peer, m.GetParts())
	if isNew {
		c.loansIssued++
		loan.ID = uint64(c.cfg.Incarnation) + c.loansIssued
		if !c.canLend(ac, loan.Parts) {
			loan.Parts = 0
		}
		if loan.Parts > 0 {
			loan = ac.share.Lend(c.now, loan)
			c.transferLevel(ac, loan.Parts, 1)
		}
	}
	life := loan.Remaining(c.now)
	if loan.Parts == 0 || life <= 0 {
		loan.Parts, life = 0, 0
	}
	c.emit(SendPeer{Peer: peer, Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareLoan{ShareLoan: &pb.ShareLoan{
		Account: m.GetAccount(), Loan: loan.ID, Parts: loan.Parts, TtlMs: uint32(life.Milliseconds()),
	}}}})
}

// canLend reports whether this entry can do without a part of the limits.
func (c *Core) canLend(ac *account, parts uint32) bool {
	if parts == 0 || parts > ac.parts {
		return false
	}
	part := float64(parts) / policy.ShareWhole
	left := float64(ac.limits.Concurrency) * float64(ac.parts-parts) / policy.ShareWhole
	if ac.limits.Concurrency > 0 && float64(ac.openCalls) > left+shareRoundingSlack {
		return false
	}
	return (ac.limits.RequestsPerSecond <= 0 || ac.calls.Has(c.now, ac.limits.Burst*part)) &&
		(ac.limits.TokensPerMinute <= 0 || ac.tokens.Has(c.now, ac.limits.TokensPerMinute*part))
}

// transferLevel takes the level that belongs to a part out of the buckets, or puts it in for sign -1.
func (c *Core) transferLevel(ac *account, parts uint32, sign float64) {
	part := sign * float64(parts) / policy.ShareWhole
	if sign > 0 {
		ac.calls.Charge(c.now, ac.limits.Burst*part)
		ac.tokens.Charge(c.now, ac.limits.TokensPerMinute*part)
		ac.applyShare(c.now)
		return
	}
	ac.applyShare(c.now)
	ac.calls.Charge(c.now, ac.limits.Burst*part)
	ac.tokens.Charge(c.now, ac.limits.TokensPerMinute*part)
}

// onShareLoan uses a part of the limit that a peer has lent.
func (c *Core) onShareLoan(peer domain.EntryID, m *pb.ShareLoan) {
	ac := c.accounts.byID[domain.AccountID(m.GetAccount())]
	if ac == nil || c.config == nil {
		return
	}
	c.refreshAccount(ac)
	loan := policy.Loan{ID: m.GetLoan(), Peer: peer, Parts: m.GetParts()}
	if ac.share.Borrow(c.now, loan, time.Duration(m.GetTtlMs())*time.Millisecond) {
		c.transferLevel(ac, loan.Parts, -1)
	}
	if ac.lender == peer {
		ac.lender = ""
	}
	if len(ac.waiting) > 0 {
		c.calls.wakeAt(ac.waiting[0], c.now)
	}
}
