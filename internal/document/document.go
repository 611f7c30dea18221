// Package document keeps the profile document in force at this instance: it watches
// the platform's store or pulls from other instances, and applies new documents.
package document

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Key is where the document stands in the store.
const Key = "config/profiles"

// SizeLimit is the largest document, in bytes; the store's values end at a megabyte.
const SizeLimit = 900 << 10

// ErrTooLarge means that the document is larger than SizeLimit.
var ErrTooLarge = errors.New("document too large")

// Store is the part of platform.Store that documents need.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Wait(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Entry, error)
}

// Puller asks another instance for its document if it is higher than a revision.
// A document with revision zero means that it has none higher.
type Puller interface {
	Pull(ctx context.Context, from fleet.Instance, after uint64) (revision.Document, error)
}

// Documents holds the document in force. It is safe for concurrent use.
type Documents struct {
	store    Store
	puller   Puller
	watcher  func() bool
	id       func() string
	wait     time.Duration
	pause    time.Duration
	wake     chan struct{}
	readBack bool

	mu          sync.Mutex
	ledger      *revision.Ledger
	sources     map[fleet.Instance]uint64
	subscribers []func(revision.Document)
	version     platform.Version
	delivered   uint64
	delivering  sync.Mutex
}

// Defaults of documents.
const (
	// DefaultWait is how long one call waits for a change at the store.
	DefaultWait = 30 * time.Second
	// DefaultPause is the time between tries while a source fails.
	DefaultPause = time.Second
)

// Option changes documents at construction.
type Option func(*Documents)

// WithPuller sets how documents are pulled from other instances.
func WithPuller(p Puller) Option {
	return func(d *Documents) { d.puller = p }
}

// WithWatcher sets what says whether this instance watches the store.
func WithWatcher(watcher func() bool) Option {
	return func(d *Documents) { d.watcher = watcher }
}

// WithWait sets how long one call waits at the store.
func WithWait(wait time.Duration) Option {
	return func(d *Documents) { d.wait = wait }
}

// WithPause sets the time between tries while a source fails.
func WithPause(pause time.Duration) Option {
	return func(d *Documents) { d.pause = pause }
}

// New returns documents over a store. Without options this instance watches the
// store itself and pulls from nobody.
func New(store Store, opts ...Option) *Documents {
	d := &Documents{
		store:    store,
		watcher:  func() bool { return true },
		id:       uuid.NewString,
		wait:     DefaultWait,
		pause:    DefaultPause,
		wake:     make(chan struct{}, 1),
		readBack: true,
		ledger:   revision.New(),
		sources:  map[fleet.Instance]uint64{},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Current returns the document in force, false before the first.
func (d *Documents) Current() (revision.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger.Current()
}

// Subscribe calls back with each new document in force, in rising order, and at
// once with the one in force. The callback must not block.
func (d *Documents) Subscribe(call func(revision.Document)) {
	d.delivering.Lock()
	defer d.delivering.Unlock()
	d.mu.Lock()
	d.subscribers = append(d.subscribers, call)
	current, ready := d.ledger.Current()
	d.mu.Unlock()
	if ready {
		call(current)
	}
}

// Heard notes the revision that another instance told, and wakes Run if it is higher.
func (d *Documents) Heard(from fleet.Instance, rev uint64) {
	d.mu.Lock()
	d.ledger.Hear(rev)
	current, _ := d.ledger.Current()
	higher := rev > current.Revision
	if higher {
		d.sources[from] = rev
	}
	d.mu.Unlock()
	if higher {
		d.nudge()
	}
}

// Nudge makes Run look at its role again, as after a change of membership.
func (d *Documents) Nudge() {
	d.nudge()
}

func (d *Documents) nudge() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// offer puts a document in force if it is higher, and tells subscribers.
func (d *Documents) offer(doc revision.Document) error {
	d.mu.Lock()
	changed, err := d.ledger.Offer(doc)
	d.mu.Unlock()
	if err != nil {
		return err
	}
	if changed {
		d.deliver()
	}
	return nil
}

// deliver hands the newest document to subscribers, each revision at most once.
func (d *Documents) deliver() {
	d.delivering.Lock()
	defer d.delivering.Unlock()
	d.mu.Lock()
	current, _ := d.ledger.Current()
	stale := current.Revision <= d.delivered
	d.delivered = max(d.delivered, current.Revision)
	subscribers := d.subscribers
	d.mu.Unlock()
	if stale {
		return
	}
	for _, call := range subscribers {
		call(current)
	}
}

// Run keeps the document up to date until the context ends: by watching the store
// if this instance is a watcher, and by pulling from peers that told a higher revision.
func (d *Documents) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		d.pull(ctx)
		if d.reads() {
			d.watch(ctx)
			continue
		}
		d.rest(ctx, d.wait)
	}
	return ctx.Err()
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
		if err := d.offer(doc); err != nil {
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
// is left that told a higher one than is in force.
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
		if doc, err := d.puller.Pull(ctx, from, after); err == nil && doc.Revision != 0 {
			_ = d.offer(doc) // a fork stays out of force; the watcher reports it
		}
	}
}

// higher returns a peer that told a higher revision, with the own revision.
func (d *Documents) higher() (fleet.Instance, uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	current, _ := d.ledger.Current()
	for from, rev := range d.sources {
		if rev > current.Revision {
			return from, current.Revision, true
		}
		delete(d.sources, from)
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
