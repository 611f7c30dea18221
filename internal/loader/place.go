package loader

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/copies"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// place follows the orders under way in a service and gives the next ones.
func (l *Loader) place(ctx context.Context, now time.Time, g *catalog.Group) {
	candidates := l.site.Engine(g.Name)
	plan := make([]copies.Endpoint, len(candidates))
	var following errgroup.Group
	byID := make(map[fleet.Endpoint]*Candidate, len(candidates))
	for i := range candidates {
		c := &candidates[i]
		byID[c.ID] = c
		following.Go(func() error {
			d := l.desk(c)
			if d.try() {
				l.follow(ctx, now, d, c)
				plan[i] = l.planned(now, d, c)
				d.leave()
			} else {
				plan[i] = l.occupied(c)
			}
			return nil
		})
	}
	_ = following.Wait() // what failed is looked at again in the next step
	if !l.site.Settled() {
		return
	}
	demand, steady, _ := l.site.Demand()
	limits := copies.Limits{
		ColdLoads: l.allowed(now, g.Engine, plan), MaxMoves: l.limits.Swaps, MinGain: l.limits.Gain, MinDemand: l.limits.Least, StandbyCopies: l.limits.Ahead,
	}
	asked := copies.Demand{Recent: demand, LongTerm: steady, AtRisk: l.prone(g.Engine, demand)}
	var group errgroup.Group
	for _, m := range copies.Plan(g.Engine, plan, asked, limits) {
		group.Go(func() error {
			l.move(ctx, now, byID[m.Endpoint], m)
			return nil
		})
	}
	_ = group.Wait() // a move that wasn't made is planned again
}

// prone returns the models whose demand may rise within seconds: those with adapters,
// which serve callers that wait, and those that were in demand before.
func (l *Loader) prone(engine *catalog.Engine, demand map[fleet.Model]float64) map[fleet.Model]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make(map[fleet.Model]bool)
	for i := range engine.Models {
		m := &engine.Models[i]
		if demand[m.Name] >= l.limits.Least {
			l.proven[m.Name] = true
		}
		all[m.Name] = l.proven[m.Name] || len(m.Adapters) > 0
	}
	return all
}

// follow compares what was ordered with the endpoint's reports.
func (l *Loader) follow(ctx context.Context, now time.Time, d *desk, c *Candidate) {
	if d.model != "" && (d.unload || now.Sub(d.since) > reportLag) && now.Sub(c.Report.Taken) > reportFresh {
		if err := l.refresh(ctx, d, c); err != nil {
			_ = l.logger.Log("step", "follow", "endpoint", c.ID, "model", d.model, "err", err)
		}
	}
	if d.model != "" && d.shows(c) {
		_ = l.logger.Log("step", "moved", "endpoint", c.ID, "model", d.model, "unload", d.unload,
			"holds", roster.Holds(c.Report.Models, d.model, ""), "took", now.Sub(d.since))
		if !d.unload {
			d.given[d.model] = now
			d.reserved = ""
		}
		d.model = ""
	}
	if d.model != "" && d.unload {
		l.site.Retire(c.ID, d.model)
	}
	if d.model != "" && now.Sub(d.since) > stuck {
		d.model = ""
	}
	if d.retiring != "" && !now.Before(d.due) {
		model := d.retiring
		d.retiring = ""
		err := l.order(ctx, d, c, Order{Unload: true, Model: model})
		_ = l.logger.Log("step", "unload", "endpoint", c.ID, "model", model, "seq", d.seq, "err", err)
	}
}

// shows reports whether the endpoint's report tells the end of the move under way.
func (d *desk) shows(c *Candidate) bool {
	after := c.Report.Taken.Sub(d.moved)
	if c.Report.Busy || after < reportLag || c.Report.Seq < d.seq {
		return false
	}
	return roster.Holds(c.Report.Models, d.model, "") != d.unload || after > moveLag && !d.unload
}

// occupied is an endpoint that is being given an order.
func (l *Loader) occupied(c *Candidate) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, Cached: c.AtHand, PendingPrefill: c.Pending, Busy: true}
	for _, h := range c.Report.Models {
		e.Loaded = append(e.Loaded, h.Model)
	}
	return e
}

func (l *Loader) planned(now time.Time, d *desk, c *Candidate) copies.Endpoint {
	e := copies.Endpoint{ID: c.ID, Cached: c.AtHand, PendingPrefill: c.Pending}
	for _, h := range c.Report.Models {
		e.Loaded = append(e.Loaded, h.Model)
	}
	if d.retiring != "" {
		e.Unloading = append(e.Unloading, d.retiring)
	}
	if d.model != "" {
		if d.unload {
			e.Unloading = append(e.Unloading, d.model)
		} else {
			e.Loading = d.model
		}
	}
	if d.reserved != "" && now.Before(d.until) {
		e.ReservedFor = d.reserved
	}
	for m, at := range d.given {
		if now.Sub(at) < youngTime {
			e.RecentlyLoaded = append(e.RecentlyLoaded, m)
		}
	}
	e.Moving = d.model != "" || d.retiring != ""
	fresh := now.Sub(c.Report.Taken) < time.Second
	e.Busy = d.model != "" || d.retiring != "" || c.Report.Busy || !fresh || c.Suspect ||
		c.Report.Taken.Sub(d.moved) < reportLag
	return e
}

// allowed returns how many loads from the weight store may begin now. Orders
// without an answer may begin late, so they count twice: when sent and after.
func (l *Loader) allowed(now time.Time, engine *catalog.Engine, plan []copies.Endpoint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := l.cold[:0]
	recent := 0
	for _, at := range l.cold {
		if now.Sub(at) > l.limits.Window {
			continue
		}
		kept = append(kept, at)
		recent++
	}
	l.cold = kept
	if now.Sub(l.began) < l.limits.Window {
		for i := range plan {
			if plan[i].Busy && plan[i].Loading == "" {
				recent++ // perhaps a load of the holder before
			}
		}
	}
	// The few loads that may begin beyond the rate are left for orders that are late.
	return int(engine.MaxLoadsPerSecond*l.limits.Window.Seconds()*l.limits.Over) - recent
}

// move begins a planned move.
func (l *Loader) move(ctx context.Context, now time.Time, c *Candidate, m copies.Move) {
	d := l.desk(c)
	if !d.try() {
		return
	}
	defer d.leave()
	if m.Unload {
		d.retiring, d.due = m.Model, now.Add(drainWait)
		d.reserved, d.until = m.MakesRoomFor, now.Add(reserveWait)
		l.site.Retire(c.ID, m.Model)
		_ = l.logger.Log("step", "retire", "endpoint", c.ID, "model", m.Model)
		return
	}
	if m.Cold {
		l.mu.Lock()
		l.cold = append(l.cold, now)
		l.mu.Unlock()
	}
	err := l.order(ctx, d, c, Order{Model: m.Model})
	_ = l.logger.Log("step", "load", "endpoint", c.ID, "model", m.Model, "cold", m.Cold, "seq", d.seq, "err", err)
	if m.Cold && err != nil && !errors.Is(err, ErrBusy) && !errors.Is(err, ErrDenied) {
		l.mu.Lock()
		l.cold = append(l.cold, now.Add(lateOrders/2))
		l.mu.Unlock()
	}
}
