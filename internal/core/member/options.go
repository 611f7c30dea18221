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
	// probeRounds is the number of rounds between two heartbeats to dead peers.
	probeRounds = 8
	// maxRetired bounds each list of incarnations recorded for a peer.
	maxRetired = 8
	// successors is how many of the peers that follow an instance by name get each of
	// its heartbeats, even in a data centre larger than the fanout.
	successors = 3
	// minSuspicions is how many instances must report a peer as unreachable before an
	// instance suspects it on their reports.
	minSuspicions = 2
	// broadcastRounds is how many rounds after the start go to broadcastFanout local peers.
	broadcastRounds = 3
	// broadcastFanout is to how many local peers a round goes that must not wait for the
	// rotation. Those that it reaches pass the news on, so two rounds reach thousands.
	broadcastFanout = 40
	// replyFanout is how many replies to peers that became reachable a round adds at most.
	replyFanout = 40
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

// Option configures a View.
type Option func(*settings)

// WithInterval sets the time between two heartbeats.
func WithInterval(d time.Duration) Option {
	return func(s *settings) { s.interval = d }
}

// WithExchangeInterval sets the time between two exchanges with another data centre.
func WithExchangeInterval(d time.Duration) Option {
	return func(s *settings) { s.exchangeInterval = d }
}

// WithFanout sets to how many peers of the local data centre a regular round sends at most.
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
