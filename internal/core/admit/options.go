package admit

import (
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Shares holds one share of the slots for each rank, each 0 to 1, 1 in sum at most.
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

// Speed describes how fast the endpoint works.
type Speed struct {
	// PrefillRate is the rate at which prompts are read, in tokens a second; zero when unknown.
	PrefillRate float64
	// BaseStep is the time for one token of a lone answer.
	BaseStep time.Duration
	// StepPerRequest is what every further running answer adds to the time for one token.
	StepPerRequest time.Duration
	// StepPerModel is what every further model at work adds to the time for one token.
	StepPerModel time.Duration
	// StepPerPrefill is what reading a prompt adds to the time for one token meanwhile.
	StepPerPrefill time.Duration
}

func (s Speed) prefillTime(tokens int) time.Duration {
	if s.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / s.PrefillRate * float64(time.Second))
}

// stepTime returns the time for one token while answers of some models run and a prompt is read.
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

// DefaultFloors are the floors of a Queue that is given none.
func DefaultFloors() Shares {
	return Shares{Urgent: 0.35, Standard: 0.2, Bulk: 0.1}
}

// Option changes a Queue under construction.
type Option func(*Queue)

// Slots sets how many requests may run at once.
func Slots(n int) Option {
	return func(q *Queue) { q.slots = max(n, 1) }
}

// Depth sets how many requests of one rank may wait.
func Depth(n int) Option {
	return func(q *Queue) { q.depth = max(n, 1) }
}

// Floors sets the share of the slots that each rank keeps in a flood of another.
func Floors(s Shares) Option {
	return func(q *Queue) { q.floors = s }
}

// ProfileCap sets the share of the slots beyond which a profile yields to others of its rank.
func ProfileCap(share float64) Option {
	return func(q *Queue) { q.profileCap = share }
}

// Reserve sets the share of the slots that a profile beyond its cap leaves empty
// for other profiles of its rank that have asked lately.
func Reserve(share float64) Option {
	return func(q *Queue) { q.reserve = share }
}

// WithSpeed sets the speed of the endpoint.
func WithSpeed(s Speed) Option {
	return func(q *Queue) { q.speed = s }
}

// MaxTokenGap sets the time between tokens that no start may exceed; zero sets no bound.
func MaxTokenGap(target time.Duration) Option {
	return func(q *Queue) { q.maxTokenGap = target }
}

// SpareModels sets for how many further models the least urgent rank leaves time.
func SpareModels(n int) Option {
	return func(q *Queue) { q.spareModels = n }
}

// WithBreaker sets after how many failures in a row the endpoint rests, and for how long.
func WithBreaker(threshold int, cooldown time.Duration) Option {
	return func(q *Queue) { q.breaker = newBreaker(threshold, cooldown) }
}

// Jitter sets the share by which each Retry-After is spread.
func Jitter(share float64) Option {
	return func(q *Queue) { q.jitter = share }
}

// WaitRule says which of several waits a Retry-After names.
type WaitRule string

// The rules for a Retry-After.
const (
	// WaitLargest names the largest wait over all scopes that limit a request.
	WaitLargest WaitRule = "largest"
	// WaitSmallest names the smallest; it is there to be measured against.
	WaitSmallest WaitRule = "smallest"
)

// RetryAfterRule sets which wait a Retry-After names.
func RetryAfterRule(r WaitRule) Option {
	return func(q *Queue) { q.retryAfterRule = r }
}

// Seed sets the seed of the jitter.
func Seed(seed uint64) Option {
	return func(q *Queue) { q.seed = seed }
}
