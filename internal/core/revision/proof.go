package revision

// WithoutRising puts whatever is offered in force. Like the next option it serves only to
// prove what the rule is for.
func WithoutRising() Option {
	return func(l *Ledger) { l.rising = false }
}

// WithoutSettling puts the first document that a peer offers in force at once.
func WithoutSettling() Option {
	return func(l *Ledger) { l.settling = false }
}
