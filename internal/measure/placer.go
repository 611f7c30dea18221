package measure

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/place"
)

// Timing and targets of placement.
const (
	planInterval  = time.Second
	chaseInterval = 10 * time.Second
	// deadAfter is the time after a crash from which the planner sees the endpoint as
	// dead, so that its copies no longer count.
	deadAfter = 10 * time.Second
	// chaseWorkPerCopy is the target work of one copy under the chase policy, in accelerators.
	chaseWorkPerCopy = 0.35
)

// placer decides on loads and unloads by the placement policy, and carries them
// out within the limits of the weight store.
type placer struct {
	sim           *simulation
	planner       *place.Planner
	demand        []*place.Demand
	models        map[fleet.Model]int
	layout        [][]int
	moves         int
	pendingLoads  int
	nextLoadStart time.Duration
}

func newPlacer(r *simulation) *placer {
	d := r.deployment
	p := &placer{sim: r, models: make(map[fleet.Model]int)}
	p.planner = place.New(append([]place.Option{place.MaxPendingLoads(d.MaxConcurrentLoads)}, r.policy.PlaceOptions...)...)
	for i := range d.Models {
		p.demand = append(p.demand, place.NewDemand(place.DefaultFastTimeConstant, place.DefaultSlowTimeConstant))
		p.models[modelName(i)] = i
	}
	p.layout = initialLayout(d)
	if !r.scene.Cold {
		p.loadInitialLayout()
	}
	return p
}

// initialLayout returns the models to load on each engine for the demand of an ordinary day.
func initialLayout(d *Deployment) [][]int {
	v := ordinaryDayView(d)
	planner := place.New(place.MaxPendingLoads(len(v.Endpoints)), place.MinStay(0))
	for range 40 {
		if !applyMoves(&v, planner.Plan(epoch, v)) {
			break
		}
	}
	layout := make([][]int, len(v.Endpoints))
	for i := range v.Endpoints {
		for m := range d.Models {
			if slices.Contains(v.Endpoints[i].Models, modelName(m)) {
				layout[i] = append(layout[i], m)
			}
		}
	}
	return layout
}

func ordinaryDayView(d *Deployment) place.View {
	v := place.View{}
	for _, c := range d.Centres {
		for i := range c.Accelerators {
			name := fleet.Endpoint(string(c.Place.DataCentre) + string(rune('a'+i)))
			v.Endpoints = append(v.Endpoints, place.EndpointView{Endpoint: name, Place: c.Place, Memory: weightMemory})
		}
	}
	for m := range d.Models {
		work := d.popularity(m) * ordinaryUtilization * float64(d.Accelerators())
		v.Models = append(v.Models, place.ModelView{Model: modelName(m), Bytes: modelBytes(m), Fast: work, Slow: work})
	}
	return v
}

// applyMoves updates a view as if the moves were done, and reports whether there were any.
func applyMoves(v *place.View, moves []place.Move) bool {
	for _, m := range moves {
		for i := range v.Endpoints {
			e := &v.Endpoints[i]
			if e.Endpoint != m.Endpoint {
				continue
			}
			bytes := v.Models[slices.IndexFunc(v.Models, func(x place.ModelView) bool { return x.Model == m.Model })].Bytes
			if m.Kind == place.KindLoad {
				e.Models = append(e.Models, m.Model)
				e.Used += bytes
			} else {
				e.Models = slices.DeleteFunc(e.Models, func(x fleet.Model) bool { return x == m.Model })
				e.Used -= bytes
			}
		}
	}
	return len(moves) > 0
}

// loadInitialLayout puts the initial layout in place before the scene starts.
func (p *placer) loadInitialLayout() {
	for i, models := range p.layout {
		for _, m := range models {
			p.sim.engines[i].copies[m] = copyReady
			p.sim.engines[i].usedBytes += modelBytes(m)
		}
	}
}

func (p *placer) start() {
	switch p.sim.policy.Place {
	case PlaceCore:
		p.sim.every(planInterval, p.plan)
	case PlaceChase:
		p.sim.every(chaseInterval, p.chase)
	default:
		p.sim.every(planInterval, p.restoreLayout)
	}
}

// recordDemand adds the work of a request to the demand for its model.
func (p *placer) recordDemand(req *request) {
	p.demand[req.model].Add(p.sim.wallTime(), req.work())
}

func (p *placer) plan() {
	for _, m := range p.planner.Plan(p.sim.wallTime(), p.view()) {
		e := p.engineByName(m.Endpoint)
		if m.Kind == place.KindLoad {
			p.load(e, p.models[m.Model])
		} else {
			p.unload(e, p.models[m.Model])
		}
	}
}

func (p *placer) engineByName(name fleet.Endpoint) *engine {
	for _, e := range p.sim.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (p *placer) view() place.View {
	now := p.sim.wallTime()
	v := place.View{}
	for _, e := range p.sim.engines {
		v.Endpoints = append(v.Endpoints, p.endpointView(e))
	}
	for i, d := range p.demand {
		v.Models = append(v.Models, place.ModelView{
			Model: modelName(i), Bytes: modelBytes(i), Fast: d.Fast(now), Slow: d.Slow(now),
		})
	}
	return v
}

// endpointView returns the planner's view of an endpoint. A crash shows only
// after deadAfter; until then the view is the last known one.
func (p *placer) endpointView(e *engine) place.EndpointView {
	if !e.alive && p.sim.now-e.crashedAt < deadAfter {
		return p.lastKnownView(e)
	}
	v := place.EndpointView{Endpoint: e.name, Place: e.place, Memory: weightMemory, Used: e.usedBytes, Dead: !e.alive}
	for m, state := range e.copies {
		switch state {
		case copyReady:
			v.Models = append(v.Models, modelName(m))
		case copyLoading:
			v.Pending = append(v.Pending, place.Pending{Kind: place.KindLoad, Model: modelName(m)})
		case copyDraining:
			v.Models = append(v.Models, modelName(m))
			v.Pending = append(v.Pending, place.Pending{Kind: place.KindUnload, Model: modelName(m)})
		}
	}
	return v
}

// lastKnownView returns the state of a crashed endpoint before its crash, with no free memory.
func (p *placer) lastKnownView(e *engine) place.EndpointView {
	v := place.EndpointView{Endpoint: e.name, Place: e.place, Memory: weightMemory, Used: weightMemory}
	for m, state := range e.copiesAtCrash {
		if state == copyReady {
			v.Models = append(v.Models, modelName(m))
		}
	}
	return v
}

// restoreLayout loads the copies of the initial layout that are missing.
func (p *placer) restoreLayout() {
	for i, models := range p.layout {
		for _, m := range models {
			if p.sim.engines[i].copies[m] == copyAbsent {
				p.load(p.sim.engines[i], m)
			}
		}
	}
}

// chase scales the copies of each model to the fast average of its demand.
func (p *placer) chase() {
	now := p.sim.wallTime()
	targetCopies := make([]int, len(p.demand))
	surplus := make([]int, len(p.demand))
	for m := range p.demand {
		targetCopies[m] = max(1, int(p.demand[m].Fast(now)/chaseWorkPerCopy+0.999))
		surplus[m] = p.countCopies(m) - targetCopies[m]
	}
	for m := range targetCopies {
		for ; surplus[m] < 0; surplus[m]++ {
			if !p.addCopy(m, surplus) {
				break
			}
		}
	}
}

func (p *placer) countCopies(m int) int {
	count := 0
	for _, e := range p.sim.engines {
		if e.alive && (e.copies[m] == copyReady || e.copies[m] == copyLoading) {
			count++
		}
	}
	return count
}

// addCopy loads a copy where memory is free, or else unloads a copy of a model with a surplus.
func (p *placer) addCopy(m int, surplus []int) bool {
	for _, e := range p.sim.engines {
		if e.alive && e.copies[m] == copyAbsent && e.usedBytes+modelBytes(m) <= weightMemory {
			return p.load(e, m)
		}
	}
	for _, e := range p.sim.engines {
		for victim, state := range e.copies {
			if state == copyReady && surplus[victim] > 0 && e.copies[m] == copyAbsent {
				surplus[victim]--
				p.unload(e, victim)
				return true
			}
		}
	}
	return false
}
