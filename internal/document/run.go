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

// Run keeps the document up to date until the context ends: it watches the store if this
// instance is a watcher, and pulls from peers that announced a higher revision.
func (d *Documents) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pull(ctx)
		d.applyFirst(ctx)
		if d.shouldReadStore() {
			d.watchStore(ctx)
			continue
		}
		d.sleep(ctx, d.idleTimeout())
	}
	return ctx.Err()
}

// idleTimeout returns how long Run may wait unless it is woken.
func (d *Documents) idleTimeout() time.Duration {
	if _, ready := d.Current(); !ready {
		return d.retryInterval
	}
	return d.waitTimeout
}

// shouldReadStore reports whether this instance reads the store: it is a watcher, or has
// neither a document nor a peer to pull one from.
func (d *Documents) shouldReadStore() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.isWatcher() || (!d.tracker.Ready() && len(d.higherPeers) == 0)
}

// watchStore waits for one change in the store, and returns early when Run is woken.
func (d *Documents) watchStore(ctx context.Context) {
	d.mu.Lock()
	after := d.storeVersion
	d.mu.Unlock()
	entry, err := d.waitStore(ctx, after)
	if errors.Is(err, errWoken) {
		return
	}
	if err == nil {
		err = d.applyStored(ctx, entry)
	}
	if err != nil {
		d.sleep(ctx, d.retryInterval)
	}
}

// applyStored puts the stored document in force, or repairs a store that was restored to a
// lower revision.
func (d *Documents) applyStored(ctx context.Context, entry platform.Entry) error {
	var stored revision.Document
	if entry.Version != 0 {
		doc, err := revision.Decode(entry.Value)
		if err != nil {
			return fmt.Errorf("read %s: %w", Key, err)
		}
		stored = doc
		if err := d.update(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) }); err != nil {
			return fmt.Errorf("read %s: %w", Key, err)
		}
	}
	d.mu.Lock()
	d.storeVersion = entry.Version
	repair, needed := d.tracker.Repair(stored)
	d.mu.Unlock()
	if !needed {
		return nil
	}
	return d.writeStore(ctx, repair, entry.Version)
}

func (d *Documents) writeStore(ctx context.Context, doc revision.Document, expect platform.Version) error {
	raw, err := doc.Encode()
	if err != nil {
		return err
	}
	if _, err := d.store.Swap(ctx, platform.Write{Key: Key, Value: raw, Expect: expect}); err != nil {
		return fmt.Errorf("write %s revision %d: %w", Key, doc.Revision, err)
	}
	return nil
}

// pull fetches the document from the peers that announced a higher revision, one after the
// other, until no announced revision is higher than that of the newest document received.
func (d *Documents) pull(ctx context.Context) {
	if d.puller == nil {
		return
	}
	for ctx.Err() == nil {
		from, after, found := d.nextPeer()
		if !found {
			return
		}
		d.removePeer(from)
		doc, err := d.puller.Pull(ctx, from, after)
		if err != nil || doc.Revision == 0 {
			continue
		}
		// A fork (another document with the same revision) is not put in force; the watcher
		// reports it.
		_ = d.update(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) })
	}
}

// applyFirst puts the first document in force once all peers have sent their revision and the
// store was read: either may be behind what was in force here before a restart.
func (d *Documents) applyFirst(ctx context.Context) {
	if _, ready := d.Current(); ready || !d.settled() {
		return
	}
	d.readStoreOnce(ctx)
	_ = d.update(func(l *revision.Tracker) (bool, error) { return l.Settle(), nil })
}

// readStoreOnce reads the store once before the first document is in force. It does not retry
// a store that doesn't respond.
func (d *Documents) readStoreOnce(ctx context.Context) {
	if d.storeRead || d.skipStoreRead {
		return
	}
	d.storeRead = true
	ctx, cancel := context.WithTimeout(ctx, d.retryInterval)
	defer cancel()
	doc, _, err := d.readStore(ctx)
	if err != nil || doc.Revision == 0 {
		return
	}
	// The first document can't be a fork.
	_ = d.update(func(l *revision.Tracker) (bool, error) { return l.OfferPeer(doc) })
}

// nextPeer returns a peer that announced a higher revision, and the revision in force here.
func (d *Documents) nextPeer() (fleet.Instance, uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, _ := d.tracker.Current()
	known := d.tracker.HighestKnown()
	anyDataCentre := !d.tracker.Ready() || d.isWatcher()
	for from, rev := range d.higherPeers {
		if rev <= known {
			delete(d.higherPeers, from)
			continue
		}
		if anyDataCentre || d.sameDataCentre(from) {
			return from, current.Revision, true
		}
	}
	return "", current.Revision, false
}

// removePeer removes a peer from higherPeers until it announces its revision again.
func (d *Documents) removePeer(from fleet.Instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.higherPeers, from)
}

// sleep waits until Run is woken, the timeout is over or the context ends.
func (d *Documents) sleep(ctx context.Context, timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-d.wake:
	case <-timer.C:
	}
}
