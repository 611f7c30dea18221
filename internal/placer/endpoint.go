package placer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// managedEndpoint is an endpoint of the placer's data centre, with its ledger.
type managedEndpoint struct {
	target        Target
	ledger        *ledger.Ledger
	version       platform.Version
	recordLoaded  bool                 // the ledger matches the stored record, apart from observations not yet written
	dirty         bool                 // the ledger has changes that are not stored yet
	fresh         bool                 // the state is current in this step: read, or known to be unchanged
	readThisStep  bool                 // the state was read from the endpoint in this step
	readAt        time.Time            // when the state was last read
	seenAt        time.Time            // when the state was last read or known to be unchanged
	firstListedAt time.Time            // when the fleet first listed the endpoint
	lastListedAt  time.Time            // when the fleet last listed the endpoint
	unsent        map[string]bool      // IDs of orders that may be recorded but were never sent
	lostOrders    map[string]time.Time // when each order without an answer was sent
	retired       map[fleet.Model]bool // copies removed from the residence record, to be unloaded
}

// alive reports whether the endpoint's state was seen within lostAfter.
func (m *managedEndpoint) alive(now time.Time, lostAfter time.Duration) bool {
	return !m.seenAt.IsZero() && now.Sub(m.seenAt) <= lostAfter
}

// serving reports whether the endpoint has a usable copy of the model, which can be
// listed in the residence record.
func (m *managedEndpoint) serving(model fleet.Model) bool {
	if !m.recordLoaded || !m.fresh || m.target.Leaving || m.ledger.Leaving() || m.retired[model] {
		return false
	}
	return m.ledger.Allocation(ledger.Item{Model: model}).Serving()
}

// updateTargets applies the fleet's list of endpoints; those of other data centres
// are ignored. An endpoint missing from the list is kept for lostAfter, since the
// list lags behind.
func (p *Placer) updateTargets(now time.Time, targets []Target) {
	for _, t := range targets {
		if t.Place.DataCentre != p.place.DataCentre {
			continue
		}
		n, ok := p.endpoints[t.Endpoint]
		if !ok {
			n = &managedEndpoint{
				firstListedAt: now,
				unsent:        make(map[string]bool),
				lostOrders:    make(map[string]time.Time),
				retired:       make(map[fleet.Model]bool),
			}
			p.endpoints[t.Endpoint] = n
		}
		n.target, n.lastListedAt = t, now
	}
	for e, n := range p.endpoints {
		if now.Sub(n.lastListedAt) > p.lostAfter {
			delete(p.endpoints, e)
		}
	}
	p.sorted = slices.SortedFunc(maps.Values(p.endpoints), func(a, b *managedEndpoint) int {
		return cmp.Compare(a.target.Endpoint, b.target.Endpoint)
	})
}

// sortedEndpoints returns the endpoints sorted by ID, so that steps are deterministic.
func (p *Placer) sortedEndpoints() []*managedEndpoint {
	return p.sorted
}

// readRecords reads the endpoint records that are not cached: all of them with one
// List call after a takeover, later single ones, with a limit per step.
func (p *Placer) readRecords(ctx context.Context, _ time.Time) error {
	if !p.recordsListed {
		return p.listRecords(ctx)
	}
	left := p.maxRecordReads
	for _, n := range p.sortedEndpoints() {
		if n.recordLoaded || left == 0 {
			continue
		}
		left--
		if err := p.readRecord(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placer) listRecords(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	entries, err := p.store.List(ctx, ledger.Prefix(p.place.DataCentre))
	if err != nil {
		return fmt.Errorf("list endpoint records: %w", err)
	}
	stored := make(map[string]platform.Entry, len(entries))
	for _, e := range entries {
		stored[e.Key] = e
	}
	for _, n := range p.endpoints {
		p.applyRecord(n, stored[p.recordKey(n)])
	}
	p.recordsListed = true
	return nil
}

func (p *Placer) readRecord(ctx context.Context, n *managedEndpoint) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	entry, err := p.store.Get(ctx, p.recordKey(n))
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return fmt.Errorf("read record of endpoint %s: %w", n.target.Endpoint, err)
	}
	p.applyRecord(n, entry)
	return nil
}

// applyRecord decodes a stored record into the endpoint's ledger; a zero entry means
// that none is stored. An endpoint whose record can't be decoded gets no orders.
func (p *Placer) applyRecord(n *managedEndpoint, entry platform.Entry) {
	e := n.target.Endpoint
	record := ledger.New(e, p.disabled.ledgerOptions...)
	if entry.Version != 0 {
		var err error
		if record, err = ledger.Decode(e, entry.Value, p.disabled.ledgerOptions...); err != nil {
			p.addProblem(err)
			return
		}
	}
	n.ledger, n.version, n.recordLoaded, n.dirty = record, entry.Version, true, false
	for id := range n.unsent {
		n.ledger.MarkRefused(id)
	}
}

func (p *Placer) recordKey(n *managedEndpoint) string {
	return ledger.Key(p.place.DataCentre, n.target.Endpoint)
}

// observe reads the state of the endpoints that may have changed, concurrently.
func (p *Placer) observe(ctx context.Context, now time.Time) error {
	var endpoints []*managedEndpoint
	for _, n := range p.sortedEndpoints() {
		if !p.skipRead(now, n) {
			endpoints = append(endpoints, n)
		}
	}
	states := make([]ledger.State, len(endpoints))
	errs := make([]error, len(endpoints))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(p.maxConcurrentCalls)
	for i, n := range endpoints {
		group.Go(func() error {
			callCtx, cancel := context.WithTimeout(groupCtx, p.callTimeout)
			defer cancel()
			states[i], errs[i] = p.engine.State(callCtx, n.target.Endpoint)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for i, n := range endpoints {
		p.applyState(now, n, states[i], errs[i])
	}
	return nil
}

// applyState applies the result of reading an endpoint's state.
func (p *Placer) applyState(now time.Time, n *managedEndpoint, state ledger.State, err error) {
	n.fresh = err == nil && n.recordLoaded
	n.readThisStep = n.fresh
	if err != nil {
		p.addProblem(fmt.Errorf("read state of endpoint %s: %w", n.target.Endpoint, err))
	}
	if n.fresh {
		n.seenAt, n.readAt = now, now
		n.dirty = n.ledger.Observe(state) || n.dirty
		n.pruneSettled()
	}
}

// skipRead reports whether an endpoint need not be read in this step: no operation is in
// progress there, its dispatcher reports no change, and it was read within stateMaxAge.
// Its last state is then still valid. With hundreds of endpoints, reading all of them in
// each step would cost more than all other work of an instance.
func (p *Placer) skipRead(now time.Time, n *managedEndpoint) bool {
	n.readThisStep = false
	if !n.fresh || now.Sub(n.readAt) >= p.stateMaxAge || n.hasPendingWork() || p.engine.Changed(n.target.Endpoint) {
		return false
	}
	n.seenAt = now
	return true
}

// hasPendingWork reports whether the endpoint has unsettled orders or retired copies.
func (m *managedEndpoint) hasPendingWork() bool {
	return len(m.ledger.PendingOrders()) > 0 || len(m.unsent) > 0 || len(m.lostOrders) > 0 || len(m.retired) > 0
}

// ensureRead reads the state of an endpoint that skipRead left out, before an order is
// sent to it.
func (p *Placer) ensureRead(ctx context.Context, n *managedEndpoint) bool {
	if !n.readThisStep && !p.disabled.freshRead {
		callCtx, cancel := context.WithTimeout(ctx, p.callTimeout)
		defer cancel()
		state, err := p.engine.State(callCtx, n.target.Endpoint)
		p.applyState(p.clock(), n, state, err)
	}
	return n.fresh
}

// pruneSettled drops lost orders that are settled and retired copies that are unloaded.
func (m *managedEndpoint) pruneSettled() {
	pending := make(map[string]bool)
	for _, o := range m.ledger.PendingOrders() {
		pending[o.ID] = true
	}
	for id := range m.lostOrders {
		if !pending[id] {
			delete(m.lostOrders, id)
		}
	}
	for model := range m.retired {
		if !m.ledger.Allocation(ledger.Item{Model: model}).Resident() {
			delete(m.retired, model)
		}
	}
}

// writeRecords stores observed changes within the write budget. These writes can be
// deferred, since a successor would observe the same; only orders must be stored
// before they are sent.
func (p *Placer) writeRecords(ctx context.Context, _ time.Time) error {
	for _, n := range p.sortedEndpoints() {
		if !n.recordLoaded || !n.dirty || p.deferredWritesLeft == 0 {
			continue
		}
		p.deferredWritesLeft--
		if err := p.writeRecord(ctx, n, n.ledger); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// writeRecord stores a ledger. Unless the write is known to have succeeded, or to have
// failed without effect, the record is read again before it is used.
func (p *Placer) writeRecord(ctx context.Context, n *managedEndpoint, next *ledger.Ledger) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	w := platform.Write{Key: p.recordKey(n), Value: data, Expect: n.version}
	version, err := p.store.Swap(ctx, p.withLeaseGuard(w))
	if err != nil {
		n.recordLoaded = errors.Is(err, platform.ErrUnavailable)
		return fmt.Errorf("write record of endpoint %s: %w", n.target.Endpoint, err)
	}
	n.ledger, n.version, n.dirty = next, version, false
	return nil
}
