package balance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
)

const (
	// bucketCount is the number of buckets of the budget's window.
	bucketCount = 10
	// safetyFactor is the part of the budget that is used, since instances may
	// temporarily disagree on the number of members.
	safetyFactor = 0.6
)

// Budget limits how many requests are retried at another endpoint, over all instances
// together and without coordination: each instance uses an equal share of the fixed
// allowance, and a ratio of its own requests. Retries of requests that an endpoint refused
// count too. It is not safe for concurrent use.
type Budget struct {
	ratio     float64
	allowance float64
	window    time.Duration
	members   int
	// allowanceFrom is the time from which the share of the fixed allowance may be used.
	allowanceFrom time.Time
	counts        map[catalog.Service]*serviceCounts
}

// BudgetOption configures a Budget under construction.
type BudgetOption func(*Budget)

// WithStart sets when the instance started. The fixed allowance isn't used for one window
// after it: the instance may have used its share before a restart, and may not yet have
// received how many instances share it.
func WithStart(now time.Time) BudgetOption {
	return func(b *Budget) { b.allowanceFrom = now.Add(b.window) }
}

type serviceCounts struct {
	bucketStart time.Time // start of the newest bucket
	requests    [bucketCount]int
	retries     [bucketCount]int
}

// NewBudget returns a budget that allows ratio times the requests of a window as retries,
// plus a fixed allowance over all instances.
func NewBudget(ratio, allowance float64, window time.Duration, opts ...BudgetOption) *Budget {
	b := &Budget{ratio: ratio, allowance: allowance, window: window, members: 1, counts: make(map[catalog.Service]*serviceCounts)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Clone returns an independent copy.
func (b *Budget) Clone() *Budget {
	c := *b
	c.counts = make(map[catalog.Service]*serviceCounts, len(b.counts))
	for s, n := range b.counts {
		copied := *n
		c.counts[s] = &copied
	}
	return &c
}

// Fingerprint returns a string that is equal for two budgets exactly if they behave alike.
func (b *Budget) Fingerprint() string {
	var text strings.Builder
	fmt.Fprint(&text, b.ratio, b.allowance, b.window, b.members, b.allowanceFrom.UnixNano())
	for _, s := range slices.Sorted(maps.Keys(b.counts)) {
		c := b.counts[s]
		fmt.Fprint(&text, s, c.bucketStart.UnixNano(), c.requests, c.retries)
	}
	return text.String()
}

// SetLimits changes the ratio and the fixed allowance.
func (b *Budget) SetLimits(ratio, allowance float64) { b.ratio, b.allowance = ratio, allowance }

// SetMembers sets the number of instances that share the allowance. The number never
// falls, since unreachable instances may still use their share.
func (b *Budget) SetMembers(n int) { b.members = max(b.members, n) }

// HoldAllowance withholds the fixed allowance at a time at which it isn't known how many instances
// share it.
func (b *Budget) HoldAllowance(now time.Time) {
	if !now.Before(b.allowanceFrom) {
		b.allowanceFrom = now.Add(1)
	}
}

// RecordRequest counts a request for a service.
func (b *Budget) RecordRequest(now time.Time, s catalog.Service) { b.countsAt(now, s).requests[0]++ }

// TakeRetry reports whether a request may be retried, and counts the retry if so.
func (b *Budget) TakeRetry(now time.Time, s catalog.Service) bool {
	c := b.countsAt(now, s)
	requests, retries := 0, 0
	for i := range bucketCount {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowance := b.allowance / float64(b.members)
	if now.Before(b.allowanceFrom) {
		allowance = 0
	}
	if float64(retries+1) > safetyFactor*(b.ratio*float64(requests)+allowance) {
		return false
	}
	c.retries[0]++
	return true
}

// countsAt returns the counts of a service after advancing its buckets to now.
func (b *Budget) countsAt(now time.Time, s catalog.Service) *serviceCounts {
	c := b.counts[s]
	if c == nil {
		c = &serviceCounts{bucketStart: now}
		b.counts[s] = c
	}
	width := b.window / (bucketCount - 1)
	for steps := 0; now.Sub(c.bucketStart) >= width && steps < bucketCount; steps++ {
		copy(c.requests[1:], c.requests[:bucketCount-1])
		copy(c.retries[1:], c.retries[:bucketCount-1])
		c.requests[0], c.retries[0] = 0, 0
		c.bucketStart = c.bucketStart.Add(width)
	}
	if now.Sub(c.bucketStart) >= width {
		c.bucketStart = now
	}
	return c
}
