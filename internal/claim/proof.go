package claim

// WithIDs sets where the unique ids of claims come from.
func WithIDs(id func() string) Option {
	return func(c *Claims) { c.newID = id }
}

// WithoutPreviousPartition looks for a key in the present part only. It serves only to prove what
// the look at the part before is for.
func WithoutPreviousPartition() Option {
	return func(c *Claims) { c.checkPrevious = false }
}

// WithoutLayoutCheck makes claims whatever the layout is by then. It serves only to prove
// what the check is for.
func WithoutLayoutCheck() Option {
	return func(c *Claims) { c.checkLayout = false }
}

// WithoutReadBack takes a claim without a reply for granted. It serves only to prove
// what the read back is for.
func WithoutReadBack() Option {
	return func(c *Claims) { c.readBack = false }
}
