package document

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Run keeps the document up to date until the context ends: by watching the store
// if this instance is a watcher, and by pulling from peers that told a higher revision.
func (d *Documents) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pull(ctx)
		d.settle(ctx)
		if d.reads() {
			d.watch(ctx)
			continue
		}
		d.rest(ctx, d.idle())
	}
	return ctx.Err()
}

// idle is how long Run may sleep unless it is woken.
func (d *Documents) idle() time.Duration {
	if _, ready := d.Current(); !ready {
		return d.pause
	}
	return d.wait
}

// reads says whether this instance asks the store: as a watcher, or when it has no
// document and no peer to pull one from.
func (d *Documents) reads() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watcher() || (!d.ledger.Ready() && len(d.sources) == 0)
}

// watch waits for one change at the store, and ends early when Run is woken.
func (d *Documents) watch(ctx context.Context) {
	d.mu.Lock()
	after := d.version
	d.mu.Unlock()
	entry, err := d.waitStore(ctx, after)
	if errors.Is(err, errWoken) {
		return
	}
	if err == nil {
		err = d.take(ctx, entry)
	}
	if err != nil {
		d.rest(ctx, d.pause)
	}
}

// take puts what the store holds in force, or repairs a store that was restored to
// a lower revision.
func (d *Documents) take(ctx context.Context, entry platform.Entry) error {
	var stored revision.Document
	if entry.Version != 0 {
		doc, err := revision.Decode(entry.Value)
		if err != nil {
			return fmt.Errorf("read %s: %w", Key, err)
		}
		stored = doc
		if err := d.change(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) }); err != nil {
			return fmt.Errorf("read %s: %w", Key, err)
		}
	}
	d.mu.Lock()
	d.version = entry.Version
	repair, needed := d.ledger.Repair(stored)
	d.mu.Unlock()
	if !needed {
		return nil
	}
	return d.write(ctx, repair, entry.Version)
}

func (d *Documents) write(ctx context.Context, doc revision.Document, expect platform.Version) error {
	raw, err := doc.Encode()
	if err != nil {
		return err
	}
	if _, err := d.store.Swap(ctx, platform.Write{Key: Key, Value: raw, Expect: expect}); err != nil {
		return fmt.Errorf("write %s revision %d: %w", Key, doc.Revision, err)
	}
	return nil
}

// pull asks the peers that told a higher revision, one after the other, until none
// is left that told a higher one than is known.
func (d *Documents) pull(ctx context.Context) {
	if d.puller == nil {
		return
	}
	for ctx.Err() == nil {
		from, after, found := d.higher()
		if !found {
			return
		}
		d.drop(from)
		doc, err := d.puller.Pull(ctx, from, after)
		if err != nil || doc.Revision == 0 {
			continue
		}
		// A fork stays out of force; the watcher reports it.
		_ = d.change(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) })
	}
}

// settle puts the first document in force once all peers were heard and the store was
// asked: either may be behind what was in force here before a restart.
func (d *Documents) settle(ctx context.Context) {
	if _, ready := d.Current(); ready || !d.settled() {
		return
	}
	d.ask(ctx)
	_ = d.change(func(l *revision.Tracker) (bool, error) { return l.Settle(), nil })
}

// ask reads the store once before the first document. A store that doesn't answer is not
// waited for.
func (d *Documents) ask(ctx context.Context) {
	if d.asked || d.unasked {
		return
	}
	d.asked = true
	ctx, cancel := context.WithTimeout(ctx, d.pause)
	defer cancel()
	doc, _, err := d.read(ctx)
	if err != nil || doc.Revision == 0 {
		return
	}
	// The first document can't be a fork.
	_ = d.change(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) })
}

// higher returns a peer that told a higher revision, with the one in force here.
func (d *Documents) higher() (fleet.Instance, uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, _ := d.ledger.Current()
	known := d.ledger.HighestKnown()
	far := !d.ledger.Ready() || d.watcher()
	for from, rev := range d.sources {
		if rev <= known {
			delete(d.sources, from)
			continue
		}
		if far || d.near(from) {
			return from, current.Revision, true
		}
	}
	return "", current.Revision, false
}

// drop forgets a source until it is heard again.
func (d *Documents) drop(from fleet.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.sources, from)
}

// rest waits until woken, or the time is over.
func (d *Documents) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}
