package entry

import (
	"math"
	"time"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
	"github.com/dunlinpulley/dunlinpulley/internal/wire/pb"
)

const (
	// nextPeerTimeout is the time without a reply to a loan request after which
	// the next peer is asked as well.
	nextPeerTimeout = 50 * time.Millisecond
	// minLimitRetryAfter is the least Retry-After of a call over its account's
	// limits. The concurrency limit adds no estimate of its own, as the end of the
	// calls in progress can't be predicted.
	minLimitRetryAfter = time.Second
	// tokenWindow is the period of Limits.TokensPerMinute.
	tokenWindow = time.Minute
	// maxTokenLimitUnits is the most units (see shareUnit) that a token limit is
	// divided into. A request or concurrency limit has one unit for each call. Calls
	// differ in tokens, so the number is fixed for token limits.
	maxTokenLimitUnits = 16
	// Every starvationGuardInterval-th call admitted from an account's limitQueue is
	// the oldest one, regardless of its tier.
	starvationGuardInterval = 4
	// shareRoundingSlack compensates for rounding when a share is converted to
	// a number of calls, in calls.
	shareRoundingSlack = 1e-4
)

// checkLimits continues a call that is within its account's limits. A call over
// this entry's share of them waits up to LimitWait for a refill of the share or
// a loan from another entry.
func (c *Core) checkLimits(cl *call) {
	ac := c.account(cl.Account)
	c.refreshAccount(ac)
	if !ac.limited() {
		c.startAfterLimits(cl)
		return
	}
	if len(ac.limitQueue) == 0 && c.chargeLimits(ac, cl) {
		c.startAfterLimits(cl)
		return
	}
	cl.stage = stageLimitWait
	cl.limitDeadline = c.now.Add(c.settings.LimitWait)
	ac.addToLimitQueue(cl)
	c.calls.wakeAt(cl, c.now)
}

// processLimitWait admits the calls in the limitQueue of a call's account for
// which there is room. If the call is not among them, it asks other entries for a
// loan, or ends the call when neither a loan nor a refill can be in time.
func (c *Core) processLimitWait(cl *call) {
	if cl.stage != stageLimitWait {
		return
	}
	ac := c.account(cl.Account)
	c.admitWithinLimits(ac)
	if cl.stage != stageLimitWait {
		return
	}
	refill, refills := c.refillTime(ac, cl)
	refills = refills && refill <= cl.limitDeadline
	if c.now >= cl.limitDeadline || !refills && !c.canBorrow(ac) {
		c.finishRateLimited(cl, ac)
		return
	}
	c.requestLoan(ac)
	next := min(c.now.Add(nextPeerTimeout), cl.limitDeadline)
	if refills {
		next = min(next, max(refill, c.now+1))
	}
	c.calls.wakeAt(cl, next)
}

// refillTime returns when this entry's own buckets are expected to have room for a
// call in the limitQueue. The requests of the calls ahead of it are counted, their
// tokens are not. It returns false if refilling can't admit the call: without a
// share, at the concurrency limit, or if a bucket is too small.
func (c *Core) refillTime(ac *account, cl *call) (domain.Instant, bool) {
	if ac.parts == 0 || ac.limits.Concurrency > 0 && ac.openCalls >= ac.maxConcurrent() {
		return 0, false
	}
	var wait time.Duration
	if ac.limits.RequestsPerSecond > 0 {
		requests := ac.requests.WaitTime(c.now, 1)
		if requests < 0 {
			return 0, false
		}
		ahead := float64(ac.callsAhead(cl))
		wait = requests + time.Duration(ahead/ac.requests.Rate()*float64(time.Second))
	}
	if ac.limits.TokensPerMinute > 0 {
		tokens := ac.tokens.WaitTime(c.now, ac.tokensNeeded(cl))
		if tokens < 0 {
			return 0, false
		}
		wait = max(wait, tokens)
	}
	return c.now.Add(wait), true
}

// admitWithinLimits admits calls from an account's limitQueue while the limits have
// room, higher tiers first. Every starvationGuardInterval-th call is the oldest one,
// so that a burst of one class does not starve the account's other classes.
func (c *Core) admitWithinLimits(ac *account) {
	c.refreshAccount(ac)
	for len(ac.limitQueue) > 0 {
		cl := ac.nextInLimitQueue()
		if !c.chargeLimits(ac, cl) {
			return
		}
		ac.admittedCount++
		ac.removeFromLimitQueue(cl)
		c.startAfterLimits(cl)
	}
}

// chargeLimits charges a call to this entry's share of the limits. It returns
// false, and charges nothing, if there is no room.
func (c *Core) chargeLimits(ac *account, cl *call) bool {
	if ac.parts == 0 {
		return false
	}
	if ac.limits.Concurrency > 0 && ac.openCalls >= ac.maxConcurrent() {
		return false
	}
	needed := ac.tokensNeeded(cl)
	if ac.limits.RequestsPerSecond > 0 && !ac.requests.Has(c.now, 1) {
		return false
	}
	if ac.limits.TokensPerMinute > 0 && !ac.tokens.Has(c.now, needed) {
		return false
	}
	ac.requests.Charge(c.now, 1)
	ac.tokens.Charge(c.now, needed)
	ac.openCalls++
	cl.limitsCharged = true
	cl.tokensCharged = needed
	return true
}

// settleLimits releases an ended call's place in the limits and corrects its
// token charge from the estimate to the tokens used: a surplus is refunded, a
// deficit is charged even below zero. The whole token charge of a call that was not
// run is refunded; its charge to the request limit is not.
func (c *Core) settleLimits(cl *call, end CallerEnd) {
	ac := c.accounts.byID[cl.Account]
	if ac == nil {
		return
	}
	ac.removeFromLimitQueue(cl)
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
	if len(ac.limitQueue) > 0 {
		c.calls.wakeAt(ac.limitQueue[0], c.now)
	}
}

// tokensNeeded returns the tokens that a call is charged in advance: its prompt and
// the bound on its answer. Without a bound only the prompt is charged, and
// settleLimits charges the answer. The result is limited to the bucket's capacity,
// as a larger call would never be admitted.
func (ac *account) tokensNeeded(cl *call) float64 {
	return min(float64(cl.PromptTokens)+float64(cl.tokenLimit()), ac.tokens.Capacity())
}

// maxConcurrent returns the number of calls in progress that this entry's share allows.
func (ac *account) maxConcurrent() uint32 {
	limit := float64(ac.limits.Concurrency) * float64(ac.parts) / policy.PartsPerLimit
	return uint32(math.Floor(limit + shareRoundingSlack))
}

// limitRetryAfter estimates the time until the account's limits have room again.
func (c *Core) limitRetryAfter(ac *account, cl *call) time.Duration {
	wait := minLimitRetryAfter
	if ac.limits.RequestsPerSecond > 0 {
		wait = max(wait, ac.requests.WaitTime(c.now, 1))
	}
	if ac.limits.TokensPerMinute > 0 {
		wait = max(wait, ac.tokens.WaitTime(c.now, ac.tokensNeeded(cl)))
	}
	return min(wait, maxRetryAfter)
}

// callsAhead returns the number of calls ahead of a call in the limitQueue.
func (ac *account) callsAhead(cl *call) int {
	for i, other := range ac.limitQueue {
		if other == cl {
			return i
		}
	}
	return len(ac.limitQueue)
}

// refreshAccount brings an account up to date: it applies the limits of a new
// configuration, and the loan expiries and share increases that are due.
func (c *Core) refreshAccount(ac *account) {
	if ac.revision != c.Revision() {
		c.applyLimits(ac)
	}
	if !ac.limited() {
		return
	}
	for {
		at, ok := ac.share.ApplyNextDue(c.now)
		if !ok {
			break
		}
		ac.applyShare(at)
	}
	ac.applyShare(c.now)
}

// applyLimits sets an account's limits and share from the configuration in force.
func (c *Core) applyLimits(ac *account) {
	accountConfig, ok := c.config.Account(ac.id)
	if !ok {
		return // the account was deleted; its calls in progress keep their limits
	}
	ac.revision = c.Revision()
	ac.limits = accountConfig.Limits
	if ac.limits.RequestsPerSecond > 0 && ac.limits.Burst <= 0 {
		ac.limits.Burst = max(1, ac.limits.RequestsPerSecond)
	}
	if !ac.limited() {
		return
	}
	entries := c.entries(c.config)
	unit := shareUnit(ac.limits)
	holders, _ := policy.SplitLimit(ac.id, entries, unit)
	ac.holders = holders
	base := c.baseShare(c.config, ac.id)
	first := !ac.hasShare
	if first {
		ac.hasShare = true
		ac.share.Start(c.now, c.startTime, c.minBaseShare(ac.id, base), unit)
		ac.applyShare(c.startTime)
	}
	// SetBase takes the time of the configuration change and delays an increase by
	// shareIncreaseDelay from it. That time is sharesEffective less the delay, or
	// startTime if no configuration was replaced. A share that first starts after
	// sharesEffective needs no SetBase, as minBaseShare then returns the new base.
	if !first || c.now < c.sharesEffective {
		ac.share.SetBase(max(c.startTime, c.sharesEffective.Add(-shareIncreaseDelay)), base, unit)
	}
}

// shareIncreaseDelay is the time after a new configuration before this entry
// uses a larger share. Previous holders and their loans have ended by then.
const shareIncreaseDelay = policy.LoanDuration + 2*policy.LoanMargin

// minBaseShare returns the smallest of a base share and the account's base
// shares in previous configurations whose shares may still be in use.
func (c *Core) minBaseShare(id domain.AccountID, base uint32) uint32 {
	for _, previous := range c.previous {
		if c.now < previous.until {
			base = min(base, c.baseShare(previous.config, id))
		}
	}
	return base
}

// baseShare returns this entry's share of an account's limits by a
// configuration, before loans, in parts of policy.PartsPerLimit.
func (c *Core) baseShare(config domain.Config, id domain.AccountID) uint32 {
	accountConfig, ok := config.Account(id)
	if !ok {
		return 0
	}
	holders, parts := policy.SplitLimit(id, c.entries(config), shareUnit(accountConfig.Limits))
	for i, h := range holders {
		if h == c.settings.EntryID {
			return parts[i]
		}
	}
	return 0
}

// entries returns the configured entries, or only this one if there are none.
func (c *Core) entries(config domain.Config) []domain.EntryID {
	entries := config.Entries()
	if len(entries) == 0 {
		return []domain.EntryID{c.settings.EntryID}
	}
	return entries
}

// shareUnit returns the smallest useful share of the limits, in parts: one that
// admits one call, or 1/maxTokenLimitUnits of a token limit if that is larger.
func shareUnit(limits domain.Limits) uint32 {
	units := math.Inf(1)
	if limits.RequestsPerSecond > 0 {
		units = max(1, limits.Burst)
		if limits.Burst <= 0 {
			units = max(1, limits.RequestsPerSecond)
		}
	}
	if limits.Concurrency > 0 {
		units = min(units, float64(limits.Concurrency))
	}
	if limits.TokensPerMinute > 0 {
		units = min(units, maxTokenLimitUnits)
	}
	return uint32(max(1, policy.PartsPerLimit/units))
}

// applyShare sets the buckets to the rate and capacity of the share from an instant on.
func (ac *account) applyShare(at domain.Instant) {
	ac.parts = ac.share.Parts()
	fraction := float64(ac.parts) / policy.PartsPerLimit
	ac.requests.SetLimits(at, ac.limits.RequestsPerSecond*fraction, ac.limits.Burst*fraction)
	perSecond := ac.limits.TokensPerMinute / tokenWindow.Seconds()
	ac.tokens.SetLimits(at, perSecond*fraction, ac.limits.TokensPerMinute*fraction)
}

// canBorrow reports whether another holder can be asked for a loan now, or has
// been asked within LimitWait and not replied.
func (c *Core) canBorrow(ac *account) bool {
	for _, peer := range ac.holders {
		if peer == c.settings.EntryID {
			continue
		}
		if ac.share.MayRequestLoan(c.now, peer) || c.now.Sub(ac.loanRequestedAt) < c.settings.LimitWait && ac.askedPeer == peer {
			return true
		}
	}
	return false
}

// requestLoan asks the next possible holder for a loan of the account's limits.
// It does nothing while an unanswered request is younger than nextPeerTimeout.
func (c *Core) requestLoan(ac *account) {
	if ac.askedPeer != "" && c.now.Sub(ac.loanRequestedAt) < nextPeerTimeout {
		return
	}
	for _, peer := range ac.holders {
		if peer == c.settings.EntryID || !ac.share.MayRequestLoan(c.now, peer) {
			continue
		}
		ac.share.RecordRequest(c.now, peer)
		ac.askedPeer = peer
		ac.loanRequestedAt = c.now
		c.emit(SendPeer{Peer: peer, Message: &pb.ToPeer{Kind: &pb.ToPeer_ShareAsk{ShareAsk: &pb.ShareAsk{
			Account: string(ac.id), Parts: c.loanSize(ac),
		}}}})
		return
	}
}

// loanSize returns the parts to ask for: enough for the calls in the limitQueue,
// and at least an even share among the entries.
func (c *Core) loanSize(ac *account) uint32 {
	evenShare := policy.PartsPerLimit / len(c.entries(c.config))
	needed := len(ac.limitQueue) * int(shareUnit(ac.limits))
	return uint32(min(max(evenShare, needed), policy.PartsPerLimit))
}

// onPeerMessage handles a loan request or a loan of another entry.
func (c *Core) onPeerMessage(in PeerMessage) {
	switch m := in.Message.GetKind().(type) {
	case *pb.ToPeer_ShareAsk:
		c.onShareAsk(in.Peer, m.ShareAsk)
	case *pb.ToPeer_ShareLoan:
		c.onShareLoan(in.Peer, m.ShareLoan)
	}
}

// onShareAsk replies to a loan request with a part of this entry's share that is
// not in use, or with a loan of zero parts. The buckets are reduced by the loan
// before it is sent, so that no part of the limits is used twice. A peer with a
// loan gets the same loan again.
func (c *Core) onShareAsk(peer domain.EntryID, m *pb.ShareAsk) {
	id := domain.AccountID(m.GetAccount())
	if c.config == nil || peer == c.settings.EntryID {
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
		// An incarnation is a start time in microseconds, so the ID is higher than
		// those of the loans before a restart.
		loan.ID = uint64(c.settings.Incarnation) + c.loansIssued
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

// canLend reports whether a part of this entry's share is unused: the calls in
// progress fit the rest, and the buckets hold the part's full level.
func (c *Core) canLend(ac *account, parts uint32) bool {
	if parts == 0 || parts > ac.parts {
		return false
	}
	fraction := float64(parts) / policy.PartsPerLimit
	remaining := float64(ac.limits.Concurrency) * float64(ac.parts-parts) / policy.PartsPerLimit
	if ac.limits.Concurrency > 0 && float64(ac.openCalls) > remaining+shareRoundingSlack {
		return false
	}
	return (ac.limits.RequestsPerSecond <= 0 || ac.requests.Has(c.now, ac.limits.Burst*fraction)) &&
		(ac.limits.TokensPerMinute <= 0 || ac.tokens.Has(c.now, ac.limits.TokensPerMinute*fraction))
}

// transferLevel moves the bucket level that belongs to a loan and applies the
// changed share. The sign is 1 for a loan to a peer, which is charged to the
// buckets, and -1 for a loan from a peer. As a level above the capacity is lost,
// it is charged before the capacity shrinks, and added after the capacity has grown.
func (c *Core) transferLevel(ac *account, parts uint32, sign float64) {
	fraction := sign * float64(parts) / policy.PartsPerLimit
	if sign > 0 {
		ac.requests.Charge(c.now, ac.limits.Burst*fraction)
		ac.tokens.Charge(c.now, ac.limits.TokensPerMinute*fraction)
		ac.applyShare(c.now)
		return
	}
	ac.applyShare(c.now)
	ac.requests.Charge(c.now, ac.limits.Burst*fraction)
	ac.tokens.Charge(c.now, ac.limits.TokensPerMinute*fraction)
}

// onShareLoan adds a loan from a peer to this entry's share. A loan that is
// unsolicited, a duplicate, expired or of zero parts changes no share.
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
	if ac.askedPeer == peer {
		ac.askedPeer = ""
	}
	if len(ac.limitQueue) > 0 {
		c.calls.wakeAt(ac.limitQueue[0], c.now)
	}
}
