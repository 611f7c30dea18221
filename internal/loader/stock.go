package loader

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// stockWait bounds one round of stocking. It is longer than an order may take, so
// that none is given up with its outcome unknown.
const stockWait = orderWait + 100*time.Millisecond

// stock fills free places with adapters that no endpoint has, those of models in
// demand first, so that requests needn't wait for an order, or fail while nobody
// may give one. Each endpoint gets one a round.
func (l *Loader) stock(ctx context.Context, g *catalog.Group) {
	candidates := l.site.Engine(g.Name)
	demand, _, wanted := l.site.Demand()
	present := make(map[roster.Adapter]bool)
	for i := range candidates {
		for _, a := range l.desk(&candidates[i]).heldNow(&candidates[i]) {
			present[a] = true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, stockWait)
	defer cancel()
	var group errgroup.Group
	for i := range candidates {
		c := &candidates[i]
		what, ok := l.missing(c, g.Engine, present, demand, wanted)
		if !ok {
			continue
		}
		present[what] = true
		group.Go(func() error {
			l.fill(ctx, c, g.Engine, what)
			return nil
		})
	}
	_ = group.Wait() // an adapter that wasn't loaded is tried again next time
}

// heldNow returns the adapters that take a place, if nobody gives orders there now.
func (d *desk) heldNow(c *Candidate) []roster.Adapter {
	if !d.try() {
		return nil
	}
	defer d.leave()
	return d.held(c)
}

// missing returns the adapter that an endpoint with a free place should get.
func (l *Loader) missing(c *Candidate, engine *catalog.Engine, present map[roster.Adapter]bool, demand map[fleet.Model]float64, wanted map[roster.Adapter]float64) (roster.Adapter, bool) {
	d := l.desk(c)
	if c.Suspect || c.Report.Busy || !d.try() {
		return roster.Adapter{}, false
	}
	defer d.leave()
	if d.model != "" || d.retiring != "" || len(d.held(c)) >= engine.AdapterSlots {
		return roster.Adapter{}, false
	}
	held := slices.Clone(c.Report.Models)
	slices.SortStableFunc(held, func(a, b roster.Holding) int {
		return int(demand[b.Model]) - int(demand[a.Model])
	})
	for _, h := range held {
		m, ok := engine.Model(h.Model)
		if !ok {
			continue
		}
		best, found := roster.Adapter{}, false
		for _, a := range m.Adapters {
			what := roster.Adapter{Model: m.Name, Adapter: a}
			if !present[what] && (!found || wanted[what] > wanted[best]) {
				best, found = what, true
			}
		}
		if found {
			return best, true
		}
	}
	return roster.Adapter{}, false
}

// fill loads an adapter into a free place; nothing yields for it.
func (l *Loader) fill(ctx context.Context, c *Candidate, engine *catalog.Engine, what roster.Adapter) {
	d := l.desk(c)
	if !d.try() {
		return
	}
	defer d.leave()
	if d.model != "" || d.retiring != "" || len(d.held(c)) >= engine.AdapterSlots || !d.holdsModel(c, what.Model) {
		return
	}
	if err := l.load(ctx, d, c, engine, what); err != nil {
		_ = l.logger.Log("step", "stock", "endpoint", c.ID, "model", what.Model, "adapter", what.Adapter, "err", err)
	}
}
