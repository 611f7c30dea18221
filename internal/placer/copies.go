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

// row is a stored residence.
type row struct {
	ledger.Residence
	version platform.Version
}

// holder is what is known of another data centre's placer.
type holder struct {
	lease      platform.LeaseID
	reconciled bool
	seenAt     time.Time // when a lease was last seen
}

// copies is what the store says of all promised copies.
type copies struct {
	rows    map[fleet.Model]row
	holders map[fleet.DataCentre]holder
	stale   bool
	readAt  time.Time
}

func newCopies() *copies {
	return &copies{
		rows:    make(map[fleet.Model]row),
		holders: make(map[fleet.DataCentre]holder),
		stale:   true,
	}
}

// row returns a model's residence, empty when none is stored.
func (c *copies) row(model fleet.Model) row {
	if r, ok := c.rows[model]; ok {
		return r
	}
	return row{Residence: ledger.NewResidence(model)}
}

// readCopies reads all residences and placers, now and then or when they are known to be old.
func (p *Placer) readCopies(ctx context.Context, now time.Time) error {
	if !p.copies.stale && now.Sub(p.copies.readAt) < p.refresh {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	entries, err := p.store.List(ctx, ledger.ResidencePrefix)
	if err != nil {
		return fmt.Errorf("residences: %w", err)
	}
	placers, err := p.store.List(ctx, leasePrefix)
	if err != nil {
		return fmt.Errorf("placers: %w", err)
	}
	rows := make(map[fleet.Model]row, len(entries))
	for _, e := range entries {
		r, err := ledger.DecodeResidence(e.Value)
		if err != nil {
			return fmt.Errorf("%s: %w", e.Key, err)
		}
		rows[r.Model()] = row{Residence: r, version: e.Version}
	}
	p.copies.rows, p.copies.stale, p.copies.readAt = rows, false, now
	for _, e := range placers {
		p.noteHolder(now, e)
	}
	return nil
}

func (p *Placer) noteHolder(now time.Time, e platform.Entry) {
	centre := fleet.DataCentre(strings.TrimPrefix(e.Key, leasePrefix))
	h := p.copies.holders[centre]
	h.lease, h.reconciled = e.Lock, false
	if e.Lock != "" {
		h.seenAt = now
		var v leaseValue
		h.reconciled = cbor.Unmarshal(e.Value, &v) == nil && v.Reconciled
	}
	p.copies.holders[centre] = h
}

// reconcile makes the promised copies of this data centre those that its
// endpoints show. Once that is done, others are told that they can rely on them.
func (p *Placer) reconcile(ctx context.Context, now time.Time) error {
	whole := p.surveyed(now)
	served := p.served()
	for _, model := range p.models(served) {
		r, changed := p.corrected(now, model, served[model])
		if !changed {
			continue
		}
		if p.left == 0 {
			whole = false
			break
		}
		p.left--
		if err := p.writeRow(ctx, r); err != nil {
			whole = false
			if !errors.Is(err, platform.ErrConflict) {
				return err
			}
		}
	}
	if whole {
		p.lease.current = p.clock()
	}
	if !whole || p.lease.reconciled {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	return p.lease.declare(ctx)
}

// surveyed reports whether every endpoint was seen or given up.
func (p *Placer) surveyed(now time.Time) bool {
	for _, n := range p.nodes {
		if !n.loaded || !n.fresh && !p.givenUp(now, n) {
			return false
		}
	}
	return !p.copies.stale && (len(p.nodes) > 0 || now.Sub(p.takenAt) > p.lostAfter)
}

// givenUp reports whether an endpoint has shown no state for too long.
func (p *Placer) givenUp(now time.Time, n *node) bool {
	since := n.seenAt
	for _, at := range []time.Time{n.since, p.takenAt} {
		if at.After(since) {
			since = at
		}
	}
	return now.Sub(since) > p.lostAfter
}

// models lists the models with a promised or resident copy, from a random one
// on, so that data centres that correct the same residences seldom collide.
func (p *Placer) models(served map[fleet.Model][]*node) []fleet.Model {
	models := slices.Collect(maps.Keys(p.copies.rows))
	for m := range served {
		if _, ok := p.copies.rows[m]; !ok {
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

// served returns where each model can be promised.
func (p *Placer) served() map[fleet.Model][]*node {
	served := make(map[fleet.Model][]*node, len(p.copies.rows))
	for _, n := range p.ordered() {
		if !n.fresh {
			continue
		}
		for h := range n.ledger.All() {
			if h.Adapter == "" && n.serving(h.Model) {
				served[h.Model] = append(served[h.Model], n)
			}
		}
	}
	return served
}

// corrected returns a model's residence with this data centre's copies as they are.
func (p *Placer) corrected(now time.Time, model fleet.Model, served []*node) (row, bool) {
	r := p.copies.row(model)
	changed := false
	for _, c := range r.Copies() {
		if c.DataCentre == p.place.DataCentre && p.gone(now, model, c.Endpoint) {
			r.Residence, changed = r.RemoveLost(c.Endpoint), true
		}
	}
	for _, n := range served {
		if r.Has(n.target.Endpoint) {
			continue
		}
		at := n.target.Place
		r.Residence = r.Add(ledger.Copy{Endpoint: n.target.Endpoint, DataCentre: at.DataCentre, Region: at.Region})
		changed = true
	}
	return r, changed
}

// gone reports whether a promised copy of this data centre is lost.
func (p *Placer) gone(now time.Time, model fleet.Model, at fleet.Endpoint) bool {
	n, ok := p.nodes[at]
	switch {
	case !ok:
		return now.Sub(p.takenAt) > p.lostAfter
	case n.fresh:
		return !n.serving(model)
	default:
		return p.givenUp(now, n)
	}
}

// writeRow stores a residence. After any failure the rows are read again.
func (p *Placer) writeRow(ctx context.Context, r row, also ...platform.Guard) error {
	data, err := r.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	w := p.guarded(platform.Write{Key: ledger.ResidenceKey(r.Model()), Value: data, Expect: r.version})
	w.Also = also
	version, err := p.store.Swap(ctx, w)
	if err != nil {
		p.copies.stale = true
		return fmt.Errorf("residence of %s: %w", r.Model(), err)
	}
	r.version = version
	p.copies.rows[r.Model()] = r
	return nil
}

// counts reports whether a copy can be relied on when another is given up.
func (p *Placer) counts(model fleet.Model, c ledger.Copy) bool {
	if c.DataCentre == p.place.DataCentre {
		n, ok := p.nodes[c.Endpoint]
		return ok && n.serving(model)
	}
	h := p.copies.holders[c.DataCentre]
	return p.off.declared || h.lease != "" && h.reconciled
}

// retire takes back the promise of a copy. It fails unless others are left:
// the write itself checks that their placers still hold their leases.
func (p *Placer) retire(ctx context.Context, n *node, model fleet.Model, narrow bool) error {
	if p.off.residence {
		n.retired[model] = true
		return nil
	}
	r := p.copies.row(model)
	if !r.Has(n.target.Endpoint) {
		return fmt.Errorf("model %s on %s: %w", model, n.target.Endpoint, errNotPromised)
	}
	centres := min(2, p.centres(r))
	if narrow {
		centres = 1
	}
	left, err := r.Remove(n.target.Endpoint, centres, func(c ledger.Copy) bool { return p.counts(model, c) })
	if err != nil {
		return err
	}
	if err := p.writeRow(ctx, row{Residence: left, version: r.version}, p.relied(left)...); err != nil {
		return err
	}
	n.retired[model] = true
	return nil
}

// errNotPromised means that a copy is resident but not promised yet.
var errNotPromised = errors.New("copy not promised yet")

// centres returns in how many data centres a model has copies that count.
func (p *Placer) centres(r row) int {
	set := make(map[fleet.DataCentre]bool)
	for _, c := range r.Copies() {
		if p.counts(r.Model(), c) {
			set[c.DataCentre] = true
		}
	}
	return len(set)
}

// relied returns the leases of the other data centres whose copies are left.
func (p *Placer) relied(r ledger.Residence) []platform.Guard {
	if p.off.declared {
		return nil
	}
	var guards []platform.Guard
	for _, c := range r.Copies() {
		if c.DataCentre == p.place.DataCentre || !p.counts(r.Model(), c) {
			continue
		}
		g := platform.Guard{Key: leasePrefix + string(c.DataCentre), Holder: p.copies.holders[c.DataCentre].lease}
		if !slices.Contains(guards, g) {
			guards = append(guards, g)
		}
	}
	return guards
}

// elsewhere counts a model's copies in other data centres for planning. A data
// centre whose placer is being replaced still counts for a while.
func (p *Placer) elsewhere(now time.Time, model fleet.Model) int {
	count := 0
	for _, c := range p.copies.row(model).Copies() {
		h := p.copies.holders[c.DataCentre]
		if c.DataCentre != p.place.DataCentre && !h.seenAt.IsZero() && now.Sub(h.seenAt) <= p.absence {
			count++
		}
	}
	return count
}
