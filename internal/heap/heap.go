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
	// usual and most bound the garbage allowed before a collection, in percent of what lives.
	usual = 50
	most  = 400
	// room is the garbage that is aimed at under load, in bytes.
	room = 64 << 20
	// look is the interval at which the pace is set anew.
	look = time.Second
	// rest is how long no request must have come for the usual pace.
	rest = 5 * time.Second
)

// Timers calls back at intervals.
type Timers interface {
	Now() time.Time
	Every(interval, jitter time.Duration, fn func(now time.Time)) (cancel func())
}

// Bound sets the pace of an idle process, unless the environment does.
func Bound() { setter()(usual) }

// Pacer sets how much garbage is allowed. It is safe for concurrent use.
type Pacer struct {
	timers Timers
	live   func() uint64
	set    func(percent int)

	last atomic.Int64 // when a request last came, Unix nanoseconds
	busy atomic.Bool

	mu      sync.Mutex
	percent int
	cancel  func()
}

// Option changes a Pacer under construction.
type Option func(*Pacer)

// WithHeap replaces the process's own heap.
func WithHeap(live func() uint64, set func(percent int)) Option {
	return func(p *Pacer) { p.live, p.set = live, set }
}

// New returns a pacer of the process's heap.
func New(timers Timers, opts ...Option) *Pacer {
	p := &Pacer{timers: timers, live: live, set: setter(), percent: usual}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// setter returns what sets the process's pace. An operator's own pace stays.
func setter() func(percent int) {
	if os.Getenv("GOGC") != "" {
		return func(int) {}
	}
	return func(percent int) { debug.SetGCPercent(percent) }
}

// Request notes that a request has come.
func (p *Pacer) Request() {
	p.last.Store(p.timers.Now().UnixNano())
	if !p.busy.Load() {
		p.begin()
	}
}

func (p *Pacer) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy.Swap(true) {
		return
	}
	p.pace()
	p.cancel = p.timers.Every(look, 0, p.check)
}

func (p *Pacer) check(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(time.Unix(0, p.last.Load())) < rest {
		p.pace()
		return
	}
	p.busy.Store(false)
	p.cancel()
	p.change(usual)
}

// pace allows as much garbage as there is room for: little that lives may be
// outgrown several times, much of it not.
func (p *Pacer) pace() {
	p.change(int(min(most, max(usual, room*100/max(p.live(), 1)))))
}

// change stops all goroutines for a moment, so it is left out for small differences.
func (p *Pacer) change(percent int) {
	if percent != usual && percent != most && abs(percent-p.percent) < step {
		return
	}
	if percent != p.percent {
		p.percent = percent
		p.set(percent)
	}
}

// step is the least difference, in percent, that is worth a change.
const step = 25

func abs(n int) int { return max(n, -n) }

// live returns the bytes that the last collection found in use.
func live() uint64 {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
