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
	store          Store
	puller         Puller
	isWatcher      func() bool
	settled        func() bool
	sameDataCentre func(fleet.Instance) bool
	newID          func() string
	waitTimeout    time.Duration
	retryInterval  time.Duration
	wake           chan struct{}
	readBack       bool
	skipStoreRead  bool // tests only: the store is not asked before the first document
	storeRead      bool // used by Run only

	mu                sync.Mutex
	tracker           *revision.Tracker
	previous          revision.Document
	lastPacked        packed
	higherPeers       map[fleet.Instance]uint64
	subscribers       []func(revision.Document)
	storeVersion      platform.Version
	deliveredRevision uint64
	deliverMu         sync.Mutex
}

// Defaults of documents.
const (
	// DefaultWaitTimeout is how long one call waits for a change at the store.
	DefaultWaitTimeout = 30 * time.Second
	// DefaultRetryInterval is the time between tries while a source fails.
	DefaultRetryInterval = time.Second
)

// Option changes documents at construction.
type Option func(*Documents)

// WithPuller sets how documents are pulled from other instances.
func WithPuller(p Puller) Option {
	return func(d *Documents) { d.puller = p }
}

// WithWatcher sets what says whether this instance watches the store.
func WithWatcher(isWatcher func() bool) Option {
	return func(d *Documents) { d.isWatcher = isWatcher }
}

// WithSettled sets what says that every peer that may answer was heard. Until then an
// instance without a document puts none from a peer in force.
func WithSettled(settled func() bool) Option {
	return func(d *Documents) { d.settled = settled }
}

// WithSameDataCentre sets what says that a peer stands in the own data centre. Only watchers, and
// instances without a document, pull from others.
func WithSameDataCentre(sameDataCentre func(fleet.Instance) bool) Option {
	return func(d *Documents) { d.sameDataCentre = sameDataCentre }
}

// WithWaitTimeout sets how long one call waits at the store.
func WithWaitTimeout(timeout time.Duration) Option {
	return func(d *Documents) { d.waitTimeout = timeout }
}

// WithRetryInterval sets the time between tries while a source fails.
func WithRetryInterval(interval time.Duration) Option {
	return func(d *Documents) { d.retryInterval = interval }
}

// New returns documents over a store. Without options this instance watches the
// store itself and pulls from nobody.
func New(store Store, opts ...Option) *Documents {
	d := &Documents{
		store:          store,
		isWatcher:      func() bool { return true },
		settled:        func() bool { return true },
		sameDataCentre: func(fleet.Instance) bool { return true },
		newID:          uuid.NewString,
		waitTimeout:    DefaultWaitTimeout,
		retryInterval:  DefaultRetryInterval,
		wake:           make(chan struct{}, 1),
		readBack:       true,
		tracker:        revision.New(),
		higherPeers:    map[fleet.Instance]uint64{},
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
	return d.tracker.Current()
}

// Subscribe calls back with each new document in force, in rising order, and at
// once with the one in force. The callback must not block.
func (d *Documents) Subscribe(callback func(revision.Document)) {
	d.deliverMu.Lock()
	defer d.deliverMu.Unlock()
	d.mu.Lock()
	d.subscribers = append(d.subscribers, callback)
	current, ready := d.tracker.Current()
	d.mu.Unlock()
	if ready {
		callback(current)
	}
}

// ObserveRevision notes the revision that another instance told, and wakes Run if it is higher.
func (d *Documents) ObserveRevision(from fleet.Instance, rev uint64) {
	d.mu.Lock()
	d.tracker.ObserveRevision(rev)
	higher := rev > d.tracker.HighestKnown()
	if higher {
		d.higherPeers[from] = rev
	}
	d.mu.Unlock()
	if higher {
		d.signalWake()
	}
}

// Wake makes Run look at its role again, as after a change of membership.
func (d *Documents) Wake() {
	d.signalWake()
}

func (d *Documents) signalWake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// offer puts a document that the store held in force if it is higher.
func (d *Documents) offer(doc revision.Document) error {
	return d.update(func(l *revision.Tracker) (bool, error) { return l.Offer(doc) })
}

// update changes the ledger and tells subscribers of a new document.
func (d *Documents) update(apply func(*revision.Tracker) (bool, error)) error {
	d.mu.Lock()
	before, _ := d.tracker.Current()
	changed, err := apply(d.tracker)
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
	d.deliverMu.Lock()
	defer d.deliverMu.Unlock()
	d.mu.Lock()
	current, _ := d.tracker.Current()
	stale := current.Revision <= d.deliveredRevision
	d.deliveredRevision = max(d.deliveredRevision, current.Revision)
	subscribers := d.subscribers
	d.mu.Unlock()
	if stale {
		return
	}
	for _, callback := range subscribers {
		callback(current)
	}
}
