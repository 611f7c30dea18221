package place

import (
	"slices"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// endpointState is the working state of one endpoint during a plan.
type endpointState struct {
	view      *EndpointView
	usable    bool
	freeBytes int64
	// utilization is the expected work of its copies, in accelerators.
	utilization  float64
	pendingLoads int
	models       []int32
	// hasMove is set when the plan evicts copies from the endpoint or handles a deferred
	// load there; it then gets no further evictions or copies for demand.
	hasMove bool
}

// modelCopy is one copy of a model with its expected work. The endpoint is an index
// into layout.endpoints.
type modelCopy struct {
	endpoint int32
	work     float64
	// resident is set when the copy is in memory and has no pending unload.
	resident bool
}

// modelState is the working state of one model during a plan.
type modelState struct {
	view   *ModelView
	demand float64
	weight float64
	copies []modelCopy
}

// residentCopies counts the copies that are in memory and not about to be unloaded,
// including those outside the view.
func (m *modelState) residentCopies() int {
	count := m.view.OtherCopies
	for _, c := range m.copies {
		if c.resident {
			count++
		}
	}
	return count
}

func (m *modelState) hasCopy(e int32) bool {
	return slices.ContainsFunc(m.copies, func(c modelCopy) bool { return c.endpoint == e })
}

// layout is the working state of the fleet during a plan. Functions of this package
// refer to models and endpoints by their indexes in it, usually m and e.
type layout struct {
	endpoints    []endpointState
	models       []modelState
	index        map[fleet.Model]int32
	pendingLoads int
}

// modelIndex returns the index of a model, -1 when the view does not contain it.
func (l *layout) modelIndex(m fleet.Model) int32 {
	if i, ok := l.index[m]; ok {
		return i
	}
	return -1
}

func newLayout(v *View, trend float64) *layout {
	l := &layout{endpoints: make([]endpointState, len(v.Endpoints)), models: make([]modelState, len(v.Models))}
	l.index = make(map[fleet.Model]int32, len(v.Models))
	for i := range v.Models {
		l.models[i] = newModelState(&v.Models[i], trend)
		l.index[v.Models[i].Model] = int32(i)
	}
	for i := range v.Endpoints {
		l.addEndpoint(int32(i), &v.Endpoints[i])
	}
	return l
}

func newModelState(v *ModelView, trend float64) modelState {
	increase := max(v.Fast-v.Slow, 0)
	weight := v.Weight
	if weight == 0 {
		weight = 1
	}
	return modelState{view: v, demand: max(v.Fast, v.Slow) + trend*increase, weight: weight}
}

func (l *layout) addEndpoint(i int32, v *EndpointView) {
	endpoint := &l.endpoints[i]
	endpoint.view = v
	endpoint.usable = !v.Dead && !v.Leaving
	endpoint.freeBytes = v.Memory - v.Used
	for _, p := range v.Pending {
		if p.Kind != KindLoad {
			continue
		}
		endpoint.pendingLoads++
		l.pendingLoads++
		if m, ok := l.index[p.Model]; ok && endpoint.usable {
			l.addCopy(m, i, false)
		}
	}
	if !endpoint.usable {
		return
	}
	for _, name := range v.Models {
		m, ok := l.index[name]
		if ok && !hasPendingUnload(v, name) && !l.models[m].hasCopy(i) {
			l.addCopy(m, i, true)
		}
	}
}

func hasPendingUnload(v *EndpointView, m fleet.Model) bool {
	return slices.Contains(v.Pending, Pending{Kind: KindUnload, Model: m})
}

func (l *layout) addCopy(m, e int32, resident bool) {
	l.models[m].copies = append(l.models[m].copies, modelCopy{endpoint: e, resident: resident})
	l.endpoints[e].models = append(l.endpoints[e].models, m)
}

func (l *layout) removeCopy(m, e int32) {
	model := &l.models[m]
	model.copies = slices.DeleteFunc(model.copies, func(c modelCopy) bool {
		if c.endpoint == e {
			l.endpoints[e].utilization -= c.work
		}
		return c.endpoint == e
	})
	l.endpoints[e].models = slices.DeleteFunc(l.endpoints[e].models, func(c int32) bool { return c == m })
}

// distributionPasses is how many times the work of all models is distributed so that the
// utilizations converge.
const distributionPasses = 4

// distributeAll distributes the work of each model over its copies.
func (l *layout) distributeAll() {
	for range distributionPasses {
		for i := range l.models {
			l.distribute(&l.models[i])
		}
	}
}

// distribute assigns the demand of one model to its copies, starting with the least
// utilized endpoint, so that the endpoints used reach the same utilization.
func (l *layout) distribute(m *modelState) {
	if len(m.copies) == 0 {
		return
	}
	for i := range m.copies {
		l.endpoints[m.copies[i].endpoint].utilization -= m.copies[i].work
	}
	slices.SortFunc(m.copies, func(a, b modelCopy) int {
		return compareFloats(l.endpoints[a.endpoint].utilization, l.endpoints[b.endpoint].utilization)
	})
	utilization := l.commonUtilization(m)
	for i := range m.copies {
		c := &m.copies[i]
		c.work = max(utilization-l.endpoints[c.endpoint].utilization, 0)
		l.endpoints[c.endpoint].utilization += c.work
	}
}

// commonUtilization returns the utilization that the endpoints reach when they share the
// demand of a model. Its copies must be sorted by the utilization of their endpoints.
func (l *layout) commonUtilization(m *modelState) float64 {
	sum := m.demand
	utilization := 0.0
	for i := range m.copies {
		base := l.endpoints[m.copies[i].endpoint].utilization
		if i > 0 && base >= utilization {
			break
		}
		sum += base
		utilization = sum / float64(i+1)
	}
	return utilization
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
