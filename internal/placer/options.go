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

// Defaults of a Placer. DefaultLostAfter is when an endpoint whose state was not read is
// presumed lost, DefaultLostOrderTimeout when a newer fence is acquired to settle an order
// without an answer, and DefaultHolderGrace how long the copies of a data centre without
// a lease holder still count for planning.
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

// WithStore sets the platform's key-value store. Required.
func WithStore(store platform.Store) Option { return func(p *Placer) { p.store = store } }

// WithEngine sets how orders are sent to endpoints. Required.
func WithEngine(engine Engine) Option { return func(p *Placer) { p.engine = engine } }

// WithFleet sets the endpoints and models that the placer manages. Required.
func WithFleet(f Fleet) Option { return func(p *Placer) { p.fleet = f } }

// WithPlace sets the data centre whose endpoints the placer manages. Required.
func WithPlace(place fleet.Place) Option { return func(p *Placer) { p.place = place } }

// WithInstance sets the instance name stored with the lease.
func WithInstance(name fleet.Instance) Option { return func(p *Placer) { p.instance = name } }

// WithPlanner replaces the default planner, place.New.
func WithPlanner(planner Planner) Option { return func(p *Placer) { p.planner = planner } }

// WithDrainer sets how the placer waits for running work before it unloads a model.
func WithDrainer(drainer Drainer) Option { return func(p *Placer) { p.drainer = drainer } }

// WithLimits sets the rate and concurrency limits of loads from the region's weight store.
func WithLimits(limits ledger.Limits) Option { return func(p *Placer) { p.limits = limits } }

// WithClock sets the monotonic clock that the expiry of the lease is judged by.
func WithClock(clock func() time.Time) Option { return func(p *Placer) { p.clock = clock } }

// WithRandom sets the random source for jitter.
func WithRandom(random *rand.Rand) Option { return func(p *Placer) { p.random = random } }

// WithLogger sets the logger for lease changes and orders.
func WithLogger(logger log.Logger) Option { return func(p *Placer) { p.logger = logger } }

// WithRegistry sets the metrics registry, in which orders are counted as
// "placer.orders.<outcome>".
func WithRegistry(registry metrics.Registry) Option {
	return func(p *Placer) { p.registry = registry }
}

// WithLease sets the lease's time to live, and the safety margin before its expiry
// in which no order is sent.
func WithLease(ttl, margin time.Duration) Option {
	return func(p *Placer) { p.ttl, p.margin = ttl, margin }
}

// WithCallTimeout sets the timeout of each call to an endpoint or the store.
func WithCallTimeout(timeout time.Duration) Option {
	return func(p *Placer) { p.callTimeout = timeout }
}

// WithRetry sets the initial and the maximum backoff delay after store failures.
func WithRetry(initial, maxDelay time.Duration) Option {
	return func(p *Placer) { p.initialRetryDelay, p.maxRetryDelay = initial, maxDelay }
}

// WithBudget limits how many records are read in one step, and how many deferrable
// writes are made: those that aren't part of a move.
func WithBudget(recordReads, deferredWrites int) Option {
	return func(p *Placer) { p.maxRecordReads, p.maxDeferredWrites = recordReads, deferredWrites }
}

// WithStartSpread sets the time over which placers that start together spread their
// first store calls.
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
