package placer

import (
	"math/rand/v2"
	"time"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Defaults of a Placer.
const (
	DefaultTTL         = 15 * time.Second
	DefaultMargin      = 3 * time.Second
	DefaultCallTimeout = 2 * time.Second
	DefaultLostAfter   = 10 * time.Second
	DefaultReread      = 2 * time.Minute
	DefaultRefresh     = 10 * time.Second
	DefaultSettleAfter = 10 * time.Second
	DefaultAbsence     = 60 * time.Second
	DefaultRetry       = time.Second
	DefaultLongest     = 30 * time.Second
	DefaultReads       = 24
	DefaultWrites      = 4
	DefaultStart       = 3 * time.Second
	DefaultParallel    = 64
)

// Option configures a Placer.
type Option func(*Placer)

// WithStore sets the platform's key-value service. It is needed.
func WithStore(store platform.Store) Option { return func(p *Placer) { p.store = store } }

// WithEngine sets how endpoints get orders. It is needed.
func WithEngine(engine Engine) Option { return func(p *Placer) { p.engine = engine } }

// WithFleet sets which endpoints and models the placer looks after. It is needed.
func WithFleet(f Fleet) Option { return func(p *Placer) { p.fleet = f } }

// WithPlace sets the data centre whose endpoints get orders. It is needed.
func WithPlace(at fleet.Place) Option { return func(p *Placer) { p.place = at } }

// WithInstance sets the name that the lease shows.
func WithInstance(name fleet.Instance) Option { return func(p *Placer) { p.instance = name } }

// WithPlanner replaces the planner, by default place.New.
func WithPlanner(planner Planner) Option { return func(p *Placer) { p.planner = planner } }

// WithDrainer waits for running work before a model is unloaded.
func WithDrainer(drainer Drainer) Option { return func(p *Placer) { p.drainer = drainer } }

// WithLimits sets what the region's weight store takes.
func WithLimits(limits ledger.Limits) Option { return func(p *Placer) { p.limits = limits } }

// WithClock sets the monotonic clock that the lease goes by.
func WithClock(clock func() time.Time) Option { return func(p *Placer) { p.clock = clock } }

// WithRandom sets the source of jitter.
func WithRandom(random *rand.Rand) Option { return func(p *Placer) { p.random = random } }

// WithLogger sets where moves are logged.
func WithLogger(logger log.Logger) Option { return func(p *Placer) { p.logger = logger } }

// WithRegistry counts orders as "placer.orders.<outcome>".
func WithRegistry(registry metrics.Registry) Option {
	return func(p *Placer) { p.registry = registry }
}

// WithLease sets how long the lease lasts when it isn't renewed, and how long
// before its end no order leaves any more.
func WithLease(ttl, margin time.Duration) Option {
	return func(p *Placer) { p.ttl, p.margin = ttl, margin }
}

// WithCallTimeout limits each call to an endpoint or the store.
func WithCallTimeout(timeout time.Duration) Option {
	return func(p *Placer) { p.callTimeout = timeout }
}

// WithRetry sets the first and the longest pause after failures of the store.
func WithRetry(first, longest time.Duration) Option {
	return func(p *Placer) { p.retry, p.longest = first, longest }
}

// WithBudget limits the records read in one step, and the writes that can wait:
// those that aren't part of a move.
func WithBudget(reads, writes int) Option {
	return func(p *Placer) { p.reads, p.writes = reads, writes }
}

// WithStart spreads the first attempts of placers that start together.
func WithStart(within time.Duration) Option { return func(p *Placer) { p.startWithin = within } }

// WithParallel limits how many endpoints are called at once.
func WithParallel(calls int) Option { return func(p *Placer) { p.parallel = calls } }

func defaults() *Placer {
	return &Placer{
		clock:       time.Now,
		logger:      log.NewNopLogger(),
		registry:    metrics.NewRegistry(),
		ttl:         DefaultTTL,
		margin:      DefaultMargin,
		callTimeout: DefaultCallTimeout,
		lostAfter:   DefaultLostAfter,
		reread:      DefaultReread,
		refresh:     DefaultRefresh,
		settleAfter: DefaultSettleAfter,
		absence:     DefaultAbsence,
		retry:       DefaultRetry,
		longest:     DefaultLongest,
		reads:       DefaultReads,
		writes:      DefaultWrites,
		startWithin: DefaultStart,
		parallel:    DefaultParallel,
	}
}
