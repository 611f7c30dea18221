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

// maxOrderTries limits how often the order for an adapter is sent again with a newer order
// count.
const maxOrderTries = 3

// Ensure gets an adapter loaded at an endpoint that has its base model loaded, and returns
// once the adapter can serve. If no slot is free, another adapter is evicted.
func (l *Loader) Ensure(ctx context.Context, id fleet.Endpoint, born int64, adapter roster.Adapter) error {
	fence, ok := l.lease.MayOrder()
	if !ok {
		return ErrNotLeaseHolder
	}
	l.resetOnNewFence(fence)
	c, _, ok := l.findCandidate(id, born)
	if !ok {
		return fmt.Errorf("%w: unknown endpoint or incarnation", ErrUnavailable)
	}
	d := l.orderState(c)
	if err := d.lock(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer d.unlock()
	// Other orders may have been sent there while this call waited for the lock.
	c, engine, ok := l.findCandidate(id, born)
	if !ok {
		return fmt.Errorf("%w: it is gone or has restarted", ErrUnavailable)
	}
	d.lastUsed[adapter] = l.clock()
	if d.hasAdapter(c, adapter) {
		return nil
	}
	if c.Spared {
		return fmt.Errorf("%w: it has asked to be spared", ErrUnavailable)
	}
	if d.orderedModel != "" || d.retiring != "" {
		return fmt.Errorf("%w: a load or unload of %s is in progress", ErrUnavailable, d.orderedModel)
	}
	return l.loadAdapter(ctx, d, c, engine, adapter)
}

func (l *Loader) findCandidate(id fleet.Endpoint, born int64) (*Candidate, *catalog.Engine, bool) {
	for _, g := range l.cluster.Engines() {
		if c, ok := l.cluster.Candidate(g.Name, id); ok && c.Born == born {
			return &c, g.Engine, true
		}
	}
	return nil, nil, false
}

// hasAdapter reports whether an adapter is loaded, by the endpoint's report and by accepted
// orders that the report may not show yet.
func (o *orderState) hasAdapter(c *Candidate, adapter roster.Adapter) bool {
	if a, ok := o.adapterChanges[adapter]; ok && a.unreported(c) {
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
			return fmt.Errorf("%w: model %s is not loaded", ErrUnavailable, adapter.Model)
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

// forgetUnloads discards the recorded unloads of adapters. The order count has turned out to
// be wrong, so one of those adapters may still be loaded.
func (o *orderState) forgetUnloads() {
	for a, change := range o.adapterChanges {
		if !change.present {
			delete(o.adapterChanges, a)
		}
	}
}

// orderAdapter sends the order to load an adapter if a slot is free according to the report
// that the order count comes from.
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
			// The order may still be carried out, so the adapter occupies a slot until
			// reports show otherwise.
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

func (o *orderState) holdsModel(c *Candidate, m fleet.Model) bool {
	return roster.Holds(c.Report.Models, m, "") && o.retiring != m
}

// freeSlot unloads the adapter with the least demand, or the least recently used one of
// these, if all slots are occupied.
func (l *Loader) freeSlot(ctx context.Context, d *orderState, c *Candidate, engine *catalog.Engine, adapter roster.Adapter) error {
	held := d.heldAdapters(c)
	if len(held) < engine.AdapterSlots {
		return nil
	}
	_, _, demand := l.cluster.Demand()
	var victim roster.Adapter
	found := false
	for _, a := range held {
		if a == adapter || slices.Contains(c.AdaptersInUse, a) || !d.isReported(c, a) {
			continue
		}
		if !found || d.evictsBefore(a, victim, demand) {
			victim, found = a, true
		}
	}
	if !found {
		return ErrNoSlot
	}
	l.cluster.RecordPresence(c.ID, victim, false)
	done, err := l.sendOrder(ctx, d, c, Order{Unload: true, Model: victim.Model, Adapter: victim.Adapter})
	if err != nil {
		return fmt.Errorf("unload adapter %s/%s: %w", victim.Model, victim.Adapter, err)
	}
	if !done {
		d.unloading[victim], d.seqKnown = l.clock(), false
		return fmt.Errorf("%w: adapter %s/%s is still in use", ErrNoSlot, victim.Model, victim.Adapter)
	}
	d.adapterChanges[victim] = adapterChange{at: l.clock(), seq: d.seq}
	return nil
}

// isReported reports whether the endpoint's own report shows an adapter as loaded. Unloading
// an adapter that is still loading succeeds at once without effect, just as for one that
// isn't there, so only a reported adapter can free a slot.
func (o *orderState) isReported(c *Candidate, a roster.Adapter) bool {
	if _, ending := o.unloading[a]; ending {
		return false
	}
	if change, ok := o.adapterChanges[a]; ok && !change.present && change.unreported(c) {
		return false
	}
	return roster.Holds(c.Report.Models, a.Model, a.Adapter)
}

// evictsBefore reports whether adapter a is evicted before b: it has less demand or, at equal
// demand, was used less recently.
func (o *orderState) evictsBefore(a, b roster.Adapter, demand map[roster.Adapter]float64) bool {
	if demand[a] != demand[b] {
		return demand[a] < demand[b]
	}
	return o.lastUsed[a].Before(o.lastUsed[b])
}

// heldAdapters returns the adapters that occupy a slot: loaded, loading, ordered, or waiting
// for their requests to end.
func (o *orderState) heldAdapters(c *Candidate) []roster.Adapter {
	set := make(map[roster.Adapter]bool)
	for i := range c.Report.Models {
		for _, a := range c.Report.Models[i].Adapters {
			set[roster.Adapter{Model: c.Report.Models[i].Model, Adapter: a}] = true
		}
	}
	for _, a := range c.Report.Coming {
		set[a] = true
	}
	for a, change := range o.adapterChanges {
		if change.unreported(c) {
			set[a] = change.present
		}
	}
	for a, at := range o.unloading {
		if c.Report.Taken.Sub(at) < maxRequestTime {
			set[a] = true
		} else {
			delete(o.unloading, a)
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

// sleep waits for d. It returns the context's error if the context ends first.
func sleep(ctx context.Context, d time.Duration) error {
	waiting, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-waiting.Done()
	return ctx.Err()
}
