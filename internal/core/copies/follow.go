package copies

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

const (
	// usefulTime is for how long a copy is weighed by what it serves: some times what a load
	// takes. What is lost until the copy can serve is taken off.
	usefulTime = 8 * time.Second
	// coldLoadTime is how long a load from the weight store takes if nothing is known of it,
	// maxLoadTime the most that counts, cachedLoadTime how long other loads take,
	// unloadTime how long one waits for the unload of another model that no request uses, and drainTime
	// how much longer if it has drainShare or more of what its endpoint serves: its running
	// requests end first.
	coldLoadTime   = 1500 * time.Millisecond
	maxLoadTime    = 5 * time.Second
	cachedLoadTime = 500 * time.Millisecond
	unloadTime     = 900 * time.Millisecond
	drainTime      = time.Second
	drainShare     = 0.25
	// reachTime is how long callers have asked for a model without a copy when it goes before
	// any further copy of another one.
	reachTime = 5 * time.Second
	// doubtTime is how long the endpoint with the only copy of a model has not answered when
	// the model counts as without a copy.
	doubtTime = time.Second
	// minRelief is what a further copy must relieve, as a share of an endpoint's capacity.
	minRelief = 0.05
	// idleCost is what the eviction of the last copy of a model that callers don't ask for costs,
	// spareCost that of a model's second copy, as shares of an endpoint's capacity.
	idleCost, spareCost = 0.05, 0.02
	// shareCost is the part of a copy's demand that its eviction costs even if the other
	// copies have room for it: what is kept of prompts is lost.
	shareCost = 0.02
	// blockCost is the part of the demand of models with adapters that a cold load on their
	// endpoint costs, since no adapter is loaded meanwhile.
	blockCost = 0.1
	// maxTrend bounds the forecast, as a multiple of the recent demand.
	maxTrend = 2.0
	// maxNeeds is how many models a plan reports.
	maxNeeds = 6
)

// Need is what a model with unserved demand needs, for the log.
type Need struct {
	Model fleet.Model
	// Demand is the recent demand, Forecast what it will be when a load begun now is done, Loss
	// the part of it that the copies can't serve, in tokens per second.
	Demand, Forecast, Loss float64
	// Copies are the copies that serve or are being made, Needed how many its forecast takes on
	// endpoints of its own.
	Copies, Needed int
}

// follower plans copies by what callers lose per second without them.
type follower struct {
	*planner
	spread *spread
	number map[fleet.Model]int
	// given are the models for which there is no place.
	given []bool
}

// Follow returns the next moves for a service whose weight store allows many loads a second, at
// most one per endpoint, and the models that need copies, those that lose most first.
//
// It answers the load of demand that moves between models within seconds, to more copies than a
// few, while others fall silent, crashed endpoints take copies away and many models have one
// copy and few callers. All moves are in one order, by what callers lose per second until they are done.
// A model without a copy loses all of its demand, and more the longer its callers wait. Copies
// ahead of demand come last.
func Follow(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) ([]Move, []Need) {
	f := newFollower(engine, endpoints, demand, limits)
	f.loadReserved()
	f.shareOutLoads()
	needs := f.needs()
	f.releaseOverdue()
	if f.relieve() {
		f.restoreUnavailable()
		f.addSecondCopies()
		f.addStandbyCopies()
	}
	return f.moves, needs
}

func newFollower(engine *catalog.Engine, endpoints []Endpoint, demand Demand, limits Limits) *follower {
	f := &follower{planner: newPlanner(engine, endpoints, demand, limits), number: make(map[fleet.Model]int, len(engine.Models)), given: make([]bool, len(engine.Models))}
	f.fittingOnly = true
	if f.limits.LoadTime == 0 {
		f.limits.LoadTime = coldLoadTime
	}
	forecasts := make([]float64, len(engine.Models))
	for i := range engine.Models {
		m := engine.Models[i].Name
		f.number[m], forecasts[i] = i, f.forecast(m)
	}
	f.spread = newSpread(forecasts, len(endpoints), limits.Capacity)
	for i := range f.endpoints {
		f.endpoints[i].Busy = f.endpoints[i].Busy || f.endpoints[i].Suspect
		for _, m := range f.endpoints[i].planned() {
			if n, ok := f.number[m]; ok {
				f.spread.add(n, i)
			}
		}
	}
	f.spread.levelAll()
	return f
}

// planned returns the models that the endpoint serves or will serve. One that doesn't answer serves
// none.
func (e *Endpoint) planned() []fleet.Model {
	if e.Suspect {
		return nil
	}
	var all []fleet.Model
	for _, m := range e.Loaded {
		if !slices.Contains(e.Unloading, m) {
			all = append(all, m)
		}
	}
	if e.Loading != "" && !slices.Contains(all, e.Loading) {
		all = append(all, e.Loading)
	}
	if e.ReservedFor != "" && !e.Overdue && !slices.Contains(all, e.ReservedFor) {
		all = append(all, e.ReservedFor)
	}
	return all
}

// forecast returns the demand of a model when a load begun now is done: the recent demand carried
// forward by its trend.
func (f *follower) forecast(m fleet.Model) float64 {
	recent := f.demand.Recent[m]
	trend := recent - f.demand.LongTerm[m]
	return min(max(recent+f.limits.TrendLead*trend, recent/maxTrend), recent*maxTrend)
}

// releaseOverdue gives up the memory reserved for models that have enough copies without it.
func (f *follower) releaseOverdue() {
	for i := range f.endpoints {
		e := &f.endpoints[i]
		m, ok := f.number[e.ReservedFor]
		if !ok || !e.Overdue || e.Loading != "" || len(f.spread.copies[m]) == 0 {
			continue
		}
		if !f.worthwhile(m, f.spread.relief(m, f.spread.load[i])) {
			f.moves = append(f.moves, Move{Endpoint: e.ID, Model: e.ReservedFor, Release: true})
			e.ReservedFor, e.Busy = "", true
		}
	}
}

// shareOutLoads leaves loads from the weight store for the models that others are being evicted
// for, and bounds those that are under way or about to begin to twice what the store gives in one
// load's time: more of them slow each other down.
func (f *follower) shareOutLoads() {
	underWay, reserved, overdue := 0, 0, 0
	for i := range f.endpoints {
		e := &f.endpoints[i]
		if e.Loading != "" && !slices.Contains(e.Cached, e.Loading) {
			underWay++
		} else if e.Loading == "" && e.ReservedFor != "" && !slices.Contains(e.Cached, e.ReservedFor) {
			reserved++
			if e.Overdue {
				overdue++
			}
		}
	}
	together := int(math.Ceil(f.engine.MaxLoadsPerSecond * f.limits.LoadTime.Seconds()))
	f.limits.ColdLoads = min(f.limits.ColdLoads-reserved, 2*together-underWay-(reserved-overdue))
}

// loss returns what callers of a model lose per second with the copies that serve or are planned.
func (f *follower) loss(i int) float64 {
	if len(f.spread.copies[i]) > 0 {
		return f.spread.loss(i)
	}
	m := f.engine.Models[i].Name
	waited := f.demand.Waiting[m]
	if !f.demand.InUse[m] || f.heldInDoubt(m) && waited < doubtTime {
		return 0
	}
	return max(f.spread.demand[i], f.limits.Capacity*min(2, waited.Seconds()/reachTime.Seconds()))
}

// heldInDoubt reports whether a model is loaded at an endpoint that doesn't answer.
func (f *follower) heldInDoubt(m fleet.Model) bool {
	return slices.ContainsFunc(f.endpoints, func(e Endpoint) bool { return e.Suspect && slices.Contains(e.Loaded, m) })
}

// relieve adds copies for the models that lose most, one by one. It reports whether nothing is left
// to relieve.
func (f *follower) relieve() bool {
	for f.activeMoves < f.limits.MaxMoves {
		i, loss := f.worst()
		if i < 0 {
			return !slices.Contains(f.given, true)
		}
		p, ok := f.bestPlace(i, loss)
		if !ok {
			f.given[i] = true
			continue
		}
		f.take(i, p)
	}
	return false
}

// worst returns the model that loses most and may get a copy, or -1.
func (f *follower) worst() (model int, loss float64) {
	model = -1
	for i := range f.engine.Models {
		if l := f.loss(i); !f.given[i] && l > loss && f.worthwhile(i, l) {
			model, loss = i, l
		}
	}
	return model, loss
}

// worthwhile reports whether a copy that relieves so much may be worth a move.
func (f *follower) worthwhile(i int, relief float64) bool {
	return len(f.spread.copies[i]) == 0 || relief >= minRelief*f.limits.Capacity
}

// placement is an endpoint where a model may get a copy, and the model that is evicted there, if any.
type placement struct {
	endpoint int
	victim   fleet.Model
	cached   bool
	value    float64
}

// bestPlace returns the place where a copy is worth most.
func (f *follower) bestPlace(i int, loss float64) (best placement, ok bool) {
	m := &f.engine.Models[i]
	for e := range f.endpoints {
		p := &f.endpoints[e]
		cached := slices.Contains(p.Cached, m.Name)
		if !p.takesOrder() || slices.Contains(p.Loaded, m.Name) || !cached && f.limits.ColdLoads <= 0 {
			continue
		}
		for _, victim := range f.victims(p, m) {
			c := placement{endpoint: e, victim: victim, cached: cached}
			if c.value = f.value(i, loss, c); c.value > 0 && (!ok || c.value > best.value) {
				best, ok = c, true
			}
		}
	}
	return best, ok
}

// takesOrder reports whether an endpoint can be given a load or an unload.
func (e *Endpoint) takesOrder() bool {
	return !e.Busy && !e.Suspect && e.ReservedFor == "" && len(e.Unloading) == 0
}

// victims returns the models one of which makes room for another one at an endpoint, the empty name
// if there is room.
func (f *follower) victims(e *Endpoint, m *catalog.Model) []fleet.Model {
	if f.fits(e, m, "") {
		return []fleet.Model{""}
	}
	var all []fleet.Model
	for _, victim := range e.Loaded {
		if f.fits(e, m, victim) && f.mayEvict(e, victim, m.Name) {
			all = append(all, victim)
		}
	}
	return all
}

// mayEvict reports whether a copy may be evicted: not one that was loaded a short time ago, nor
// the last one of a model that callers ask for, unless models take turns.
func (f *follower) mayEvict(e *Endpoint, victim, m fleet.Model) bool {
	if slices.Contains(e.RecentlyLoaded, victim) {
		return false
	}
	if f.readyCopies[victim] > 1 || !f.demand.InUse[victim] {
		return true
	}
	return f.demand.Starved[m] && f.plannedCopies[m] == 0 && f.demand.Recent[victim] < f.limits.MinDemand
}

// value returns what a copy at a place relieves over usefulTime, as a mean per second, less what it
// costs callers of other models.
func (f *follower) value(i int, loss float64, p placement) float64 {
	wait := min(f.limits.LoadTime, maxLoadTime)
	blocked := blockCost
	if p.cached {
		wait, blocked = cachedLoadTime, 0
	}
	load, cost := f.spread.load[p.endpoint], 0.0
	if p.victim != "" {
		v := f.number[p.victim]
		share := f.spread.shareAt(v, p.endpoint)
		wait += unloadTime + time.Duration(float64(drainTime)*min(1, share/(drainShare*f.limits.Capacity)))
		load -= share
		cost = f.limits.MinGain * f.evictionCost(v, p.endpoint)
	}
	relief := f.spread.relief(i, load)
	if len(f.spread.copies[i]) == 0 {
		// Even a full endpoint serves some of its callers.
		relief = max(loss/2, loss-f.spread.cost(load+f.spread.demand[i])+f.spread.cost(load))
	} else if !f.worthwhile(i, relief) {
		return 0
	}
	if blocked > 0 {
		cost += blocked * f.adapterLoad(p.endpoint, p.victim)
	}
	return relief*float64(usefulTime-wait)/float64(usefulTime) - cost
}

// evictionCost returns what callers of a model lose per second once a copy of it is gone.
func (f *follower) evictionCost(v, endpoint int) float64 {
	m, share := f.engine.Models[v].Name, f.spread.shareAt(v, endpoint)
	if f.readyCopies[m] < 2 {
		return max(f.spread.demand[v], idleCost*f.limits.Capacity)
	}
	cost := f.spread.evictionCost(v, endpoint) + shareCost*share
	if f.readyCopies[m] == 2 && f.demand.AtRisk[m] {
		cost += spareCost * f.limits.Capacity
	}
	return cost
}

// adapterLoad returns the demand of models with adapters at an endpoint.
func (f *follower) adapterLoad(endpoint int, without fleet.Model) float64 {
	sum := 0.0
	for _, name := range f.endpoints[endpoint].Loaded {
		if i, ok := f.number[name]; ok && name != without && len(f.engine.Models[i].Adapters) > 0 {
			sum += f.spread.shareAt(i, endpoint)
		}
	}
	return sum
}

// take adds the move for a place, and spreads the demand of the models there again.
func (f *follower) take(i int, p placement) {
	m, e := &f.engine.Models[i], &f.endpoints[p.endpoint]
	if p.victim == "" {
		f.addLoad(e, m, !p.cached)
	} else {
		f.evict(e, p.victim, m.Name, p.cached)
		f.spread.remove(f.number[p.victim], p.endpoint)
		f.spread.level(f.number[p.victim])
	}
	f.spread.add(i, p.endpoint)
	f.spread.level(i)
	for _, other := range e.planned() {
		if n, ok := f.number[other]; ok {
			f.spread.level(n)
		}
	}
}

// needs returns the models that lose most.
func (f *follower) needs() []Need {
	var all []Need
	for i := range f.engine.Models {
		loss := f.loss(i)
		if loss <= 0 || !f.worthwhile(i, loss) {
			continue
		}
		m, forecast := f.engine.Models[i].Name, f.spread.demand[i]
		all = append(all, Need{
			Model: m, Demand: f.demand.Recent[m], Forecast: forecast, Loss: loss,
			Copies: len(f.spread.copies[i]), Needed: int(math.Ceil(forecast / f.limits.Capacity)),
		})
	}
	slices.SortStableFunc(all, func(a, b Need) int { return cmp.Compare(b.Loss, a.Loss) })
	return all[:min(len(all), maxNeeds)]
}
