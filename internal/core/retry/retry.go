// Package retry bounds how often requests are repeated, over all hops together.
//
// Each profile may repeat a share of what it submits. What one request has
// already spent travels with it, so that hops never multiply their retries.
package retry

import (
	"math/rand/v2"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Defaults of a Budget.
const (
	DefaultShare   = 0.1
	DefaultBurst   = 10.0
	DefaultLimit   = 2
	DefaultBackoff = 50 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Reason says why a request is not repeated.
type Reason string

// The reasons against a retry.
const (
	// ReasonOnce: the request is not idempotent and may have run.
	ReasonOnce Reason = "once"
	// ReasonLimit: the request has spent its retries.
	ReasonLimit Reason = "limit"
	// ReasonBudget: the profile has spent its budget.
	ReasonBudget Reason = "budget"
	// ReasonDeadline: the retry would come too late.
	ReasonDeadline Reason = "deadline"
)

// Attempt is a try that failed.
type Attempt struct {
	Profile fleet.Profile
	// Spent counts the retries of the request so far, over all hops.
	Spent int
	// Outcome says whether the try ran.
	Outcome fleet.Outcome
	// Idempotent requests may be repeated after they ran.
	Idempotent bool
	// Deadline is when the first token is due; zero when the request has no target.
	Deadline time.Time
	// RetryAfter is the wait that the other side asked for.
	RetryAfter time.Duration
}

// Decision says whether to try again.
type Decision struct {
	Retry bool
	// Reason is empty when Retry is set.
	Reason Reason
	// Wait is the time before the next try.
	Wait time.Duration
	// Spent is the count to hand to the next hop.
	Spent int
}

// Option changes a Budget under construction.
type Option func(*Budget)

// Share sets how many retries each submitted request adds to its profile's budget.
func Share(share float64) Option { return func(b *Budget) { b.share = share } }

// Burst sets how many retries a profile may save up.
func Burst(n float64) Option { return func(b *Budget) { b.burst = n } }

// Limit sets how often one request may be repeated over all hops.
func Limit(n int) Option { return func(b *Budget) { b.limit = n } }

// Backoff sets the mean wait before the first retry; it doubles with each further one.
func Backoff(d time.Duration) Option { return func(b *Budget) { b.backoff = d } }

// Seed sets the seed of the jitter.
func Seed(seed uint64) Option { return func(b *Budget) { b.seed = seed } }

// Budget decides on retries. It is not safe for concurrent use.
type Budget struct {
	share   float64
	burst   float64
	limit   int
	backoff time.Duration
	seed    uint64
	random  *rand.Rand
	left    map[fleet.Profile]float64
}

// New returns a Budget in which each profile starts with a full burst.
func New(opts ...Option) *Budget {
	b := &Budget{
		share:   DefaultShare,
		burst:   DefaultBurst,
		limit:   DefaultLimit,
		backoff: DefaultBackoff,
		left:    make(map[fleet.Profile]float64),
	}
	for _, opt := range opts {
		opt(b)
	}
	b.random = rand.New(rand.NewPCG(b.seed, b.seed+1))
	return b
}

// Submitted notes a first try, which earns the profile a share of a retry.
func (b *Budget) Submitted(p fleet.Profile) {
	b.left[p] = min(b.Left(p)+b.share, b.burst)
}

// Left returns how many retries the profile has left.
func (b *Budget) Left(p fleet.Profile) float64 {
	left, ok := b.left[p]
	if !ok {
		return b.burst
	}
	return left
}

// Failed decides whether a failed try is repeated, and takes the retry from the budget.
func (b *Budget) Failed(now time.Time, a Attempt) Decision {
	wait := max(b.jitteredBackoff(a.Spent), a.RetryAfter)
	reason := b.denyReason(now, a, wait)
	if reason != "" {
		return Decision{Reason: reason, Spent: a.Spent}
	}
	b.left[a.Profile] = b.Left(a.Profile) - 1
	return Decision{Retry: true, Wait: wait, Spent: a.Spent + 1}
}

func (b *Budget) denyReason(now time.Time, a Attempt, wait time.Duration) Reason {
	switch {
	case !a.Idempotent && a.Outcome != fleet.OutcomeNotRun:
		return ReasonOnce
	case a.Spent >= b.limit:
		return ReasonLimit
	case !a.Deadline.IsZero() && now.Add(wait).After(a.Deadline):
		return ReasonDeadline
	case b.Left(a.Profile) < 1:
		return ReasonBudget
	default:
		return ""
	}
}

// jitteredBackoff returns a wait with full jitter around the doubled backoff.
func (b *Budget) jitteredBackoff(spent int) time.Duration {
	meanWait := b.backoff
	for range spent {
		meanWait = min(2*meanWait, maxBackoff)
	}
	return time.Duration((0.5 + b.random.Float64()) * float64(meanWait))
}
