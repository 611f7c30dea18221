package revision

// WithoutMonotonicRevisions puts whatever is offered in force. Like the next option it serves only to
// prove what the rule is for.
func WithoutMonotonicRevisions() Option {
	return func(l *Tracker) { l.monotonic = false }
}

// WithoutSettling puts the first document that a peer offers in force at once.
func WithoutSettling() Option {
	return func(l *Tracker) { l.settling = false }
}
