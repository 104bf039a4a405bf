package policy

// Initial and maximum balance of a retry budget, in retries.
const (
	initialRetries = 10.0
	maxRetries     = 20.0
)

// RetryBudget limits the retries of one request class of a client account to a
// ratio of its calls, so that failing endpoints don't cause a retry storm. The
// zero value allows no retries until the first Deposit.
type RetryBudget struct {
	retries     float64 // balance
	initialized bool
}

// Deposit adds ratio retries to the balance, for one call. The first deposit with a positive
// ratio also sets the initial balance. A ratio of 0 or less is ignored.
func (b *RetryBudget) Deposit(ratio float64) {
	if ratio <= 0 {
		return
	}
	if !b.initialized {
		b.initialized = true
		b.retries = initialRetries
	}
	b.retries = min(b.retries+ratio, maxRetries)
}

// Empty reports whether the balance is less than one retry.
func (b *RetryBudget) Empty() bool { return b.retries < 1 }

// Withdraw spends one retry and reports whether the balance allowed it.
func (b *RetryBudget) Withdraw() bool {
	if b.Empty() {
		return false
	}
	b.retries--
	return true
}
