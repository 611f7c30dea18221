// Package heap lets the process use more memory for garbage while requests
// come, and so collect it less often. Idle it holds little.
package heap

import (
	"os"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minPercent and most bound the garbage allowed before a collection, in percent of what lives.
	minPercent = 50
	maxPercent = 400
	// targetGarbage is the garbage that is aimed at under load, in bytes.
	targetGarbage = 64 << 20
	// checkInterval is the interval at which the pace is set anew.
	checkInterval = time.Second
	// idleTimeout is how long no request must have come for the usual pace.
	idleTimeout = 5 * time.Second
)

// Timers calls back at intervals.
type Timers interface {
	Now() time.Time
	Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func())
}

// SetIdlePercent sets the pace of an idle process, unless the environment does.
func SetIdlePercent() { percentSetter()(minPercent) }

// Pacer sets how much garbage is allowed. It is safe for concurrent use.
type Pacer struct {
	timers     Timers
	liveBytes  func() uint64
	setPercent func(percent int)

	lastRequest atomic.Int64 // when a request last came, Unix nanoseconds
	active      atomic.Bool

	mu      sync.Mutex
	percent int
	cancel  func()
}

// Option changes a Pacer under construction.
type Option func(*Pacer)

// WithHeap replaces the process's own heap.
func WithHeap(liveBytes func() uint64, setPercent func(percent int)) Option {
	return func(p *Pacer) { p.liveBytes, p.setPercent = liveBytes, setPercent }
}

// New returns a pacer of the process's heap.
func New(timers Timers, opts ...Option) *Pacer {
	p := &Pacer{timers: timers, liveBytes: readLiveBytes, setPercent: percentSetter(), percent: minPercent}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// percentSetter returns what sets the process's pace. An operator's own pace stays.
func percentSetter() func(percent int) {
	if os.Getenv("GOGC") != "" {
		return func(int) {}
	}
	return func(percent int) { debug.SetGCPercent(percent) }
}

// Request notes that a request has come.
func (p *Pacer) Request() {
	p.lastRequest.Store(p.timers.Now().UnixNano())
	if !p.active.Load() {
		p.activate()
	}
}

func (p *Pacer) activate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.active.Swap(true) {
		return
	}
	p.adjust()
	p.cancel = p.timers.Every(checkInterval, 0, p.check)
}

func (p *Pacer) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(time.Unix(0, p.lastRequest.Load())) < idleTimeout {
		p.adjust()
		return
	}
	p.active.Store(false)
	p.cancel()
	p.apply(minPercent)
}

// adjust allows as much garbage as there is room for: little that lives may be
// outgrown several times, much of it not.
func (p *Pacer) adjust() {
	p.apply(int(min(maxPercent, max(minPercent, targetGarbage*100/max(p.liveBytes(), 1)))))
}

// apply stops all goroutines for a moment, so it is left out for small differences.
func (p *Pacer) apply(percent int) {
	if percent != minPercent && percent != maxPercent && abs(percent-p.percent) < minChange {
		return
	}
	if percent != p.percent {
		p.percent = percent
		p.setPercent(percent)
	}
}

// minChange is the least difference, in percent, that is worth a change.
const minChange = 25

func abs(n int) int { return max(n, -n) }

// readLiveBytes returns the bytes that the last collection found in use.
func readLiveBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
