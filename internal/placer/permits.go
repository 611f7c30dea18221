package placer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// sentLoad is the endpoint and item of a load that holds a permit.
type sentLoad struct {
	endpoint *managedEndpoint
	item     ledger.Item
}

// permits caches the permits for loads from the region's weight store. They limit how
// many loads it serves at the same time and per second.
type permits struct {
	ledger.Permits
	version platform.Version
	current bool
	loads   map[string]sentLoad // loads of this data centre, by order ID
}

// weightStoreLimited reports whether limits are set for the weight store.
func (p *Placer) weightStoreLimited() bool {
	return p.limits.Rate > 0 || p.limits.MaxInFlight > 0
}

func (p *Placer) readPermits(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	entry, err := p.store.Get(ctx, ledger.PermitsKey(p.place.Region))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		p.permits.Permits, p.permits.version = ledger.Permits{}, 0
	case err != nil:
		return fmt.Errorf("read permits: %w", err)
	default:
		read, err := ledger.DecodePermits(entry.Value)
		if err != nil {
			return err
		}
		p.permits.Permits, p.permits.version = read, entry.Version
	}
	p.permits.current = true
	return nil
}

func (p *Placer) writePermits(ctx context.Context, next ledger.Permits) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	w := platform.Write{Key: ledger.PermitsKey(p.place.Region), Value: data, Expect: p.permits.version}
	version, err := p.store.Swap(ctx, p.withLeaseGuard(w))
	if err != nil {
		p.permits.current = false
		return fmt.Errorf("write permits: %w", err)
	}
	p.permits.Permits, p.permits.version = next, version
	return nil
}

// releasePermits releases the permits of loads that have ended or never started.
func (p *Placer) releasePermits(ctx context.Context, now time.Time) error {
	if !p.weightStoreLimited() || !p.allEndpointsAccountedFor(now) {
		return nil
	}
	if !p.permits.current {
		if err := p.readPermits(ctx); err != nil {
			return err
		}
	}
	pending, lost := p.pendingOrders()
	inFlight := func(order string) bool { return pending[order] || p.permits.loadInProgress(order) }
	next, changed := p.permits.Reconcile(p.place.DataCentre, inFlight, func(o string) bool { return lost[o] })
	for id := range p.permits.loads {
		if !inFlight(id) {
			delete(p.permits.loads, id)
		}
	}
	if !changed {
		return nil
	}
	err := p.writePermits(ctx, next)
	if errors.Is(err, platform.ErrConflict) {
		return nil // read again and retried in the next step
	}
	return err
}

// loadInProgress reports whether the load of an order is still running.
func (ps *permits) loadInProgress(order string) bool {
	at, ok := ps.loads[order]
	return ok && at.endpoint.ledger.Allocation(at.item).Phase == ledger.PhaseLoading
}

// pendingOrders returns the IDs of the unsettled orders, and of those among them that
// got no answer or were sent under an earlier lease.
func (p *Placer) pendingOrders() (pending, lost map[string]bool) {
	pending, lost = make(map[string]bool), make(map[string]bool)
	for _, n := range p.endpoints {
		if n.ledger == nil {
			continue
		}
		for _, o := range n.ledger.PendingOrders() {
			pending[o.ID] = true
			_, noAnswer := n.lostOrders[o.ID]
			lost[o.ID] = noAnswer || o.Fence < p.lease.fence
		}
	}
	return pending, lost
}

// acquirePermit acquires a permit to load from the weight store. It returns false and no
// error when the limits are exhausted or another placer changed the permits.
func (p *Placer) acquirePermit(ctx context.Context, now time.Time, n *managedEndpoint, o ledger.Order) (bool, error) {
	if !p.weightStoreLimited() {
		return true, nil
	}
	if !p.permits.current {
		if err := p.readPermits(ctx); err != nil {
			return false, err
		}
	}
	permit := ledger.Permit{Order: o.ID, DataCentre: p.place.DataCentre}
	next, err := p.permits.Acquire(now, p.limits, permit)
	if err != nil {
		p.addProblem(err)
		p.permits.current = p.permits.current && !p.heldElsewhere()
		return false, nil
	}
	err = p.writePermits(ctx, next)
	if errors.Is(err, platform.ErrConflict) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	p.permits.loads[o.ID] = sentLoad{endpoint: n, item: o.Item()}
	return true, nil
}

// heldElsewhere reports whether another data centre holds permits in the cached copy; it
// may have released them since.
func (p *Placer) heldElsewhere() bool {
	for _, h := range p.permits.Held() {
		if h.DataCentre != p.place.DataCentre {
			return true
		}
	}
	return false
}
