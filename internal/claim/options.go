package claim

import "time"

// Option changes claims at construction.
type Option func(*Claims)

// WithClock sets the source of the time of day.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithRetry sets what callers are told to wait while the store is down.
func WithRetry(d time.Duration) Option {
	return func(c *Claims) { c.retry = d }
}

// WithBatching lets ends wait for a time, to be written many in one call; none when it is
// zero at that moment. Resends are answered from those that wait meanwhile, at other
// instances through the peers.
func WithBatching(delay func() time.Duration, peers Peers) Option {
	return func(c *Claims) { c.batchDelay, c.peers = delay, peers }
}

// WithShards sets how many shards the next period gets.
func WithShards(shards func() int) Option {
	return func(c *Claims) { c.shards = shards }
}

// WithGroupCommit writes records through group commits in a number of shards.
func WithGroupCommit(shards int) Option {
	return func(c *Claims) { c.writer = newGroupWriter(c.store, shards) }
}
