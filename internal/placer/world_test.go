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

// fate is what the network does with one order.
type fate struct {
	delay   time.Duration // until it arrives
	silent  bool          // its answer gets lost
	dropped bool          // it never arrives
}

// packet is an order on its way.
type packet struct {
	order   ledger.Order
	arrives time.Time
}

// accelerator is a fake engine. It loads the true size, whatever an order says.
type accelerator struct {
	name        fleet.Endpoint
	at          fleet.Place
	checks      bool
	memory      int64
	incarnation int
	down        bool
	diedAt      time.Time
	fence       fleet.Fence
	held        map[ledger.Item]*resident
	flying      []packet
}

type resident struct {
	phase ledger.Phase
	until time.Time // end of loading or unloading
}

func (a *accelerator) process() string { return fmt.Sprintf("%s#%d", a.name, a.incarnation) }

// world is everything around the placers, in virtual time.
type world struct {
	t          testing.TB
	mu         sync.Mutex // held during a call to an endpoint
	now        time.Time
	began      time.Time
	store      *platformtest.Fake
	engines    map[fleet.Endpoint]*accelerator
	sizes      map[ledger.Item]int64
	wanted     []Wanted
	placers    []*actor
	fates      []fate // of the next orders
	roll       func(ledger.Order) fate
	log        []string
	violations []string
	sent       int
	loadTime   time.Duration
	unloadTime time.Duration
	reached    map[fleet.Model]bool
	large      bool
	told       bool // placers are told which endpoints changed since they read them
	deaf       bool // no change is told
	reads      int  // of endpoints' states
}

// actor is one placer with its own view of the world.
type actor struct {
	*Placer
	world  *world
	name   string
	centre fleet.DataCentre
	client *platformtest.Fake
	paused bool
	plan   *scripted
	noted  map[fleet.Endpoint]string // what was read last
}

// scripted is a planner that keeps proposing what a test asks for, then what the
// default planner does when auto is set.
type scripted struct {
	moves []place.Move
	once  []place.Move
	auto  *place.Planner
}

func (s *scripted) Plan(now time.Time, v place.View) []place.Move {
	moves := slices.Concat(s.moves, s.once)
	s.once = nil
	if s.auto != nil {
		moves = append(moves, s.auto.Plan(now, v)...)
	}
	return moves
}

func newWorld(tb testing.TB) *world {
	tb.Helper()
	w := &world{
		t:          tb,
		began:      time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC),
		engines:    make(map[fleet.Endpoint]*accelerator),
		sizes:      make(map[ledger.Item]int64),
		reached:    make(map[fleet.Model]bool),
		loadTime:   3 * time.Second,
		unloadTime: 2 * time.Second,
	}
	w.now = w.began
	clock := func() time.Time { return w.now }
	w.store = platformtest.NewWithClock(clock, standin.WithSleep(func(d time.Duration) { w.now = w.now.Add(d) }))
	return w
}

func (w *world) endpoint(name fleet.Endpoint, centre fleet.DataCentre, memory int64, checks bool) *accelerator {
	a := &accelerator{
		name:        name,
		at:          fleet.Place{Region: "sask", DataCentre: centre},
		checks:      checks,
		memory:      memory,
		incarnation: 1,
		held:        make(map[ledger.Item]*resident),
	}
	w.engines[name] = a
	return a
}

// model adds a model of which the last bytes are KV cache.
func (w *world) model(name fleet.Model, weights, cache int64, adapters ...fleet.Adapter) {
	want := Wanted{Model: name, Weights: weights, Cache: cache}
	w.sizes[ledger.Item{Model: name}] = weights + cache
	for _, a := range adapters {
		want.Adapters = append(want.Adapters, WantedAdapter{Adapter: a, Bytes: gib})
		w.sizes[ledger.Item{Model: name, Adapter: a}] = gib
	}
	w.wanted = append(w.wanted, want)
}

func (w *world) placer(name string, centre fleet.DataCentre, auto bool, opts ...Option) *actor {
	a := &actor{world: w, name: name, centre: centre, client: w.store.Client(), plan: &scripted{}, noted: make(map[fleet.Endpoint]string)}
	if auto {
		a.plan.auto = place.New()
	}
	seed := uint64(len(w.placers) + 1)
	a.Placer = New(append([]Option{
		WithStore(a.client),
		WithEngine(a),
		WithFleet(a),
		WithPlanner(a.plan),
		WithParallel(1),
		WithStart(0),
		WithPlace(fleet.Place{Region: "sask", DataCentre: centre}),
		WithInstance(fleet.Instance(name)),
		WithClock(func() time.Time { return w.now }),
		WithRandom(rand.New(rand.NewPCG(seed, seed))),
	}, opts...)...)
	w.placers = append(w.placers, a)
	return a
}

func (a *actor) Targets(time.Time) []Target {
	var targets []Target
	for _, e := range a.world.engines {
		if a.world.large && e.at.DataCentre != a.centre {
			continue // spares the placer from looking at them
		}
		targets = append(targets, Target{Endpoint: e.name, Place: e.at})
	}
	return targets
}

func (a *actor) Wanted(time.Time) []Wanted { return a.world.wanted }

// State implements Engine.
func (a *actor) State(_ context.Context, endpoint fleet.Endpoint) (ledger.State, error) {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	e := a.world.engines[endpoint]
	a.world.reads++
	if e.down {
		return ledger.State{}, errNoAnswer
	}
	a.noted[endpoint] = e.holds()
	s := ledger.State{Incarnation: e.process(), Fence: e.fence, ChecksFence: e.checks, Memory: e.memory}
	for item, r := range e.held {
		size := a.world.sizes[item]
		s.Used += size
		s.Models = append(s.Models, ledger.Resident{Model: item.Model, Adapter: item.Adapter, Bytes: size, State: r.phase})
	}
	return s, nil
}

// Changed implements Engine.
func (a *actor) Changed(endpoint fleet.Endpoint) bool {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	e := a.world.engines[endpoint]
	if a.world.deaf {
		return false
	}
	return !a.world.told || e.down || a.noted[endpoint] != e.holds()
}

// holds prints what an engine's dispatcher would see change: its process, and the items
// that are ready.
func (a *accelerator) holds() string {
	var ready []string
	for item, r := range a.held {
		if r.phase == ledger.PhaseReady {
			ready = append(ready, fmt.Sprint(item))
		}
	}
	slices.Sort(ready)
	return fmt.Sprint(a.process(), ready)
}

// Order implements Engine. Orders leave one at a time, so that fates are repeatable.
func (a *actor) Order(ctx context.Context, endpoint fleet.Endpoint, o ledger.Order) error {
	w := a.world
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent++
	w.notef("%s sends %s %s to %s fence %d", a.name, o.Kind, o.Item(), endpoint, o.Fence)
	f := w.fate(o)
	e := w.engines[endpoint]
	w.checkUnload(e, o)
	if e.down || o.Incarnation != e.process() {
		return fmt.Errorf("%w: connection refused", ErrRefused)
	}
	if f.dropped || f.delay > 0 {
		if !f.dropped {
			e.flying = append(e.flying, packet{order: o, arrives: w.now.Add(f.delay)})
		}
		return errNoAnswer
	}
	if err := w.arrive(ctx, e, o); err != nil {
		return err
	}
	if f.silent {
		return errNoAnswer
	}
	return nil
}

func (w *world) fate(o ledger.Order) fate {
	if o.Kind == ledger.KindRole {
		return fate{}
	}
	if len(w.fates) > 0 {
		f := w.fates[0]
		w.fates = w.fates[1:]
		return f
	}
	if w.roll != nil {
		return w.roll(o)
	}
	return fate{}
}

// arrive runs an order at an endpoint.
func (w *world) arrive(ctx context.Context, e *accelerator, o ledger.Order) error {
	if !e.takes(o) {
		w.notef("%s refuses %s %s fence %d", e.name, o.Kind, o.Item(), o.Fence)
		return fmt.Errorf("%w: old fence", ErrRefused)
	}
	e.fence = max(e.fence, o.Fence)
	item := o.Item()
	r := e.held[item]
	switch {
	case o.Kind.IsLoad() && r == nil:
		e.held[item] = &resident{phase: ledger.PhaseLoading, until: w.now.Add(w.loadTime)}
	case o.Kind.IsUnload() && r != nil:
		w.checkPromise(ctx, e, o)
		r.phase, r.until = ledger.PhaseUnloading, w.now.Add(w.unloadTime)
	}
	w.notef("%s accepts %s %s fence %d", e.name, o.Kind, item, o.Fence)
	return nil
}

// advance lets a second pass: packets arrive, loads end, placers step.
func (w *world) advance() {
	w.now = w.now.Add(tick)
	for _, e := range w.sorted() {
		w.deliver(e)
		for item, r := range e.held {
			switch {
			case r.phase == ledger.PhaseLoading && !w.now.Before(r.until):
				r.phase = ledger.PhaseReady
				w.reached[item.Model] = true
			case r.phase == ledger.PhaseUnloading && !w.now.Before(r.until):
				delete(e.held, item)
				w.notef("%s freed %s", e.name, item)
			}
		}
	}
	w.check()
	for _, a := range w.placers {
		if !a.paused {
			_ = a.Step(context.Background(), w.now)
			w.check()
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.advance()
	}
}

func (w *world) deliver(e *accelerator) {
	flying := e.flying
	e.flying = nil
	for _, p := range flying {
		if w.now.Before(p.arrives) {
			e.flying = append(e.flying, p)
			continue
		}
		w.notef("late: %s %s reaches %s", p.order.Kind, p.order.Item(), e.name)
		_ = w.arrive(w.t.Context(), e, p.order)
	}
}

// restart starts an endpoint's process anew: its memory is empty, and its
// connections, with the orders on them, are gone.
func (w *world) restart(name fleet.Endpoint) {
	e := w.engines[name]
	e.incarnation++
	e.held = make(map[ledger.Item]*resident)
	e.flying, e.fence, e.down, e.diedAt = nil, 0, false, w.now
	w.notef("%s restarts", name)
}

func (w *world) kill(name fleet.Endpoint) {
	w.restart(name)
	w.engines[name].down = true
	w.notef("%s is down", name)
}

// check is the invariant: what is used, and what any order still in flight may
// load, fits the memory.
func (w *world) check() {
	for _, e := range w.sorted() {
		items := make(map[ledger.Item]bool)
		for item := range e.held {
			items[item] = true
		}
		for _, p := range e.flying {
			if p.order.Kind.IsLoad() && e.takes(p.order) {
				items[p.order.Item()] = true
			}
		}
		var total int64
		for item := range items {
			total += w.sizes[item]
		}
		if total > e.memory {
			w.violationf("%s: %d GiB of %d GiB used or on their way", e.name, total/gib, e.memory/gib)
		}
	}
}

// lately is how long a lost copy may still count: until its endpoint is given
// up, the placer there lets its lease lapse for want of a comparison, and the
// store lets it go.
const lately = DefaultLostAfter + DefaultTTL/3 + DefaultTTL + 2*tick

// checkUnload is the second invariant: when the unload of a model leaves, the
// model is ready elsewhere, unless another endpoint has died lately.
func (w *world) checkUnload(at *accelerator, o ledger.Order) {
	if o.Kind != ledger.KindUnload {
		return
	}
	for _, e := range w.engines {
		r := e.held[o.Item()]
		if e != at && !e.down && r != nil && r.phase == ledger.PhaseReady && !e.unloading(o.Item()) {
			return
		}
		if e != at && !e.diedAt.IsZero() && w.now.Sub(e.diedAt) <= lately {
			return
		}
	}
	w.violationf("%s: last copy of %s unloaded", at.name, o.Item())
}

// checkPromise is the third invariant: no unload, however late, takes a copy
// that is promised.
func (w *world) checkPromise(ctx context.Context, at *accelerator, o ledger.Order) {
	if o.Kind != ledger.KindUnload {
		return
	}
	server := w.store.Server()
	faults := server.Faults()
	server.SetFaults(standin.Faults{})
	entry, err := w.store.Get(ctx, ledger.ResidenceKey(o.Model))
	server.SetFaults(faults)
	if errors.Is(err, platform.ErrNotFound) {
		return
	}
	r, decodeErr := ledger.DecodeResidence(entry.Value)
	if err := errors.Join(err, decodeErr); err != nil {
		w.violationf("residence of %s: %v", o.Item(), err)
	}
	if r.Has(at.name) {
		w.violationf("%s: promised copy of %s unloaded", at.name, o.Item())
	}
}

// unloading reports whether an unload of the item is on its way.
func (a *accelerator) unloading(item ledger.Item) bool {
	return slices.ContainsFunc(a.flying, func(p packet) bool {
		return p.order.Kind.IsUnload() && p.order.Item() == item && a.takes(p.order)
	})
}

// takes reports whether the order would be accepted.
func (a *accelerator) takes(o ledger.Order) bool {
	return !a.checks || o.Fence >= a.fence
}

func (w *world) ready(model fleet.Model) []fleet.Endpoint {
	var at []fleet.Endpoint
	for _, e := range w.sorted() {
		if r := e.held[ledger.Item{Model: model}]; !e.down && r != nil && r.phase == ledger.PhaseReady {
			at = append(at, e.name)
		}
	}
	return at
}

func (w *world) named(name string) *actor {
	i := slices.IndexFunc(w.placers, func(a *actor) bool { return a.name == name })
	return w.placers[i]
}

func (w *world) hold(name fleet.Endpoint, models ...fleet.Model) {
	for _, m := range models {
		w.engines[name].held[ledger.Item{Model: m}] = &resident{phase: ledger.PhaseReady}
	}
}

func (w *world) sorted() []*accelerator {
	all := make([]*accelerator, 0, len(w.engines))
	for _, e := range w.engines {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

func (w *world) notef(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf("%4ds %s", int(w.now.Sub(w.began).Seconds()), fmt.Sprintf(format, args...)))
}

func (w *world) violationf(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	w.violations = append(w.violations, line)
	w.notef("VIOLATION %s", line)
}

func (w *world) requireSafe() {
	w.t.Helper()
	require.Empty(w.t, w.violations, strings.Join(w.log, "\n"))
}

func load(model fleet.Model, at fleet.Endpoint) place.Move {
	return place.Move{Kind: place.KindLoad, Model: model, Endpoint: at}
}

func unload(model fleet.Model, at fleet.Endpoint) place.Move {
	return place.Move{Kind: place.KindUnload, Model: model, Endpoint: at, Reason: place.ReasonRoom}
}
