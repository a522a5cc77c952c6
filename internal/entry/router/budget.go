package router

import "sync"

const (
	// retryRatio is the number of retries that each success earns.
	retryRatio = 0.2
	// maxRetryBalance is the limit of the balance and its initial value: the first retries
	// up to this number need no success.
	maxRetryBalance = 20
)

// retryBudget bounds retries to a share of successes, so that retries can't multiply the
// load of a failing fleet.
type retryBudget struct {
	mu sync.Mutex
	// balance is the number of retries that may still be made.
	balance float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{balance: maxRetryBalance}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+retryRatio, maxRetryBalance)
}

func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
