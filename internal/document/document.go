// Package document keeps the profile document in force at this instance: it watches
// the platform's store or pulls from other instances, and applies new documents.
package document

import (
	"context"
	"errors"
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
	settled  func() bool
	near     func(fleet.Instance) bool
	id       func() string
	wait     time.Duration
	pause    time.Duration
	wake     chan struct{}
	readBack bool
	unasked  bool // tests only: the store is not asked before the first document
	asked    bool // used by Run only

	mu          sync.Mutex
	ledger      *revision.Tracker
	previous    revision.Document
	packed      packed
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

// WithSettled sets what says that every peer that may answer was heard. Until then an
// instance without a document puts none from a peer in force.
func WithSettled(settled func() bool) Option {
	return func(d *Documents) { d.settled = settled }
}

// WithNear sets what says that a peer stands in the own data centre. Only watchers, and
// instances without a document, pull from others.
func WithNear(near func(fleet.Instance) bool) Option {
	return func(d *Documents) { d.near = near }
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
		settled:  func() bool { return true },
		near:     func(fleet.Instance) bool { return true },
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
	d.ledger.ObserveRevision(rev)
	higher := rev > d.ledger.HighestKnown()
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

// offer puts a document that the store held in force if it is higher.
func (d *Documents) offer(doc revision.Document) error {
	return d.change(func(l *revision.Tracker) (bool, error) { return l.Offer(doc) })
}

// change changes the ledger and tells subscribers of a new document.
func (d *Documents) change(with func(*revision.Tracker) (bool, error)) error {
	d.mu.Lock()
	before, _ := d.ledger.Current()
	changed, err := with(d.ledger)
	if changed {
		d.previous = before
	}
	d.mu.Unlock()
	if changed {
		d.deliver()
	}
	return err
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
