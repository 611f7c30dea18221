package member

import "time"

// Defaults of a view.
const (
	DefaultInterval = 500 * time.Millisecond
	DefaultExchange = 2 * time.Second
	DefaultForget   = 10 * time.Minute
	DefaultFanout   = 12

	suspectMissed = 3
	deadMissed    = 6
	watchers      = 2
	speakers      = 2
	probeRounds   = 8
	retiredKept   = 8
	// followers get every heartbeat of an instance, in a large data centre too.
	followers = 3
	// confirming is how many instances must not hear a peer for others to believe it.
	confirming = 2
	// wideRounds are the first rounds of an instance, which go to all.
	wideRounds = 3
)

type settings struct {
	interval time.Duration
	exchange time.Duration
	forget   time.Duration
	suspect  int
	dead     int
	fanout   int
	rumours  bool
	pause    bool
	sticky   bool
	omitted  bool
}

// Option changes a view at construction.
type Option func(*settings)

// WithInterval sets the time between two heartbeats.
func WithInterval(d time.Duration) Option {
	return func(s *settings) { s.interval = d }
}

// WithExchange sets the time between two exchanges with another data centre.
func WithExchange(d time.Duration) Option {
	return func(s *settings) { s.exchange = d }
}

// WithFanout sets to how many peers of the own data centre a round goes at most.
func WithFanout(n int) Option {
	return func(s *settings) { s.fanout = n }
}

func defaults() settings {
	return settings{
		interval: DefaultInterval,
		exchange: DefaultExchange,
		forget:   DefaultForget,
		suspect:  suspectMissed,
		dead:     deadMissed,
		fanout:   DefaultFanout,
		rumours:  true,
		pause:    true,
		sticky:   true,
		omitted:  true,
	}
}
