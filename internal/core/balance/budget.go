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
	// buckets divide the budget's window.
	buckets = 10
	// caution is the part of the allowance that is used: instances may count
	// different numbers of members for a while.
	caution = 0.6
)

// Budget bounds how many requests are sent to a further endpoint, over all
// instances together, without asking the others: each takes an equal share of
// the fixed allowance and a part of its own requests. Requests that endpoints
// refuse count too. It is not safe for concurrent use.
type Budget struct {
	ratio   float64
	extra   float64
	window  time.Duration
	members int
	// fixed is from when the share of the fixed allowance may be used.
	fixed  time.Time
	counts map[catalog.Service]*counts
}

// BudgetOption changes a Budget under construction.
type BudgetOption func(*Budget)

// WithStart sets when the instance started. For a window after it, the fixed allowance
// isn't used: the instance may have used its share before it was started again, and
// may not know yet how many share it.
func WithStart(now time.Time) BudgetOption {
	return func(b *Budget) { b.fixed = now.Add(b.window) }
}

type counts struct {
	at       time.Time // start of the newest bucket
	asked    [buckets]int
	repeated [buckets]int
}

// NewBudget returns a budget that allows ratio times the requests of a window,
// and extra further ones over all instances.
func NewBudget(ratio, extra float64, window time.Duration, opts ...BudgetOption) *Budget {
	b := &Budget{ratio: ratio, extra: extra, window: window, members: 1, counts: make(map[catalog.Service]*counts)}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Clone returns a copy that later calls don't change.
func (b *Budget) Clone() *Budget {
	c := *b
	c.counts = make(map[catalog.Service]*counts, len(b.counts))
	for s, n := range b.counts {
		kept := *n
		c.counts[s] = &kept
	}
	return &c
}

// Print returns a text that is the same for two budgets exactly if they behave alike.
func (b *Budget) Print() string {
	var text strings.Builder
	fmt.Fprint(&text, b.ratio, b.extra, b.window, b.members, b.fixed.UnixNano())
	for _, s := range slices.Sorted(maps.Keys(b.counts)) {
		c := b.counts[s]
		fmt.Fprint(&text, s, c.at.UnixNano(), c.asked, c.repeated)
	}
	return text.String()
}

// Bound changes what is allowed.
func (b *Budget) Bound(ratio, extra float64) { b.ratio, b.extra = ratio, extra }

// Members sets the number of instances that share the allowance. It never falls,
// since instances that are out of sight may still use their share.
func (b *Budget) Members(n int) { b.members = max(b.members, n) }

// Asked notes a request for a service.
func (b *Budget) Asked(now time.Time, s catalog.Service) { b.at(now, s).asked[0]++ }

// Take reports whether a request may be sent once more, and counts it if so.
func (b *Budget) Take(now time.Time, s catalog.Service) bool {
	c := b.at(now, s)
	asked, repeated := 0, 0
	for i := range buckets {
		asked += c.asked[i]
		repeated += c.repeated[i]
	}
	fixed := b.extra / float64(b.members)
	if now.Before(b.fixed) {
		fixed = 0
	}
	if float64(repeated+1) > caution*(b.ratio*float64(asked)+fixed) {
		return false
	}
	c.repeated[0]++
	return true
}

// at returns the counts with the newest bucket at the time.
func (b *Budget) at(now time.Time, s catalog.Service) *counts {
	c := b.counts[s]
	if c == nil {
		c = &counts{at: now}
		b.counts[s] = c
	}
	width := b.window / (buckets - 1)
	for steps := 0; now.Sub(c.at) >= width && steps < buckets; steps++ {
		copy(c.asked[1:], c.asked[:buckets-1])
		copy(c.repeated[1:], c.repeated[:buckets-1])
		c.asked[0], c.repeated[0] = 0, 0
		c.at = c.at.Add(width)
	}
	if now.Sub(c.at) >= width {
		c.at = now
	}
	return c
}
