package timer

import (
	"sync"
	"time"
)

// System is the real-time clock.
type System struct{}

// Now returns the current system time.
func (System) Now() time.Time { return time.Now() }

// Wake starts a runtime timer.
func (System) Wake(wait time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(wait)
	return t.C, func() { t.Stop() }
}

// Virtual is a clock for tests that moves only when Advance is called.
type Virtual struct {
	mu      sync.Mutex
	now     time.Time
	waiters map[chan time.Time]time.Time
}

// NewVirtual returns a clock that is set to now.
func NewVirtual(now time.Time) *Virtual {
	return &Virtual{now: now, waiters: make(map[chan time.Time]time.Time)}
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Wake returns a channel that receives when Advance has moved the clock past the wait.
func (v *Virtual) Wake(wait time.Duration) (<-chan time.Time, func()) {
	v.mu.Lock()
	defer v.mu.Unlock()
	c := make(chan time.Time, 1)
	if wait <= 0 {
		c <- v.now
		return c, func() {}
	}
	v.waiters[c] = v.now.Add(wait)
	return c, func() { v.removeWaiter(c) }
}

// Advance moves the clock forward and wakes all waiters whose wait has elapsed.
func (v *Virtual) Advance(by time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.now = v.now.Add(by)
	for c, at := range v.waiters {
		if at.After(v.now) {
			continue
		}
		c <- v.now
		delete(v.waiters, c)
	}
}

func (v *Virtual) removeWaiter(c chan time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.waiters, c)
}
