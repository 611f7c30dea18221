package timer

import (
	"sync"
	"time"
)

// System is the clock of the machine.
type System struct{}

// Now returns the machine's time.
func (System) Now() time.Time { return time.Now() }

// Wake waits on a timer of the runtime.
func (System) Wake(wait time.Duration) (<-chan time.Time, func()) {
	t := time.NewTimer(wait)
	return t.C, func() { t.Stop() }
}

// Virtual is a clock for tests that moves only when told.
type Virtual struct {
	mu      sync.Mutex
	now     time.Time
	waiters map[chan time.Time]time.Time
}

// NewVirtual returns a clock that stands at a time.
func NewVirtual(now time.Time) *Virtual {
	return &Virtual{now: now, waiters: make(map[chan time.Time]time.Time)}
}

// Now returns the virtual time.
func (v *Virtual) Now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.now
}

// Wake waits until Advance has moved the clock far enough.
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

// Advance moves the clock and wakes whoever's wait is over.
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
