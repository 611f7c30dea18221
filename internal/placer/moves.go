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

// move asks the planner and starts the moves that are safe.
func (p *Placer) move(ctx context.Context, now time.Time) error {
	if !p.surveyed(now) || (now.Before(p.planAt) && !p.anyLost(now)) {
		return nil
	}
	for _, m := range p.plan(now) {
		n, ok := p.nodes[m.Endpoint]
		if !ok || !n.fresh {
			continue
		}
		if len(p.outbox) > 0 && p.lease.ending() {
			return nil // what is recorded has to leave in time
		}
		if err := p.start(ctx, now, n, m); err != nil {
			return err
		}
	}
	return nil
}

// PlanRest is how many times the time of a plan passes before the next one, so that
// planning takes a small part of one processor whatever the size of the data centre.
const PlanRest = 250

// plan asks the planner, and sets when it is asked next.
func (p *Placer) plan(now time.Time) []place.Move {
	began := p.clock()
	moves := p.planner.Plan(now, p.view(now))
	p.planAt = now.Add(PlanRest * p.clock().Sub(began))
	return moves
}

// anyLost reports whether a model has no copy: that is planned for at once.
func (p *Placer) anyLost(now time.Time) bool {
	held := make(map[fleet.Model]bool)
	for _, n := range p.nodes {
		for h := range n.ledger.All() {
			held[h.Model] = held[h.Model] || (h.Adapter == "" && n.alive(now, p.lostAfter))
		}
	}
	return slices.ContainsFunc(p.wanted, func(w Wanted) bool { return !held[w.Model] && p.elsewhere(now, w.Model) == 0 })
}

func (p *Placer) start(ctx context.Context, now time.Time, n *node, m place.Move) error {
	if m.Kind == place.KindLoad {
		return p.startLoad(ctx, now, n, m.Model)
	}
	if n.retired[m.Model] || !n.serving(m.Model) {
		return nil
	}
	err := p.retire(ctx, n, m.Model, p.needed(now, m))
	if err == nil {
		return nil
	}
	p.problem(err)
	if errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		return err
	}
	return nil
}

// needed reports whether an unload makes room for a model that has no copy;
// then one data centre is enough for the model that gives way.
func (p *Placer) needed(now time.Time, m place.Move) bool {
	if m.Reason != place.ReasonRoom || m.For == "" || p.elsewhere(now, m.For) > 0 {
		return false
	}
	for _, n := range p.nodes {
		if n.serving(m.For) {
			return false
		}
	}
	return true
}

func (p *Placer) startLoad(ctx context.Context, now time.Time, n *node, model fleet.Model) error {
	w, ok := p.wantedModel(model)
	if !ok {
		return nil
	}
	item, size := ledger.Item{Model: model}, w.copyBytes()
	if p.off.cache {
		size = w.Weights
	}
	if len(n.ledger.Allocation(item).Pending) > 0 {
		n = p.other(n, item, size)
	}
	if n == nil || n.ledger.FreeBytes() < size && !n.covers(item, size) {
		return nil
	}
	o := p.newOrder(n, ledger.KindLoad, item, size)
	if ok, err := p.takePermit(ctx, now, n, o); !ok {
		return err
	}
	return p.prepare(ctx, n, o)
}

// covers reports whether memory for the item is charged already.
func (n *node) covers(item ledger.Item, size int64) bool {
	h := n.ledger.Allocation(item)
	return len(h.Pending) > 0 && !h.Resident() && h.Bytes >= size
}

// other returns the endpoint with most room and nothing of the item, or the
// first choice when there is none: an order that was lost is better given to
// another endpoint than sent again.
func (p *Placer) other(first *node, item ledger.Item, size int64) *node {
	best := first
	var room int64
	for _, n := range p.ordered() {
		h := n.ledger
		if !n.fresh || n.target.Service != first.target.Service || n.target.Leaving || h.Leaving() || h.Allocation(item).Item() == item {
			continue
		}
		if free := h.FreeBytes(); free >= size && free > room {
			best, room = n, free
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

// advanceUnloads orders the unloads of retired copies whose work has ended,
// their adapters first. A copy that has become the last one is kept.
func (p *Placer) advanceUnloads(ctx context.Context, _ time.Time) error {
	for _, n := range p.ordered() {
		if !n.fresh {
			continue
		}
		for model := range n.retired {
			if !p.off.residence && p.centres(p.copies.row(model)) == 0 && p.unordered(n, model) {
				delete(n.retired, model) // promised again by reconcile
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
			if err := p.prepare(ctx, n, p.newOrder(n, kind, h.Item(), 0)); err != nil {
				return err
			}
			if !n.loaded {
				break
			}
		}
	}
	return nil
}

// unordered reports whether the copy is whole and no unload of it was ordered.
func (p *Placer) unordered(n *node, model fleet.Model) bool {
	return n.ledger.Allocation(ledger.Item{Model: model}).Serving()
}

// unloadable reports whether an unload of the item may be ordered now.
func (p *Placer) unloadable(n *node, h ledger.Allocation) bool {
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

func (p *Placer) drained(ctx context.Context, n *node, model fleet.Model) bool {
	return p.drainer == nil || p.drainer.Drained(ctx, n.target.Endpoint, model)
}

// loadAdapters loads the adapters of models that are ready, as room allows and
// as far as writes are left.
func (p *Placer) loadAdapters(ctx context.Context, _ time.Time) error {
	room := maxAdapterLoads
	for _, w := range p.wanted {
		if len(w.Adapters) == 0 {
			continue
		}
		for _, n := range p.ordered() {
			if p.left == 0 || !n.serving(w.Model) {
				continue
			}
			orders := p.missing(n, w, room)
			if len(orders) == 0 {
				continue
			}
			room -= len(orders)
			p.left--
			if err := p.prepare(ctx, n, orders...); err != nil {
				return err
			}
		}
	}
	return nil
}

// missing returns orders for a model's adapters that are not on an endpoint, at most limit.
func (p *Placer) missing(n *node, w Wanted, limit int) []ledger.Order {
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
