package placer

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/core/place"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// maxAdapterLoads limits the adapter loads sent in one step.
const maxAdapterLoads = 16

// startMoves runs the planner if it is due and starts the moves that are safe.
func (p *Placer) startMoves(ctx context.Context, now time.Time) error {
	if !p.allEndpointsAccountedFor(now) || (now.Before(p.nextPlanAt) && !p.anyModelUnavailable(now)) {
		return nil
	}
	for _, m := range p.plan(now) {
		n, ok := p.endpoints[m.Endpoint]
		if !ok || !n.fresh {
			continue
		}
		if len(p.outbox) > 0 && p.lease.nearExpiry() {
			return nil // send the recorded orders while the lease is live
		}
		if err := p.startMove(ctx, now, n, m); err != nil {
			return err
		}
	}
	return nil
}

// PlanIntervalFactor is the pause between two planner runs as a multiple of the run time,
// so that planning takes a small part of one core at any data centre size.
const PlanIntervalFactor = 250

// plan runs the planner and schedules its next run.
func (p *Placer) plan(now time.Time) []place.Move {
	began := p.clock()
	moves := p.planner.Plan(now, p.plannerView(now))
	p.nextPlanAt = now.Add(PlanIntervalFactor * p.clock().Sub(began))
	return moves
}

// anyModelUnavailable reports whether a wanted model has no copy; the planner then runs
// without waiting for its next scheduled run.
func (p *Placer) anyModelUnavailable(now time.Time) bool {
	loaded := make(map[fleet.Model]bool)
	for _, n := range p.endpoints {
		for h := range n.ledger.All() {
			loaded[h.Model] = loaded[h.Model] || (h.Adapter == "" && n.alive(now, p.lostAfter))
		}
	}
	return slices.ContainsFunc(p.wanted, func(w Wanted) bool { return !loaded[w.Model] && p.copiesElsewhere(now, w.Model) == 0 })
}

func (p *Placer) startMove(ctx context.Context, now time.Time, n *managedEndpoint, m place.Move) error {
	if m.Kind == place.KindLoad {
		return p.startLoad(ctx, now, n, m.Model)
	}
	if n.retired[m.Model] || !n.serving(m.Model) {
		return nil
	}
	err := p.retire(ctx, n, m.Model, p.makesRoomForUnavailableModel(now, m))
	if err == nil {
		return nil
	}
	p.addProblem(err)
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		return err
	}
	return nil
}

// makesRoomForUnavailableModel reports whether an unload frees memory for a model that has
// no copy; the evicted model may then remain in only one data centre.
func (p *Placer) makesRoomForUnavailableModel(now time.Time, m place.Move) bool {
	if m.Reason != place.ReasonRoom || m.For == "" || p.copiesElsewhere(now, m.For) > 0 {
		return false
	}
	for _, n := range p.endpoints {
		if n.serving(m.For) {
			return false
		}
	}
	return true
}

func (p *Placer) startLoad(ctx context.Context, now time.Time, n *managedEndpoint, model fleet.Model) error {
	w, ok := p.wantedModel(model)
	if !ok {
		return nil
	}
	item, size := ledger.Item{Model: model}, w.copyBytes()
	if p.disabled.cacheAccounting {
		size = w.WeightBytes
	}
	if len(n.ledger.Allocation(item).Pending) > 0 {
		n = p.alternativeEndpoint(n, item, size)
	}
	if n == nil || n.ledger.FreeBytes() < size && !n.hasReserved(item, size) {
		return nil
	}
	o := p.newOrder(n, ledger.KindLoad, item, size)
	if ok, err := p.acquirePermit(ctx, now, n, o); !ok {
		return err
	}
	return p.recordOrders(ctx, n, o)
}

// hasReserved reports whether memory for the item is reserved already.
func (m *managedEndpoint) hasReserved(item ledger.Item, size int64) bool {
	h := m.ledger.Allocation(item)
	return len(h.Pending) > 0 && !h.Resident() && h.Bytes >= size
}

// alternativeEndpoint returns the endpoint with the most free memory among those without
// the item, or the first choice when there is none. After an order got no answer, a load
// elsewhere is better than sending it again to the same endpoint.
func (p *Placer) alternativeEndpoint(first *managedEndpoint, item ledger.Item, size int64) *managedEndpoint {
	best := first
	var maxFree int64
	for _, n := range p.sortedEndpoints() {
		h := n.ledger
		if !n.fresh || n.target.Service != first.target.Service || n.target.Leaving || h.Leaving() || h.Allocation(item).Item() == item {
			continue
		}
		if free := h.FreeBytes(); free >= size && free > maxFree {
			best, maxFree = n, free
		}
	}
	return best
}

func (p *Placer) wantedModel(model fleet.Model) (Wanted, bool) {
	for _, w := range p.wanted {
		if w.Model == model {
			return w, true
		}
	}
	return Wanted{}, false
}

// orderUnloads orders the unload of retired copies that are drained, adapters first.
// A copy that has become the last one is kept.
func (p *Placer) orderUnloads(ctx context.Context, _ time.Time) error {
	for _, n := range p.sortedEndpoints() {
		if !n.fresh {
			continue
		}
		for model := range n.retired {
			if !p.disabled.residenceCheck && p.dataCentreCount(p.copies.residence(model)) == 0 && p.stillServing(n, model) {
				delete(n.retired, model) // reconcile registers the copy again
			}
		}
		if len(n.retired) == 0 {
			continue
		}
		for _, h := range n.ledger.Allocations() {
			if !n.retired[h.Model] || !p.unloadable(n, h) || !p.drained(ctx, n, h.Model) {
				continue
			}
			kind := ledger.KindUnload
			if h.Adapter != "" {
				kind = ledger.KindUnloadAdapter
			}
			if err := p.recordOrders(ctx, n, p.newOrder(n, kind, h.Item(), 0)); err != nil {
				return err
			}
			if !n.recordLoaded {
				break
			}
		}
	}
	return nil
}

// stillServing reports whether the copy is fully loaded and no unload of it was ordered.
func (p *Placer) stillServing(n *managedEndpoint, model fleet.Model) bool {
	return n.ledger.Allocation(ledger.Item{Model: model}).Serving()
}

// unloadable reports whether an unload of the item may be ordered now.
func (p *Placer) unloadable(n *managedEndpoint, h ledger.Allocation) bool {
	if h.Phase != ledger.PhaseReady || len(h.Pending) > 0 {
		return false
	}
	if h.Adapter != "" {
		return true
	}
	for other := range n.ledger.All() {
		if other.Model == h.Model && other.Adapter != "" {
			return false
		}
	}
	return true
}

func (p *Placer) drained(ctx context.Context, n *managedEndpoint, model fleet.Model) bool {
	return p.drainer == nil || p.drainer.Drained(ctx, n.target.Endpoint, model)
}

// loadAdapters orders the missing adapters of serving models, as far as memory and the
// write budget allow.
func (p *Placer) loadAdapters(ctx context.Context, _ time.Time) error {
	remaining := maxAdapterLoads
	for _, w := range p.wanted {
		if len(w.Adapters) == 0 {
			continue
		}
		for _, n := range p.sortedEndpoints() {
			if p.deferredWritesLeft == 0 || !n.serving(w.Model) {
				continue
			}
			orders := p.missingAdapterOrders(n, w, remaining)
			if len(orders) == 0 {
				continue
			}
			remaining -= len(orders)
			p.deferredWritesLeft--
			if err := p.recordOrders(ctx, n, orders...); err != nil {
				return err
			}
		}
	}
	return nil
}

// missingAdapterOrders returns at most limit load orders for a model's adapters that the
// endpoint lacks and has memory for.
func (p *Placer) missingAdapterOrders(n *managedEndpoint, w Wanted, limit int) []ledger.Order {
	var orders []ledger.Order
	free := n.ledger.FreeBytes()
	for _, a := range w.Adapters {
		item := ledger.Item{Model: w.Model, Adapter: a.Adapter}
		if len(orders) >= limit || n.ledger.Allocation(item).Item() == item || free < a.Bytes {
			continue
		}
		free -= a.Bytes
		orders = append(orders, p.newOrder(n, ledger.KindLoadAdapter, item, a.Bytes))
	}
	return orders
}
