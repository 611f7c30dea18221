package claim

import "time"

// Option configures a Claims.
type Option func(*Claims)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRetryAfter sets the retry delay reported to callers while the store is down.
func WithRetryAfter(d time.Duration) Option {
	return func(c *Claims) { c.retryAfter = d }
}

// WithBatching delays final records, so that many are written in one commit. A record that
// ends while the delay is zero is written immediately. Until the commit, a resend is answered
// from the pending record; other instances get it through the peers.
func WithBatching(delay func() time.Duration, peers Peers) Option {
	return func(c *Claims) { c.batchDelay, c.peers = delay, peers }
}

// WithShards sets the number of shards for the next period.
func WithShards(shards func() int) Option {
	return func(c *Claims) { c.shards = shards }
}

// WithGroupCommit combines concurrent writes of claims into group commits, in the given
// number of independent queues.
func WithGroupCommit(shards int) Option {
	return func(c *Claims) { c.writer = newGroupWriter(c.store, shards) }
}
