package place

import "slices"

// singleCopyLoss is the fixed cost of leaving a model with a single copy, in accelerators
// of work.
const singleCopyLoss = 0.02

// eviction lists the copies to unload from an endpoint so that a model fits.
type eviction struct {
	victims [maxVictims]int32
	count   int
	loss    float64
}

// maxVictims bounds how many copies may be evicted for one load.
const maxVictims = 4

// evictionLoss returns the work that would be late if other copies were evicted for a model.
func (p *planRun) evictionLoss(m, e int32, keepRecent bool) (loss float64, ok bool) {
	found, ok := p.planEviction(m, e, keepRecent)
	return found.loss, ok
}

// planEviction chooses the copies that are cheapest to evict so that a model fits on an
// endpoint. With keepRecent set, recently proposed copies are not eligible.
func (p *planRun) planEviction(m, e int32, keepRecent bool) (eviction, bool) {
	endpoint := &p.layout.endpoints[e]
	if !endpoint.usable || !p.allowed(m, e) || endpoint.hasMove || endpoint.pendingLoads > 0 || p.layout.models[m].hasCopy(e) {
		return eviction{}, false
	}
	need := p.layout.models[m].view.Bytes - endpoint.freeBytes
	found := eviction{}
	for need > 0 {
		victim, loss := p.cheapestVictim(e, &found, keepRecent)
		if victim < 0 || found.count == maxVictims {
			return eviction{}, false
		}
		found.victims[found.count] = victim
		found.count++
		found.loss += loss
		need -= p.layout.models[victim].view.Bytes
	}
	return found, true
}

// cheapestVictim returns the copy on an endpoint whose eviction costs least per byte freed,
// -1 when none is eligible.
func (p *planRun) cheapestVictim(e int32, chosen *eviction, keepRecent bool) (victim int32, loss float64) {
	victim = -1
	bestRate := 0.0
	for _, m := range p.layout.endpoints[e].models {
		if slices.Contains(chosen.victims[:chosen.count], m) || !p.canEvict(m, e, keepRecent) {
			continue
		}
		l := p.lossWithout(m, e)
		rate := l / float64(p.layout.models[m].view.Bytes+1)
		if victim < 0 || rate < bestRate {
			victim, loss, bestRate = m, l, rate
		}
	}
	return victim, loss
}

// canEvict reports whether a copy may be evicted: another resident copy of the model must
// remain.
func (p *planRun) canEvict(m, e int32, keepRecent bool) bool {
	model, endpoint := &p.layout.models[m], &p.layout.endpoints[e]
	resident := model.residentCopies()
	for _, c := range model.copies {
		if c.endpoint == e && c.resident {
			resident--
		}
	}
	if resident < 1 {
		return false
	}
	_, recent := p.planner.proposedAt[copyID{model.view.Model, endpoint.view.Endpoint}]
	return !keepRecent || !recent
}

// lossWithout returns the work that would be late without a copy: its work moves to the
// other copies, and a model left with a single copy adds the risk of losing that one too.
func (p *planRun) lossWithout(m, e int32) float64 {
	model := &p.layout.models[m]
	work := 0.0
	others := 0
	for _, c := range model.copies {
		if c.endpoint == e {
			work = c.work
		} else {
			others++
		}
	}
	loss := 0.0
	if others+model.view.OtherCopies <= 1 {
		loss = (singleCopyLoss + p.planner.exposure*model.demand) * model.weight
	}
	if others == 0 {
		return loss + work*model.weight
	}
	share := work / float64(others)
	for _, c := range model.copies {
		if c.endpoint != e {
			utilization := p.layout.endpoints[c.endpoint].utilization
			loss += model.weight * (p.planner.lateWork(utilization+share) - p.planner.lateWork(utilization))
		}
	}
	return loss
}

// evict proposes the unloads that make room for a model on an endpoint, and defers the
// load until they are done.
func (p *planRun) evict(m, e int32, keepRecent bool, loadReason Reason) {
	found, ok := p.planEviction(m, e, keepRecent)
	if !ok {
		return
	}
	endpoint := &p.layout.endpoints[e]
	endpoint.hasMove = true
	for _, victim := range found.victims[:found.count] {
		p.layout.removeCopy(victim, e)
		endpoint.freeBytes += p.layout.models[victim].view.Bytes
		p.layout.distribute(&p.layout.models[victim])
		p.moves = append(p.moves, Move{
			Kind:     KindUnload,
			Model:    p.layout.models[victim].view.Model,
			Endpoint: endpoint.view.Endpoint,
			Reason:   ReasonRoom,
			For:      p.layout.models[m].view.Model,
		})
	}
	p.planner.deferred[endpoint.view.Endpoint] = deferredLoad{model: p.layout.models[m].view.Model, reason: loadReason, at: p.now}
	p.reserve(m, e)
	p.layout.pendingLoads++
}
