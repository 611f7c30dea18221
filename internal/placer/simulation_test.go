package placer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
	standin "github.com/chiveramp/chiveramp/internal/standin/platform"
)

const (
	gib  = int64(1) << 30
	tick = time.Second
)

var errNoAnswer = errors.New("no answer")

// delivery describes what the network does with one order.
type delivery struct {
	delay      time.Duration // before the order arrives
	answerLost bool          // the order arrives, but its answer is lost
	dropped    bool          // the order never arrives
}

// delayedOrder is an order in flight.
type delayedOrder struct {
	order     ledger.Order
	arrivesAt time.Time
}

// fakeEngine simulates the engine of one endpoint. A loaded item takes its true size,
// whatever size the order states.
type fakeEngine struct {
	name        fleet.Endpoint
	place       fleet.Place
	checksFence bool // refuses orders with an older fence than the newest one accepted
	memory      int64
	incarnation int
	down        bool
	diedAt      time.Time
	fence       fleet.Fence
	held        map[ledger.Item]*resident
	inFlight    []delayedOrder
}

type resident struct {
	phase ledger.Phase
	until time.Time // when loading or unloading ends
}

func (f *fakeEngine) process() string { return fmt.Sprintf("%s#%d", f.name, f.incarnation) }

// simulation runs placers against a fake store, network and engines in virtual time.
type simulation struct {
	t              testing.TB
	mu             sync.Mutex // held during a call to an endpoint
	now            time.Time
	start          time.Time
	store          *platformtest.Fake
	engines        map[fleet.Endpoint]*fakeEngine
	sizes          map[ledger.Item]int64
	wanted         []Wanted
	placers        []*simPlacer
	deliveries     []delivery // for the next orders, in turn
	drawDelivery   func(ledger.Order) delivery
	log            []string
	violations     []string
	sent           int
	loadTime       time.Duration
	unloadTime     time.Duration
	everReady      map[fleet.Model]bool
	ownTargetsOnly bool // Targets lists only the placer's own data centre
	reportsChanges bool // Changed reports only endpoints that changed since the last read
	hidesChanges   bool // Changed reports no endpoint
	stateReads     int  // reads of endpoint states
}

// simPlacer is one placer with its own store client and the Engine and Fleet that it uses.
type simPlacer struct {
	*Placer
	sim        *simulation
	name       string
	dataCentre fleet.DataCentre
	client     *platformtest.Fake
	paused     bool
	script     *scriptedPlanner
	lastRead   map[fleet.Endpoint]string // summary of each engine at the last read
}

// scriptedPlanner is a planner that proposes the moves that a test sets, repeatedly or
// once, followed by those of the fallback planner if there is one.
type scriptedPlanner struct {
	repeated []place.Move
	once     []place.Move
	fallback *place.Planner
}

func (s *scriptedPlanner) Plan(now time.Time, v place.View) []place.Move {
	moves := slices.Concat(s.repeated, s.once)
	s.once = nil
	if s.fallback != nil {
		moves = append(moves, s.fallback.Plan(now, v)...)
	}
	return moves
}

func newSimulation(tb testing.TB) *simulation {
	tb.Helper()
	s := &simulation{
		t:          tb,
		start:      time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC),
		engines:    make(map[fleet.Endpoint]*fakeEngine),
		sizes:      make(map[ledger.Item]int64),
		everReady:  make(map[fleet.Model]bool),
		loadTime:   3 * time.Second,
		unloadTime: 2 * time.Second,
	}
	s.now = s.start
	clock := func() time.Time { return s.now }
	s.store = platformtest.NewWithClock(clock, standin.WithSleep(func(d time.Duration) { s.now = s.now.Add(d) }))
	return s
}

func (s *simulation) endpoint(name fleet.Endpoint, dataCentre fleet.DataCentre, memory int64, checksFence bool) *fakeEngine {
	a := &fakeEngine{
		name:        name,
		place:       fleet.Place{Region: "sask", DataCentre: dataCentre},
		checksFence: checksFence,
		memory:      memory,
		incarnation: 1,
		held:        make(map[ledger.Item]*resident),
	}
	s.engines[name] = a
	return a
}

// model adds a wanted model with the sizes of its weights and KV cache; each adapter
// takes 1 GiB.
func (s *simulation) model(name fleet.Model, weights, cache int64, adapters ...fleet.Adapter) {
	want := Wanted{Model: name, WeightBytes: weights, CacheBytes: cache}
	s.sizes[ledger.Item{Model: name}] = weights + cache
	for _, a := range adapters {
		want.Adapters = append(want.Adapters, WantedAdapter{Adapter: a, Bytes: gib})
		s.sizes[ledger.Item{Model: name, Adapter: a}] = gib
	}
	s.wanted = append(s.wanted, want)
}

func (s *simulation) placer(name string, dataCentre fleet.DataCentre, automatic bool, opts ...Option) *simPlacer {
	a := &simPlacer{sim: s, name: name, dataCentre: dataCentre, client: s.store.Client(), script: &scriptedPlanner{}, lastRead: make(map[fleet.Endpoint]string)}
	if automatic {
		a.script.fallback = place.New()
	}
	seed := uint64(len(s.placers) + 1)
	a.Placer = New(append([]Option{
		WithStore(a.client),
		WithEngine(a),
		WithFleet(a),
		WithPlanner(a.script),
		WithMaxConcurrentCalls(1),
		WithStartSpread(0),
		WithPlace(fleet.Place{Region: "sask", DataCentre: dataCentre}),
		WithInstance(fleet.Instance(name)),
		WithClock(func() time.Time { return s.now }),
		WithRandom(rand.New(rand.NewPCG(seed, seed))),
	}, opts...)...)
	s.placers = append(s.placers, a)
	return a
}

func (p *simPlacer) Targets(time.Time) []Target {
	var targets []Target
	for _, e := range p.sim.engines {
		if p.sim.ownTargetsOnly && e.place.DataCentre != p.dataCentre {
			continue // keeps large fleets fast; the placer would ignore them anyway
		}
		targets = append(targets, Target{Endpoint: e.name, Place: e.place})
	}
	return targets
}

func (p *simPlacer) Wanted(time.Time) []Wanted { return p.sim.wanted }

// State implements Engine.
func (p *simPlacer) State(_ context.Context, endpoint fleet.Endpoint) (ledger.State, error) {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	e := p.sim.engines[endpoint]
	p.sim.stateReads++
	if e.down {
		return ledger.State{}, errNoAnswer
	}
	p.lastRead[endpoint] = e.summary()
	s := ledger.State{Incarnation: e.process(), Fence: e.fence, ChecksFence: e.checksFence, Memory: e.memory}
	for item, r := range e.held {
		size := p.sim.sizes[item]
		s.Used += size
		s.Models = append(s.Models, ledger.Resident{Model: item.Model, Adapter: item.Adapter, Bytes: size, State: r.phase})
	}
	return s, nil
}

// Changed implements Engine.
func (p *simPlacer) Changed(endpoint fleet.Endpoint) bool {
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	e := p.sim.engines[endpoint]
	if p.sim.hidesChanges {
		return false
	}
	return !p.sim.reportsChanges || e.down || p.lastRead[endpoint] != e.summary()
}

// summary describes the state whose changes an engine's dispatcher reports: the process and
// the items that are ready.
func (f *fakeEngine) summary() string {
	var ready []string
	for item, r := range f.held {
		if r.phase == ledger.PhaseReady {
			ready = append(ready, fmt.Sprint(item))
		}
	}
	slices.Sort(ready)
	return fmt.Sprint(f.process(), ready)
}

// Order implements Engine. Orders are sent one at a time, so that the drawn deliveries are
// reproducible.
func (p *simPlacer) Order(ctx context.Context, endpoint fleet.Endpoint, o ledger.Order) error {
	w := p.sim
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	w.logf("%s sends %s %s to %s fence %d", p.name, o.Kind, o.Item(), endpoint, o.Fence)
	f := w.nextDelivery(o)
	e := w.engines[endpoint]
	w.checkLastCopy(e, o)
	if e.down || o.Incarnation != e.process() {
		return fmt.Errorf("%w: connection refused", ErrRefused)
	}
	if f.dropped || f.delay > 0 {
		if !f.dropped {
			e.inFlight = append(e.inFlight, delayedOrder{order: o, arrivesAt: w.now.Add(f.delay)})
		}
		return errNoAnswer
	}
	if err := w.execute(ctx, e, o); err != nil {
		return err
	}
	if f.answerLost {
		return errNoAnswer
	}
	return nil
}

func (s *simulation) nextDelivery(o ledger.Order) delivery {
	if o.Kind == ledger.KindRole {
		return delivery{}
	}
	if len(s.deliveries) > 0 {
		f := s.deliveries[0]
		s.deliveries = s.deliveries[1:]
		return f
	}
	if s.drawDelivery != nil {
		return s.drawDelivery(o)
	}
	return delivery{}
}

// execute runs an order on an engine, unless the fence check refuses it.
func (s *simulation) execute(ctx context.Context, e *fakeEngine, o ledger.Order) error {
	if !e.accepts(o) {
		s.logf("%s refuses %s %s fence %d", e.name, o.Kind, o.Item(), o.Fence)
		return fmt.Errorf("%w: old fence", ErrRefused)
	}
	e.fence = max(e.fence, o.Fence)
	item := o.Item()
	r := e.held[item]
	switch {
	case o.Kind.IsLoad() && r == nil:
		e.held[item] = &resident{phase: ledger.PhaseLoading, until: s.now.Add(s.loadTime)}
	case o.Kind.IsUnload() && r != nil:
		s.checkRegisteredCopy(ctx, e, o)
		r.phase, r.until = ledger.PhaseUnloading, s.now.Add(s.unloadTime)
	}
	s.logf("%s accepts %s %s fence %d", e.name, o.Kind, item, o.Fence)
	return nil
}

// advance runs one second: delayed orders arrive, loads and unloads end, placers step.
func (s *simulation) advance() {
	s.now = s.now.Add(tick)
	for _, e := range s.sorted() {
		s.deliver(e)
		for item, r := range e.held {
			switch {
			case r.phase == ledger.PhaseLoading && !s.now.Before(r.until):
				r.phase = ledger.PhaseReady
				s.everReady[item.Model] = true
			case r.phase == ledger.PhaseUnloading && !s.now.Before(r.until):
				delete(e.held, item)
				s.logf("%s freed %s", e.name, item)
			}
		}
	}
	s.checkMemory()
	for _, a := range s.placers {
		if !a.paused {
			_ = a.Step(context.Background(), s.now)
			s.checkMemory()
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.advance()
	}
}

func (s *simulation) deliver(e *fakeEngine) {
	inFlight := e.inFlight
	e.inFlight = nil
	for _, p := range inFlight {
		if s.now.Before(p.arrivesAt) {
			e.inFlight = append(e.inFlight, p)
			continue
		}
		s.logf("late: %s %s reaches %s", p.order.Kind, p.order.Item(), e.name)
		_ = s.execute(s.t.Context(), e, p.order)
	}
}

// restart restarts an endpoint's process: its memory is empty, and its connections are
// closed, so that the orders in flight on them are lost.
func (s *simulation) restart(name fleet.Endpoint) {
	e := s.engines[name]
	e.incarnation++
	e.held = make(map[ledger.Item]*resident)
	e.inFlight, e.fence, e.down, e.diedAt = nil, 0, false, s.now
	s.logf("%s restarts", name)
}

func (s *simulation) kill(name fleet.Endpoint) {
	s.restart(name)
	s.engines[name].down = true
	s.logf("%s is down", name)
}

// checkMemory checks the first invariant: everything loaded, plus everything that orders
// in flight may still load, fits in the endpoint's memory.
func (s *simulation) checkMemory() {
	for _, e := range s.sorted() {
		items := make(map[ledger.Item]bool)
		for item := range e.held {
			items[item] = true
		}
		for _, p := range e.inFlight {
			if p.order.Kind.IsLoad() && e.accepts(p.order) {
				items[p.order.Item()] = true
			}
		}
		var total int64
		for item := range items {
			total += s.sizes[item]
		}
		if total > e.memory {
			s.violationf("%s: %d GiB of %d GiB used or in flight", e.name, total/gib, e.memory/gib)
		}
	}
}

// lostCopyGrace is how long a lost copy may still be relied on. If its placer cannot
// reconcile the copies, its lease ends only after the endpoint is presumed lost, the
// reconciliation is stale, and the store expires the lease.
const lostCopyGrace = DefaultLostAfter + DefaultTTL/3 + DefaultTTL + 2*tick

// checkLastCopy checks the second invariant: when the unload of a model is sent, the model
// is ready on another endpoint, unless another endpoint died within lostCopyGrace.
func (s *simulation) checkLastCopy(at *fakeEngine, o ledger.Order) {
	if o.Kind != ledger.KindUnload {
		return
	}
	for _, e := range s.engines {
		r := e.held[o.Item()]
		if e != at && !e.down && r != nil && r.phase == ledger.PhaseReady && !e.unloadInFlight(o.Item()) {
			return
		}
		if e != at && !e.diedAt.IsZero() && s.now.Sub(e.diedAt) <= lostCopyGrace {
			return
		}
	}
	s.violationf("%s: last copy of %s unloaded", at.name, o.Item())
}

// checkRegisteredCopy checks the third invariant: no unload, however late it arrives,
// removes a copy that is listed in the residence record.
func (s *simulation) checkRegisteredCopy(ctx context.Context, at *fakeEngine, o ledger.Order) {
	if o.Kind != ledger.KindUnload {
		return
	}
	server := s.store.Server()
	faults := server.Faults()
	server.SetFaults(standin.Faults{})
	entry, err := s.store.Get(ctx, ledger.ResidenceKey(o.Model))
	server.SetFaults(faults)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	r, decodeErr := ledger.DecodeResidence(entry.Value)
	if err := errors.Join(err, decodeErr); err != nil {
		s.violationf("read residence record of %s: %v", o.Item(), err)
	}
	if r.Has(at.name) {
		s.violationf("%s: registered copy of %s unloaded", at.name, o.Item())
	}
}

// unloadInFlight reports whether an unload of the item is in flight and would be accepted.
func (f *fakeEngine) unloadInFlight(item ledger.Item) bool {
	return slices.ContainsFunc(f.inFlight, func(p delayedOrder) bool {
		return p.order.Kind.IsUnload() && p.order.Item() == item && f.accepts(p.order)
	})
}

// accepts reports whether the engine accepts the order's fence.
func (f *fakeEngine) accepts(o ledger.Order) bool {
	return !f.checksFence || o.Fence >= f.fence
}

func (s *simulation) ready(model fleet.Model) []fleet.Endpoint {
	var at []fleet.Endpoint
	for _, e := range s.sorted() {
		if r := e.held[ledger.Item{Model: model}]; !e.down && r != nil && r.phase == ledger.PhaseReady {
			at = append(at, e.name)
		}
	}
	return at
}

func (s *simulation) placerNamed(name string) *simPlacer {
	i := slices.IndexFunc(s.placers, func(a *simPlacer) bool { return a.name == name })
	return s.placers[i]
}

func (s *simulation) preload(name fleet.Endpoint, models ...fleet.Model) {
	for _, m := range models {
		s.engines[name].held[ledger.Item{Model: m}] = &resident{phase: ledger.PhaseReady}
	}
}

func (s *simulation) sorted() []*fakeEngine {
	all := make([]*fakeEngine, 0, len(s.engines))
	for _, e := range s.engines {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func (s *simulation) logf(format string, args ...any) {
	s.log = append(s.log, fmt.Sprintf("%4ds %s", int(s.now.Sub(s.start).Seconds()), fmt.Sprintf(format, args...)))
}

func (s *simulation) violationf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, line)
	s.logf("VIOLATION %s", line)
}

func (s *simulation) requireSafe() {
	s.t.Helper()
	require.Empty(s.t, s.violations, strings.Join(s.log, "\n"))
}

func load(model fleet.Model, at fleet.Endpoint) place.Move {
	return place.Move{Kind: place.KindLoad, Model: model, Endpoint: at}
}

func unload(model fleet.Model, at fleet.Endpoint) place.Move {
	return place.Move{Kind: place.KindUnload, Model: model, Endpoint: at, Reason: place.ReasonRoom}
}
