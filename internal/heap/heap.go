// Package heap adjusts the garbage collector's target percentage (GOGC). While requests arrive,
// it allows more garbage so that collections are less frequent; an idle process keeps its heap
// small.
package heap

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minPercent and maxPercent bound the garbage allowed before a collection, as a percentage
	// of the live heap. minPercent is also the setting of an idle process.
	minPercent = 50
	maxPercent = 400
	// targetGarbage is the amount of garbage to allow under load, in bytes.
	targetGarbage = 64 << 20
	// checkInterval is how often the percentage is recalculated under load.
	checkInterval = time.Second
	// idleTimeout is how long after the last request the process counts as idle.
	idleTimeout = 5 * time.Second
)

// Timers calls functions at intervals.
type Timers interface {
	Now() time.Time
	Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func())
}

// SetIdlePercent sets the percentage of an idle process, unless GOGC is set in the environment.
func SetIdlePercent() { percentSetter()(minPercent) }

// SetMemoryLimit sets the memory from which on the process collects garbage whatever the percentage allows,
// unless GOMEMLIMIT is set in the environment. The percentage follows a live heap that has grown only after
// the collection that found it, late on a busy machine.
func SetMemoryLimit(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}

// Pacer adjusts the garbage collection percentage to the load. It is safe for concurrent use.
type Pacer struct {
	timers     Timers
	liveBytes  func() uint64
	setPercent func(percent int)
	// afterCollection calls a function once, after the next collection.
	afterCollection func(fn func())

	lastRequest atomic.Int64 // time of the last request, in Unix nanoseconds
	active      atomic.Bool

	mu        sync.Mutex
	percent   int
	cancel    func()
	observing bool // collected is called after the next collection
}

// Option configures a Pacer.
type Option func(*Pacer)

// WithHeap replaces the functions that read, adjust and observe the process's own heap.
func WithHeap(liveBytes func() uint64, setPercent func(percent int), afterCollection func(fn func())) Option {
	return func(p *Pacer) {
		p.liveBytes, p.setPercent, p.afterCollection = liveBytes, setPercent, afterCollection
	}
}

// New returns a pacer for the process's heap.
func New(timers Timers, opts ...Option) *Pacer {
	p := &Pacer{timers: timers, liveBytes: readLiveBytes, setPercent: percentSetter(), afterCollection: afterCollection, percent: minPercent}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// percentSetter returns the function that sets the percentage. It does nothing if the operator
// has set GOGC.
func percentSetter() func(percent int) {
	if os.Getenv("GOGC") != "" {
		return func(int) {}
	}
	return func(percent int) { debug.SetGCPercent(percent) }
}

// Request records that a request has arrived.
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
	if !p.observing {
		p.observing = true
		p.afterCollection(p.collected)
	}
}

// collected adjusts the percentage after a collection. Until the next check, a live heap that has
// just grown would be multiplied by the percentage of a small one.
func (p *Pacer) collected() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.observing = p.active.Load()
	if p.observing {
		p.adjust()
		p.afterCollection(p.collected)
	}
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

// adjust sets the percentage that allows targetGarbage bytes of garbage: a small live heap may
// grow several times over, a large one by minPercent only.
func (p *Pacer) adjust() {
	p.apply(int(min(maxPercent, max(minPercent, targetGarbage*100/max(p.liveBytes(), 1)))))
}

// apply sets the percentage. Setting it stops all goroutines briefly, so small changes are
// skipped.
func (p *Pacer) apply(percent int) {
	if percent != minPercent && percent != maxPercent && abs(percent-p.percent) < minChange {
		return
	}
	if percent != p.percent {
		p.percent = percent
		p.setPercent(percent)
	}
}

// minChange is the smallest change that is applied, in percentage points.
const minChange = 25

func abs(n int) int { return max(n, -n) }

// sentinel is large enough not to share an allocation with other objects, which would keep it alive.
type sentinel [4]uintptr

// afterCollection calls a function once, after the next collection.
func afterCollection(fn func()) {
	runtime.AddCleanup(new(sentinel), func(fn func()) { fn() }, fn)
}

// readLiveBytes returns the size of the live heap at the last collection.
func readLiveBytes() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
