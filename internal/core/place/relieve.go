package place

import "slices"

// hotModels is how many models a plan looks at for further copies.
const hotModels = 24

// moveCost is the loss counted for one load, in accelerators for each GiB: the
// endpoint reads weights in place of working.
const moveCost = 0.0002

const gib = 1 << 30

// relieve adds copies where work is late, the greatest gain first.
func (r *round) relieve() {
	for r.permits() > 0 {
		u, n, gain := r.bestCopy()
		if n < 0 || gain < r.planner.threshold {
			return
		}
		if r.fits(u, n) {
			r.load(u, n, ReasonDemand)
		} else {
			r.evict(u, n, true, ReasonDemand)
		}
	}
}

// bestCopy returns the further copy that gains most; n is -1 when there is none.
func (r *round) bestCopy() (u, n int32, gain float64) {
	n = -1
	for _, candidate := range r.hot() {
		for i := range r.layout.nodes {
			g, ok := r.gain(candidate, int32(i))
			if ok && g > gain {
				u, n, gain = candidate, int32(i), g
			}
		}
	}
	return u, n, gain
}

// hot returns the models whose endpoints are late most, by worth.
func (r *round) hot() []int32 {
	type late struct {
		unit int32
		loss float64
	}
	var all []late
	for i := range r.layout.units {
		if loss := r.lateness(&r.layout.units[i]); loss > r.planner.threshold {
			all = append(all, late{int32(i), loss})
		}
	}
	slices.SortStableFunc(all, func(a, b late) int { return compare(b.loss, a.loss) })
	all = all[:min(len(all), hotModels)]
	out := make([]int32, len(all))
	for i := range all {
		out[i] = all[i].unit
	}
	return out
}

// lateness is the worth of the work that is late at the endpoints of a model.
func (r *round) lateness(u *unit) float64 {
	loss := 0.0
	for _, h := range u.homes {
		if h.flow > 0 {
			loss += r.planner.miss(r.layout.nodes[h.node].level)
		}
	}
	return loss * u.weight
}

// gain returns the work that a further copy would save from being late, less
// the cost of the move and of the copies that it displaces.
func (r *round) gain(u, n int32) (float64, bool) {
	unit, node := &r.layout.units[u], &r.layout.nodes[n]
	if !node.usable || !r.allowed(u, n) || node.fixed || unit.has(n) || node.level >= 1 {
		return 0, false
	}
	saved := r.saved(unit, node) - moveCost*float64(unit.view.Bytes)/gib
	if saved < r.planner.threshold {
		return 0, false
	}
	if node.free >= unit.view.Bytes {
		return saved, true
	}
	loss, ok := r.evictLoss(u, n, true)
	return saved - loss, ok
}

// saved returns the gain of pouring part of a model's work onto a further endpoint.
func (r *round) saved(u *unit, n *node) float64 {
	top, working := 0.0, 0
	for _, h := range u.homes {
		if h.flow > 0 {
			top += r.layout.nodes[h.node].level
			working++
		}
	}
	if working == 0 {
		return 0
	}
	top /= float64(working)
	count := float64(working)
	flow := min((top-n.level)*count/(count+1), u.demand)
	if flow <= 0 {
		return 0
	}
	before := count*r.planner.miss(top) + r.planner.miss(n.level)
	after := count*r.planner.miss(top-flow/count) + r.planner.miss(n.level+flow)
	return u.weight * (before - after)
}

// scatter gives models that stand in one data centre a copy in another, where
// memory is free, those with most work first.
func (r *round) scatter() {
	for _, i := range r.byDemand() {
		u := &r.layout.units[i]
		if r.permits() <= spreadPermits {
			return
		}
		if len(u.homes) == 0 || u.view.Elsewhere > 0 || r.scattered(u) {
			continue
		}
		if n := r.otherCentre(i); n >= 0 {
			r.load(i, n, ReasonSpread)
		}
	}
}

// byDemand returns all models, those with most work first.
func (r *round) byDemand() []int32 {
	order := make([]int32, len(r.layout.units))
	for i := range order {
		order[i] = int32(i)
	}
	slices.SortStableFunc(order, func(a, b int32) int {
		x, y := &r.layout.units[a], &r.layout.units[b]
		return compare(y.weight*y.demand, x.weight*x.demand)
	})
	return order
}

// complete adds the copies that operators ask for, where memory is free.
func (r *round) complete() {
	for i := range r.layout.units {
		u := &r.layout.units[i]
		if r.permits() <= spreadPermits {
			return
		}
		if copies := len(u.homes) + u.view.Elsewhere; copies == 0 || copies >= u.view.Least {
			continue
		}
		if n := r.roomiest(int32(i)); n >= 0 {
			r.load(int32(i), n, ReasonCopies)
		}
	}
}

// spreadPermits is how many loads are left for demand when copies are spread.
const spreadPermits = 2

func (r *round) scattered(u *unit) bool {
	first := r.layout.nodes[u.homes[0].node].view.Place
	return slices.ContainsFunc(u.homes, func(h share) bool {
		return r.layout.nodes[h.node].view.Place != first
	})
}

// otherCentre returns the endpoint with room that stands in another data centre and has least work.
func (r *round) otherCentre(u int32) int32 {
	first := r.layout.nodes[r.layout.units[u].homes[0].node].view.Place
	best := int32(-1)
	for i := range r.layout.nodes {
		n := &r.layout.nodes[i]
		if n.view.Place == first || !r.fits(u, int32(i)) {
			continue
		}
		if best < 0 || better(n, &r.layout.nodes[best]) {
			best = int32(i)
		}
	}
	return best
}
