// Package placer orders endpoints to load and unload models.
//
// One placer in each data centre holds a lease in the platform's store. Every
// order is recorded there before it leaves, carries the lease's fence, and
// leaves only while the lease is live by the holder's own clock. While the
// store is down nothing is moved; serving does not depend on this package.
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

// Placer gives the orders of one data centre. Step must not be called
// concurrently; Status may be.
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
	// stateMaxAge is how long a state counts that nothing is heard to have changed.
	stateMaxAge time.Duration
	// nextPlanAt is when the planner is asked next, unless a model is lost.
	nextPlanAt                                                      time.Time
	lostOrderTimeout, holderGrace, initialRetryDelay, maxRetryDelay time.Duration
	startSpread                                                     time.Duration
	maxRecordReads, maxDeferredWrites, maxConcurrentCalls           int

	lease              *lease
	storeBackoff       backoff // between failures of calls other than the lease's
	started            bool
	fence              fleet.Fence
	leaseAcquiredAt    time.Time
	sequence           int
	recordsListed      bool // the records were read since the takeover
	deferredWritesLeft int  // writes that can wait, left in this step
	endpoints          map[fleet.Endpoint]*managedEndpoint
	sorted             []*managedEndpoint // by endpoint
	copies             *copyRegistry
	permits            *permits
	wanted             []Wanted
	outbox             []outgoing
	problems           []string
	disabled           disabledMechanisms

	mu     sync.Mutex
	status Status
}

// disabledMechanisms turn single mechanisms off, to prove what each of them is for.
type disabledMechanisms struct {
	writeAhead      bool // orders leave without a record
	leaseGuard      bool // writes aren't guarded by the lease
	residenceCheck  bool // models are unloaded without asking who else has them
	cacheAccounting bool // KV cache isn't counted
	freshRead       bool // orders go to endpoints whose state was not read in this step
	reconciledCheck bool // copies of a data centre count before it has reconciled them
	ledgerOptions   []ledger.Option
}

// New returns a placer that holds no lease yet.
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

// Close gives the lease back. No order is on its way then, since each step
// waits for the answers to its orders.
func (p *Placer) Close(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.release(ctx, p.clock())
}

// Step keeps the lease, reads the endpoints, and makes the moves that are safe.
// An error means that the step was not finished; the next one takes it up.
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

// runStoreSteps is the part of a step that needs the store.
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
		{"settle permits", p.releasePermits},
		{"rule out lost orders", p.settleLostOrders},
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

// renewLease renews the lease between the parts of a step, which take long
// while the store or endpoints are slow.
func (p *Placer) renewLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.renewIfDue(ctx, p.clock())
}

// handleNewLease notices a new lease. The records are as they were left unless
// another placer has held the lease in between.
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

// backOffStore keeps the store from being called again at once.
func (p *Placer) backOffStore(now time.Time, err error) error {
	p.storeBackoff.recordFailure(now, p.ttl/4)
	return fmt.Errorf("placer %s: %w", p.place.DataCentre, err)
}

func (p *Placer) addProblem(err error) {
	p.problems = append(p.problems, err.Error())
}

// withLeaseGuard makes a write fail unless this placer holds its lease.
func (p *Placer) withLeaseGuard(w platform.Write) platform.Write {
	if !p.disabled.leaseGuard {
		w.Holder, w.Guard = p.lease.id, p.lease.key
	}
	return w
}
