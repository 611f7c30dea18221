package place

import "slices"

// spareLoss is the loss counted for a model that is left with one copy, in accelerators.
const spareLoss = 0.02

// room lists what must go from an endpoint so that a model fits.
type room struct {
	victims [maxVictims]int32
	count   int
	loss    float64
}

// maxVictims bounds how many copies one load may displace.
const maxVictims = 4

// evictLoss returns the work that would be late if room were made for a model.
func (r *round) evictLoss(u, n int32, settledOnly bool) (loss float64, ok bool) {
	found, ok := r.makeRoom(u, n, settledOnly)
	return found.loss, ok
}

// makeRoom finds the copies that cost least to drop; stay keeps copies that came lately.
func (r *round) makeRoom(u, n int32, stay bool) (room, bool) {
	node := &r.layout.nodes[n]
	if !node.usable || !r.allowed(u, n) || node.fixed || node.loading > 0 || r.layout.units[u].has(n) {
		return room{}, false
	}
	need := r.layout.units[u].view.Bytes - node.free
	found := room{}
	for need > 0 {
		victim, loss := r.cheapest(n, &found, stay)
		if victim < 0 || found.count == maxVictims {
			return room{}, false
		}
		found.victims[found.count] = victim
		found.count++
		found.loss += loss
		need -= r.layout.units[victim].view.Bytes
	}
	return found, true
}

// cheapest returns the copy on an endpoint that costs least to drop for each byte.
func (r *round) cheapest(n int32, taken *room, stay bool) (victim int32, loss float64) {
	victim = -1
	bestRate := 0.0
	for _, c := range r.layout.nodes[n].copies {
		if slices.Contains(taken.victims[:taken.count], c) || !r.mayDrop(c, n, stay) {
			continue
		}
		l := r.dropLoss(c, n)
		rate := l / float64(r.layout.units[c].view.Bytes+1)
		if victim < 0 || rate < bestRate {
			victim, loss, bestRate = c, l, rate
		}
	}
	return victim, loss
}

// mayDrop reports whether a copy may go: another settled one must stay.
func (r *round) mayDrop(u, n int32, stay bool) bool {
	unit, node := &r.layout.units[u], &r.layout.nodes[n]
	settled := unit.settled()
	for _, h := range unit.homes {
		if h.node == n && h.settled {
			settled--
		}
	}
	if settled < 1 {
		return false
	}
	_, young := r.planner.loaded[copyID{unit.view.Model, node.view.Endpoint}]
	return !stay || !young
}

// dropLoss returns the work that would be late without a copy.
func (r *round) dropLoss(u, n int32) float64 {
	unit := &r.layout.units[u]
	flow := 0.0
	others := 0
	for _, h := range unit.homes {
		if h.node == n {
			flow = h.flow
		} else {
			others++
		}
	}
	loss := 0.0
	if others+unit.view.Elsewhere <= 1 {
		loss = (spareLoss + r.planner.exposure*unit.demand) * unit.weight
	}
	if others == 0 {
		return loss + flow*unit.weight
	}
	part := flow / float64(others)
	for _, h := range unit.homes {
		if h.node != n {
			level := r.layout.nodes[h.node].level
			loss += unit.weight * (r.planner.miss(level+part) - r.planner.miss(level))
		}
	}
	return loss
}

// evict proposes the unloads that make room for a model on an endpoint.
func (r *round) evict(u, n int32, stay bool, why Reason) {
	found, ok := r.makeRoom(u, n, stay)
	if !ok {
		return
	}
	node := &r.layout.nodes[n]
	node.fixed = true
	for _, victim := range found.victims[:found.count] {
		r.layout.leave(victim, n)
		node.free += r.layout.units[victim].view.Bytes
		r.layout.spread(&r.layout.units[victim])
		r.moves = append(r.moves, Move{
			Kind:     KindUnload,
			Model:    r.layout.units[victim].view.Model,
			Endpoint: node.view.Endpoint,
			Reason:   ReasonRoom,
			For:      r.layout.units[u].view.Model,
		})
	}
	r.planner.intents[node.view.Endpoint] = intent{model: r.layout.units[u].view.Model, reason: why, at: r.now}
	r.expect(u, n)
	r.layout.loading++
}
