package placer

import (
	"context"
	"errors"
	"fmt"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// errNoLease means that the lease expired before an order was sent.
var errNoLease = errors.New("lease expired")

// outgoing is an order that is waiting to be sent.
type outgoing struct {
	endpoint *managedEndpoint
	order    ledger.Order
	// recorded is false for orders that take no memory and change nothing; these are sent
	// without a record.
	recorded bool
	err      error
}

func (p *Placer) newOrder(n *managedEndpoint, kind ledger.OrderKind, item ledger.Item, bytes int64) ledger.Order {
	p.sequence++
	return ledger.Order{
		ID:          fmt.Sprintf("%s-%d-%d", p.place.DataCentre, p.lease.fence, p.sequence),
		Fence:       p.lease.fence,
		Kind:        kind,
		Incarnation: n.ledger.Incarnation(),
		Model:       item.Model,
		Adapter:     item.Adapter,
		Bytes:       bytes,
	}
}

// recordOrders stores orders to one endpoint in one write and adds them to the outbox,
// except those that the endpoint's ledger rejects. An error means that the store can't
// be used.
func (p *Placer) recordOrders(ctx context.Context, n *managedEndpoint, orders ...ledger.Order) error {
	if !n.recordLoaded || !p.ensureRead(ctx, n) {
		return nil
	}
	next := n.ledger.Clone()
	var outbox []outgoing
	for _, o := range orders {
		if err := next.Reserve(o); err != nil {
			p.addProblem(err)
			continue
		}
		outbox = append(outbox, outgoing{endpoint: n, order: o, recorded: true})
	}
	if len(outbox) == 0 {
		return nil
	}
	if err := p.writeAhead(ctx, n, next); err != nil {
		for _, out := range outbox {
			n.unsent[out.order.ID] = true
		}
		if errors.Is(err, platform.ErrConflict) {
			return nil
		}
		return err
	}
	p.outbox = append(p.outbox, outbox...)
	return nil
}

func (p *Placer) writeAhead(ctx context.Context, n *managedEndpoint, next *ledger.Ledger) error {
	if p.disabled.writeAhead {
		n.ledger = next
		return nil
	}
	return p.writeRecord(ctx, n, next)
}

// dropOutbox cancels the orders in the outbox; none of them was sent.
func (p *Placer) dropOutbox() {
	for _, out := range p.outbox {
		if out.recorded {
			out.endpoint.unsent[out.order.ID] = true
			out.endpoint.ledger.MarkRefused(out.order.ID)
			out.endpoint.dirty = true
		}
	}
	p.outbox = nil
}

// send sends the orders in the outbox concurrently and records their outcomes.
func (p *Placer) send(ctx context.Context, now time.Time) error {
	var group errgroup.Group
	group.SetLimit(p.maxConcurrentCalls)
	for i := range p.outbox {
		out := &p.outbox[i]
		group.Go(func() error {
			out.err = p.sendOrder(ctx, out)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, out := range p.outbox {
		p.recordOutcome(now, out)
	}
	p.outbox = nil
	return nil
}

func (p *Placer) sendOrder(ctx context.Context, out *outgoing) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	if !p.lease.live() {
		return fmt.Errorf("%w: %w", ErrRefused, errNoLease)
	}
	return p.engine.Order(ctx, out.endpoint.target.Endpoint, out.order)
}

// recordOutcome updates the ledger with the outcome of an order, and counts and logs it.
func (p *Placer) recordOutcome(now time.Time, out outgoing) {
	o, n := out.order, out.endpoint
	outcome := "accepted"
	switch {
	case out.err == nil:
		n.ledger.MarkAccepted(o.ID)
	case errors.Is(out.err, ErrRefused):
		outcome = "refused"
		n.ledger.MarkRefused(o.ID)
	default:
		outcome = "lost"
		n.ledger.MarkLost(o.ID)
		n.lostOrders[o.ID] = now
	}
	n.dirty = n.dirty || out.recorded
	if out.err != nil {
		p.addProblem(fmt.Errorf("order %s to endpoint %s: %w", o.ID, n.target.Endpoint, out.err))
	}
	metrics.GetOrRegisterCounter("placer.orders."+outcome, p.registry).Inc(1)
	_ = p.logger.Log("level", "info", "step", "order", "order", o.ID, "kind", o.Kind, "item", o.Item(),
		"endpoint", n.target.Endpoint, "outcome", outcome, "err", out.err)
}

// settleLostOrders makes sure that lost orders (sent, no answer) can no longer run at
// endpoints that refuse old fences. It releases the lease, so that the next one has a
// newer fence, and then sends that fence with an order that changes nothing.
func (p *Placer) settleLostOrders(ctx context.Context, now time.Time) error {
	needsNewFence := false
	for _, n := range p.sortedEndpoints() {
		if !n.fresh || !n.ledger.ChecksFence() {
			continue
		}
		oldest, waited := p.oldestUnsettled(n, now)
		if oldest == 0 {
			continue
		}
		if oldest < p.lease.fence && n.ledger.Fence() < p.lease.fence {
			o := p.newOrder(n, ledger.KindRole, ledger.Item{}, 0)
			o.Role = n.ledger.Role()
			p.outbox = append(p.outbox, outgoing{endpoint: n, order: o})
		}
		needsNewFence = needsNewFence || oldest == p.lease.fence && waited > p.lostOrderTimeout
	}
	if !needsNewFence || len(p.outbox) > 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.release(ctx, now)
}

// oldestUnsettled returns the lowest fence among the endpoint's unsettled orders, zero
// when there are none, and how long ago the oldest lost order got no answer.
func (p *Placer) oldestUnsettled(n *managedEndpoint, now time.Time) (fleet.Fence, time.Duration) {
	var oldest fleet.Fence
	var waited time.Duration
	for _, o := range n.ledger.PendingOrders() {
		if oldest == 0 || o.Fence < oldest {
			oldest = o.Fence
		}
		if at, ok := n.lostOrders[o.ID]; ok {
			waited = max(waited, now.Sub(at))
		}
	}
	return oldest, waited
}
