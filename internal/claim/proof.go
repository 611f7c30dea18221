package claim

// WithIDs sets where the unique ids of claims come from.
func WithIDs(id func() string) Option {
	return func(c *Claims) { c.id = id }
}

// WithoutReadBack takes a claim without a reply for granted. It serves only to prove
// what the read back is for.
func WithoutReadBack() Option {
	return func(c *Claims) { c.readBack = false }
}
