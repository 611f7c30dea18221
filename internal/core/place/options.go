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

// Option configures a Planner.
type Option func(*Planner)

// MaxPendingLoads sets how many loads may be pending at a time.
func MaxPendingLoads(n int) Option { return func(p *Planner) { p.maxPendingLoads = n } }

// MinGain sets the minimum gain of a move for demand, in accelerators of work.
func MinGain(gain float64) Option { return func(p *Planner) { p.minGain = gain } }

// MinStay sets how long a copy is protected from eviction for another model's demand.
func MinStay(d time.Duration) Option { return func(p *Planner) { p.minStay = d } }

// Trend sets how far a rise of the fast average above the slow one is extrapolated:
// 1 adds the difference once more, 0 uses the fast average unchanged.
func Trend(factor float64) Option { return func(p *Planner) { p.trend = factor } }

// Exposure sets the share of a model's work that counts as lost when an eviction
// leaves the model with a single copy: if that copy fails too, all of its work
// waits for a load.
func Exposure(share float64) Option { return func(p *Planner) { p.exposure = share } }

// MaxUnrequestedLoads sets how many models without any request so far one plan may
// load. Zero means no bound.
func MaxUnrequestedLoads(n int) Option { return func(p *Planner) { p.maxUnrequestedLoads = n } }
