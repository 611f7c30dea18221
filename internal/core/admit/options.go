package admit

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Shares holds a share of the slots for each rank. Each is 0 to 1, and their sum is at most 1.
type Shares struct {
	Urgent   float64
	Standard float64
	Bulk     float64
}

func (s Shares) forLevel(level int) float64 {
	switch level {
	case fleet.RankUrgent.Level():
		return s.Urgent
	case fleet.RankStandard.Level():
		return s.Standard
	default:
		return s.Bulk
	}
}

// Speed describes the throughput of the endpoint. A step is one decoding step of the
// engine, which produces one token for each running request.
type Speed struct {
	// PrefillRate is the prefill throughput in prompt tokens per second; zero when unknown.
	PrefillRate float64
	// BaseStep is the time per token of a single running request.
	BaseStep time.Duration
	// StepPerRequest is the time per token that each further running request adds.
	StepPerRequest time.Duration
	// StepPerModel is the time per token that each further active model adds.
	StepPerModel time.Duration
	// StepPerPrefill is the time per token that a concurrent prefill adds.
	StepPerPrefill time.Duration
}

func (s Speed) prefillTime(tokens int) time.Duration {
	if s.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Second))
}

// stepTime returns the time per token with this many running requests and active models
// during a prefill.
func (s Speed) stepTime(running, models int) time.Duration {
	otherModels := time.Duration(max(models-1, 0))
	return s.BaseStep + otherModels*s.StepPerModel + time.Duration(running)*s.StepPerRequest + s.StepPerPrefill
}

// Defaults of a Queue.
const (
	DefaultSlots       = 32
	DefaultDepth       = 1024
	DefaultProfileCap  = 0.3
	DefaultReserve     = 0.15
	DefaultJitter      = 0.25
	DefaultSpareModels = 1
)

// DefaultFloors returns the floors of a Queue that is given none.
func DefaultFloors() Shares {
	return Shares{Urgent: 0.35, Standard: 0.2, Bulk: 0.1}
}

// Option configures a Queue under construction.
type Option func(*Queue)

// Slots sets how many requests may run concurrently.
func Slots(n int) Option {
	return func(q *Queue) { q.slots = max(n, 1) }
}

// Depth sets how many requests of one rank may wait.
func Depth(n int) Option {
	return func(q *Queue) { q.depth = max(n, 1) }
}

// Floors sets the minimum share of the slots that each rank is guaranteed when another
// rank floods the queue.
func Floors(s Shares) Option {
	return func(q *Queue) { q.floors = s }
}

// ProfileCap sets the share of the slots above which a profile runs only after the other
// profiles of its rank.
func ProfileCap(share float64) Option {
	return func(q *Queue) { q.profileCap = share }
}

// Reserve sets the share of the slots that a profile above its cap leaves free for other
// profiles of its rank that sent requests recently.
func Reserve(share float64) Option {
	return func(q *Queue) { q.reserve = share }
}

// WithSpeed sets the speed of the endpoint.
func WithSpeed(s Speed) Option {
	return func(q *Queue) { q.speed = s }
}

// MaxTokenGap sets the limit on the time between tokens. No request starts that would
// exceed it; zero sets no limit.
func MaxTokenGap(target time.Duration) Option {
	return func(q *Queue) { q.maxTokenGap = target }
}

// SpareModels sets how many additional active models the least urgent rank leaves time for.
func SpareModels(n int) Option {
	return func(q *Queue) { q.spareModels = n }
}

// WithBreaker sets the number of consecutive failures that opens the circuit breaker, and
// the first cooldown.
func WithBreaker(threshold int, cooldown time.Duration) Option {
	return func(q *Queue) { q.breaker = newBreaker(threshold, cooldown) }
}

// Jitter sets the maximum random share that is added to each Retry-After.
func Jitter(share float64) Option {
	return func(q *Queue) { q.jitter = share }
}

// WaitRule selects which of several predicted waits becomes the Retry-After.
type WaitRule string

// The rules for a Retry-After.
const (
	// WaitLargest selects the largest wait over all limits that apply to a request.
	WaitLargest WaitRule = "largest"
	// WaitSmallest selects the smallest wait; it exists for comparison measurements.
	WaitSmallest WaitRule = "smallest"
)

// RetryAfterRule sets which wait becomes the Retry-After.
func RetryAfterRule(r WaitRule) Option {
	return func(q *Queue) { q.retryAfterRule = r }
}

// Seed sets the seed of the jitter.
func Seed(seed uint64) Option {
	return func(q *Queue) { q.seed = seed }
}
