// Package retry limits the retries of requests over all hops together.
//
// Each profile has a retry budget in proportion to the requests it submits. The number of
// retries that a request has used is passed on with it, so that retries on several hops
// don't multiply.
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

// Reason says why a request is not retried.
type Reason string

// The reasons against a retry.
const (
	// ReasonOnce: the request is not idempotent and may have run.
	ReasonOnce Reason = "once"
	// ReasonLimit: the request has used all its retries.
	ReasonLimit Reason = "limit"
	// ReasonBudget: the retry budget of the profile is used up.
	ReasonBudget Reason = "budget"
	// ReasonDeadline: the retry would start after the deadline.
	ReasonDeadline Reason = "deadline"
)

// Attempt is a failed attempt.
type Attempt struct {
	Profile fleet.Profile
	// Spent is the number of retries of the request so far, over all hops.
	Spent int
	// Outcome says whether the attempt ran.
	Outcome fleet.Outcome
	// Idempotent is set if the request may be retried although it may have run.
	Idempotent bool
	// Deadline is when the first token is due, zero if the request has no latency target.
	Deadline time.Time
	// RetryAfter is the minimum wait that the server requested.
	RetryAfter time.Duration
}

// Decision says whether to retry.
type Decision struct {
	Retry bool
	// Reason is empty if Retry is set.
	Reason Reason
	// Wait is the time to wait before the retry.
	Wait time.Duration
	// Spent is the number of retries to pass on to the next hop.
	Spent int
}

// Option changes a Budget under construction.
type Option func(*Budget)

// Share sets the fraction of a retry that each submitted request adds to its profile's
// budget.
func Share(share float64) Option { return func(b *Budget) { b.share = share } }

// Burst sets the maximum budget that a profile can accumulate.
func Burst(n float64) Option { return func(b *Budget) { b.burst = n } }

// Limit sets the maximum number of retries of one request over all hops.
func Limit(n int) Option { return func(b *Budget) { b.limit = n } }

// Backoff sets the mean wait before the first retry. It doubles with each further retry.
func Backoff(d time.Duration) Option { return func(b *Budget) { b.backoff = d } }

// Seed sets the seed of the random jitter.
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

// Submitted counts a first attempt, which adds the share to the profile's budget.
func (b *Budget) Submitted(p fleet.Profile) {
	b.left[p] = min(b.Left(p)+b.share, b.burst)
}

// Left returns the remaining budget of the profile, in retries.
func (b *Budget) Left(p fleet.Profile) float64 {
	left, ok := b.left[p]
	if !ok {
		return b.burst
	}
	return left
}

// Failed decides whether to retry a failed attempt, and charges the retry to the budget.
func (b *Budget) Failed(now time.Time, a Attempt) Decision {
	wait := max(b.jitteredBackoff(a.Spent), a.RetryAfter)
	reason := b.denyReason(now, a, wait)
	if reason != "" {
		return Decision{Reason: reason, Spent: a.Spent}
	}
	b.left[a.Profile] = b.Left(a.Profile) - 1
	return Decision{Retry: true, Wait: wait, Spent: a.Spent + 1}
}

// denyReason returns why a retry is denied, empty if it is allowed.
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

// jitteredBackoff returns the exponential backoff with a jitter of plus or minus half.
func (b *Budget) jitteredBackoff(spent int) time.Duration {
	meanWait := b.backoff
	for range spent {
		meanWait = min(2*meanWait, maxBackoff)
	}
	return time.Duration((0.5 + b.random.Float64()) * float64(meanWait))
}
