package basilrouter

import "sync/atomic"

const (
	retryBurstMilli  = 10 * milli // retries that an idle service holds in reserve
	retryPerAnswer   = milli / 10 // a tenth of the answers may be retried
	retryTokensMilli = milli
)

// retryBudget bounds retries to a share of the answers; its zero value is full.
type retryBudget struct{ spent atomic.Int64 }

// earn gives back a part of a retry for an answer.
func (b *retryBudget) earn() {
	for {
		s := b.spent.Load()
		if s == 0 || b.spent.CompareAndSwap(s, max(0, s-retryPerAnswer)) {
			return
		}
	}
}

// spend tells whether one more retry is within the budget, and takes it.
func (b *retryBudget) spend() bool {
	for {
		s := b.spent.Load()
		if s+retryTokensMilli > retryBurstMilli {
			return false
		}
		if b.spent.CompareAndSwap(s, s+retryTokensMilli) {
			return true
		}
	}
}
