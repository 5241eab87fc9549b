package basilrouter

import "sync/atomic"

const (
	retryBudgetMax         = 10 * milli // retries available to a service without recent retries
	retryEarnedPerResponse = milli / 10 // one retry is earned per ten responses
	retryCost              = milli
)

// retryBudget limits retries to a share of the answered and rejected attempts; its zero value is a full budget.
type retryBudget struct{ spentMilli atomic.Int64 }

// earn returns a fraction of a retry to the budget for a response.
func (b *retryBudget) earn() {
	for {
		s := b.spentMilli.Load()
		if s == 0 || b.spentMilli.CompareAndSwap(s, max(0, s-retryEarnedPerResponse)) {
			return
		}
	}
}

// spend takes one retry from the budget and reports whether it was available.
func (b *retryBudget) spend() bool {
	for {
		s := b.spentMilli.Load()
		if s+retryCost > retryBudgetMax {
			return false
		}
		if b.spentMilli.CompareAndSwap(s, s+retryCost) {
			return true
		}
	}
}
