package shutdown

import (
	"sync"
	"time"
)

// maxGap is the longest time between two records of a process that runs, and the longest time after a pause
// until a signal that arrived in it is handled.
const maxGap = 200 * time.Millisecond

// Activity finds the pauses of a process, such as those of a frozen machine. Times are those of a clock that
// also runs during them. It is safe for concurrent use.
type Activity struct {
	mu              sync.Mutex
	last            time.Duration // record
	paused, resumed time.Duration
}

// Record records that the process runs. Longer than maxGap without a call counts as a pause: if one has just
// ended, it returns how long it was.
func (a *Activity) Record(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.record(now)
}

func (a *Activity) record(now time.Duration) time.Duration {
	pause := now - a.last
	if a.last == 0 || pause <= maxGap {
		pause = 0
	} else {
		a.paused, a.resumed = a.last, now
	}
	a.last = now
	return pause
}

// Lag returns how long ago a signal that is handled now may have been sent: the time since the process last
// ran before a pause that has just ended, 0 if there was none.
func (a *Activity) Lag(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record(now)
	if a.resumed == 0 || now-a.resumed > maxGap {
		return 0
	}
	return now - a.paused
}
