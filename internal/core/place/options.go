package place

import "time"

// Defaults of a Planner.
const (
	DefaultAtOnce    = 8
	DefaultThreshold = 0.06
	DefaultMinStay   = 3 * time.Minute
	DefaultHeadroom  = 0.5
	DefaultTrend     = 1.0
	DefaultExposure  = 0.3
	DefaultUnasked   = 1
)

// Option changes a Planner under construction.
type Option func(*Planner)

// AtOnce sets how many loads may be pending together.
func AtOnce(n int) Option { return func(p *Planner) { p.atOnce = n } }

// Threshold sets the gain that a move for demand must bring, in accelerators of work.
func Threshold(gain float64) Option { return func(p *Planner) { p.threshold = gain } }

// MinStay sets how long a copy stays before it may make room for demand.
func MinStay(d time.Duration) Option { return func(p *Planner) { p.minStay = d } }

// Trend sets how far a rise of the fast average over the slow one is carried
// forward: 1 adds the difference once more, 0 takes the fast average as it is.
func Trend(factor float64) Option { return func(p *Planner) { p.trend = factor } }

// Exposure sets the part of a model's work that counts as lost when the model
// is left with one copy: if that dies too, all of it waits for a load.
func Exposure(share float64) Option { return func(p *Planner) { p.exposure = share } }

// Unasked sets how many models that nobody asked for yet one plan may load;
// zero sets no bound.
func Unasked(n int) Option { return func(p *Planner) { p.unasked = n } }
