package placer

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// storedResidence is a residence record with its version in the store.
type storedResidence struct {
	ledger.Residence
	version platform.Version
}

// placerState is the last known state of the placer of a data centre.
type placerState struct {
	lease      platform.LeaseID
	reconciled bool
	seenAt     time.Time // when the lease was last seen held
}

// copyRegistry caches the stored residence records, which list the registered copies
// of each model, and the state of all placers.
type copyRegistry struct {
	residences map[fleet.Model]storedResidence
	placers    map[fleet.DataCentre]placerState
	stale      bool
	readAt     time.Time
}

func newCopyRegistry() *copyRegistry {
	return &copyRegistry{
		residences: make(map[fleet.Model]storedResidence),
		placers:    make(map[fleet.DataCentre]placerState),
		stale:      true,
	}
}

// residence returns the residence record of a model, empty when none is stored.
func (c *copyRegistry) residence(model fleet.Model) storedResidence {
	if r, ok := c.residences[model]; ok {
		return r
	}
	return storedResidence{Residence: ledger.NewResidence(model)}
}

// readCopies reads all residence records and placer leases, every copiesRefresh or
// when the cache is known to be stale.
func (p *Placer) readCopies(ctx context.Context, now time.Time) error {
	if !p.copies.stale && now.Sub(p.copies.readAt) < p.copiesRefresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	entries, err := p.store.List(ctx, ledger.ResidencePrefix)
	if err != nil {
		return fmt.Errorf("list residence records: %w", err)
	}
	placers, err := p.store.List(ctx, leasePrefix)
	if err != nil {
		return fmt.Errorf("list placer leases: %w", err)
	}
	residences := make(map[fleet.Model]storedResidence, len(entries))
	for _, e := range entries {
		r, err := ledger.DecodeResidence(e.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", e.Key, err)
		}
		residences[r.Model()] = storedResidence{Residence: r, version: e.Version}
	}
	p.copies.residences, p.copies.stale, p.copies.readAt = residences, false, now
	for _, e := range placers {
		p.updatePlacerState(now, e)
	}
	return nil
}

func (p *Placer) updatePlacerState(now time.Time, e platform.Entry) {
	dataCentre := fleet.DataCentre(strings.TrimPrefix(e.Key, leasePrefix))
	h := p.copies.placers[dataCentre]
	h.lease, h.reconciled = e.Lock, false
	if e.Lock != "" {
		h.seenAt = now
		var v leaseValue
		h.reconciled = cbor.Unmarshal(e.Value, &v) == nil && v.Reconciled
	}
	p.copies.placers[dataCentre] = h
}

// reconcile updates the registered copies of this data centre to match the state of
// its endpoints. Once that is complete, it announces to the other data centres that
// they can rely on them.
func (p *Placer) reconcile(ctx context.Context, now time.Time) error {
	complete := p.allEndpointsAccountedFor(now)
	serving := p.servingEndpoints()
	for _, model := range p.modelsFromRandomStart(serving) {
		r, changed := p.reconciledResidence(now, model, serving[model])
		if !changed {
			continue
		}
		if p.deferredWritesLeft == 0 {
			complete = false
			break
		}
		p.deferredWritesLeft--
		if err := p.writeResidence(ctx, r); err != nil {
			complete = false
			if !errors.Is(err, platform.ErrConflict) {
				return err
			}
		}
	}
	if complete {
		p.lease.reconciledAt = p.clock()
	}
	if !complete || p.lease.reconciled {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.publishReconciled(ctx)
}

// allEndpointsAccountedFor reports whether the state of every endpoint is current or
// the endpoint is presumed lost.
func (p *Placer) allEndpointsAccountedFor(now time.Time) bool {
	for _, n := range p.endpoints {
		if !n.recordLoaded || !n.fresh && !p.presumedLost(now, n) {
			return false
		}
	}
	return !p.copies.stale && (len(p.endpoints) > 0 || now.Sub(p.leaseAcquiredAt) > p.lostAfter)
}

// presumedLost reports whether an endpoint's state has not been seen for lostAfter.
func (p *Placer) presumedLost(now time.Time, n *managedEndpoint) bool {
	since := n.seenAt
	for _, at := range []time.Time{n.firstListedAt, p.leaseAcquiredAt} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > p.lostAfter
}

// modelsFromRandomStart lists the models with a registered or resident copy, rotated to a
// random start, so that data centres that update the same records seldom conflict.
func (p *Placer) modelsFromRandomStart(serving map[fleet.Model][]*managedEndpoint) []fleet.Model {
	models := slices.Collect(maps.Keys(p.copies.residences))
	for m := range serving {
		if _, ok := p.copies.residences[m]; !ok {
			models = append(models, m)
		}
	}
	slices.Sort(models)
	if len(models) == 0 {
		return nil
	}
	first := p.random.IntN(len(models))
	return slices.Concat(models[first:], models[:first])
}

// servingEndpoints returns the endpoints that serve each model.
func (p *Placer) servingEndpoints() map[fleet.Model][]*managedEndpoint {
	serving := make(map[fleet.Model][]*managedEndpoint, len(p.copies.residences))
	for _, n := range p.sortedEndpoints() {
		if !n.fresh {
			continue
		}
		for h := range n.ledger.All() {
			if h.Adapter == "" && n.serving(h.Model) {
				serving[h.Model] = append(serving[h.Model], n)
			}
		}
	}
	return serving
}

// reconciledResidence returns a model's residence record with the actual copies of this
// data centre, and whether it differs from the stored one.
func (p *Placer) reconciledResidence(now time.Time, model fleet.Model, serving []*managedEndpoint) (storedResidence, bool) {
	r := p.copies.residence(model)
	changed := false
	for _, c := range r.Copies() {
		if c.DataCentre == p.place.DataCentre && p.copyLost(now, model, c.Endpoint) {
			r.Residence, changed = r.RemoveLost(c.Endpoint), true
		}
	}
	for _, n := range serving {
		if r.Has(n.target.Endpoint) {
			continue
		}
		at := n.target.Place
		r.Residence = r.Add(ledger.Copy{Endpoint: n.target.Endpoint, DataCentre: at.DataCentre, Region: at.Region})
		changed = true
	}
	return r, changed
}

// copyLost reports whether a registered copy of this data centre no longer exists.
func (p *Placer) copyLost(now time.Time, model fleet.Model, endpoint fleet.Endpoint) bool {
	n, ok := p.endpoints[endpoint]
	switch {
	case !ok:
		return now.Sub(p.leaseAcquiredAt) > p.lostAfter
	case n.fresh:
		return !n.serving(model)
	default:
		return p.presumedLost(now, n)
	}
}

// writeResidence stores a residence record, provided that the guards hold. After any
// failure all records are read again.
func (p *Placer) writeResidence(ctx context.Context, r storedResidence, guards ...platform.Guard) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	w := p.withLeaseGuard(platform.Write{Key: ledger.ResidenceKey(r.Model()), Value: data, Expect: r.version})
	w.ExtraGuards = guards
	version, err := p.store.Swap(ctx, w)
	if err != nil {
		p.copies.stale = true
		return fmt.Errorf("write residence record of model %s: %w", r.Model(), err)
	}
	r.version = version
	p.copies.residences[r.Model()] = r
	return nil
}

// canRelyOn reports whether a copy is known to serve, so that another one may be retired.
func (p *Placer) canRelyOn(model fleet.Model, c ledger.Copy) bool {
	if c.DataCentre == p.place.DataCentre {
		n, ok := p.endpoints[c.Endpoint]
		return ok && n.serving(model)
	}
	h := p.copies.placers[c.DataCentre]
	return p.disabled.reconciledCheck || h.lease != "" && h.reconciled
}

// retire removes a copy from the residence record, so that it can be drained and
// unloaded. It fails unless the remaining copies that can be relied on are in as many
// data centres as before, where two are enough, or one if oneDataCentre is set. The
// write itself checks that the placers of these copies still hold their leases.
func (p *Placer) retire(ctx context.Context, n *managedEndpoint, model fleet.Model, oneDataCentre bool) error {
	if p.disabled.residenceCheck {
		n.retired[model] = true
		return nil
	}
	r := p.copies.residence(model)
	if !r.Has(n.target.Endpoint) {
		return fmt.Errorf("model %s on %s: %w", model, n.target.Endpoint, errNotRegistered)
	}
	minDataCentres := min(2, p.dataCentreCount(r))
	if oneDataCentre {
		minDataCentres = 1
	}
	left, err := r.Remove(n.target.Endpoint, minDataCentres, func(c ledger.Copy) bool { return p.canRelyOn(model, c) })
	if err != nil {
		return err
	}
	if err := p.writeResidence(ctx, storedResidence{Residence: left, version: r.version}, p.leaseGuards(left)...); err != nil {
		return err
	}
	n.retired[model] = true
	return nil
}

// errNotRegistered means that a copy is resident but not in the residence record yet.
var errNotRegistered = errors.New("copy is not registered yet")

// dataCentreCount returns the number of data centres with copies that can be relied on.
func (p *Placer) dataCentreCount(r storedResidence) int {
	set := make(map[fleet.DataCentre]bool)
	for _, c := range r.Copies() {
		if p.canRelyOn(r.Model(), c) {
			set[c.DataCentre] = true
		}
	}
	return len(set)
}

// leaseGuards returns write guards on the leases of the other data centres whose copies
// are relied on.
func (p *Placer) leaseGuards(r ledger.Residence) []platform.Guard {
	if p.disabled.reconciledCheck {
		return nil
	}
	var guards []platform.Guard
	for _, c := range r.Copies() {
		if c.DataCentre == p.place.DataCentre || !p.canRelyOn(r.Model(), c) {
			continue
		}
		g := platform.Guard{Key: leasePrefix + string(c.DataCentre), Holder: p.copies.placers[c.DataCentre].lease}
		if !slices.Contains(guards, g) {
			guards = append(guards, g)
		}
	}
	return guards
}

// copiesElsewhere counts a model's copies in other data centres for planning. A data
// centre without a lease holder still counts for holderGrace, since a successor may be
// taking over the lease.
func (p *Placer) copiesElsewhere(now time.Time, model fleet.Model) int {
	count := 0
	for _, c := range p.copies.residence(model).Copies() {
		h := p.copies.placers[c.DataCentre]
		if c.DataCentre != p.place.DataCentre && !h.seenAt.IsZero() && now.Sub(h.seenAt) <= p.holderGrace {
			count++
		}
	}
	return count
}
