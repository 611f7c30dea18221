package client

import "sync"

// retryBudget limits retries to a fraction of the requests, so that retries do not
// multiply the load while the system is overloaded or failing.
type retryBudget struct {
	ratio float64
	burst float64

	mu        sync.Mutex
	available float64
}

func newRetryBudget(ratio, burst float64) *retryBudget {
	return &retryBudget{ratio: ratio, burst: burst, available: burst}
}

// deposit adds the fraction of a retry that one request earns, up to the burst.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.burst, b.available+b.ratio)
}

// withdraw takes one retry from the budget. It returns false if none is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
