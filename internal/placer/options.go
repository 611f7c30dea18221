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
	DefaultTTL                = 15 * time.Second
	DefaultMargin             = 3 * time.Second
	DefaultCallTimeout        = 2 * time.Second
	DefaultLostAfter          = 10 * time.Second
	DefaultStateMaxAge        = 2 * time.Minute
	DefaultCopiesRefresh      = 10 * time.Second
	DefaultLostOrderTimeout   = 10 * time.Second
	DefaultHolderGrace        = 60 * time.Second
	DefaultInitialRetryDelay  = time.Second
	DefaultMaxRetryDelay      = 30 * time.Second
	DefaultMaxRecordReads     = 24
	DefaultMaxDeferredWrites  = 4
	DefaultStartSpread        = 3 * time.Second
	DefaultMaxConcurrentCalls = 64
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
func WithPlace(place fleet.Place) Option { return func(p *Placer) { p.place = place } }

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
func WithRetry(initial, maxDelay time.Duration) Option {
	return func(p *Placer) { p.initialRetryDelay, p.maxRetryDelay = initial, maxDelay }
}

// WithBudget limits the records read in one step, and the writes that can wait:
// those that aren't part of a move.
func WithBudget(recordReads, deferredWrites int) Option {
	return func(p *Placer) { p.maxRecordReads, p.maxDeferredWrites = recordReads, deferredWrites }
}

// WithStartSpread spreads the first attempts of placers that start together.
func WithStartSpread(spread time.Duration) Option { return func(p *Placer) { p.startSpread = spread } }

// WithMaxConcurrentCalls limits how many endpoints are called at once.
func WithMaxConcurrentCalls(calls int) Option {
	return func(p *Placer) { p.maxConcurrentCalls = calls }
}

func defaults() *Placer {
	return &Placer{
		clock:              time.Now,
		logger:             log.NewNopLogger(),
		registry:           metrics.NewRegistry(),
		ttl:                DefaultTTL,
		margin:             DefaultMargin,
		callTimeout:        DefaultCallTimeout,
		lostAfter:          DefaultLostAfter,
		stateMaxAge:        DefaultStateMaxAge,
		copiesRefresh:      DefaultCopiesRefresh,
		lostOrderTimeout:   DefaultLostOrderTimeout,
		holderGrace:        DefaultHolderGrace,
		initialRetryDelay:  DefaultInitialRetryDelay,
		maxRetryDelay:      DefaultMaxRetryDelay,
		maxRecordReads:     DefaultMaxRecordReads,
		maxDeferredWrites:  DefaultMaxDeferredWrites,
		startSpread:        DefaultStartSpread,
		maxConcurrentCalls: DefaultMaxConcurrentCalls,
	}
}
