package place

import (
	"math"
	"time"
)

// Time constants of the two averages.
const (
	DefaultFastTimeConstant = 30 * time.Second
	DefaultSlowTimeConstant = 10 * time.Minute
)

// Demand tracks the rate of work as two exponentially decaying averages.
type Demand struct {
	fast rate
	slow rate
}

// NewDemand returns a Demand with the given time constants.
func NewDemand(fast, slow time.Duration) *Demand {
	return &Demand{fast: rate{timeConstant: fast}, slow: rate{timeConstant: slow}}
}

// Add records work, in seconds of one accelerator.
func (d *Demand) Add(now time.Time, work float64) {
	d.fast.add(now, work)
	d.slow.add(now, work)
}

// Fast returns the fast average, in accelerators.
func (d *Demand) Fast(now time.Time) float64 { return d.fast.at(now) }

// Slow returns the slow average, in accelerators.
func (d *Demand) Slow(now time.Time) float64 { return d.slow.at(now) }

// rate is a sum that decays exponentially with its time constant.
type rate struct {
	timeConstant time.Duration
	sum          float64
	last         time.Time
	first        time.Time
}

func (r *rate) add(now time.Time, work float64) {
	if r.first.IsZero() {
		r.first, r.last = now, now
	}
	r.decay(now)
	r.sum += work
}

func (r *rate) decay(now time.Time) {
	elapsed := now.Sub(r.last)
	if elapsed <= 0 {
		return
	}
	r.sum *= math.Exp(-elapsed.Seconds() / r.timeConstant.Seconds())
	r.last = now
}

// minWindow is the shortest period over which the first work is averaged. Without
// it, a few requests within the first seconds would count as high demand.
const minWindow = time.Minute

// at returns the rate. The divisor is what a constant rate of one would have
// accumulated since the first work, so that the average is not biased towards
// zero while less than the time constant has passed.
func (r *rate) at(now time.Time) float64 {
	if r.first.IsZero() {
		return 0
	}
	r.decay(now)
	window := max(now.Sub(r.first), minWindow).Seconds()
	constant := r.timeConstant.Seconds()
	return r.sum / (constant * (1 - math.Exp(-window/constant)))
}
