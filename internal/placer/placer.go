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

	ttl, margin, callTimeout, lostAfter, refresh time.Duration
	// reread is how long a state counts that nothing is heard to have changed.
	reread time.Duration
	// planAt is when the planner is asked next, unless a model is lost.
	planAt                               time.Time
	settleAfter, absence, retry, longest time.Duration
	startWithin                          time.Duration
	reads, writes, parallel              int

	lease    *lease
	quiet    pace // between failures of calls other than the lease's
	started  bool
	fence    fleet.Fence
	takenAt  time.Time
	sequence int
	listed   bool // the records were read since the takeover
	left     int  // writes that can wait, left in this step
	nodes    map[fleet.Endpoint]*node
	sorted   []*node // by endpoint
	copies   *copies
	permits  *permits
	wanted   []Wanted
	outbox   []outgoing
	problems []string
	off      switches

	mu     sync.Mutex
	status Status
}

// switches turn single mechanisms off, to prove what each of them is for.
type switches struct {
	writeAhead bool // orders leave without a record
	holder     bool // writes aren't guarded by the lease
	residence  bool // models are unloaded without asking who else has them
	cache      bool // KV cache isn't counted
	unread     bool // orders go to endpoints whose state was not read in this step
	declared   bool // copies of a data centre count before it has reconciled them
	ledger     []ledger.Option
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
	p.quiet = pace{random: p.random, first: p.retry, longest: p.longest}
	p.lease = &lease{
		store:    p.store,
		clock:    p.clock,
		key:      leasePrefix + string(p.place.DataCentre),
		instance: p.instance,
		ttl:      p.ttl,
		margin:   p.margin,
		pace:     pace{random: p.random, first: p.retry, longest: p.longest},
	}
	p.nodes = make(map[fleet.Endpoint]*node)
	p.copies = newCopies()
	p.permits = &permits{loading: make(map[string]loading)}
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
	p.left = p.writes
	if !p.started {
		p.started = true
		p.lease.pace.within(now, min(p.startWithin, p.ttl/5))
	}
	err := p.step(ctx, now)
	if err != nil {
		p.problem(err)
	}
	p.publish(now)
	return err
}

func (p *Placer) step(ctx context.Context, now time.Time) error {
	if err := p.keepLease(ctx, now); err != nil {
		p.problem(err)
		_ = p.logger.Log("level", "warn", "step", "lease", "datacentre", p.place.DataCentre, "err", err)
	}
	if !p.lease.live() {
		return nil
	}
	p.takeOver(now)
	p.wanted = p.fleet.Wanted(now)
	p.follow(now, p.fleet.Targets(now))
	if p.quiet.ready(now) {
		if err := p.work(ctx, now); err != nil {
			return p.storeFailed(now, err)
		}
	}
	return nil
}

// work is the part of a step that needs the store.
func (p *Placer) work(ctx context.Context, now time.Time) error {
	steps := []struct {
		name string
		run  func(context.Context, time.Time) error
	}{
		{"read records", p.readRecords},
		{"read copies", p.readCopies},
		{"observe", p.observe},
		{"write records", p.writeRecords},
		{"reconcile copies", p.reconcile},
		{"settle permits", p.settlePermits},
		{"rule out lost orders", p.ruleOut},
		{"unload", p.advanceUnloads},
		{"load adapters", p.loadAdapters},
		{"move", p.move},
		{"send", p.send},
	}
	for _, s := range steps {
		if !p.lease.live() {
			p.dropOutbox()
			return nil
		}
		if err := p.refreshLease(ctx); err != nil {
			p.problem(err)
		}
		if err := s.run(ctx, now); err != nil {
			p.dropOutbox()
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	p.quiet.pause = 0
	return nil
}

func (p *Placer) keepLease(ctx context.Context, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.keep(ctx, now)
}

// refreshLease renews the lease between the parts of a step, which take long
// while the store or endpoints are slow.
func (p *Placer) refreshLease(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.refresh(ctx, p.clock())
}

// takeOver notices a new lease. The records are as they were left unless
// another placer has held the lease in between.
func (p *Placer) takeOver(now time.Time) {
	if p.lease.fence == p.fence {
		return
	}
	if p.lease.fence != p.fence+1 || p.fence == 0 {
		p.nodes = make(map[fleet.Endpoint]*node)
		p.permits.loading = make(map[string]loading)
		p.listed = false
	}
	p.fence, p.takenAt = p.lease.fence, now
	p.copies.stale = true
	p.permits.known = false
	_ = p.logger.Log("level", "info", "step", "lease", "datacentre", p.place.DataCentre, "fence", p.fence)
}

// storeFailed keeps the store from being called again at once.
func (p *Placer) storeFailed(now time.Time, err error) error {
	p.quiet.failed(now, p.ttl/4)
	return fmt.Errorf("placer %s: %w", p.place.DataCentre, err)
}

func (p *Placer) problem(err error) {
	p.problems = append(p.problems, err.Error())
}

// guarded makes a write fail unless this placer holds its lease.
func (p *Placer) guarded(w platform.Write) platform.Write {
	if !p.off.holder {
		w.Holder, w.Guard = p.lease.id, p.lease.key
	}
	return w
}
