package place

import (
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
)

// Planner proposes moves. It is not safe for concurrent use.
type Planner struct {
	maxPendingLoads     int
	minGain             float64
	minStay             time.Duration
	headroom            float64
	trend               float64
	exposure            float64
	maxUnrequestedLoads int
	// proposedAt records when a load was proposed, to protect the copy for minStay.
	proposedAt map[copyID]time.Time
	// deferred records the load for which memory is being freed on an endpoint.
	deferred map[fleet.Endpoint]deferredLoad
}

// deferredLoad is a load that is proposed once memory for it has been freed.
type deferredLoad struct {
	model  fleet.Model
	reason Reason
	at     time.Time
}

// deferredLoadTTL is how long freed memory is reserved for a deferred load.
const deferredLoadTTL = 2 * time.Minute

// copyID identifies one copy of a model.
type copyID struct {
	model    fleet.Model
	endpoint fleet.Endpoint
}

// New returns a Planner.
func New(opts ...Option) *Planner {
	p := &Planner{
		maxPendingLoads:     DefaultMaxPendingLoads,
		minGain:             DefaultMinGain,
		minStay:             DefaultMinStay,
		headroom:            DefaultHeadroom,
		trend:               DefaultTrend,
		exposure:            DefaultExposure,
		maxUnrequestedLoads: DefaultMaxUnrequestedLoads,
		proposedAt:          make(map[copyID]time.Time),
		deferred:            make(map[fleet.Endpoint]deferredLoad),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Plan proposes moves in order of priority. A load is proposed only where its
// memory is free now. Where memory must be freed first, only the unloads are
// proposed; a later plan proposes the load once a view shows them as done.
func (p *Planner) Plan(now time.Time, v View) []Move {
	p.expire(now)
	run := &planRun{planner: p, now: now, layout: newLayout(&v, p.trend)}
	run.layout.distributeAll()
	run.proposeDeferred()
	run.restoreUnavailable()
	run.scaleOut()
	run.spreadCopies()
	run.addRequiredCopies()
	return run.moves
}

func (p *Planner) expire(now time.Time) {
	for id, at := range p.proposedAt {
		if now.Sub(at) > p.minStay {
			delete(p.proposedAt, id)
		}
	}
	for e, load := range p.deferred {
		if now.Sub(load.at) > deferredLoadTTL {
			delete(p.deferred, e)
		}
	}
}

// lateWork returns the work that is late on an endpoint with the given utilization:
// none up to the headroom, all work beyond one accelerator, and in between a share
// that grows quadratically.
func (p *Planner) lateWork(utilization float64) float64 {
	width := 1 - p.headroom
	excess := utilization - p.headroom
	switch {
	case excess <= 0:
		return 0
	case excess <= width:
		return excess * excess / (2 * width)
	default:
		return width/2 + utilization - 1
	}
}

// planRun is the computation of one plan.
type planRun struct {
	planner *Planner
	now     time.Time
	layout  *layout
	moves   []Move
}

// remainingLoads returns how many loads may still be proposed.
func (p *planRun) remainingLoads() int {
	return p.planner.maxPendingLoads - p.layout.pendingLoads
}

// proposeDeferred proposes the deferred loads that fit now, and keeps memory reserved for
// the others.
func (p *planRun) proposeDeferred() {
	for i := range p.layout.endpoints {
		endpoint := &p.layout.endpoints[i]
		load, ok := p.planner.deferred[endpoint.view.Endpoint]
		if !ok {
			continue
		}
		m := p.layout.modelIndex(load.model)
		if m < 0 || !endpoint.usable || p.layout.models[m].hasCopy(int32(i)) {
			delete(p.planner.deferred, endpoint.view.Endpoint)
			continue
		}
		endpoint.hasMove = true
		if p.remainingLoads() > 0 && p.fits(m, int32(i)) {
			p.proposeLoad(m, int32(i), load.reason)
			delete(p.planner.deferred, endpoint.view.Endpoint)
			continue
		}
		p.reserve(m, int32(i))
	}
}

// reserve takes the memory of a deferred load and counts it as a copy.
func (p *planRun) reserve(m, e int32) {
	p.layout.endpoints[e].freeBytes -= p.layout.models[m].view.Bytes
	p.layout.addCopy(m, e, false)
	p.layout.distribute(&p.layout.models[m])
}

// restoreUnavailable proposes loads for the unavailable models, which have no copy, those with
// the most work for their size first.
func (p *planRun) restoreUnavailable() {
	unavailable := p.unavailableModels()
	for _, m := range p.limitUnrequested(unavailable) {
		if p.remainingLoads() <= 0 {
			return
		}
		if e := p.leastLoaded(m); e >= 0 {
			p.proposeLoad(m, e, ReasonUnreachable)
			continue
		}
		p.evictFor(m)
	}
}

// limitUnrequested removes all but the first few unavailable models that have had no request.
// On a cold start they would take all loads at once, before the requests show which
// models are needed.
func (p *planRun) limitUnrequested(unavailable []int32) []int32 {
	unrequested := 0
	return slices.DeleteFunc(unavailable, func(m int32) bool {
		if p.layout.models[m].demand > 0 || p.planner.maxUnrequestedLoads <= 0 {
			return false
		}
		unrequested++
		return unrequested > p.planner.maxUnrequestedLoads
	})
}

// unavailableModels returns the models without any copy, the most urgent first.
func (p *planRun) unavailableModels() []int32 {
	var unavailable []int32
	for i := range p.layout.models {
		model := &p.layout.models[i]
		if len(model.copies) == 0 && model.view.OtherCopies == 0 {
			unavailable = append(unavailable, int32(i))
		}
	}
	slices.SortStableFunc(unavailable, func(a, b int32) int { return compareFloats(p.urgency(b), p.urgency(a)) })
	return unavailable
}

// urgency returns the weighted demand of a model per byte to load.
func (p *planRun) urgency(i int32) float64 {
	model := &p.layout.models[i]
	return (model.weight*model.demand + minDemand) / float64(model.view.Bytes+1)
}

// minDemand is the demand assumed for a model without any request, in accelerators.
const minDemand = 0.001

// leastLoaded returns the endpoint with free memory for a model that has the fewest
// pending loads, then the least work; -1 when the model fits on none.
func (p *planRun) leastLoaded(m int32) int32 {
	best := int32(-1)
	for i := range p.layout.endpoints {
		endpoint := &p.layout.endpoints[i]
		if !p.fits(m, int32(i)) {
			continue
		}
		if best < 0 || lessLoaded(endpoint, &p.layout.endpoints[best]) {
			best = int32(i)
		}
	}
	return best
}

func lessLoaded(a, b *endpointState) bool {
	if a.pendingLoads != b.pendingLoads {
		return a.pendingLoads < b.pendingLoads
	}
	if a.utilization != b.utilization {
		return a.utilization < b.utilization
	}
	return a.freeBytes > b.freeBytes
}

func (p *planRun) fits(m, e int32) bool {
	endpoint := &p.layout.endpoints[e]
	return endpoint.usable && p.allowed(m, e) && endpoint.freeBytes >= p.layout.models[m].view.Bytes && !p.layout.models[m].hasCopy(e)
}

// allowed reports whether an endpoint belongs to the service that may load the model.
func (p *planRun) allowed(m, e int32) bool {
	service := p.layout.models[m].view.Service
	return service == "" || service == p.layout.endpoints[e].view.Service
}

func (p *planRun) proposeLoad(m, e int32, reason Reason) {
	model, endpoint := &p.layout.models[m], &p.layout.endpoints[e]
	endpoint.freeBytes -= model.view.Bytes
	endpoint.pendingLoads++
	p.layout.pendingLoads++
	p.layout.addCopy(m, e, false)
	p.layout.distribute(model)
	p.planner.proposedAt[copyID{model.view.Model, endpoint.view.Endpoint}] = p.now
	p.moves = append(p.moves, Move{
		Kind: KindLoad, Model: model.view.Model, Endpoint: endpoint.view.Endpoint, Reason: reason,
	})
}

// evictFor proposes the unloads that make room for a model, on the endpoint where they
// cost least.
func (p *planRun) evictFor(m int32) {
	best, bestLoss := int32(-1), 0.0
	for i := range p.layout.endpoints {
		loss, ok := p.evictionLoss(m, int32(i), false)
		if ok && (best < 0 || loss < bestLoss) {
			best, bestLoss = int32(i), loss
		}
	}
	if best >= 0 {
		p.evict(m, best, false, ReasonUnreachable)
	}
}
