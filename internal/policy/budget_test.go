package policy

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRetryBudgetIsProportionalToCalls(t *testing.T) {
	var b RetryBudget
	granted := 0
	for range 1000 {
		b.Deposit(0.1)
		if b.Withdraw() {
			granted++
		}
	}
	assert.Assert(t, granted >= 100 && granted <= 100+initialRetries, "granted %d", granted)
}

func TestRetryBudgetOfZeroAllowsNone(t *testing.T) {
	var b RetryBudget
	b.Deposit(0)
	assert.Assert(t, !b.Withdraw())
}
