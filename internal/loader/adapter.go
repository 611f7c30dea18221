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

// orderTries bounds how often an adapter's order is sent on a newer count of orders.
const orderTries = 3

// Ensure has an adapter loaded at an endpoint that holds its model, and returns
// once it serves. Another adapter yields if there is no place.
func (l *Loader) Ensure(ctx context.Context, id fleet.Endpoint, born int64, what roster.Adapter) error {
	fence, ok := l.right.Orders()
	if !ok {
		return ErrNoRight
	}
	l.begin(fence)
	c, _, ok := l.find(id, born)
	if !ok {
		return fmt.Errorf("%w: not known", ErrUnavailable)
	}
	d := l.desk(c)
	if err := d.enter(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer d.leave()
	// Others may have given orders there meanwhile.
	c, engine, ok := l.find(id, born)
	if !ok {
		return fmt.Errorf("%w: it has gone", ErrUnavailable)
	}
	d.used[what] = l.clock()
	if d.holds(c, what) {
		return nil
	}
	if d.model != "" || d.retiring != "" {
		return fmt.Errorf("%w: it is given %s", ErrUnavailable, d.model)
	}
	return l.adapt(ctx, d, c, engine, what)
}

func (l *Loader) find(id fleet.Endpoint, born int64) (*Candidate, *catalog.Engine, bool) {
	for _, g := range l.site.Engines() {
		all := l.site.Engine(g.Name)
		for i := range all {
			if all[i].ID == id && all[i].Born == born {
				return &all[i], g.Engine, true
			}
		}
	}
	return nil, nil, false
}

// holds reports whether an adapter is there, by reports and accepted orders.
func (d *desk) holds(c *Candidate, what roster.Adapter) bool {
	if a, ok := d.adapters[what]; ok && a.open(c) {
		return a.present
	}
	return roster.Holds(c.Report.Models, what.Model, what.Adapter)
}

func (l *Loader) adapt(ctx context.Context, d *desk, c *Candidate, engine *catalog.Engine, what roster.Adapter) error {
	var err error
	for range orderTries {
		if err = l.count(ctx, d, c); err != nil {
			return err
		}
		if !d.holdsModel(c, what.Model) {
			return fmt.Errorf("%w: it lacks %s", ErrUnavailable, what.Model)
		}
		if err = l.makePlace(ctx, d, c, engine, what); err == nil {
			err = l.load(ctx, d, c, engine, what)
		}
		if err == nil {
			return pause(ctx, adapterWait)
		}
		d.distrust()
		if !errors.Is(err, ErrBusy) || pause(ctx, reportLag/2) != nil {
			break
		}
	}
	_ = l.logger.Log("step", "adapter", "endpoint", c.ID, "model", what.Model, "adapter", what.Adapter, "seq", d.seq,
		"held", fmt.Sprint(d.held(c)), "reported", c.Report.Seq, "age", l.clock().Sub(c.Report.Taken), "err", err)
	return err
}

// distrust forgets which adapters were unloaded: the count of orders is not what it
// was taken for, so that one of them may be there still.
func (d *desk) distrust() {
	for a, change := range d.adapters {
		if !change.present {
			delete(d.adapters, a)
		}
	}
}

// load sends the order for an adapter, if there is a place by the report that the
// order's count comes from.
func (l *Loader) load(ctx context.Context, d *desk, c *Candidate, engine *catalog.Engine, what roster.Adapter) error {
	if err := l.count(ctx, d, c); err != nil {
		return err
	}
	if len(d.held(c)) >= engine.AdapterSlots {
		return ErrNoPlace
	}
	held := fmt.Sprint(d.held(c))
	_, err := l.send(ctx, d, c, Order{Model: what.Model, Adapter: what.Adapter})
	if err != nil {
		if !errors.Is(err, ErrBusy) && !errors.Is(err, ErrDenied) && !errors.Is(err, ErrNoRight) {
			// It may be on its way, and takes a place until the reports tell otherwise.
			d.adapters[what] = change{at: l.clock(), present: true}
		}
		return err
	}
	now := l.clock()
	_ = l.logger.Log("step", "adapter", "endpoint", c.ID, "model", what.Model, "adapter", what.Adapter, "seq", d.seq,
		"held", held, "reported", c.Report.Seq, "age", now.Sub(c.Report.Taken))
	d.adapters[what] = change{at: now, seq: d.seq, present: true}
	l.site.Learned(c.ID, what, true)
	return nil
}

func (d *desk) holdsModel(c *Candidate, m fleet.Model) bool {
	return roster.Holds(c.Report.Models, m, "") && d.retiring != m
}

// makePlace unloads the adapter that was wanted longest ago if all places are taken.
func (l *Loader) makePlace(ctx context.Context, d *desk, c *Candidate, engine *catalog.Engine, what roster.Adapter) error {
	held := d.held(c)
	if len(held) < engine.AdapterSlots {
		return nil
	}
	_, _, demand := l.site.Demand()
	var oldest roster.Adapter
	found := false
	for _, a := range held {
		if a == what || slices.Contains(c.Needed, a) || !d.confirmed(c, a) {
			continue
		}
		if !found || d.sooner(a, oldest, demand) {
			oldest, found = a, true
		}
	}
	if !found {
		return ErrNoPlace
	}
	l.site.Learned(c.ID, oldest, false)
	done, err := l.send(ctx, d, c, Order{Unload: true, Model: oldest.Model, Adapter: oldest.Adapter})
	if err != nil {
		return fmt.Errorf("unload adapter %s/%s: %w", oldest.Model, oldest.Adapter, err)
	}
	if !done {
		d.ending[oldest], d.known = l.clock(), false
		return fmt.Errorf("%w: adapter %s/%s is still in use", ErrNoPlace, oldest.Model, oldest.Adapter)
	}
	d.adapters[oldest] = change{at: l.clock(), seq: d.seq}
	return nil
}

// confirmed reports whether the endpoint's own report shows an adapter. One on its
// way can't be told from one that isn't there: unloading either is done at once.
func (d *desk) confirmed(c *Candidate, a roster.Adapter) bool {
	if _, ending := d.ending[a]; ending {
		return false
	}
	if change, ok := d.adapters[a]; ok && !change.present && change.open(c) {
		return false
	}
	return roster.Holds(c.Report.Models, a.Model, a.Adapter)
}

// sooner reports whether an adapter yields before another: less demand, then used longer ago.
func (d *desk) sooner(a, b roster.Adapter, demand map[roster.Adapter]float64) bool {
	if demand[a] != demand[b] {
		return demand[a] < demand[b]
	}
	return d.used[a].Before(d.used[b])
}

// held returns the adapters that take a place: reported, on their way or ordered.
func (d *desk) held(c *Candidate) []roster.Adapter {
	set := make(map[roster.Adapter]bool)
	for i := range c.Report.Models {
		for _, a := range c.Report.Models[i].Adapters {
			set[roster.Adapter{Model: c.Report.Models[i].Model, Adapter: a}] = true
		}
	}
	for _, a := range c.Report.Coming {
		set[a] = true
	}
	for a, change := range d.adapters {
		if change.open(c) {
			set[a] = change.present
		}
	}
	for a, at := range d.ending {
		if c.Report.Taken.Sub(at) < endingWait {
			set[a] = true
		} else {
			delete(d.ending, a)
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

// pause waits, or returns the context's error if that ends before.
func pause(ctx context.Context, d time.Duration) error {
	waiting, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-waiting.Done()
	return ctx.Err()
}
