package entry

import (
	"slices"

	"github.com/dunlinpulley/dunlinpulley/internal/domain"
	"github.com/dunlinpulley/dunlinpulley/internal/policy"
)

// account is what an entry keeps of a client account that has made a call.
type account struct {
	id      domain.AccountID
	budgets map[domain.ClassName]*policy.RetryBudget

	revision        domain.Revision // whose limits these are, 0 before the first
	limits          domain.Limits
	holders         []domain.EntryID // of the limit's shares at first
	share           policy.Share
	hasShare        bool
	parts           uint32 // of the limits, for use by this entry
	calls           policy.Bucket
	tokens          policy.Bucket
	openCalls       uint32  // calls in progress
	waiting         []*call // for the limits, higher tiers first
	admittedCount   uint32  // calls let in from those
	lender          domain.EntryID
	loanRequestedAt domain.Instant
}

// limited reports whether the account has any limit.
func (ac *account) limited() bool { return ac.limits != domain.Limits{} }

// enqueueWaiting puts a call behind those of its tier.
func (ac *account) enqueueWaiting(cl *call) {
	at := len(ac.waiting)
	for at > 0 && cl.class.Tier.Higher(ac.waiting[at-1].class.Tier) {
		at--
	}
	ac.waiting = append(ac.waiting, nil)
	copy(ac.waiting[at+1:], ac.waiting[at:])
	ac.waiting[at] = cl
}

// nextWaiting returns the waiting call to let in next.
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

// accountTable holds the accounts by name.
type accountTable struct {
	byID map[domain.AccountID]*account
}

func newAccountTable() accountTable {
	return accountTable{byID: map[domain.AccountID]*account{}}
}

// account returns the state of a client account, new if it was not known.
func (c *Core) account(id domain.AccountID) *account {
	ac := c.accounts.byID[id]
	if ac == nil {
		ac = &account{
			id:      id,
			budgets: map[domain.ClassName]*policy.RetryBudget{},
			calls:   policy.NewBucket(c.startTime),
			tokens:  policy.NewBucket(c.startTime),
		}
		c.accounts.byID[id] = ac
	}
	return ac
}

// budget returns the retry budget of a class.
func (ac *account) budget(class domain.ClassName) *policy.RetryBudget {
	b := ac.budgets[class]
	if b == nil {
		b = &policy.RetryBudget{}
		ac.budgets[class] = b
	}
	return b
}
