package route

import "time"

// Costs turns what is known of a candidate into time to first token.
type Costs struct {
	// Unreported is the wait caused by one request that the report does not yet contain.
	Unreported time.Duration
	// Running is the delay caused by one request that runs or waits there.
	Running time.Duration
	// OtherModel is the delay caused by each other model at work there.
	OtherModel time.Duration
	// Prefill is the rate at which prompts are read, in tokens a second; zero ignores prompts.
	Prefill float64
	// DataCentre and Region are the times to another data centre or region and back.
	DataCentre time.Duration
	Region     time.Duration
	// AdapterLoad is the time to load an adapter while at most AdapterLimit loads are in flight.
	AdapterLoad  time.Duration
	AdapterLimit int
	// Tie is the difference below which candidates count as equal.
	Tie time.Duration
}

// DefaultCosts are the costs of a Router that is given none.
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

// adapterLoad predicts an adapter load beside others; beyond the limit it takes proportionally longer.
func (c *Costs) adapterLoad(inFlight int) time.Duration {
	if inFlight < c.AdapterLimit {
		return c.AdapterLoad
	}
	return c.AdapterLoad * time.Duration(inFlight+1) / time.Duration(max(c.AdapterLimit, 1))
}

// Option changes a Router under construction.
type Option func(*Router)

// WithLink sets the budget of the link between regions.
func WithLink(b LinkBudget) Option {
	return func(r *Router) { r.link = newLink(b) }
}

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(r *Router) { r.seed = seed }
}
