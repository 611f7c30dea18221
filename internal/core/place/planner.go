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
	// proposedAt tells when a copy was proposed, to let it stay for a while.
	proposedAt map[copyID]time.Time
	// deferred tells for which model room is being made on an endpoint.
	deferred map[fleet.Endpoint]deferredLoad
}

// deferredLoad is a load that follows once room was made for it.
type deferredLoad struct {
	model  fleet.Model
	reason Reason
	at     time.Time
}

// deferredLoadTTL is how long room is kept for a load that was decided.
const deferredLoadTTL = 2 * time.Minute

// copyID names one copy of a model.
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

// Plan proposes moves in the order in which they matter. A load is proposed
// only where its memory is free now; where room must be made first, only the
// unloads are proposed, and the load follows once they have been seen.
func (p *Planner) Plan(now time.Time, v View) []Move {
	p.expire(now)
	run := &planRun{planner: p, now: now, layout: newLayout(&v, p.trend)}
	run.layout.distributeAll()
	run.proposeDeferred()
	run.restoreLost()
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

// lateWork returns the work that is late on an endpoint with the given level: none
// up to the headroom, all that exceeds the accelerator, and a share between.
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

// planRun is one plan in the making.
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

// proposeDeferred loads what room was made for, and keeps the room of what cannot be loaded yet.
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

// reserve counts a load that follows later as a copy.
func (p *planRun) reserve(m, e int32) {
	p.layout.endpoints[e].freeBytes -= p.layout.models[m].view.Bytes
	p.layout.addCopy(m, e, false)
	p.layout.distribute(&p.layout.models[m])
}

// restoreLost brings back models without a copy, those with most work for their size first.
func (p *planRun) restoreLost() {
	lost := p.lostModels()
	for _, m := range p.limitUnrequested(lost) {
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

// limitUnrequested leaves out lost models that nobody asked for yet beyond the first
// few: before it is known what is asked for, they would take all loads at once.
func (p *planRun) limitUnrequested(lost []int32) []int32 {
	unrequested := 0
	return slices.DeleteFunc(lost, func(m int32) bool {
		if p.layout.models[m].demand > 0 || p.planner.maxUnrequestedLoads <= 0 {
			return false
		}
		unrequested++
		return unrequested > p.planner.maxUnrequestedLoads
	})
}

func (p *planRun) lostModels() []int32 {
	var lost []int32
	for i := range p.layout.models {
		model := &p.layout.models[i]
		if len(model.copies) == 0 && model.view.OtherCopies == 0 {
			lost = append(lost, int32(i))
		}
	}
	slices.SortStableFunc(lost, func(a, b int32) int { return compareFloats(p.urgency(b), p.urgency(a)) })
	return lost
}

// urgency is the worth of the work that waits for a model, for each byte to load.
func (p *planRun) urgency(i int32) float64 {
	model := &p.layout.models[i]
	return (model.weight*model.demand + minDemand) / float64(model.view.Bytes+1)
}

// minDemand stands for the demand of a model that nobody asked for yet, in accelerators.
const minDemand = 0.001

// leastLoaded returns the endpoint with free memory for a model that has least
// to load and least work; -1 when none has room.
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

// allowed reports whether an endpoint is of the service that may load the model.
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

// evictFor proposes the unloads that make room for a model on the endpoint where they cost least.
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
