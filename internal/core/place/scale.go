package place

import "slices"

// maxOverloadedModels bounds how many models a plan considers for additional copies.
const maxOverloadedModels = 24

// loadCostPerGiB is the cost of loading one GiB, in accelerators of work: the endpoint
// reads weights instead of serving.
const loadCostPerGiB = 0.0002

const gib = 1 << 30

// scaleOut adds copies of models whose work is late, the greatest gain first.
func (p *planRun) scaleOut() {
	for p.remainingLoads() > 0 {
		m, e, gain := p.bestCopy()
		if e < 0 || gain < p.planner.minGain {
			return
		}
		if p.fits(m, e) {
			p.proposeLoad(m, e, ReasonDemand)
		} else {
			p.evict(m, e, true, ReasonDemand)
		}
	}
}

// bestCopy returns the additional copy with the greatest gain; e is -1 when there is none.
func (p *planRun) bestCopy() (m, e int32, gain float64) {
	e = -1
	for _, candidate := range p.overloadedModels() {
		for i := range p.layout.endpoints {
			g, ok := p.gain(candidate, int32(i))
			if ok && g > gain {
				m, e, gain = candidate, int32(i), g
			}
		}
	}
	return m, e, gain
}

// overloadedModels returns the models with the most late work by weight, in that order.
func (p *planRun) overloadedModels() []int32 {
	type overloaded struct {
		model int32
		loss  float64
	}
	var all []overloaded
	for i := range p.layout.models {
		if loss := p.modelLateWork(&p.layout.models[i]); loss > p.planner.minGain {
			all = append(all, overloaded{int32(i), loss})
		}
	}
	slices.SortStableFunc(all, func(a, b overloaded) int { return compareFloats(b.loss, a.loss) })
	all = all[:min(len(all), maxOverloadedModels)]
	out := make([]int32, len(all))
	for i := range all {
		out[i] = all[i].model
	}
	return out
}

// modelLateWork returns the weighted late work at the endpoints of a model.
func (p *planRun) modelLateWork(m *modelState) float64 {
	loss := 0.0
	for _, c := range m.copies {
		if c.work > 0 {
			loss += p.planner.lateWork(p.layout.endpoints[c.endpoint].utilization)
		}
	}
	return loss * m.weight
}

// gain returns by how much an additional copy would reduce late work, less the cost of
// the load and of the evictions that it needs.
func (p *planRun) gain(m, e int32) (float64, bool) {
	model, endpoint := &p.layout.models[m], &p.layout.endpoints[e]
	if !endpoint.usable || !p.allowed(m, e) || endpoint.hasMove || model.hasCopy(e) || endpoint.utilization >= 1 {
		return 0, false
	}
	saved := p.savedWork(model, endpoint) - loadCostPerGiB*float64(model.view.Bytes)/gib
	if saved < p.planner.minGain {
		return 0, false
	}
	if endpoint.freeBytes >= model.view.Bytes {
		return saved, true
	}
	loss, ok := p.evictionLoss(m, e, true)
	return saved - loss, ok
}

// savedWork returns by how much late work falls when part of a model's work moves to an
// additional endpoint.
func (p *planRun) savedWork(m *modelState, endpoint *endpointState) float64 {
	average, busy := 0.0, 0
	for _, c := range m.copies {
		if c.work > 0 {
			average += p.layout.endpoints[c.endpoint].utilization
			busy++
		}
	}
	if busy == 0 {
		return 0
	}
	average /= float64(busy)
	count := float64(busy)
	work := min((average-endpoint.utilization)*count/(count+1), m.demand)
	if work <= 0 {
		return 0
	}
	before := count*p.planner.lateWork(average) + p.planner.lateWork(endpoint.utilization)
	after := count*p.planner.lateWork(average-work/count) + p.planner.lateWork(endpoint.utilization+work)
	return m.weight * (before - after)
}

// spreadCopies adds a copy in another data centre for each model that is loaded in only
// one, where memory is free, those with the most work first.
func (p *planRun) spreadCopies() {
	for _, i := range p.byDemand() {
		model := &p.layout.models[i]
		if p.remainingLoads() <= reservedLoads {
			return
		}
		if len(model.copies) == 0 || model.view.OtherCopies > 0 || p.isSpread(model) {
			continue
		}
		if e := p.endpointElsewhere(i); e >= 0 {
			p.proposeLoad(i, e, ReasonSpread)
		}
	}
}

// byDemand returns all models, those with the most work first.
func (p *planRun) byDemand() []int32 {
	indexes := make([]int32, len(p.layout.models))
	for i := range indexes {
		indexes[i] = int32(i)
	}
	slices.SortStableFunc(indexes, func(a, b int32) int {
		x, y := &p.layout.models[a], &p.layout.models[b]
		return compareFloats(y.weight*y.demand, x.weight*x.demand)
	})
	return indexes
}

// addRequiredCopies adds copies up to the minimum that operators configured, where memory
// is free.
func (p *planRun) addRequiredCopies() {
	for i := range p.layout.models {
		model := &p.layout.models[i]
		if p.remainingLoads() <= reservedLoads {
			return
		}
		if copies := len(model.copies) + model.view.OtherCopies; copies == 0 || copies >= model.view.MinCopies {
			continue
		}
		if e := p.leastLoaded(int32(i)); e >= 0 {
			p.proposeLoad(int32(i), e, ReasonCopies)
		}
	}
}

// reservedLoads is how many pending loads are kept available for demand while copies are
// added for redundancy.
const reservedLoads = 2

// isSpread reports whether a model has copies in more than one data centre.
func (p *planRun) isSpread(m *modelState) bool {
	first := p.layout.endpoints[m.copies[0].endpoint].view.Place
	return slices.ContainsFunc(m.copies, func(c modelCopy) bool {
		return p.layout.endpoints[c.endpoint].view.Place != first
	})
}

// endpointElsewhere returns the least loaded endpoint with free memory for a model in
// another data centre, -1 when there is none.
func (p *planRun) endpointElsewhere(m int32) int32 {
	first := p.layout.endpoints[p.layout.models[m].copies[0].endpoint].view.Place
	best := int32(-1)
	for i := range p.layout.endpoints {
		endpoint := &p.layout.endpoints[i]
		if endpoint.view.Place == first || !p.fits(m, int32(i)) {
			continue
		}
		if best < 0 || lessLoaded(endpoint, &p.layout.endpoints[best]) {
			best = int32(i)
		}
	}
	return best
}
