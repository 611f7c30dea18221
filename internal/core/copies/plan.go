// Package copies decides which base model is loaded or unloaded where.
//
// It has no clock and no goroutine: endpoints, demand and what the weight store
// allows go in, moves come out. It answers demand that moves to models with one
// copy within seconds, and endpoints that are lost with the last copy of a model.
package copies

import (
	"cmp"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Endpoint is a model engine that takes orders.
type Endpoint struct {
	ID fleet.Endpoint
	// Loaded are the models that it has, Loading the one it is being given.
	Loaded  []fleet.Model
	Loading fleet.Model
	// Unloading are models that are about to be unloaded.
	Unloading []fleet.Model
	// ReservedFor is the model that room was made for, empty if none was.
	ReservedFor fleet.Model
	// RecentlyLoaded are models that it was given lately.
	RecentlyLoaded []fleet.Model
	// Cached are models whose weights it keeps in memory or on disk.
	Cached []fleet.Model
	// Busy endpoints can't take an order now.
	Busy bool
	// Moving is set while it loads or unloads a model for a plan.
	Moving bool
	// PendingPrefill is the time to read the prompts that wait there.
	PendingPrefill time.Duration
}

// Move is a change of what an endpoint holds.
type Move struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	// Unload takes the model away, else it is loaded.
	Unload bool
	// Cold loads come from the weight store.
	Cold bool
	// MakesRoomFor is the model that an unload makes room for.
	MakesRoomFor fleet.Model
}

// Limits bound how much moves at a time.
type Limits struct {
	// ColdLoads is how many loads from the weight store may begin now.
	ColdLoads int
	// MaxMoves is how many models may be on the move at once to serve demand better.
	MaxMoves int
	// MinGain is how many times the demand on a copy must exceed that on the copies
	// of the model that yields.
	MinGain float64
	// MinDemand is the demand on each copy below which a model gets no further one, tokens a second.
	MinDemand float64
	// StandbyCopies is how many copies a prone model has before there is demand for them.
	StandbyCopies int
}

// Demand is what callers ask for, tokens a second by model.
type Demand struct {
	// Recent follows a shift within seconds; Steady is that over a longer time. A model
	// keeps its copies for the larger of both.
	Recent, LongTerm map[fleet.Model]float64
	// AtRisk are models whose demand may rise within seconds.
	AtRisk map[fleet.Model]bool
}

// Planner holds what a plan rests on.
type planner struct {
	engine        *catalog.Engine
	endpoints     []Endpoint
	demand        Demand
	limits        Limits
	readyCopies   map[fleet.Model]int // copies that serve
	plannedCopies map[fleet.Model]int // those and the ones that are loaded
	moves         []Move
	activeMoves   int
}

// Plan returns the next moves, at most one for an endpoint.
func Plan(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) []Move {
	p := &planner{
		engine: engine, endpoints: slices.Clone(endpoints), demand: demand, limits: limits,
		readyCopies: make(map[fleet.Model]int), plannedCopies: make(map[fleet.Model]int),
	}
	for i := range p.endpoints {
		p.countCopies(&p.endpoints[i])
	}
	p.restoreLost()
	p.loadReserved()
	p.addSecondCopies()
	p.addCopiesForDemand()
	p.addStandbyCopies()
	return p.moves
}

func (p *planner) countCopies(e *Endpoint) {
	for _, m := range e.Loaded {
		if !slices.Contains(e.Unloading, m) {
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

// overloadFactor is how many times the demand that calls for a further copy a copy must have
// that doesn't yield even to a lost model, while another endpoint may soon be asked.
const overloadFactor = 2

func (p *planner) anyBusy() bool {
	return slices.ContainsFunc(p.endpoints, func(e Endpoint) bool { return e.Busy })
}

// restoreLost gives each model without a copy one, those in demand first.
func (p *planner) restoreLost() {
	lost := make([]catalog.Model, 0)
	for _, m := range p.engine.Models {
		if p.plannedCopies[m.Name] == 0 {
			lost = append(lost, m)
		}
	}
	slices.SortStableFunc(lost, func(a, b catalog.Model) int { return cmp.Compare(p.demand.Recent[b.Name], p.demand.Recent[a.Name]) })
	for i := range lost {
		if p.loadAnywhere(&lost[i]) {
			continue
		}
		p.evictIf(&lost[i], func(s candidate) bool { return s.remainingDemand < overloadFactor*p.limits.MinDemand || !p.anyBusy() })
	}
}

// loadReserved loads the models that room was made for.
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

// addSecondCopies uses free room for a second copy of models with adapters: they serve the
// callers that wait, their demand rises within seconds, and a lone copy can take no
// adapter while its endpoint loads another model.
func (p *planner) addSecondCopies() {
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; len(m.Adapters) > 0 && p.plannedCopies[m.Name] == 1 {
			p.loadAnywhere(m)
		}
	}
}

// addStandbyCopies gives prone models copies ahead of demand, from models with more copies than
// their demand needs: a load from the weight store lasts as long as a shift of demand.
// Half of what the store allows is left for models that are lost or in demand.
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
				return p.readyCopies[s.model]-1 >= p.limits.StandbyCopies && s.remainingDemand < p.limits.MinDemand
			})
		}
	}
}

// retainedDemand is the demand for which a model keeps its copies.
func (p *planner) retainedDemand(m fleet.Model) float64 {
	d := max(p.demand.Recent[m], p.demand.LongTerm[m])
	if p.demand.AtRisk[m] {
		d = max(d, p.limits.MinDemand)
	}
	return d
}

// addCopiesForDemand gives further copies to the models with the most demand for each copy.
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

// highestDemand returns the model with the most demand for each copy.
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

// loadAnywhere puts a model where there is room, preferring weights at hand and little work.
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

// addLoad has an endpoint load a model.
func (p *planner) addLoad(e *Endpoint, m *catalog.Model, cold bool) {
	if cold {
		p.limits.ColdLoads--
	}
	p.moves = append(p.moves, Move{Endpoint: e.ID, Model: m.Name, Cold: cold})
	e.Busy, e.Loading = true, m.Name
	p.plannedCopies[m.Name]++
	p.activeMoves++
}

// blockedDemand is the demand for adapters that a load at the endpoint holds up.
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

// usedMemory is the memory that weights take at an endpoint, with room for its adapters.
func (p *planner) usedMemory(e *Endpoint) float64 {
	used, adapter := 0.0, 0.0
	for _, name := range e.Loaded {
		m, ok := p.engine.Model(name)
		if !ok {
			continue
		}
		used += m.MemoryMB
	}
	for i := range p.engine.Models {
		adapter = max(adapter, p.engine.Models[i].AdapterMemoryMB)
	}
	return used + adapter*float64(p.engine.AdapterSlots)
}

// evictForDemand takes away a spare copy to make room for a model: the one whose model keeps the
// least demand for each copy that stays, if the demand on each copy of the model itself
// is gain times larger.
func (p *planner) evictForDemand(m *catalog.Model, gain float64) bool {
	return p.evictIf(m, func(s candidate) bool {
		return !s.recentlyLoaded && p.demand.Recent[m.Name]/float64(p.plannedCopies[m.Name]) >= gain*s.remainingDemand
	})
}

// evictIf takes away the spare copy that is missed least among those that may yield.
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
	if !best.cached {
		p.limits.ColdLoads--
	}
	p.moves = append(p.moves, Move{Endpoint: best.endpoint.ID, Model: best.model, Unload: true, MakesRoomFor: m.Name})
	best.endpoint.Unloading = append(slices.Clone(best.endpoint.Unloading), best.model)
	p.plannedCopies[best.model]--
	p.readyCopies[best.model]--
	p.plannedCopies[m.Name]++ // as good as loaded
	p.activeMoves++
	return true
}

// evictionCandidate returns the copy at an endpoint that could yield with the least harm, if any.
func (p *planner) evictionCandidate(e *Endpoint, m *catalog.Model, allowed func(candidate) bool) candidate {
	var best candidate
	cached := slices.Contains(e.Cached, m.Name)
	if !cached && p.limits.ColdLoads <= 0 {
		return best
	}
	blocked := p.blockedDemand(e)
	for _, name := range e.Loaded {
		if p.readyCopies[name] < 2 {
			continue
		}
		s := candidate{
			endpoint: e, model: name, remainingDemand: p.retainedDemand(name) / float64(p.readyCopies[name]-1),
			blockedDemand: blocked, cached: cached, recentlyLoaded: slices.Contains(e.RecentlyLoaded, name),
		}
		if allowed(s) && (best.endpoint == nil || s.cheaperThan(best)) {
			best = s
		}
	}
	return best
}

// candidate is a copy that could yield.
type candidate struct {
	endpoint *Endpoint
	model    fleet.Model
	// remainingDemand is the demand on each copy that would stay.
	remainingDemand float64
	// blockedDemand is the demand for adapters that the load holds up.
	blockedDemand float64
	// cached is set where the model that needs the room loads fast.
	cached bool
	// recentlyLoaded is set for a copy that was loaded lately.
	recentlyLoaded bool
}

// cost is what is lost if the copy yields. A load from the weight store holds up
// adapters ten times as long as one from memory or disk.
func (s candidate) cost() float64 {
	if s.cached {
		return s.remainingDemand + s.blockedDemand/10
	}
	return s.remainingDemand + s.blockedDemand
}

func (s candidate) cheaperThan(other candidate) bool {
	if a, b := s.cost(), other.cost(); a != b {
		return a < b
	}
	return s.cached && !other.cached
}
