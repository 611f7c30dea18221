package member

import "time"

// Defaults of a view.
const (
	DefaultInterval         = 500 * time.Millisecond
	DefaultExchangeInterval = 2 * time.Second
	DefaultForgetAfter      = 10 * time.Minute
	DefaultFanout           = 12

	suspectMissed = 3
	deadMissed    = 6
	watcherCount  = 2
	speakerCount  = 2
	probeRounds   = 8
	maxRetired    = 8
	// successors get every heartbeat of an instance, in a large data centre too.
	successors = 3
	// minSuspicions is how many instances must not hear a peer for others to believe it.
	minSuspicions = 2
	// broadcastRounds are the first rounds of an instance, which go to all.
	broadcastRounds = 3
)

type settings struct {
	interval         time.Duration
	exchangeInterval time.Duration
	forgetAfter      time.Duration
	suspectMissed    int
	deadMissed       int
	fanout           int
	shareSuspicions  bool
	compensatePause  bool
	stickyLeaving    bool
	suspectOmitted   bool
}

// Option changes a view at construction.
type Option func(*settings)

// WithInterval sets the time between two heartbeats.
func WithInterval(d time.Duration) Option {
	return func(s *settings) { s.interval = d }
}

// WithExchangeInterval sets the time between two exchanges with another data centre.
func WithExchangeInterval(d time.Duration) Option {
	return func(s *settings) { s.exchangeInterval = d }
}

// WithFanout sets to how many peers of the own data centre a round goes at most.
func WithFanout(n int) Option {
	return func(s *settings) { s.fanout = n }
}

func defaults() settings {
	return settings{
		interval:         DefaultInterval,
		exchangeInterval: DefaultExchangeInterval,
		forgetAfter:      DefaultForgetAfter,
		suspectMissed:    suspectMissed,
		deadMissed:       deadMissed,
		fanout:           DefaultFanout,
		shareSuspicions:  true,
		compensatePause:  true,
		stickyLeaving:    true,
		suspectOmitted:   true,
	}
}
