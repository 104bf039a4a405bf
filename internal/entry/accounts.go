package entry

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// account is the state of a client account that has made calls at this entry,
// or whose limits another entry has asked to borrow.
type account struct {
	id      domain.AccountID
	budgets map[domain.ClassName]*policy.RetryBudget // for retries, by class

	revision        domain.Revision // of the configuration that limits is from, 0 before the first
	limits          domain.Limits
	holders         []domain.EntryID // entries with a base share of the limits
	share           policy.LimitShare
	hasShare        bool
	parts           uint32             // usable share of the limits, of policy.PartsPerLimit
	calls           policy.TokenBucket // admitted calls
	tokens          policy.TokenBucket // prompt and answer tokens
	openCalls       uint32             // admitted calls in progress
	waiting         []*call            // calls in stageLimitWait, higher tiers first
	admittedCount   uint32             // calls admitted from waiting
	lender          domain.EntryID     // asked for a loan, empty if no request is open
	loanRequestedAt domain.Instant
}

// limited reports whether the account has any limit.
func (ac *account) limited() bool { return ac.limits != domain.Limits{} }

// enqueueWaiting inserts a call behind the waiting calls of its tier.
func (ac *account) enqueueWaiting(cl *call) {
	pos := len(ac.waiting)
	for pos > 0 && cl.class.Tier.Higher(ac.waiting[pos-1].class.Tier) {
		pos--
	}
	ac.waiting = append(ac.waiting, nil)
	copy(ac.waiting[pos+1:], ac.waiting[pos:])
	ac.waiting[pos] = cl
}

// nextWaiting returns the waiting call to admit next. There must be one.
func (ac *account) nextWaiting() *call {
	next := ac.waiting[0]
	if ac.admittedCount%starvationGuardInterval < starvationGuardInterval-1 {
		return next
	}
	for _, cl := range ac.waiting {
		if cl.ID < next.ID {
			next = cl
		}
	}
	return next
}

func (ac *account) removeWaiting(cl *call) {
	if i := slices.Index(ac.waiting, cl); i >= 0 {
		ac.waiting = slices.Delete(ac.waiting, i, i+1)
	}
}

// accountTable holds the accounts by ID.
type accountTable struct {
	byID map[domain.AccountID]*account
}

func newAccountTable() accountTable {
	return accountTable{byID: map[domain.AccountID]*account{}}
}

// account returns the state of a client account, and adds it if it is not known.
func (c *Core) account(id domain.AccountID) *account {
	ac := c.accounts.byID[id]
	if ac == nil {
		ac = &account{
			id:      id,
			budgets: map[domain.ClassName]*policy.RetryBudget{},
			calls:   policy.NewTokenBucket(c.startTime),
			tokens:  policy.NewTokenBucket(c.startTime),
		}
		c.accounts.byID[id] = ac
	}
	return ac
}

// budget returns the account's retry budget for a class, and adds it if there is none.
func (ac *account) budget(class domain.ClassName) *policy.RetryBudget {
	b := ac.budgets[class]
	if b == nil {
		b = &policy.RetryBudget{}
		ac.budgets[class] = b
	}
	return b
}
