package place

import "time"

// Defaults of a Planner.
const (
	DefaultMaxPendingLoads     = 8
	DefaultMinGain             = 0.06
	DefaultMinStay             = 3 * time.Minute
	DefaultHeadroom            = 0.5
	DefaultTrend               = 1.0
	DefaultExposure            = 0.3
	DefaultMaxUnrequestedLoads = 1
)

// Option changes a Planner under construction.
type Option func(*Planner)

// MaxPendingLoads sets how many loads may be pending together.
func MaxPendingLoads(n int) Option { return func(p *Planner) { p.maxPendingLoads = n } }

// MinGain sets the gain that a move for demand must bring, in accelerators of work.
func MinGain(gain float64) Option { return func(p *Planner) { p.minGain = gain } }

// MinStay sets how long a copy stays before it may make room for demand.
func MinStay(d time.Duration) Option { return func(p *Planner) { p.minStay = d } }

// Trend sets how far a rise of the fast average over the slow one is carried
// forward: 1 adds the difference once more, 0 takes the fast average as it is.
func Trend(factor float64) Option { return func(p *Planner) { p.trend = factor } }

// Exposure sets the part of a model's work that counts as lost when the model
// is left with one copy: if that dies too, all of it waits for a load.
func Exposure(share float64) Option { return func(p *Planner) { p.exposure = share } }

// MaxUnrequestedLoads sets how many models that nobody asked for yet one plan may load;
// zero sets no bound.
func MaxUnrequestedLoads(n int) Option { return func(p *Planner) { p.maxUnrequestedLoads = n } }
