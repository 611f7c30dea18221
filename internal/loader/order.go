package loader

import (
	"context"
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// orderModel sends an order for a base model with the newest order count.
func (l *Loader) orderModel(ctx context.Context, d *orderState, c *Candidate, o Order) error {
	if c.Report.Seq < d.minReportSeq {
		return fmt.Errorf("%w: plan is based on an outdated report", ErrUnavailable)
	}
	if !d.seqKnown || c.Report.Seq > d.seq {
		d.seq, d.seqKnown = c.Report.Seq, true
	}
	d.minReportSeq = max(d.minReportSeq, c.Report.Seq)
	done, err := l.sendOrder(ctx, d, c, o)
	if err != nil || done {
		return err
	}
	d.orderedModel, d.unload, d.orderedAt = o.Model, o.Unload, l.clock()
	if o.Unload {
		l.cluster.RecordPresence(c.ID, roster.Adapter{Model: o.Model}, false)
	}
	return nil
}

// sendOrder sends one order, after checking that this instance still may.
func (l *Loader) sendOrder(ctx context.Context, d *orderState, c *Candidate, o Order) (done bool, err error) {
	fence, ok := l.lease.MayOrder()
	if !ok {
		return false, ErrNotLeaseHolder
	}
	o.Endpoint, o.Born, o.Address, o.Seq, o.Fence = c.ID, c.Born, c.Address, d.seq, fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	done, err = l.endpoints.Order(ctx, o)
	switch {
	case err == nil && done && !o.Unload:
		// The model or adapter was already loaded, so the order was not counted.
	case err == nil:
		d.seq++
		if o.Adapter == "" {
			d.movedAt = l.clock()
		}
	case errors.Is(err, ErrBusy):
		d.seqKnown = false
	case errors.Is(err, ErrDenied):
	default:
		d.seqKnown = false
		d.movedAt = l.clock() // the order may have been accepted
	}
	return done, err
}

// ensureSeq makes sure that the endpoint's order count is known, and requests a report if
// necessary.
func (l *Loader) ensureSeq(ctx context.Context, d *orderState, c *Candidate) error {
	if d.seqKnown && c.Report.Seq >= d.minReportSeq {
		return nil
	}
	return l.refresh(ctx, d, c)
}

// refresh requests a report from the endpoint and takes the order count from it.
func (l *Loader) refresh(ctx context.Context, d *orderState, c *Candidate) error {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	requestedAt := l.clock() // the report's contents may be as old as the request for it
	report, err := l.endpoints.Report(ctx, c.ID, c.Born, c.Address)
	if err != nil {
		return err
	}
	if report.Born != c.Born {
		return fmt.Errorf("%w: it has restarted", ErrUnavailable)
	}
	report.Taken = requestedAt
	l.cluster.RecordReport(c.ID, report)
	c.Report = report
	if report.Seq < d.minReportSeq {
		return fmt.Errorf("%w: its report is outdated", ErrUnavailable)
	}
	d.minReportSeq = report.Seq
	if !d.seqKnown || report.Seq > d.seq {
		d.seq, d.seqKnown = report.Seq, true
	}
	return nil
}
