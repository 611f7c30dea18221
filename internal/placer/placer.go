// Package placer orders endpoints to load and unload models.
//
// One placer per data centre holds a lease in the platform's store. Every order
// is written to the store before it is sent (write-ahead), carries the lease's
// fence as a fencing token, and is sent only while the lease is valid by the
// holder's own clock. While the store is down no models are moved; serving does
// not depend on this package.
package placer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	metrics "github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Placer sends load and unload orders to the endpoints of one data centre. Step
// must not be called concurrently; Status may be.
type Placer struct {
	store    platform.Store
	engine   Engine
	fleet    Fleet
	planner  Planner
	drainer  Drainer
	place    fleet.Place
	instance fleet.Instance
	limits   ledger.Limits
	clock    func() time.Time
	random   *rand.Rand
	logger   log.Logger
	registry metrics.Registry

	ttl, margin, callTimeout, lostAfter, copiesRefresh time.Duration
	// stateMaxAge limits how long the last read state of an endpoint is used while no change is reported.
	stateMaxAge time.Duration
	// nextPlanAt is when the planner runs next, unless a model has no copy.
	nextPlanAt                                                      time.Time
	lostOrderTimeout, holderGrace, initialRetryDelay, maxRetryDelay time.Duration
	startSpread                                                     time.Duration
	maxRecordReads, maxDeferredWrites, maxConcurrentCalls           int

	lease              *lease
	storeBackoff       backoff // for all store calls except those of the lease
	started            bool
	fence              fleet.Fence
	leaseAcquiredAt    time.Time
	sequence           int
	recordsListed      bool // the endpoints' records were listed since the last takeover
	deferredWritesLeft int  // remaining budget of this step for writes that can wait
	endpoints          map[fleet.Endpoint]*managedEndpoint
	sorted             []*managedEndpoint // by endpoint ID
	copies             *copyRegistry
	permits            *permits
	wanted             []Wanted
	outbox             []outgoing
	problems           []string
	disabled           disabledMechanisms

	mu     sync.Mutex
	status Status
}

// disabledMechanisms switches off single safety mechanisms, so that tests can
// show which failure each of them prevents.
type disabledMechanisms struct {
	writeAhead      bool // orders are sent without being recorded first
	leaseGuard      bool // store writes are not conditional on the lease
	residenceCheck  bool // models are unloaded without checking for other copies
	cacheAccounting bool // KV cache is not charged to the endpoint's memory
	freshRead       bool // orders are sent to endpoints whose state was not read in this step
	reconciledCheck bool // copies in another data centre count before its placer has reconciled them
	ledgerOptions   []ledger.Option
}

// New returns a placer that does not hold the lease yet.
func New(opts ...Option) *Placer {
	p := defaults()
	for _, opt := range opts {
		opt(p)
	}
	if p.planner == nil {
		p.planner = place.New()
	}
	if p.random == nil {
		p.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p.storeBackoff = backoff{random: p.random, initialDelay: p.initialRetryDelay, maxDelay: p.maxRetryDelay}
	p.lease = &lease{
		store:    p.store,
		clock:    p.clock,
		key:      leasePrefix + string(p.place.DataCentre),
		instance: p.instance,
		ttl:      p.ttl,
		margin:   p.margin,
		backoff:  backoff{random: p.random, initialDelay: p.initialRetryDelay, maxDelay: p.maxRetryDelay},
	}
	p.endpoints = make(map[fleet.Endpoint]*managedEndpoint)
	p.copies = newCopyRegistry()
	p.permits = &permits{loads: make(map[string]sentLoad)}
	return p
}

// Close releases the lease. No order is in flight at this point, since each step
// waits for the answers to its orders.
func (p *Placer) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.release(ctx, p.clock())
}

// Step acquires or renews the lease, reads the endpoints, and starts the moves
// that are safe. After an error the step is incomplete and the next one retries.
func (p *Placer) Step(ctx context.Context, now time.Time) error {
	p.problems = nil
	p.deferredWritesLeft = p.maxDeferredWrites
	if !p.started {
		p.started = true
		p.lease.backoff.scheduleWithin(now, min(p.startSpread, p.ttl/5))
	}
	err := p.step(ctx, now)
	if err != nil {
		p.addProblem(err)
	}
	p.publishStatus(now)
	return err
}

func (p *Placer) step(ctx context.Context, now time.Time) error {
	if err := p.maintainLease(ctx, now); err != nil {
		p.addProblem(err)
		_ = p.logger.Log("level", "warn", "step", "lease", "datacentre", p.place.DataCentre, "err", err)
	}
	if !p.lease.live() {
		return nil
	}
	p.handleNewLease(now)
	p.wanted = p.fleet.Wanted(now)
	p.updateTargets(now, p.fleet.Targets(now))
	if p.storeBackoff.ready(now) {
		if err := p.runStoreSteps(ctx, now); err != nil {
			return p.backOffStore(now, err)
		}
	}
	return nil
}

// runStoreSteps runs the part of a step that needs the store.
func (p *Placer) runStoreSteps(ctx context.Context, now time.Time) error {
	steps := []struct {
		name string
		run  func(context.Context, time.Time) error
	}{
		{"read records", p.readRecords},
		{"read copies", p.readCopies},
		{"observe", p.observe},
		{"write records", p.writeRecords},
		{"reconcile copies", p.reconcile},
		{"release permits", p.releasePermits},
		{"settle lost orders", p.settleLostOrders},
		{"unload", p.orderUnloads},
		{"load adapters", p.loadAdapters},
		{"move", p.startMoves},
		{"send", p.send},
	}
	for _, s := range steps {
		if !p.lease.live() {
			p.dropOutbox()
			return nil
		}
		if err := p.renewLease(ctx); err != nil {
			p.addProblem(err)
		}
		if err := s.run(ctx, now); err != nil {
			p.dropOutbox()
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	p.storeBackoff.delay = 0
	return nil
}

func (p *Placer) maintainLease(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.maintain(ctx, now)
}

// renewLease renews the lease between the parts of a step if that is due, since
// they can take long while the store or endpoints are slow.
func (p *Placer) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.renewIfDue(ctx, p.clock())
}

// handleNewLease resets state after a new lease was acquired. If the fence grew by
// exactly one, no other placer held the lease in between, so the cached records
// are still current.
func (p *Placer) handleNewLease(now time.Time) {
	if p.lease.fence == p.fence {
		return
	}
	if p.lease.fence != p.fence+1 || p.fence == 0 {
		p.endpoints = make(map[fleet.Endpoint]*managedEndpoint)
		p.permits.loads = make(map[string]sentLoad)
		p.recordsListed = false
	}
	p.fence, p.leaseAcquiredAt = p.lease.fence, now
	p.copies.stale = true
	p.permits.current = false
	_ = p.logger.Log("level", "info", "step", "lease", "datacentre", p.place.DataCentre, "fence", p.fence)
}

// backOffStore delays the next store calls after a failure.
func (p *Placer) backOffStore(now time.Time, err error) error {
	p.storeBackoff.recordFailure(now, p.ttl/4)
	return fmt.Errorf("placer %s: %w", p.place.DataCentre, err)
}

func (p *Placer) addProblem(err error) {
	p.problems = append(p.problems, err.Error())
}

// withLeaseGuard makes a write conditional on this placer still holding the lease.
func (p *Placer) withLeaseGuard(w platform.Write) platform.Write {
	if !p.disabled.leaseGuard {
		w.Holder, w.Guard = p.lease.id, p.lease.key
	}
	return w
}
