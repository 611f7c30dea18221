package loader

import (
	"context"
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// order sends an order for a base model on the newest count of orders.
func (l *Loader) order(ctx context.Context, d *desk, c *Candidate, o Order) error {
	if c.Report.Seq < d.base {
		return fmt.Errorf("%w: the plan rests on an older report", ErrUnavailable)
	}
	if !d.known || c.Report.Seq > d.seq {
		d.seq, d.known = c.Report.Seq, true
	}
	d.base = max(d.base, c.Report.Seq)
	done, err := l.send(ctx, d, c, o)
	if err != nil || done {
		return err
	}
	d.model, d.unload, d.since = o.Model, o.Unload, l.clock()
	if o.Unload {
		l.site.Learned(c.ID, roster.Adapter{Model: o.Model}, false)
	}
	return nil
}

// send sends one order. The right is looked at right before.
func (l *Loader) send(ctx context.Context, d *desk, c *Candidate, o Order) (done bool, err error) {
	fence, ok := l.right.Orders()
	if !ok {
		return false, ErrNoRight
	}
	o.Endpoint, o.Born, o.Address, o.Seq, o.Fence = c.ID, c.Born, c.Address, d.seq, fence
	ctx, cancel := context.WithTimeout(ctx, orderWait)
	defer cancel()
	done, err = l.endpoints.Order(ctx, o)
	switch {
	case err == nil && done && !o.Unload:
		// It held before, so nothing was accepted.
	case err == nil:
		d.seq++
		if o.Adapter == "" {
			d.moved = l.clock()
		}
	case errors.Is(err, ErrBusy):
		d.known = false
	case errors.Is(err, ErrDenied):
	default:
		d.known = false
		d.moved = l.clock() // it may have been accepted
	}
	return done, err
}

// count makes sure that the endpoint's count of orders is known.
func (l *Loader) count(ctx context.Context, d *desk, c *Candidate) error {
	if d.known && c.Report.Seq >= d.base {
		return nil
	}
	return l.refresh(ctx, d, c)
}

// refresh asks the endpoint for its newest count of orders.
func (l *Loader) refresh(ctx context.Context, d *desk, c *Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	asked := l.clock() // what the report tells may be as old as the question
	report, err := l.endpoints.Report(ctx, c.ID, c.Born, c.Address)
	if err != nil {
		return err
	}
	if report.Born != c.Born {
		return fmt.Errorf("%w: it has started again", ErrUnavailable)
	}
	report.Taken = asked
	l.site.Reported(c.ID, report)
	c.Report = report
	if report.Seq < d.base {
		return fmt.Errorf("%w: its report is late", ErrUnavailable)
	}
	d.base = report.Seq
	if !d.known || report.Seq > d.seq {
		d.seq, d.known = report.Seq, true
	}
	return nil
}
