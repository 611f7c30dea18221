package client

import "sync"

// retryBudget bounds retries to a share of the requests, so that a client in trouble
// does not multiply the load.
type retryBudget struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	available float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, available: burst}
}

// deposit counts one request.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.ratio)
}

// withdraw takes one retry, or returns false when none is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
