package router

import "sync"

const (
	// retryShare is the share of successes that may be retried.
	retryShare = 0.2
	// retryReserve is what may be retried without any success.
	retryReserve = 20
)

// retryBudget bounds retries to a share of successes, so that retries can't
// multiply the load of a failing fleet.
type retryBudget struct {
	mu sync.Mutex
	// left is the number of retries that may still be made.
	left float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{left: retryReserve}
}

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+retryShare, retryReserve)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
