package loader

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// placeModels tracks the orders in progress for a service's endpoints, plans the next moves
// and starts them.
func (l *Loader) placeModels(ctx context.Context, now time.Time, g *catalog.Group) {
	candidates := l.cluster.Candidates(g.Name)
	plan := make([]copies.Endpoint, len(candidates))
	var tracking errgroup.Group
	byID := make(map[fleet.Endpoint]*Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		byID[c.ID] = c
		tracking.Go(func() error {
			d := l.orderState(c)
			if d.tryLock() {
				if !c.Spared { // else what is in progress is followed afterwards
					l.trackOrders(ctx, now, d, c)
				}
				plan[i] = l.planEndpoint(now, d.progress, c, g.Engine)
				d.unlock()
			} else {
				plan[i] = l.lockedEndpoint(c)
			}
			return nil
		})
	}
	_ = tracking.Wait() // failures are retried in the next step
	if !l.cluster.Settled() {
		return
	}
	var group errgroup.Group
	for _, m := range l.planMoves(now, g, plan) {
		group.Go(func() error {
			l.startMove(ctx, now, byID[m.Endpoint], m)
			return nil
		})
	}
	_ = group.Wait() // a move that failed is planned again
}

// planMoves returns the next moves of a service.
func (l *Loader) planMoves(now time.Time, g *catalog.Group, plan []copies.Endpoint) []copies.Move {
	demand, longTerm, _ := l.cluster.Demand()
	limits := copies.Limits{
		ColdLoads: l.allowedColdLoads(now, g, plan), MaxMoves: l.limits.MaxMoves, MinGain: l.limits.MinGain, MinDemand: l.limits.MinDemand, StandbyCopies: l.limits.StandbyCopies,
		Capacity: l.limits.Capacity, TrendLead: l.limits.TrendLead, LoadTime: l.meanLoadTime(),
	}
	planDemand := copies.Demand{Recent: demand, LongTerm: longTerm, AtRisk: l.atRisk(g.Engine, demand), InUse: l.inUse(now, demand, longTerm)}
	if l.shortages[g.Name] == nil {
		l.shortages[g.Name] = new(copies.Shortage)
	}
	planDemand.Starved = l.shortages[g.Name].Observe(now, g.Engine, plan, planDemand.InUse)
	planDemand.Waiting = l.shortages[g.Name].Waiting(now)
	if !l.follows(g.Engine) {
		return copies.Plan(g.Engine, plan, planDemand, limits)
	}
	moves, needs := copies.Follow(g.Engine, plan, planDemand, limits)
	l.reportNeeds(now, needs, len(moves))
	return moves
}

// follows reports whether the copies of a service follow rising demand.
func (l *Loader) follows(engine *catalog.Engine) bool {
	return l.limits.Follow > 0 && engine.MaxLoadsPerSecond >= l.limits.Follow
}

// needsInterval is how often the models that need copies are logged.
const needsInterval = time.Second

// reportNeeds logs which models need copies, those that lose most, and measures what all lose.
func (l *Loader) reportNeeds(now time.Time, needs []copies.Need, moves int) {
	loss := 0.0
	for _, n := range needs {
		loss += n.Loss
	}
	metrics.GetOrRegisterGauge("unserved_demand", l.registry).Update(int64(loss))
	if now.Sub(l.needsLoggedAt) < needsInterval {
		return
	}
	l.needsLoggedAt = now
	for _, n := range needs {
		_ = l.logger.Log("step", "need", "model", n.Model, "demand", int(n.Demand), "forecast", int(n.Forecast), "copies", n.Copies,
			"needed", n.Needed, "loss", int(n.Loss), "moves", moves)
	}
}

// countMove counts an order for a base model that was sent.
func (l *Loader) countMove(unload, cold bool) {
	if unload {
		metrics.GetOrRegisterCounter("model_unloads", l.registry).Inc(1)
		return
	}
	metrics.GetOrRegisterCounter("model_loads;cold="+strconv.FormatBool(cold), l.registry).Inc(1)
}

// atRisk returns the models whose demand may rise within seconds: those with adapters, which
// serve callers that wait for the answer, and those that have been in demand before.
func (l *Loader) atRisk(engine *catalog.Engine, demand map[fleet.Model]float64) map[fleet.Model]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[fleet.Model]bool)
	for i := range engine.Models {
		m := &engine.Models[i]
		if demand[m.Name] >= l.limits.MinDemand {
			l.hadDemand[m.Name] = true
		}
		all[m.Name] = l.hadDemand[m.Name] || len(m.Adapters) > 0
	}
	return all
}

// inUse returns the models that callers have asked for lately.
func (l *Loader) inUse(now time.Time, demands ...map[fleet.Model]float64) map[fleet.Model]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, demand := range demands {
		for m, d := range demand {
			if d > 0 {
				l.askedAt[m] = now
			}
		}
	}
	all := make(map[fleet.Model]bool, len(l.askedAt))
	for m, at := range l.askedAt {
		all[m] = now.Sub(at) < idleTime
	}
	return all
}

// trackOrders compares the orders in progress with the endpoint's reports, and sends an unload
// whose delay is over.
func (l *Loader) trackOrders(ctx context.Context, now time.Time, d *orderState, c *Candidate) {
	if d.orderedModel != "" && (d.unload || now.Sub(d.orderedAt) > reportLag) && now.Sub(c.Report.Taken) > maxReportAge {
		if err := l.refresh(ctx, d, c); err != nil {
			_ = l.logger.Log("step", "follow", "endpoint", c.ID, "model", d.orderedModel, "err", err)
		}
	}
	l.recordEnd(now, d, c)
	if d.retiring != "" && !now.Before(d.unloadAt) {
		l.orderUnload(ctx, d, c)
	}
}

// recordEnd records the end of the move in progress if the endpoint's report shows it.
func (l *Loader) recordEnd(now time.Time, d *orderState, c *Candidate) {
	if d.orderedModel != "" && d.moveEnded(c) {
		_ = l.logger.Log("step", "moved", "endpoint", c.ID, "model", d.orderedModel, "unload", d.unload,
			"holds", roster.Holds(c.Report.Models, d.orderedModel, ""), "took", now.Sub(d.orderedAt))
		if !d.unload {
			l.recordLoadTime(d, now)
			d.recordLoaded(now, d.orderedModel)
			d.reservedFor = ""
		}
		d.orderedModel = ""
	}
	if d.orderedModel != "" && d.unload {
		l.cluster.AnnounceRetirement(c.ID, d.orderedModel)
	}
	if d.orderedModel != "" && now.Sub(d.orderedAt) > stuckOrderAfter {
		d.orderedModel = ""
	}
}

// recordLoaded records that a model has been loaded.
func (o *orderState) recordLoaded(now time.Time, m fleet.Model) {
	loadedAt := maps.Clone(o.loadedAt)
	if loadedAt == nil {
		loadedAt = make(map[fleet.Model]time.Time)
	}
	loadedAt[m] = now
	o.loadedAt = loadedAt
}

// loadedSince returns the models that were loaded after a time.
func (p *progress) loadedSince(since time.Time) []fleet.Model {
	var all []fleet.Model
	for m, at := range p.loadedAt {
		if at.After(since) {
			all = append(all, m)
		}
	}
	return all
}

// orderUnload orders the unload of the model that is retiring.
func (l *Loader) orderUnload(ctx context.Context, d *orderState, c *Candidate) {
	model := d.retiring
	d.retiring = ""
	err := l.orderModel(ctx, d, c, Order{Unload: true, Model: model})
	l.countMove(true, false)
	_ = l.logger.Log("step", "unload", "endpoint", c.ID, "model", model, "seq", d.seq, "err", err)
}

// loadTimeWeight is the weight of one load in the mean load time.
const loadTimeWeight = 0.2

// recordLoadTime adds a load that has ended to the mean time of loads from the weight store.
func (l *Loader) recordLoadTime(d *orderState, now time.Time) {
	if !d.cold {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	took := now.Sub(d.orderedAt)
	if l.loadTime == 0 {
		l.loadTime = took
	}
	l.loadTime += time.Duration(float64(took-l.loadTime) * loadTimeWeight)
}

// meanLoadTime returns the mean time of loads from the weight store, 0 before the first.
func (l *Loader) meanLoadTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadTime
}

// serveTime is how long a copy serves before it may be evicted for demand elsewhere: where copies
// follow demand, twice what a load takes, minServeTime at most.
func (l *Loader) serveTime(engine *catalog.Engine) time.Duration {
	if mean := l.meanLoadTime(); mean > 0 && l.follows(engine) {
		return min(2*mean, minServeTime)
	}
	return minServeTime
}

// moveEnded reports whether the endpoint's report shows the end of the move in progress.
func (o *orderState) moveEnded(c *Candidate) bool {
	after := c.Report.Taken.Sub(o.movedAt)
	if c.Report.Busy || c.Report.Seq < o.seq {
		return false
	}
	holds := roster.Holds(c.Report.Models, o.orderedModel, "")
	if o.unload && o.evicted == o.orderedModel {
		return !holds // a report from before the order shows the model
	}
	if after < reportLag {
		return false
	}
	return holds != o.unload || after > moveReportLag && !o.unload
}

// lockedEndpoint returns the planner's view of an endpoint that is being given an order and
// can't take another.
func (l *Loader) lockedEndpoint(c *Candidate) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, Cached: c.CachedModels, PendingPrefill: c.PendingPrefill, Busy: true}
	for _, h := range c.Report.Models {
		e.Loaded = append(e.Loaded, h.Model)
	}
	return e
}

// planEndpoint returns the planner's view of an endpoint.
func (l *Loader) planEndpoint(now time.Time, d progress, c *Candidate, engine *catalog.Engine) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, Cached: c.CachedModels, PendingPrefill: c.PendingPrefill}
	for _, h := range c.Report.Models {
		e.Loaded = append(e.Loaded, h.Model)
	}
	if d.retiring != "" {
		e.Unloading = append(e.Unloading, d.retiring)
	}
	if d.orderedModel != "" {
		if d.unload {
			e.Unloading = append(e.Unloading, d.orderedModel)
		} else {
			e.Loading = d.orderedModel
		}
	}
	if d.reservedFor != "" && now.Before(d.reservedUntil) {
		e.ReservedFor = d.reservedFor
	}
	e.RecentlyLoaded = d.loadedSince(now.Add(-l.serveTime(engine)))
	e.Moving = d.orderedModel != "" || d.retiring != ""
	fresh := now.Sub(c.Report.Taken) < time.Second
	e.Suspect = c.Suspect && !fresh && l.follows(engine)
	e.Busy = d.orderedModel != "" || d.retiring != "" || c.Report.Busy || !fresh || c.avoided() ||
		c.Report.Taken.Sub(d.movedAt) < reportLag
	return e
}

// allowedColdLoads returns how many loads from the weight store may start now. An unanswered
// order may start late, so it counts twice: when it was sent and some time later.
func (l *Loader) allowedColdLoads(now time.Time, g *catalog.Group, plan []copies.Endpoint) int {
	unknown := 0
	if !l.knowsLoads(now) {
		// Each order that an endpoint has accepted may be a load within the window.
		orders := int64(0)
		for _, c := range l.cluster.Candidates(g.Name) {
			orders += c.Report.Seq
		}
		for i := range plan {
			if plan[i].Busy && plan[i].Loading == "" {
				unknown++
			}
		}
		unknown = max(unknown, int(min(orders, int64(l.coldLoadLimit(g.Engine)))))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unknownLoads = unknown
	return l.remainingColdLoads(now, g.Engine)
}

// knowsLoads reports whether this instance has ordered all loads that may have begun within the window.
func (l *Loader) knowsLoads(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loadsKnown || now.Sub(l.fenceSince) >= l.limits.Window
}

// coldLoadLimit returns how many loads may start within the window. The few that may start in excess
// of the rate are reserved for orders that start late.
func (l *Loader) coldLoadLimit(engine *catalog.Engine) int {
	return int(engine.MaxLoadsPerSecond * l.limits.Window.Seconds() * l.limits.Burst)
}

// remainingColdLoads discards the loads that no longer count, and returns how many may start.
func (l *Loader) remainingColdLoads(now time.Time, engine *catalog.Engine) int {
	l.coldLoads = slices.DeleteFunc(l.coldLoads, func(at time.Time) bool { return now.Sub(at) > l.limits.Window })
	return l.coldLoadLimit(engine) - len(l.coldLoads) - l.unknownLoads
}

// takeColdLoad counts a load from the weight store that starts now, and reports whether it may.
func (l *Loader) takeColdLoad(now time.Time, engine *catalog.Engine) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.remainingColdLoads(now, engine) <= 0 {
		return false
	}
	l.coldLoads = append(l.coldLoads, now)
	return true
}

// countColdLoad counts a load from the weight store that may start at a time.
func (l *Loader) countColdLoad(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coldLoads = append(l.coldLoads, at)
}

// startMove starts a planned move: it sends the load order, or announces the retirement that
// precedes an unload.
func (l *Loader) startMove(ctx context.Context, now time.Time, c *Candidate, m copies.Move) {
	d := l.orderState(c)
	if !d.tryLock() {
		return
	}
	defer d.unlock()
	if m.Unload {
		l.retire(now, d, c, m)
		d.reservedFor, d.reservedUntil = m.MakesRoomFor, now.Add(reservationTime)
		return
	}
	if m.Cold {
		l.countColdLoad(now)
	}
	l.orderLoad(ctx, now, d, c, m.Model, m.Cold)
}

// retire announces that a model will be unloaded.
func (l *Loader) retire(now time.Time, d *orderState, c *Candidate, m copies.Move) {
	d.retiring, d.unloadAt = m.Model, now.Add(drainDelay)
	l.cluster.AnnounceRetirement(c.ID, m.Model)
	_ = l.logger.Log("step", "retire", "endpoint", c.ID, "model", m.Model, "for", m.MakesRoomFor)
}

// orderLoad orders the load of a model. One from the weight store has been counted.
func (l *Loader) orderLoad(ctx context.Context, now time.Time, d *orderState, c *Candidate, m fleet.Model, cold bool) {
	d.cold = cold
	err := l.orderModel(ctx, d, c, Order{Model: m})
	l.countMove(false, cold)
	_ = l.logger.Log("step", "load", "endpoint", c.ID, "model", m, "cold", cold, "seq", d.seq, "err", err)
	if cold && err != nil && !errors.Is(err, ErrBusy) && !errors.Is(err, ErrDenied) {
		l.countColdLoad(now.Add(maxOrderDelay / 2))
	}
}
