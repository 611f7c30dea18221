package loader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// maxOrderTries bounds how often an adapter's order is sent on a newer count of orders.
const maxOrderTries = 3

// Ensure has an adapter loaded at an endpoint that holds its model, and returns
// once it serves. Another adapter yields if there is no place.
func (l *Loader) Ensure(ctx context.Context, id fleet.Endpoint, born int64, adapter roster.Adapter) error {
	fence, ok := l.lease.Orders()
	if !ok {
		return ErrNotLeaseHolder
	}
	l.resetOnNewFence(fence)
	c, _, ok := l.findCandidate(id, born)
	if !ok {
		return fmt.Errorf("%w: not known", ErrUnavailable)
	}
	d := l.orderState(c)
	if err := d.lock(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer d.unlock()
	// Others may have given orders there meanwhile.
	c, engine, ok := l.findCandidate(id, born)
	if !ok {
		return fmt.Errorf("%w: it has gone", ErrUnavailable)
	}
	d.lastUsed[adapter] = l.clock()
	if d.hasAdapter(c, adapter) {
		return nil
	}
	if d.orderedModel != "" || d.retiring != "" {
		return fmt.Errorf("%w: it is given %s", ErrUnavailable, d.orderedModel)
	}
	return l.loadAdapter(ctx, d, c, engine, adapter)
}

func (l *Loader) findCandidate(id fleet.Endpoint, born int64) (*Candidate, *catalog.Engine, bool) {
	for _, g := range l.cluster.Engines() {
		all := l.cluster.Candidates(g.Name)
		for i := range all {
			if all[i].ID == id && all[i].Born == born {
				return &all[i], g.Engine, true
			}
		}
	}
	return nil, nil, false
}

// hasAdapter reports whether an adapter is there, by reports and accepted orders.
func (d *orderState) hasAdapter(c *Candidate, adapter roster.Adapter) bool {
	if a, ok := d.adapterChanges[adapter]; ok && a.unreported(c) {
		return a.present
	}
	return roster.Holds(c.Report.Models, adapter.Model, adapter.Adapter)
}

func (l *Loader) loadAdapter(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine, adapter roster.Adapter) error {
	var err error
	for range maxOrderTries {
		if err = l.ensureSeq(ctx, d, c); err != nil {
			return err
		}
		if !d.holdsModel(c, adapter.Model) {
			return fmt.Errorf("%w: it lacks %s", ErrUnavailable, adapter.Model)
		}
		if err = l.freeSlot(ctx, d, c, engine, adapter); err == nil {
			err = l.orderAdapter(ctx, d, c, engine, adapter)
		}
		if err == nil {
			return sleep(ctx, adapterLoadTime)
		}
		d.forgetUnloads()
		if !errors.Is(err, ErrBusy) || sleep(ctx, reportLag/2) != nil {
			break
		}
	}
	_ = l.logger.Log("step", "adapter", "endpoint", c.ID, "model", adapter.Model, "adapter", adapter.Adapter, "seq", d.seq,
		"held", fmt.Sprint(d.heldAdapters(c)), "reported", c.Report.Seq, "age", l.clock().Sub(c.Report.Taken), "err", err)
	return err
}

// forgetUnloads forgets which adapters were unloaded: the count of orders is not what it
// was taken for, so that one of them may be there still.
func (d *orderState) forgetUnloads() {
	for a, change := range d.adapterChanges {
		if !change.present {
			delete(d.adapterChanges, a)
		}
	}
}

// orderAdapter sends the order for an adapter, if there is a place by the report that the
// order's count comes from.
func (l *Loader) orderAdapter(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine, adapter roster.Adapter) error {
	if err := l.ensureSeq(ctx, d, c); err != nil {
		return err
	}
	if len(d.heldAdapters(c)) >= engine.AdapterSlots {
		return ErrNoSlot
	}
	heldBefore := fmt.Sprint(d.heldAdapters(c))
	_, err := l.sendOrder(ctx, d, c, Order{Model: adapter.Model, Adapter: adapter.Adapter})
	if err != nil {
		if !errors.Is(err, ErrBusy) && !errors.Is(err, ErrDenied) && !errors.Is(err, ErrNotLeaseHolder) {
			// It may be on its way, and takes a place until the reports tell otherwise.
			d.adapterChanges[adapter] = adapterChange{at: l.clock(), present: true}
		}
		return err
	}
	now := l.clock()
	_ = l.logger.Log("step", "adapter", "endpoint", c.ID, "model", adapter.Model, "adapter", adapter.Adapter, "seq", d.seq,
		"held", heldBefore, "reported", c.Report.Seq, "age", now.Sub(c.Report.Taken))
	d.adapterChanges[adapter] = adapterChange{at: now, seq: d.seq, present: true}
	l.cluster.RecordPresence(c.ID, adapter, true)
	return nil
}

func (d *orderState) holdsModel(c *Candidate, m fleet.Model) bool {
	return roster.Holds(c.Report.Models, m, "") && d.retiring != m
}

// freeSlot unloads the adapter that was wanted longest ago if all places are taken.
func (l *Loader) freeSlot(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine, adapter roster.Adapter) error {
	held := d.heldAdapters(c)
	if len(held) < engine.AdapterSlots {
		return nil
	}
	_, _, demand := l.cluster.Demand()
	var oldest roster.Adapter
	found := false
	for _, a := range held {
		if a == adapter || slices.Contains(c.AdaptersInUse, a) || !d.isReported(c, a) {
			continue
		}
		if !found || d.evictsBefore(a, oldest, demand) {
			oldest, found = a, true
		}
	}
	if !found {
		return ErrNoSlot
	}
	l.cluster.RecordPresence(c.ID, oldest, false)
	done, err := l.sendOrder(ctx, d, c, Order{Unload: true, Model: oldest.Model, Adapter: oldest.Adapter})
	if err != nil {
		return fmt.Errorf("unload adapter %s/%s: %w", oldest.Model, oldest.Adapter, err)
	}
	if !done {
		d.unloading[oldest], d.seqKnown = l.clock(), false
		return fmt.Errorf("%w: adapter %s/%s is still in use", ErrNoSlot, oldest.Model, oldest.Adapter)
	}
	d.adapterChanges[oldest] = adapterChange{at: l.clock(), seq: d.seq}
	return nil
}

// isReported reports whether the endpoint's own report shows an adapter. One on its
// way can't be told from one that isn't there: unloading either is done at once.
func (d *orderState) isReported(c *Candidate, a roster.Adapter) bool {
	if _, ending := d.unloading[a]; ending {
		return false
	}
	if change, ok := d.adapterChanges[a]; ok && !change.present && change.unreported(c) {
		return false
	}
	return roster.Holds(c.Report.Models, a.Model, a.Adapter)
}

// evictsBefore reports whether an adapter yields before another: less demand, then used longer ago.
func (d *orderState) evictsBefore(a, b roster.Adapter, demand map[roster.Adapter]float64) bool {
	if demand[a] != demand[b] {
		return demand[a] < demand[b]
	}
	return d.lastUsed[a].Before(d.lastUsed[b])
}

// heldAdapters returns the adapters that take a place: reported, on their way or ordered.
func (d *orderState) heldAdapters(c *Candidate) []roster.Adapter {
	set := make(map[roster.Adapter]bool)
	for i := range c.Report.Models {
		for _, a := range c.Report.Models[i].Adapters {
			set[roster.Adapter{Model: c.Report.Models[i].Model, Adapter: a}] = true
		}
	}
	for _, a := range c.Report.Coming {
		set[a] = true
	}
	for a, change := range d.adapterChanges {
		if change.unreported(c) {
			set[a] = change.present
		}
	}
	for a, at := range d.unloading {
		if c.Report.Taken.Sub(at) < maxRequestTime {
			set[a] = true
		} else {
			delete(d.unloading, a)
		}
	}
	var all []roster.Adapter
	for a, present := range set {
		if present {
			all = append(all, a)
		}
	}
	return all
}

// sleep waits, or returns the context's error if that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	waiting, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-waiting.Done()
	return ctx.Err()
}
