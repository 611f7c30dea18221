package place

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// node is an endpoint while a plan is made.
type node struct {
	view   *EndpointView
	usable bool
	free   int64
	// level is the work that its copies are expected to get, in accelerators.
	level   float64
	loading int
	copies  []int32
	// fixed marks that the endpoint was given a move in this plan.
	fixed bool
}

// share is one copy of a model with the work expected there.
type share struct {
	node int32
	flow float64
	// settled is set when the copy is resident and has no pending unload.
	settled bool
}

// unit is a model while a plan is made.
type unit struct {
	view   *ModelView
	demand float64
	weight float64
	homes  []share
}

// settled counts the copies that can be relied on.
func (u *unit) settled() int {
	count := u.view.Elsewhere
	for _, h := range u.homes {
		if h.settled {
			count++
		}
	}
	return count
}

func (u *unit) has(n int32) bool {
	return slices.ContainsFunc(u.homes, func(h share) bool { return h.node == n })
}

// layout is the fleet while a plan is made.
type layout struct {
	nodes   []node
	units   []unit
	index   map[fleet.Model]int32
	loading int
}

// find returns the unit of a model, -1 when the view has none.
func (l *layout) find(m fleet.Model) int32 {
	if u, ok := l.index[m]; ok {
		return u
	}
	return -1
}

func newLayout(v *View, trend float64) *layout {
	l := &layout{nodes: make([]node, len(v.Endpoints)), units: make([]unit, len(v.Models))}
	l.index = make(map[fleet.Model]int32, len(v.Models))
	for i := range v.Models {
		l.units[i] = newUnit(&v.Models[i], trend)
		l.index[v.Models[i].Model] = int32(i)
	}
	for i := range v.Endpoints {
		l.addNode(int32(i), &v.Endpoints[i])
	}
	return l
}

func newUnit(v *ModelView, trend float64) unit {
	rising := max(v.Fast-v.Slow, 0)
	weight := v.Weight
	if weight == 0 {
		weight = 1
	}
	return unit{view: v, demand: max(v.Fast, v.Slow) + trend*rising, weight: weight}
}

func (l *layout) addNode(i int32, v *EndpointView) {
	n := &l.nodes[i]
	n.view = v
	n.usable = !v.Dead && !v.Leaving
	n.free = v.Memory - v.Used
	for _, p := range v.Pending {
		if p.Kind != KindLoad {
			continue
		}
		n.loading++
		l.loading++
		if u, ok := l.index[p.Model]; ok && n.usable {
			l.join(u, i, false)
		}
	}
	if !n.usable {
		return
	}
	for _, m := range v.Models {
		u, ok := l.index[m]
		if ok && !pendingUnload(v, m) && !l.units[u].has(i) {
			l.join(u, i, true)
		}
	}
}

func pendingUnload(v *EndpointView, m fleet.Model) bool {
	return slices.Contains(v.Pending, Pending{Kind: KindUnload, Model: m})
}

func (l *layout) join(u, n int32, settled bool) {
	l.units[u].homes = append(l.units[u].homes, share{node: n, settled: settled})
	l.nodes[n].copies = append(l.nodes[n].copies, u)
}

func (l *layout) leave(u, n int32) {
	unit := &l.units[u]
	unit.homes = slices.DeleteFunc(unit.homes, func(h share) bool {
		if h.node == n {
			l.nodes[n].level -= h.flow
		}
		return h.node == n
	})
	l.nodes[n].copies = slices.DeleteFunc(l.nodes[n].copies, func(c int32) bool { return c == u })
}

// sweeps is how often all models are spread again until the levels have settled.
const sweeps = 4

// spreadAll spreads the work of each model over its copies.
func (l *layout) spreadAll() {
	for range sweeps {
		for i := range l.units {
			l.spread(&l.units[i])
		}
	}
}

// spread pours the demand of one model over its copies, the emptiest endpoint
// first, up to one common level.
func (l *layout) spread(u *unit) {
	if len(u.homes) == 0 {
		return
	}
	for i := range u.homes {
		l.nodes[u.homes[i].node].level -= u.homes[i].flow
	}
	slices.SortFunc(u.homes, func(a, b share) int {
		return compare(l.nodes[a.node].level, l.nodes[b.node].level)
	})
	level := l.common(u)
	for i := range u.homes {
		h := &u.homes[i]
		h.flow = max(level-l.nodes[h.node].level, 0)
		l.nodes[h.node].level += h.flow
	}
}

// common returns the level that the emptiest copies reach together; the homes are sorted.
func (l *layout) common(u *unit) float64 {
	sum := u.demand
	level := 0.0
	for i := range u.homes {
		base := l.nodes[u.homes[i].node].level
		if i > 0 && base >= level {
			break
		}
		sum += base
		level = sum / float64(i+1)
	}
	return level
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
