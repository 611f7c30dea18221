package client

import "sync"

// budget bounds retries to a share of the requests, so that a client in trouble
// does not multiply the load.
type budget struct {
	ratio float64
	burst float64

	mu    sync.Mutex
	saved float64
}

func newBudget(ratio, burst float64) *budget {
	return &budget{ratio: ratio, burst: burst, saved: burst}
}

// earn counts one request.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.burst, b.saved+b.ratio)
}

// spend takes one retry, or returns false when none is left.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}
