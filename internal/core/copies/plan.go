// Package copies plans on which endpoints base models are loaded and unloaded.
//
// It has no clock and no goroutine: Plan maps endpoints, demand and limits to moves. It has
// to handle demand that shifts within seconds to models with a single copy, and endpoints
// that fail with the last copy of a model.
package copies

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Endpoint is the planner's view of one endpoint.
type Endpoint struct {
	ID fleet.Endpoint
	// Loaded are the models that it has, Loading is the one being loaded.
	Loaded  []fleet.Model
	Loading fleet.Model
	// Unloading are loaded models that are about to be unloaded.
	Unloading []fleet.Model
	// ReservedFor is the model that another one was evicted for, empty if none was.
	ReservedFor fleet.Model
	// Overdue is set if the load of ReservedFor should have begun by now. Used by Follow only: it
	// doesn't count as a copy.
	Overdue bool
	// RecentlyLoaded are models that were loaded a short time ago.
	RecentlyLoaded []fleet.Model
	// Cached are models whose weights it has in memory or on disk.
	Cached []fleet.Model
	// Busy is set while the endpoint can't accept an order.
	Busy bool
	// Moving is set while it loads or unloads a model for an earlier plan.
	Moving bool
	// Suspect is set while it gives neither answers nor reports. Its copies don't count.
	Suspect bool
	// PendingPrefill is the estimated prefill time of the prompts queued there.
	PendingPrefill time.Duration
}

// Move is an order to load a model on an endpoint or to unload it.
type Move struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	// Unload is set to unload the model, else it is loaded.
	Unload bool
	// Cold is set if the weights are loaded from the weight store.
	Cold bool
	// MakesRoomFor is the model that an unload frees memory for.
	MakesRoomFor fleet.Model
	// Release is set if the memory reserved for the model is no longer needed; nothing is ordered.
	Release bool
}

// Limits bound the moves of one plan.
type Limits struct {
	// ColdLoads is the number of loads from the weight store that may start now.
	ColdLoads int
	// MaxMoves is the number of loads and unloads in progress up to which moves for demand
	// or standby copies are added; if there are more endpoints, a share of them.
	MaxMoves int
	// MinGain is the factor by which the demand per copy of a model must exceed that of the
	// model that is evicted for it.
	MinGain float64
	// MinDemand is the demand per copy, in tokens per second, below which a model gets no
	// further copy.
	MinDemand float64
	// StandbyCopies is the number of copies that a model at risk gets ahead of demand.
	StandbyCopies int
	// Capacity is the demand that an endpoint serves within the callers' targets, in tokens per
	// second, TrendLead the part of the difference between recent and long-term demand by which
	// the recent one rises until a load is done, LoadTime how long a load from the weight store has
	// taken lately, 0 if unknown. All three are used by Follow only.
	Capacity, TrendLead float64
	LoadTime            time.Duration
}

// Demand is the demand of callers by model, in tokens per second.
type Demand struct {
	// Recent follows a shift within seconds, LongTerm averages over a longer time. The
	// larger of both decides whether a model keeps its copies.
	Recent, LongTerm map[fleet.Model]float64
	// AtRisk are models whose demand may rise sharply within seconds.
	AtRisk map[fleet.Model]bool
	// InUse are models that callers have asked for lately.
	InUse map[fleet.Model]bool
	// Starved are models that callers ask for and that have had no copy for long.
	Starved map[fleet.Model]bool
	// Waiting is for how long models that callers ask for have had no copy.
	Waiting map[fleet.Model]time.Duration
}

// planner holds the inputs and the state of one planning run.
type planner struct {
	engine        *catalog.Engine
	endpoints     []Endpoint
	demand        Demand
	limits        Limits
	readyCopies   map[fleet.Model]int // loaded copies that are not being unloaded
	plannedCopies map[fleet.Model]int // readyCopies and those being loaded or reserved
	moves         []Move
	activeMoves   int
	// memory is the size of each model, adapterMemory the reserve for all adapter slots.
	memory        map[fleet.Model]float64
	adapterMemory float64
	// fittingOnly is set if a model is evicted only where the other one then fits.
	fittingOnly bool
}

// endpointsPerMove limits the moves of a large fleet: an endpoint that loads a model can't
// load adapters meanwhile.
const endpointsPerMove = 3

// Plan returns the next moves, at most one per endpoint.
func Plan(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) []Move {
	p := newPlanner(engine, endpoints, demand, limits)
	p.restoreUnavailable()
	p.loadReserved()
	p.addSecondCopies()
	p.addCopiesForDemand()
	p.addStandbyCopies()
	return p.moves
}

func newPlanner(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) *planner {
	p := &planner{
		engine: engine, endpoints: slices.Clone(endpoints), demand: demand, limits: limits,
		readyCopies: make(map[fleet.Model]int), plannedCopies: make(map[fleet.Model]int),
		memory: make(map[fleet.Model]float64, len(engine.Models)),
	}
	for i := range engine.Models {
		m := &engine.Models[i]
		p.memory[m.Name] = m.MemoryMB
		p.adapterMemory = max(p.adapterMemory, m.AdapterMemoryMB*float64(engine.AdapterSlots))
	}
	p.limits.MaxMoves = max(limits.MaxMoves, len(endpoints)/endpointsPerMove)
	for i := range p.endpoints {
		p.countCopies(&p.endpoints[i])
	}
	return p
}

func (p *planner) countCopies(e *Endpoint) {
	for _, m := range e.Loaded {
		if !slices.Contains(e.Unloading, m) && !e.Suspect {
			p.plannedCopies[m]++
			p.readyCopies[m]++
		}
	}
	if e.Loading != "" && !slices.Contains(e.Loaded, e.Loading) {
		p.plannedCopies[e.Loading]++
	}
	if e.ReservedFor != "" && e.ReservedFor != e.Loading && !slices.Contains(e.Loaded, e.ReservedFor) {
		p.plannedCopies[e.ReservedFor]++
	}
	if e.Moving {
		p.activeMoves++
	}
}

// overloadFactor protects copies with high demand: while some endpoint is busy and may soon
// be available instead, a copy isn't evicted for an unavailable model if the demand per
// remaining copy would reach overloadFactor times MinDemand.
const overloadFactor = 2

func (p *planner) anyBusy() bool {
	return slices.ContainsFunc(p.endpoints, func(e Endpoint) bool { return e.Busy })
}

// restoreUnavailable adds a copy of each unavailable model, which has none, those with the most
// demand first. Where endpoints hold fewer models than there are, a model that callers ask for
// takes the memory of one that nobody does. If callers ask for more models than fit, models take
// turns: one that has had none for long takes the memory of the one with the least demand.
func (p *planner) restoreUnavailable() {
	unavailable := make([]catalog.Model, 0)
	for _, m := range p.engine.Models {
		if p.plannedCopies[m.Name] == 0 {
			unavailable = append(unavailable, m)
		}
	}
	slices.SortStableFunc(unavailable, func(a, b catalog.Model) int { return cmp.Compare(p.demand.Recent[b.Name], p.demand.Recent[a.Name]) })
	for i := range unavailable {
		m := &unavailable[i]
		if p.loadAnywhere(m) {
			continue
		}
		if p.evictIf(m, func(s candidate) bool {
			return !s.last && (s.remainingDemand < overloadFactor*p.limits.MinDemand || !p.anyBusy())
		}) {
			continue
		}
		if p.demand.Recent[m.Name] > 0 && p.evictIf(m, func(s candidate) bool { return s.last && !s.inUse && !s.recentlyLoaded }) {
			continue
		}
		if p.demand.Starved[m.Name] {
			p.evictIf(m, func(s candidate) bool { return s.last && !s.recentlyLoaded && s.remainingDemand < p.limits.MinDemand })
		}
	}
}

// loadReserved loads the models that others were evicted for.
func (p *planner) loadReserved() {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		m, ok := p.engine.Model(e.ReservedFor)
		if !ok || !p.canLoad(e, &m) {
			continue
		}
		cold := !slices.Contains(e.Cached, m.Name)
		if cold && p.limits.ColdLoads <= 0 {
			continue
		}
		p.addLoad(e, &m, cold)
	}
}

// addSecondCopies uses free memory for a second copy of models with adapters: they serve
// interactive callers, their demand rises within seconds, and the only copy of a model can
// load no adapter while its endpoint loads another model.
func (p *planner) addSecondCopies() {
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; len(m.Adapters) > 0 && p.plannedCopies[m.Name] == 1 {
			p.loadAnywhere(m)
		}
	}
}

// addStandbyCopies adds copies of models at risk ahead of demand, and evicts models with more
// copies than their demand needs: a load from the weight store takes as long as a shift of
// demand lasts. Half of the loads that the weight store allows are left for models that are
// unavailable or in demand.
func (p *planner) addStandbyCopies() {
	keepFree := p.limits.ColdLoads / 2
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		n := p.plannedCopies[m.Name]
		if !p.demand.AtRisk[m.Name] || n == 0 || n >= p.limits.StandbyCopies || p.activeMoves >= p.limits.MaxMoves || p.limits.ColdLoads <= keepFree {
			continue
		}
		if !p.loadAnywhere(m) {
			p.evictIf(m, func(s candidate) bool {
				return !s.last && p.readyCopies[s.model]-1 >= p.limits.StandbyCopies && s.remainingDemand < p.limits.MinDemand
			})
		}
	}
}

// retainedDemand returns the demand that counts when a copy of the model may be evicted.
func (p *planner) retainedDemand(m fleet.Model) float64 {
	d := max(p.demand.Recent[m], p.demand.LongTerm[m])
	if p.demand.AtRisk[m] {
		d = max(d, p.limits.MinDemand)
	}
	return d
}

// addCopiesForDemand adds copies of the models with the highest demand per copy.
func (p *planner) addCopiesForDemand() {
	for p.activeMoves < p.limits.MaxMoves {
		m, ok := p.highestDemand()
		if !ok {
			return
		}
		if !p.loadAnywhere(&m) && !p.evictForDemand(&m, p.limits.MinGain) {
			return
		}
	}
}

// highestDemand returns the model with the highest demand per copy that may get another one.
func (p *planner) highestDemand() (catalog.Model, bool) {
	var best catalog.Model
	maxDemand := 0.0
	for _, m := range p.engine.Models {
		d := p.demand.Recent[m.Name]
		n := p.plannedCopies[m.Name]
		if n == 0 || n >= len(p.endpoints) || d < p.limits.MinDemand*float64(n) {
			continue
		}
		if perCopy := d / float64(p.plannedCopies[m.Name]); perCopy > maxDemand {
			best, maxDemand = m, perCopy
		}
	}
	return best, maxDemand > 0
}

// loadAnywhere loads a model on an endpoint with enough free memory, if there is one. It
// prefers cached weights, then the least blocked adapter demand, then the shortest prefill
// queue.
func (p *planner) loadAnywhere(m *catalog.Model) bool {
	var best *Endpoint
	bestCold, minBlocked := false, 0.0
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !p.canLoad(e, m) {
			continue
		}
		cold := !slices.Contains(e.Cached, m.Name)
		if cold && p.limits.ColdLoads <= 0 {
			continue
		}
		blocked := p.blockedDemand(e)
		if best == nil || bestCold && !cold || bestCold == cold && (blocked < minBlocked || blocked == minBlocked && e.PendingPrefill < best.PendingPrefill) {
			best, bestCold, minBlocked = e, cold, blocked
		}
	}
	if best == nil {
		return false
	}
	p.addLoad(best, m, bestCold)
	return true
}

// addLoad adds a move that loads a model on an endpoint.
func (p *planner) addLoad(e *Endpoint, m *catalog.Model, cold bool) {
	if cold {
		p.limits.ColdLoads--
	}
	p.moves = append(p.moves, Move{Endpoint: e.ID, Model: m.Name, Cold: cold})
	e.Busy, e.Loading = true, m.Name
	p.plannedCopies[m.Name]++
	p.activeMoves++
}

// blockedDemand returns the demand of models with adapters that a load on the endpoint would
// block.
func (p *planner) blockedDemand(e *Endpoint) float64 {
	sum := 0.0
	for _, name := range e.Loaded {
		m, ok := p.engine.Model(name)
		if !ok || len(m.Adapters) == 0 || p.plannedCopies[name] == 0 {
			continue
		}
		sum += max(p.demand.Recent[name], p.demand.LongTerm[name], p.limits.MinDemand) / float64(max(1, p.readyCopies[name]))
	}
	return sum
}

func (p *planner) canLoad(e *Endpoint, m *catalog.Model) bool {
	if e.Busy || slices.Contains(e.Loaded, m.Name) || len(e.Unloading) > 0 {
		return false
	}
	if e.ReservedFor != "" && e.ReservedFor != m.Name {
		return false
	}
	return p.usedMemory(e)+m.MemoryMB <= p.engine.MemoryMB
}

// fits reports whether a model fits an endpoint's memory once another one, if any, is unloaded.
func (p *planner) fits(e *Endpoint, m *catalog.Model, without fleet.Model) bool {
	return p.usedMemory(e)+m.MemoryMB-p.memory[without] <= p.engine.MemoryMB
}

// Fits reports whether a model fits the memory of an endpoint that has others loaded.
func Fits(engine *catalog.Engine, loaded []fleet.Model, m fleet.Model) bool {
	p := newPlanner(engine, nil, Demand{}, Limits{})
	size, ok := p.memory[m]
	return ok && p.usedMemory(&Endpoint{Loaded: loaded})+size <= engine.MemoryMB
}

// usedMemory returns the memory for the weights on an endpoint, including a reserve for all
// of its adapter slots.
func (p *planner) usedMemory(e *Endpoint) float64 {
	used := p.adapterMemory
	for _, name := range e.Loaded {
		used += p.memory[name]
	}
	return used
}

// evictForDemand evicts the cheapest copy that was not loaded recently to make room for a
// model, if the demand per copy of that model is at least gain times the demand per
// remaining copy of the evicted one.
func (p *planner) evictForDemand(m *catalog.Model, gain float64) bool {
	return p.evictIf(m, func(s candidate) bool {
		return !s.last && !s.recentlyLoaded && p.demand.Recent[m.Name]/float64(p.plannedCopies[m.Name]) >= gain*s.remainingDemand
	})
}

// evictIf evicts the cheapest of the allowed copies to make room for a model. It reports
// whether there was one.
func (p *planner) evictIf(m *catalog.Model, allowed func(candidate) bool) bool {
	var best candidate
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.Busy || e.ReservedFor != "" || len(e.Unloading) > 0 || slices.Contains(e.Loaded, m.Name) {
			continue
		}
		if s := p.evictionCandidate(e, m, allowed); s.endpoint != nil && (best.endpoint == nil || s.cheaperThan(best)) {
			best = s
		}
	}
	if best.endpoint == nil {
		return false
	}
	p.evict(best.endpoint, best.model, m.Name, best.cached)
	return true
}

// evict adds a move that unloads a model from an endpoint to make room for another one. Cached is set
// if the endpoint has the weights of that one.
func (p *planner) evict(e *Endpoint, victim, m fleet.Model, cached bool) {
	if !cached {
		p.limits.ColdLoads--
	}
	p.moves = append(p.moves, Move{Endpoint: e.ID, Model: victim, Unload: true, MakesRoomFor: m})
	e.Unloading, e.ReservedFor = append(slices.Clone(e.Unloading), victim), m
	p.plannedCopies[victim]--
	p.readyCopies[victim]--
	p.plannedCopies[m]++ // the reservation counts as a copy
	p.activeMoves++
}

// evictionCandidate returns the cheapest allowed copy to evict on an endpoint; its endpoint is
// nil if there is none.
func (p *planner) evictionCandidate(e *Endpoint, m *catalog.Model, allowed func(candidate) bool) candidate {
	var best candidate
	cached := slices.Contains(e.Cached, m.Name)
	if !cached && p.limits.ColdLoads <= 0 {
		return best
	}
	blocked := p.blockedDemand(e)
	for _, name := range e.Loaded {
		if p.fittingOnly && !p.fits(e, m, name) {
			continue
		}
		retained, last := p.retainedDemand(name), p.readyCopies[name] < 2
		s := candidate{
			endpoint: e, model: name, last: last, inUse: retained > 0 || p.demand.InUse[name], remainingDemand: retained / float64(max(1, p.readyCopies[name]-1)),
			blockedDemand: blocked, cached: cached, recentlyLoaded: slices.Contains(e.RecentlyLoaded, name),
		}
		if allowed(s) && (best.endpoint == nil || s.cheaperThan(best)) {
			best = s
		}
	}
	return best
}

// candidate is a copy that may be evicted.
type candidate struct {
	endpoint *Endpoint
	model    fleet.Model
	// last is set if it is the last ready copy of its model, inUse if callers ask for the model.
	last, inUse bool
	// remainingDemand is the demand per remaining copy of its model.
	remainingDemand float64
	// blockedDemand is the adapter demand that the load on its endpoint would block.
	blockedDemand float64
	// cached is set if the endpoint has the weights of the model to load.
	cached bool
	// recentlyLoaded is set if the copy was loaded a short time ago.
	recentlyLoaded bool
}

// cost is the demand affected by the eviction. A load from the weight store blocks adapter
// loads ten times as long as one from memory or disk.
func (c candidate) cost() float64 {
	if c.cached {
		return c.remainingDemand + c.blockedDemand/10
	}
	return c.remainingDemand + c.blockedDemand
}

func (c candidate) cheaperThan(other candidate) bool {
	if a, b := c.cost(), other.cost(); a != b {
		return a < b
	}
	return c.cached && !other.cached
}
