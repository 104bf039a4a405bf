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
	parts           uint32             // share of the limits that this entry may use now, in 1/policy.PartsPerLimit
	requests        policy.TokenBucket // for Limits.RequestsPerSecond
	tokens          policy.TokenBucket // for Limits.TokensPerMinute, prompt and answer tokens
	openCalls       uint32             // admitted calls in progress
	limitQueue      []*call            // calls in stageLimitWait, higher tiers first
	admittedCount   uint32             // calls admitted from limitQueue
	askedPeer       domain.EntryID     // peer with an open loan request, empty if there is none
	loanRequestedAt domain.Instant
}

// limited reports whether the account has any limit.
func (ac *account) limited() bool { return ac.limits != domain.Limits{} }

// addToLimitQueue inserts a call behind the queued calls of its tier.
func (ac *account) addToLimitQueue(cl *call) {
	pos := len(ac.limitQueue)
	for pos > 0 && cl.class.Tier.Higher(ac.limitQueue[pos-1].class.Tier) {
		pos--
	}
	ac.limitQueue = append(ac.limitQueue, nil)
	copy(ac.limitQueue[pos+1:], ac.limitQueue[pos:])
	ac.limitQueue[pos] = cl
}

// nextInLimitQueue returns the queued call to admit next. The queue must not be empty.
func (ac *account) nextInLimitQueue() *call {
	next := ac.limitQueue[0]
	if ac.admittedCount%starvationGuardInterval < starvationGuardInterval-1 {
		return next
	}
	for _, cl := range ac.limitQueue {
		if cl.ID < next.ID {
			next = cl
		}
	}
	return next
}

func (ac *account) removeFromLimitQueue(cl *call) {
	if i := slices.Index(ac.limitQueue, cl); i >= 0 {
		ac.limitQueue = slices.Delete(ac.limitQueue, i, i+1)
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
			id:       id,
			budgets:  map[domain.ClassName]*policy.RetryBudget{},
			requests: policy.NewTokenBucket(c.startTime),
			tokens:   policy.NewTokenBucket(c.startTime),
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
