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
	// Holds are the models that it has, Loading the one it is being given.
	Holds   []fleet.Model
	Loading fleet.Model
	// Retiring are models that are about to be unloaded.
	Retiring []fleet.Model
	// Reserved is the model that room was made for, empty if none was.
	Reserved fleet.Model
	// Young are models that it was given lately.
	Young []fleet.Model
	// AtHand are models whose weights it keeps in memory or on disk.
	AtHand []fleet.Model
	// Busy endpoints can't take an order now.
	Busy bool
	// Moving is set while it loads or unloads a model for a plan.
	Moving bool
	// Pending is the time to read the prompts that wait there.
	Pending time.Duration
}

// Move is a change of what an endpoint holds.
type Move struct {
	Endpoint fleet.Endpoint
	Model    fleet.Model
	// Unload takes the model away, else it is loaded.
	Unload bool
	// Cold loads come from the weight store.
	Cold bool
	// For is the model that an unload makes room for.
	For fleet.Model
}

// Limits bound how much moves at a time.
type Limits struct {
	// Cold is how many loads from the weight store may begin now.
	Cold int
	// Swaps is how many models may be on the move at once to serve demand better.
	Swaps int
	// Gain is how many times the demand on a copy must exceed that on the copies
	// of the model that yields.
	Gain float64
	// Least is the demand on each copy below which a model gets no further one, tokens a second.
	Least float64
	// Ahead is how many copies a prone model has before there is demand for them.
	Ahead int
}

// Demand is what callers ask for, tokens a second by model.
type Demand struct {
	// Newest follows a shift within seconds; Steady is that over a longer time. A model
	// keeps its copies for the larger of both.
	Newest, Steady map[fleet.Model]float64
	// Prone are models whose demand may rise within seconds.
	Prone map[fleet.Model]bool
}

// Planner holds what a plan rests on.
type planner struct {
	engine    *catalog.Engine
	endpoints []Endpoint
	demand    Demand
	limits    Limits
	ready     map[fleet.Model]int // copies that serve
	copies    map[fleet.Model]int // those and the ones that are loaded
	moves     []Move
	moving    int
}

// Plan returns the next moves, at most one for an endpoint.
func Plan(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) []Move {
	p := &planner{
		engine: engine, endpoints: slices.Clone(endpoints), demand: demand, limits: limits,
		ready: make(map[fleet.Model]int), copies: make(map[fleet.Model]int),
	}
	for i := range p.endpoints {
		p.count(&p.endpoints[i])
	}
	p.restore()
	p.fill()
	p.spread()
	p.relieve()
	p.prepare()
	return p.moves
}

func (p *planner) count(e *Endpoint) {
	for _, m := range e.Holds {
		if !slices.Contains(e.Retiring, m) {
			p.copies[m]++
			p.ready[m]++
		}
	}
	if e.Loading != "" && !slices.Contains(e.Holds, e.Loading) {
		p.copies[e.Loading]++
	}
	if e.Reserved != "" && e.Reserved != e.Loading && !slices.Contains(e.Holds, e.Reserved) {
		p.copies[e.Reserved]++
	}
	if e.Moving {
		p.moving++
	}
}

// overload is how many times the demand that calls for a further copy a copy must have
// that doesn't yield even to a lost model, while another endpoint may soon be asked.
const overload = 2

func (p *planner) someBusy() bool {
	return slices.ContainsFunc(p.endpoints, func(e Endpoint) bool { return e.Busy })
}

// restore gives each model without a copy one, those in demand first.
func (p *planner) restore() {
	lost := make([]catalog.Model, 0)
	for _, m := range p.engine.Models {
		if p.copies[m.Name] == 0 {
			lost = append(lost, m)
		}
	}
	slices.SortStableFunc(lost, func(a, b catalog.Model) int { return cmp.Compare(p.demand.Newest[b.Name], p.demand.Newest[a.Name]) })
	for i := range lost {
		if p.load(&lost[i]) {
			continue
		}
		p.yieldIf(&lost[i], func(s spare) bool { return s.stays < overload*p.limits.Least || !p.someBusy() })
	}
}

// fill loads the models that room was made for.
func (p *planner) fill() {
	for i := range p.endpoints {
		e := &p.endpoints[i]
		m, ok := p.engine.Model(e.Reserved)
		if !ok || !p.fits(e, &m) {
			continue
		}
		cold := !slices.Contains(e.AtHand, m.Name)
		if cold && p.limits.Cold <= 0 {
			continue
		}
		p.give(e, &m, cold)
	}
}

// spread uses free room for a second copy of models with adapters: they serve the
// callers that wait, their demand rises within seconds, and a lone copy can take no
// adapter while its endpoint loads another model.
func (p *planner) spread() {
	for i := range p.engine.Models {
		if m := &p.engine.Models[i]; len(m.Adapters) > 0 && p.copies[m.Name] == 1 {
			p.load(m)
		}
	}
}

// prepare gives prone models copies ahead of demand, from models with more copies than
// their demand needs: a load from the weight store lasts as long as a shift of demand.
// Half of what the store allows is left for models that are lost or in demand.
func (p *planner) prepare() {
	reserve := p.limits.Cold / 2
	for i := range p.engine.Models {
		m := &p.engine.Models[i]
		n := p.copies[m.Name]
		if !p.demand.Prone[m.Name] || n == 0 || n >= p.limits.Ahead || p.moving >= p.limits.Swaps || p.limits.Cold <= reserve {
			continue
		}
		if !p.load(m) {
			p.yieldIf(m, func(s spare) bool {
				return p.ready[s.model]-1 >= p.limits.Ahead && s.stays < p.limits.Least
			})
		}
	}
}

// keeps is the demand for which a model keeps its copies.
func (p *planner) keeps(m fleet.Model) float64 {
	d := max(p.demand.Newest[m], p.demand.Steady[m])
	if p.demand.Prone[m] {
		d = max(d, p.limits.Least)
	}
	return d
}

// relieve gives further copies to the models with the most demand for each copy.
func (p *planner) relieve() {
	for p.moving < p.limits.Swaps {
		m, ok := p.hottest()
		if !ok {
			return
		}
		if !p.load(&m) && !p.yield(&m, p.limits.Gain) {
			return
		}
	}
}

// hottest returns the model with the most demand for each copy.
func (p *planner) hottest() (catalog.Model, bool) {
	var best catalog.Model
	most := 0.0
	for _, m := range p.engine.Models {
		d := p.demand.Newest[m.Name]
		n := p.copies[m.Name]
		if n == 0 || n >= len(p.endpoints) || d < p.limits.Least*float64(n) {
			continue
		}
		if each := d / float64(p.copies[m.Name]); each > most {
			best, most = m, each
		}
	}
	return best, most > 0
}

// load puts a model where there is room, preferring weights at hand and little work.
func (p *planner) load(m *catalog.Model) bool {
	var best *Endpoint
	bestCold, least := false, 0.0
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if !p.fits(e, m) {
			continue
		}
		cold := !slices.Contains(e.AtHand, m.Name)
		if cold && p.limits.Cold <= 0 {
			continue
		}
		blocks := p.blocks(e)
		if best == nil || bestCold && !cold || bestCold == cold && (blocks < least || blocks == least && e.Pending < best.Pending) {
			best, bestCold, least = e, cold, blocks
		}
	}
	if best == nil {
		return false
	}
	p.give(best, m, bestCold)
	return true
}

// give has an endpoint load a model.
func (p *planner) give(e *Endpoint, m *catalog.Model, cold bool) {
	if cold {
		p.limits.Cold--
	}
	p.moves = append(p.moves, Move{Endpoint: e.ID, Model: m.Name, Cold: cold})
	e.Busy, e.Loading = true, m.Name
	p.copies[m.Name]++
	p.moving++
}

// blocks is the demand for adapters that a load at the endpoint holds up.
func (p *planner) blocks(e *Endpoint) float64 {
	sum := 0.0
	for _, name := range e.Holds {
		m, ok := p.engine.Model(name)
		if !ok || len(m.Adapters) == 0 || p.copies[name] == 0 {
			continue
		}
		sum += max(p.demand.Newest[name], p.demand.Steady[name], p.limits.Least) / float64(max(1, p.ready[name]))
	}
	return sum
}

func (p *planner) fits(e *Endpoint, m *catalog.Model) bool {
	if e.Busy || slices.Contains(e.Holds, m.Name) || len(e.Retiring) > 0 {
		return false
	}
	if e.Reserved != "" && e.Reserved != m.Name {
		return false
	}
	return p.used(e)+m.MemoryMB <= p.engine.MemoryMB
}

// used is the memory that weights take at an endpoint, with room for its adapters.
func (p *planner) used(e *Endpoint) float64 {
	used, adapter := 0.0, 0.0
	for _, name := range e.Holds {
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

// yield takes away a spare copy to make room for a model: the one whose model keeps the
// least demand for each copy that stays, if the demand on each copy of the model itself
// is gain times larger.
func (p *planner) yield(m *catalog.Model, gain float64) bool {
	return p.yieldIf(m, func(s spare) bool {
		return !s.young && p.demand.Newest[m.Name]/float64(p.copies[m.Name]) >= gain*s.stays
	})
}

// yieldIf takes away the spare copy that is missed least among those that may yield.
func (p *planner) yieldIf(m *catalog.Model, may func(spare) bool) bool {
	var best spare
	for i := range p.endpoints {
		e := &p.endpoints[i]
		if e.Busy || e.Reserved != "" || len(e.Retiring) > 0 || slices.Contains(e.Holds, m.Name) {
			continue
		}
		if s := p.spareAt(e, m, may); s.at != nil && (best.at == nil || s.before(best)) {
			best = s
		}
	}
	if best.at == nil {
		return false
	}
	if !best.atHand {
		p.limits.Cold--
	}
	p.moves = append(p.moves, Move{Endpoint: best.at.ID, Model: best.model, Unload: true, For: m.Name})
	best.at.Retiring = append(slices.Clone(best.at.Retiring), best.model)
	p.copies[best.model]--
	p.ready[best.model]--
	p.copies[m.Name]++ // as good as loaded
	p.moving++
	return true
}

// spareAt returns the copy at an endpoint that could yield with the least harm, if any.
func (p *planner) spareAt(e *Endpoint, m *catalog.Model, may func(spare) bool) spare {
	var best spare
	atHand := slices.Contains(e.AtHand, m.Name)
	if !atHand && p.limits.Cold <= 0 {
		return best
	}
	blocks := p.blocks(e)
	for _, name := range e.Holds {
		if p.ready[name] < 2 {
			continue
		}
		s := spare{
			at: e, model: name, stays: p.keeps(name) / float64(p.ready[name]-1),
			blocks: blocks, atHand: atHand, young: slices.Contains(e.Young, name),
		}
		if may(s) && (best.at == nil || s.before(best)) {
			best = s
		}
	}
	return best
}

// spare is a copy that could yield.
type spare struct {
	at    *Endpoint
	model fleet.Model
	// stays is the demand on each copy that would stay.
	stays float64
	// blocks is the demand for adapters that the load holds up.
	blocks float64
	// atHand is set where the model that needs the room loads fast.
	atHand bool
	// young is set for a copy that was loaded lately.
	young bool
}

// harm is what is lost if the copy yields. A load from the weight store holds up
// adapters ten times as long as one from memory or disk.
func (s spare) harm() float64 {
	if s.atHand {
		return s.stays + s.blocks/10
	}
	return s.stays + s.blocks
}

func (s spare) before(other spare) bool {
	if a, b := s.harm(), other.harm(); a != b {
		return a < b
	}
	return s.atHand && !other.atHand
}
