// Package document keeps the profile document that is in force at this instance up to date:
// it watches the platform's store or pulls from other instances. It also writes new documents
// to the store.
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

// Key is the document's key in the store.
const Key = "config/profiles"

// SizeLimit is the maximum size of a document in bytes; the store limits values to a megabyte.
const SizeLimit = 900 << 10

// ErrTooLarge means that the document is larger than SizeLimit.
var ErrTooLarge = errors.New("document too large")

// Store is the part of platform.Store that Documents needs.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Wait(ctx context.Context, key string, after platform.Version, wait time.Duration) (platform.Entry, error)
}

// Puller fetches the document of another instance if its revision is higher than after. A
// document with revision zero means that it is not.
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
	readBack       bool // read the document back after an uncertain write; false only in tests
	skipStoreRead  bool // tests only: don't read the store before the first document is in force
	storeRead      bool // readStoreOnce has run; used by Run only

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

// Default durations.
const (
	// DefaultWaitTimeout is how long one call waits for a change in the store.
	DefaultWaitTimeout = 30 * time.Second
	// DefaultRetryInterval is the time between attempts while the store fails or no document
	// is in force.
	DefaultRetryInterval = time.Second
)

// Option configures Documents.
type Option func(*Documents)

// WithPuller sets the client that pulls documents from other instances.
func WithPuller(p Puller) Option {
	return func(d *Documents) { d.puller = p }
}

// WithWatcher sets the function that reports whether this instance watches the store.
func WithWatcher(isWatcher func() bool) Option {
	return func(d *Documents) { d.isWatcher = isWatcher }
}

// WithSettled sets the function that reports whether every reachable peer has sent its
// revision. Until then an instance without a document puts none from a peer in force.
func WithSettled(settled func() bool) Option {
	return func(d *Documents) { d.settled = settled }
}

// WithSameDataCentre sets the function that reports whether a peer is in this instance's data
// centre. Only watchers and instances without a document pull from other data centres.
func WithSameDataCentre(sameDataCentre func(fleet.Instance) bool) Option {
	return func(d *Documents) { d.sameDataCentre = sameDataCentre }
}

// WithWaitTimeout sets how long one call waits for a change in the store.
func WithWaitTimeout(timeout time.Duration) Option {
	return func(d *Documents) { d.waitTimeout = timeout }
}

// WithRetryInterval sets the time between attempts while the store fails or no document is
// in force.
func WithRetryInterval(interval time.Duration) Option {
	return func(d *Documents) { d.retryInterval = interval }
}

// New returns Documents for a store. Without options this instance watches the store and
// does not pull from others.
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

// Current returns the document in force, or false if there is none yet.
func (d *Documents) Current() (revision.Document, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.tracker.Current()
}

// Subscribe calls callback with the document in force, if any, and then with each new one, in
// order of revision. The callback must not block.
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

// ObserveRevision records the revision that another instance announced, and wakes Run if it is
// higher than the known ones.
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

// Wake makes Run check again whether this instance is a watcher, as after a membership change.
func (d *Documents) Wake() {
	d.signalWake()
}

func (d *Documents) signalWake() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// offer puts a document from the store in force if its revision is higher.
func (d *Documents) offer(doc revision.Document) error {
	return d.update(func(l *revision.Tracker) (bool, error) { return l.Offer(doc) })
}

// update applies a change to the tracker and delivers a new document to subscribers.
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

// deliver calls the subscribers with the newest document, at most once per revision.
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
