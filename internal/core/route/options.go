package route

import "time"

// Costs are the parameters that predict a candidate's time to first token.
type Costs struct {
	// Unreported is the delay caused by one request that the report does not yet contain.
	Unreported time.Duration
	// Running is the delay caused by one request that is running or queued there.
	Running time.Duration
	// OtherModel is the delay caused by each other active model there.
	OtherModel time.Duration
	// Prefill is the prefill rate in tokens per second; zero ignores prompt length.
	Prefill float64
	// DataCentre and Region are the round-trip times to another data centre or region.
	DataCentre time.Duration
	Region     time.Duration
	// AdapterLoad is the time to load an adapter while at most AdapterLimit loads are in flight.
	AdapterLoad  time.Duration
	AdapterLimit int
	// Tie is the difference from the best score up to which candidates count as equal.
	Tie time.Duration
}

// DefaultCosts returns the costs that New uses.
func DefaultCosts() Costs {
	return Costs{
		Unreported:   10 * time.Millisecond,
		Running:      5 * time.Millisecond,
		OtherModel:   30 * time.Millisecond,
		Prefill:      8000,
		DataCentre:   2 * time.Millisecond,
		Region:       40 * time.Millisecond,
		AdapterLoad:  8 * time.Millisecond,
		AdapterLimit: 55,
		Tie:          2 * time.Millisecond,
	}
}

func (c *Costs) prefill(tokens int) time.Duration {
	if c.Prefill <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) / c.Prefill * float64(time.Second))
}

// adapterLoad predicts the time of an adapter load beside others in flight; beyond the
// limit it grows in proportion to their number.
func (c *Costs) adapterLoad(inFlight int) time.Duration {
	if inFlight < c.AdapterLimit {
		return c.AdapterLoad
	}
	return c.AdapterLoad * time.Duration(inFlight+1) / time.Duration(max(c.AdapterLimit, 1))
}

// Option configures a Router.
type Option func(*Router)

// WithLink sets the budget of the link between regions.
func WithLink(b LinkBudget) Option {
	return func(r *Router) { r.link = newLink(b) }
}

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.seed = seed }
}
