package claim

// WithIDs sets the generator of unique claim IDs.
func WithIDs(id func() string) Option {
	return func(c *Claims) { c.newID = id }
}

// WithoutPreviousPartition looks for a key in the current partition only. It is used only to
// prove that the check of the previous partition is needed.
func WithoutPreviousPartition() Option {
	return func(c *Claims) { c.checkPrevious = false }
}

// WithoutLayoutCheck writes claims even if the layout has changed. It is used only to prove
// that the check is needed.
func WithoutLayoutCheck() Option {
	return func(c *Claims) { c.checkLayout = false }
}

// WithoutReadBack treats a claim whose write got no reply as granted. It is used only to
// prove that reading the record back is needed.
func WithoutReadBack() Option {
	return func(c *Claims) { c.readBack = false }
}
