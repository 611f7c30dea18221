package placer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/ledger"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// node is one endpoint in the placer's care.
type node struct {
	target  Target
	ledger  *ledger.Ledger
	version platform.Version
	loaded  bool      // the ledger is as stored, or ahead of it by what was seen
	dirty   bool      // the ledger is ahead
	fresh   bool      // the state was read in this step
	seenAt  time.Time // when it was last read
	since   time.Time // when the endpoint was first listed
	listed  time.Time // when the endpoint was last listed
	unsent  map[string]bool
	lost    map[string]time.Time
	retired map[fleet.Model]bool // copies that are no longer promised, to be unloaded
}

// alive reports whether the endpoint showed its state lately.
func (n *node) alive(now time.Time, lostAfter time.Duration) bool {
	return !n.seenAt.IsZero() && now.Sub(n.seenAt) <= lostAfter
}

// serving reports whether the model can be promised at the endpoint.
func (n *node) serving(model fleet.Model) bool {
	if !n.loaded || !n.fresh || n.target.Leaving || n.ledger.Leaving() || n.retired[model] {
		return false
	}
	return n.ledger.Holding(ledger.Item{Model: model}).Serving()
}

// follow takes in the list of endpoints. One that drops out of the list is kept
// for a while, since the list lags.
func (p *Placer) follow(now time.Time, targets []Target) {
	for _, t := range targets {
		n, ok := p.nodes[t.Endpoint]
		if !ok {
			n = &node{
				since:   now,
				unsent:  make(map[string]bool),
				lost:    make(map[string]time.Time),
				retired: make(map[fleet.Model]bool),
			}
			p.nodes[t.Endpoint] = n
		}
		n.target, n.listed = t, now
	}
	for e, n := range p.nodes {
		if now.Sub(n.listed) > p.lostAfter {
			delete(p.nodes, e)
		}
	}
}

// ordered returns the nodes by endpoint, so that each step goes the same way.
func (p *Placer) ordered() []*node {
	nodes := make([]*node, 0, len(p.nodes))
	for _, n := range p.nodes {
		nodes = append(nodes, n)
	}
	slices.SortFunc(nodes, func(a, b *node) int {
		if a.target.Endpoint < b.target.Endpoint {
			return -1
		}
		return 1
	})
	return nodes
}

// readRecords loads records that are not known yet, a limited number in a step.
func (p *Placer) readRecords(ctx context.Context, _ time.Time) error {
	left := p.budget
	for _, n := range p.ordered() {
		if n.loaded || left == 0 {
			continue
		}
		left--
		if err := p.readRecord(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (p *Placer) readRecord(ctx context.Context, n *node) error {
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	e := n.target.Endpoint
	entry, err := p.store.Get(ctx, ledger.Key(e))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		n.ledger, n.version = ledger.New(e, p.off.ledger...), 0
	case err != nil:
		return fmt.Errorf("record of %s: %w", e, err)
	default:
		read, err := ledger.Decode(e, entry.Value, p.off.ledger...)
		if err != nil {
			p.problem(err)
			return nil
		}
		n.ledger, n.version = read, entry.Version
	}
	n.loaded, n.dirty = true, false
	for id := range n.unsent {
		n.ledger.Refused(id)
	}
	return nil
}

// observe reads the state of all endpoints, several at once.
func (p *Placer) observe(ctx context.Context, now time.Time) error {
	nodes := p.ordered()
	states := make([]ledger.State, len(nodes))
	errs := make([]error, len(nodes))
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(p.parallel)
	for i, n := range nodes {
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
	for i, n := range nodes {
		n.fresh = errs[i] == nil && n.loaded
		if errs[i] != nil {
			p.problem(fmt.Errorf("state of %s: %w", n.target.Endpoint, errs[i]))
		}
		if n.fresh {
			n.seenAt = now
			n.dirty = n.ledger.Observe(states[i]) || n.dirty
			n.forget()
		}
	}
	return nil
}

// forget drops notes on orders and copies that are settled.
func (n *node) forget() {
	pending := make(map[string]bool)
	for _, o := range n.ledger.Unsettled() {
		pending[o.ID] = true
	}
	for id := range n.lost {
		if !pending[id] {
			delete(n.lost, id)
		}
	}
	for model := range n.retired {
		if !n.ledger.Holding(ledger.Item{Model: model}).Resident() {
			delete(n.retired, model)
		}
	}
}

// writeRecords stores what was seen, a limited number in a step.
func (p *Placer) writeRecords(ctx context.Context, _ time.Time) error {
	left := p.budget
	for _, n := range p.ordered() {
		if !n.loaded || !n.dirty || left == 0 {
			continue
		}
		left--
		if err := p.writeRecord(ctx, n, n.ledger); err != nil && !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	return nil
}

// writeRecord stores a ledger. Unless that is known to have failed or worked,
// the record is read again before it is used.
func (p *Placer) writeRecord(ctx context.Context, n *node, next *ledger.Ledger) error {
	data, err := next.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.callTimeout)
	defer cancel()
	w := platform.Write{Key: ledger.Key(n.target.Endpoint), Value: data, Expect: n.version}
	version, err := p.store.Swap(ctx, p.guarded(w))
	if err != nil {
		n.loaded = errors.Is(err, platform.ErrUnavailable)
		return fmt.Errorf("record of %s: %w", n.target.Endpoint, err)
	}
	n.ledger, n.version, n.dirty = next, version, false
	return nil
}
