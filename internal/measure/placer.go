package measure

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/place"
)

// Periods of placement.
const (
	planEvery  = time.Second
	chaseEvery = 10 * time.Second
	// lostAfter is when a dead endpoint's copies no longer count.
	lostAfter = 10 * time.Second
	// chaseTarget is the work that the chasing placement gives one copy, in accelerators.
	chaseTarget = 0.35
)

// placer carries out moves within the limits of the weight store.
type placer struct {
	run     *run
	planner *place.Planner
	demand  []*place.Demand
	models  map[fleet.Model]int
	layout  [][]int
	moves   int
	pending int
	permit  time.Duration
}

func newPlacer(r *run) *placer {
	d := r.deployment
	p := &placer{run: r, models: make(map[fleet.Model]int)}
	p.planner = place.New(append([]place.Option{place.MaxPendingLoads(d.LoadsAtOnce)}, r.policy.Plan...)...)
	for i := range d.Models {
		p.demand = append(p.demand, place.NewDemand(place.DefaultFastTimeConstant, place.DefaultSlowTimeConstant))
		p.models[modelName(i)] = i
	}
	p.layout = initialLayout(d)
	if !r.scene.Cold {
		p.fill()
	}
	return p
}

// initialLayout places the models for an ordinary day.
func initialLayout(d *Deployment) [][]int {
	v := ordinaryView(d)
	planner := place.New(place.MaxPendingLoads(len(v.Endpoints)), place.MinStay(0))
	for range 40 {
		if !apply(&v, planner.Plan(epoch, v)) {
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

func ordinaryView(d *Deployment) place.View {
	v := place.View{}
	for _, c := range d.Centres {
		for i := range c.Accelerators {
			name := fleet.Endpoint(string(c.Place.DataCentre) + string(rune('a'+i)))
			v.Endpoints = append(v.Endpoints, place.EndpointView{Endpoint: name, Place: c.Place, Memory: weightMemory})
		}
	}
	for m := range d.Models {
		work := d.popularity(m) * ordinaryLoad * float64(d.Accelerators())
		v.Models = append(v.Models, place.ModelView{Model: modelName(m), Bytes: bytesOf(m), Fast: work, Slow: work})
	}
	return v
}

// apply carries moves out at once.
func apply(v *place.View, moves []place.Move) bool {
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

// fill loads the initial layout before the scene starts.
func (p *placer) fill() {
	for i, models := range p.layout {
		for _, m := range models {
			p.run.engines[i].copies[m] = copyReady
			p.run.engines[i].used += bytesOf(m)
		}
	}
}

func (p *placer) begin() {
	switch p.run.policy.Place {
	case PlaceCore:
		p.run.every(planEvery, p.plan)
	case PlaceChase:
		p.run.every(chaseEvery, p.chase)
	default:
		p.run.every(planEvery, p.refill)
	}
}

// observe counts a request as demand for its model.
func (p *placer) observe(req *request) {
	p.demand[req.model].Add(p.run.time(), req.work())
}

func (p *placer) plan() {
	for _, m := range p.planner.Plan(p.run.time(), p.view()) {
		e := p.engine(m.Endpoint)
		if m.Kind == place.KindLoad {
			p.load(e, p.models[m.Model])
		} else {
			p.unload(e, p.models[m.Model])
		}
	}
}

func (p *placer) engine(name fleet.Endpoint) *engine {
	for _, e := range p.run.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (p *placer) view() place.View {
	now := p.run.time()
	v := place.View{}
	for _, e := range p.run.engines {
		v.Endpoints = append(v.Endpoints, p.endpointView(e))
	}
	for i, d := range p.demand {
		v.Models = append(v.Models, place.ModelView{
			Model: modelName(i), Bytes: bytesOf(i), Fast: d.Fast(now), Slow: d.Slow(now),
		})
	}
	return v
}

func (p *placer) endpointView(e *engine) place.EndpointView {
	if !e.alive && p.run.now-e.died < lostAfter {
		return p.lastView(e)
	}
	v := place.EndpointView{Endpoint: e.name, Place: e.place, Memory: weightMemory, Used: e.used, Dead: !e.alive}
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

// lastView is what was last seen of an endpoint that has died since.
func (p *placer) lastView(e *engine) place.EndpointView {
	v := place.EndpointView{Endpoint: e.name, Place: e.place, Memory: weightMemory, Used: weightMemory}
	for m, state := range e.had {
		if state == copyReady {
			v.Models = append(v.Models, modelName(m))
		}
	}
	return v
}

// refill brings back what the initial layout wants on each endpoint.
func (p *placer) refill() {
	for i, models := range p.layout {
		for _, m := range models {
			if p.run.engines[i].copies[m] == copyAbsent {
				p.load(p.run.engines[i], m)
			}
		}
	}
}

// chase gives each model as many copies as its newest demand asks for.
func (p *placer) chase() {
	now := p.run.time()
	want := make([]int, len(p.demand))
	surplus := make([]int, len(p.demand))
	for m := range p.demand {
		want[m] = max(1, int(p.demand[m].Fast(now)/chaseTarget+0.999))
		surplus[m] = p.count(m) - want[m]
	}
	for m := range want {
		for ; surplus[m] < 0; surplus[m]++ {
			if !p.chaseOne(m, surplus) {
				break
			}
		}
	}
}

func (p *placer) count(m int) int {
	count := 0
	for _, e := range p.run.engines {
		if e.alive && (e.copies[m] == copyReady || e.copies[m] == copyLoading) {
			count++
		}
	}
	return count
}

// chaseOne loads a copy where memory is free, or else unloads a model with copies to spare.
func (p *placer) chaseOne(m int, surplus []int) bool {
	for _, e := range p.run.engines {
		if e.alive && e.copies[m] == copyAbsent && e.used+bytesOf(m) <= weightMemory {
			return p.load(e, m)
		}
	}
	for _, e := range p.run.engines {
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
