package revision

// WithoutMonotonicRevisions puts any offered document in force, even one with a lower
// revision. Like WithoutSettling it exists only for tests that show which failure the rule
// prevents.
func WithoutMonotonicRevisions() Option {
	return func(t *Tracker) { t.monotonic = false }
}

// WithoutSettling puts the first document that a peer offers in force without waiting for
// the others.
func WithoutSettling() Option {
	return func(t *Tracker) { t.settling = false }
}
