package loader

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

const (
	// movePoll is how often an endpoint is asked whether an unload or a load has ended.
	movePoll = 150 * time.Millisecond
	// followTimeout limits one order: after that time a report shows what became of it.
	followTimeout = reportLag
	// orderPause is the least time between two orders to an endpoint.
	orderPause = 50 * time.Millisecond
	// coldReportDelay is how long after its order a load from the weight store is asked for first.
	coldReportDelay = time.Second
	// overdueAfter is how long after a move has begun its load is still to be ordered when the plan
	// no longer counts on it: somewhat more than a retirement and an unload take if no request
	// runs on the model.
	overdueAfter = 1100 * time.Millisecond
	// silentTime is how long an endpoint with a move in progress has left questions unanswered
	// when its copies no longer count.
	silentTime = 600 * time.Millisecond
)

// WithGroup makes the moves of services whose copies follow demand run in a group, one task for
// each endpoint, so that none of them holds up another or the next plan.
func WithGroup(g *errgroup.Group) Option { return func(l *Loader) { l.group = g } }

// followDemand plans the next moves of a service whose copies follow demand, and starts them. It
// waits for no endpoint.
func (l *Loader) followDemand(ctx context.Context, now time.Time, g *catalog.Group) {
	candidates := l.cluster.Candidates(g.Name)
	plan := make([]copies.Endpoint, len(candidates))
	byID := make(map[fleet.Endpoint]*Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		byID[c.ID] = c
		d := l.orderState(c)
		plan[i] = l.observeEndpoint(now, d, c, g.Engine)
		if plan[i].Moving {
			l.startTask(ctx, d, func(ctx context.Context) { l.followMove(ctx, d, c.ID, c.Born) })
		}
	}
	if l.cluster.Settled() {
		for _, m := range l.planMoves(now, g, plan) {
			l.startFollowedMove(ctx, now, byID[m.Endpoint], m)
		}
	}
	l.preloadBeside(ctx, g, candidates)
}

// observeEndpoint returns the planner's view of an endpoint, also while an order is being given
// there.
func (l *Loader) observeEndpoint(now time.Time, d *orderState, c *Candidate, engine *catalog.Engine) copies.Endpoint {
	d.mu.Lock()
	p, task := d.published, d.task
	d.mu.Unlock()
	free := d.tryLock()
	if free {
		p = d.progress
		d.unlock()
	}
	e := l.planEndpoint(now, p, c, engine)
	e.Busy, e.Moving = e.Busy || !free || task, e.Moving || p.reserved(now)
	e.Overdue = p.orderedModel != p.reservedFor && now.Sub(p.reservedUntil.Add(-reservationTime)) > overdueAfter
	e.Suspect = e.Suspect || !p.silentSince.IsZero() && now.Sub(p.silentSince) > silentTime
	return e
}

// startTask starts a task for an endpoint unless one is running.
func (l *Loader) startTask(ctx context.Context, d *orderState, task func(context.Context)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.task || ctx.Err() != nil {
		return
	}
	d.task = true
	l.group.Go(func() error {
		defer d.endTask()
		task(ctx)
		return nil
	})
}

func (o *orderState) endTask() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.task = false
}

// startFollowedMove starts a planned move and the task that carries it through. What the move does
// counts from now on.
func (l *Loader) startFollowedMove(ctx context.Context, now time.Time, c *Candidate, m copies.Move) {
	d := l.orderState(c)
	if !d.tryLock() {
		return
	}
	defer d.unlock()
	if m.Release && d.reservedFor == m.Model && d.orderedModel != m.Model {
		d.reservedFor = ""
	}
	if m.Release || d.inProgress() {
		return
	}
	if m.Unload {
		l.retire(now, d, c, m)
		d.reservedFor, d.reservedUntil = m.MakesRoomFor, now.Add(reservationTime)
	} else {
		d.reservedFor, d.reservedUntil = m.Model, now.Add(reservationTime)
	}
	l.startTask(ctx, d, func(ctx context.Context) { l.followMove(ctx, d, c.ID, c.Born) })
}

// inProgress reports whether a move has begun and not ended.
func (p *progress) inProgress() bool { return p.orderedModel != "" || p.retiring != "" }

// followMove carries the moves at an endpoint through: the unload, the load that it makes room for,
// and the reports that show their ends. It stops when this instance may no longer give orders under
// the fence under which they began.
func (l *Loader) followMove(ctx context.Context, d *orderState, id fleet.Endpoint, born int64) {
	for ctx.Err() == nil {
		if d.lock(ctx) != nil {
			return
		}
		wait := l.advanceCurrent(ctx, d, id, born)
		d.unlock()
		if wait == 0 || sleep(ctx, wait) != nil {
			return
		}
	}
}

// advanceCurrent does what is due at an endpoint that is still there, while this instance may give
// the orders. It returns as advance does.
func (l *Loader) advanceCurrent(ctx context.Context, d *orderState, id fleet.Endpoint, born int64) time.Duration {
	c, engine, ok := l.findCandidate(id, born)
	switch {
	case !ok || !l.isCurrent(d, id):
		return 0
	case c.Spared:
		return movePoll
	default:
		return l.advance(ctx, d, c, engine)
	}
}

// isCurrent reports whether the orders recorded for an endpoint are those under the present fence.
func (l *Loader) isCurrent(d *orderState, id fleet.Endpoint) bool {
	fence, ok := l.lease.MayOrder()
	l.mu.Lock()
	defer l.mu.Unlock()
	return ok && fence == l.fence && l.orderStates[id] == d
}

// advance does what is due at an endpoint, and returns after which time there is more to do, 0 if
// nothing is left.
func (l *Loader) advance(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine) time.Duration {
	now := l.clock()
	switch {
	case d.retiring != "":
		if wait := d.unloadAt.Sub(now); wait > 0 {
			return wait
		}
		d.evicted, d.sentAt = d.retiring, now
		sending, cancel := context.WithTimeout(ctx, followTimeout)
		defer cancel()
		l.orderUnload(sending, d, c)
		if d.unsettled = d.orderedModel == ""; d.unsettled {
			return l.continueMove(ctx, d, c, engine)
		}
		return movePoll
	case d.orderedModel != "":
		if wait := d.firstReport().Sub(now); wait > 0 {
			return wait
		}
		if l.ask(ctx, d, c) {
			l.recordEnd(l.clock(), d, c)
		}
		if d.orderedModel == "" {
			return l.continueMove(ctx, d, c, engine)
		}
		return movePoll
	default:
		return l.continueMove(ctx, d, c, engine)
	}
}

// firstReport returns when the first report that may show the end of the order in progress can be
// requested.
func (p *progress) firstReport() time.Time {
	switch {
	case p.unload:
		return p.orderedAt.Add(movePoll)
	case p.cold:
		return p.orderedAt.Add(coldReportDelay)
	default:
		return p.orderedAt.Add(reportLag)
	}
}

// ask gets a report that is newer than the last order, and reports whether there is one.
func (l *Loader) ask(ctx context.Context, d *orderState, c *Candidate) bool {
	now := l.clock()
	if now.Sub(c.Report.Taken) < movePoll && c.Report.Seq >= max(d.minReportSeq, d.seq) {
		return true
	}
	err := l.refresh(ctx, d, c)
	if err == nil {
		d.silentSince = time.Time{}
		return true
	}
	if d.silentSince.IsZero() {
		d.silentSince = now
	}
	_ = l.logger.Log("step", "follow", "endpoint", c.ID, "model", d.orderedModel, "err", err)
	return false
}

// reserved reports whether memory is reserved for a model that is to be loaded.
func (p *progress) reserved(now time.Time) bool {
	return p.reservedFor != "" && now.Before(p.reservedUntil)
}

// continueMove loads the model for which memory is reserved, once the outcome of the last order is
// clear. It returns as advance does.
func (l *Loader) continueMove(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine) time.Duration {
	now := l.clock()
	if !d.reserved(now) {
		d.evicted, d.unsettled = "", false
		return 0
	}
	if d.unsettled {
		if wait := reportLag - now.Sub(d.sentAt); wait > 0 {
			return wait
		}
		if !l.ask(ctx, d, c) || c.Report.Taken.Sub(d.sentAt) < reportLag {
			return movePoll
		}
	}
	switch {
	case roster.Holds(c.Report.Models, d.reservedFor, ""):
		d.recordLoaded(now, d.reservedFor)
		d.reservedFor, d.evicted, d.unsettled = "", "", false
		return 0
	case c.Report.Busy || c.avoided():
		d.unsettled = true
		return movePoll
	case d.evicted != "" && roster.Holds(c.Report.Models, d.evicted, ""):
		d.retiring, d.unloadAt, d.unsettled = d.evicted, now, false
		l.cluster.AnnounceRetirement(c.ID, d.evicted)
		return movePoll
	}
	return l.loadReserved(ctx, now, d, c, engine)
}

// loadReserved orders the load of the model for which memory is reserved, if it fits and the weight
// store allows it. It returns as advance does.
func (l *Loader) loadReserved(ctx context.Context, now time.Time, d *orderState, c *Candidate, engine *catalog.Engine) time.Duration {
	m := d.reservedFor
	loaded := make([]fleet.Model, 0, len(c.Report.Models))
	for _, h := range c.Report.Models {
		loaded = append(loaded, h.Model)
	}
	if !copies.Fits(engine, loaded, m) {
		d.reservedFor = ""
		return 0
	}
	cold := !slices.Contains(c.CachedModels, m)
	if cold && !l.takeColdLoad(now, engine) {
		return movePoll
	}
	d.unload, d.sentAt = false, now
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	l.orderLoad(ctx, now, d, c, m, cold)
	d.unsettled = d.orderedModel == ""
	return orderPause
}

// preloadBeside preloads adapters without waiting for the orders.
func (l *Loader) preloadBeside(ctx context.Context, g *catalog.Group, candidates []Candidate) {
	demand, _, adapterDemand := l.cluster.Demand()
	present := make(map[roster.Adapter]bool)
	for i := range candidates {
		c := &candidates[i]
		for _, a := range l.orderState(c).tryHeldAdapters(c) {
			present[a] = true
		}
		for _, h := range c.Report.Models {
			for _, a := range h.Adapters {
				present[roster.Adapter{Model: h.Model, Adapter: a}] = true
			}
		}
	}
	for i := range candidates {
		c := &candidates[i]
		adapter, ok := l.adapterToPreload(c, g.Engine, present, demand, adapterDemand)
		if !ok {
			continue
		}
		present[adapter] = true
		l.startTask(ctx, l.orderState(c), func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, preloadTimeout)
			defer cancel()
			l.preloadAdapter(ctx, c, g.Engine, adapter)
		})
	}
}
