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

// preloadTimeout limits one round of preloading. It is longer than orderTimeout, so that no
// order is cut short by the end of the round with an unknown outcome.
const preloadTimeout = orderTimeout + 100*time.Millisecond

// preload fills free slots with adapters that no endpoint has loaded, starting with models in
// demand. Requests then needn't wait for an order, or fail while no instance may give one.
// Each endpoint gets at most one adapter per round.
func (l *Loader) preload(ctx context.Context, g *catalog.Group) {
	candidates := l.cluster.Candidates(g.Name)
	demand, _, adapterDemand := l.cluster.Demand()
	present := make(map[roster.Adapter]bool)
	for i := range candidates {
		for _, a := range l.orderState(&candidates[i]).tryHeldAdapters(&candidates[i]) {
			present[a] = true
		}
	}
	ctx, cancel := context.WithTimeout(ctx, preloadTimeout)
	defer cancel()
	var group errgroup.Group
	for i := range candidates {
		c := &candidates[i]
		adapter, ok := l.adapterToPreload(c, g.Engine, present, demand, adapterDemand)
		if !ok {
			continue
		}
		present[adapter] = true
		group.Go(func() error {
			l.preloadAdapter(ctx, c, g.Engine, adapter)
			return nil
		})
	}
	_ = group.Wait() // an adapter that failed to load is tried again in the next round
}

// tryHeldAdapters returns the adapters that occupy a slot, or nil while another call is giving
// the endpoint an order.
func (o *orderState) tryHeldAdapters(c *Candidate) []roster.Adapter {
	if !o.tryLock() {
		return nil
	}
	defer o.unlock()
	return o.heldAdapters(c)
}

// adapterToPreload returns the adapter that an endpoint with a free slot should load.
func (l *Loader) adapterToPreload(c *Candidate, engine *catalog.Engine, present map[roster.Adapter]bool, demand map[fleet.Model]float64, adapterDemand map[roster.Adapter]float64) (roster.Adapter, bool) {
	d := l.orderState(c)
	if c.avoided() || c.Report.Busy || !d.tryLock() {
		return roster.Adapter{}, false
	}
	defer d.unlock()
	if d.orderedModel != "" || d.retiring != "" || len(d.heldAdapters(c)) >= engine.AdapterSlots {
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
			adapter := roster.Adapter{Model: m.Name, Adapter: a}
			if !present[adapter] && (!found || adapterDemand[adapter] > adapterDemand[best]) {
				best, found = adapter, true
			}
		}
		if found {
			return best, true
		}
	}
	return roster.Adapter{}, false
}

// preloadAdapter loads an adapter into a free slot. It never evicts another one.
func (l *Loader) preloadAdapter(ctx context.Context, c *Candidate, engine *catalog.Engine, adapter roster.Adapter) {
	d := l.orderState(c)
	if !d.tryLock() {
		return
	}
	defer d.unlock()
	if d.orderedModel != "" || d.retiring != "" || len(d.heldAdapters(c)) >= engine.AdapterSlots || !d.holdsModel(c, adapter.Model) {
		return
	}
	if err := l.orderAdapter(ctx, d, c, engine, adapter); err != nil {
		_ = l.logger.Log("step", "stock", "endpoint", c.ID, "model", adapter.Model, "adapter", adapter.Adapter, "err", err)
	}
}
