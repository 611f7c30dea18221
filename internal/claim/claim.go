// Package claim keeps claims of requests that run at most once in the platform's store.
package claim

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// ErrNotHeld means that the record in the store belongs to another claim.
var ErrNotHeld = errors.New("claim not held")

// Store is the part of platform.Store that claims need.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Commit(ctx context.Context, writes ...platform.Write) error
}

// Defaults of claims.
const (
	DefaultRetry = 2 * time.Second
	// DefaultGather is how long ends wait for the next batch.
	DefaultGather = 10 * time.Second

	claimTries   = 4
	settleTries  = 4
	pendingLimit = 1024
	// pendingBytes is how much of records waits while the store is down.
	pendingBytes = 4 << 20
	// askLimit is how long a holder may take to tell of an end.
	askLimit = 500 * time.Millisecond
	// gatherBytes is how much of records waits for the next batch, and how much one
	// commit takes: half of what Consul accepts, since values are sent in base64.
	gatherBytes = 256 << 10
)

// Peers asks other instances about claims that they hold.
type Peers interface {
	// Ended returns the record of a claim that has ended at its holder and that the
	// store may not have yet.
	Ended(ctx context.Context, holder, path, claim string) (once.Record, bool)
}

// Claims makes, finishes and sweeps claims. It is safe for concurrent use.
type Claims struct {
	store     Store
	writer    swapper
	now       func() time.Time
	id        func() string
	window    time.Duration
	retention time.Duration
	retry     time.Duration
	readBack  bool
	gather    func() time.Duration
	peers     Peers

	// flushing is held while ends are written, so that none is written twice.
	flushing sync.Mutex

	mu      sync.Mutex
	held    map[string]holding
	pending map[string]ending
	size    int       // bytes of the records that wait
	due     time.Time // when they are to be written
	shard   int       // swept next
}

// holding is a granted claim with the version that its record got, zero when it came
// out of a commit or was read back.
type holding struct {
	record  once.Record
	version platform.Version
}

// swapper writes one record.
type swapper interface {
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
}

// Option changes claims at construction.
type Option func(*Claims)

// WithClock sets the source of the time of day.
func WithClock(now func() time.Time) Option {
	return func(c *Claims) { c.now = now }
}

// WithWindow sets how long a caller may resend, and how long a record is kept.
func WithWindow(window, retention time.Duration) Option {
	return func(c *Claims) { c.window, c.retention = window, retention }
}

// WithRetry sets what callers are told to wait while the store is down.
func WithRetry(d time.Duration) Option {
	return func(c *Claims) { c.retry = d }
}

// WithGather lets ends wait for a time, to be written many in one call; none when it is
// zero at that moment. Resends are answered from those that wait meanwhile, at other
// instances through the peers.
func WithGather(wait func() time.Duration, peers Peers) Option {
	return func(c *Claims) { c.gather, c.peers = wait, peers }
}

// WithGroup writes records through group commits in a number of shards.
func WithGroup(shards int) Option {
	return func(c *Claims) { c.writer = newGroup(c.store, shards) }
}

// New returns claims over a store.
func New(store Store, opts ...Option) *Claims {
	c := &Claims{
		store:     store,
		writer:    store,
		now:       time.Now,
		id:        uuid.NewString,
		window:    once.DefaultWindow,
		retention: once.DefaultRetention,
		retry:     DefaultRetry,
		readBack:  true,
		gather:    func() time.Duration { return 0 },
		held:      map[string]holding{},
		pending:   map[string]ending{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Claim asks for the right to run a request once. A granted claim must be ended by
// Finish, or by Release if nothing was sent; else it stays for good.
//
// An error means that the key can't be used (once.ErrReused, once.ErrKey). A store
// that is down gives the verdict "refused": the request was not run.
func (c *Claims) Claim(ctx context.Context, key once.Key, r once.Request) (once.Verdict, error) {
	if err := key.Check(); err != nil {
		return once.Verdict{}, fmt.Errorf("claim: %w", err)
	}
	if key.Expired(c.now(), c.window) {
		return once.Verdict{Kind: once.KindUnknown}, nil
	}
	record := once.New(c.id(), c.now(), r)
	made, err := c.create(ctx, key.Path(), record, r)
	if err != nil {
		return once.Verdict{}, fmt.Errorf("claim %s: %w", key.Path(), err)
	}
	c.note(key.Path(), record, made)
	return made.verdict, nil
}

// creation is what became of writing a new claim.
type creation struct {
	verdict once.Verdict
	version platform.Version
	// sent says that a write may still take effect.
	sent bool
}

// note remembers a granted claim, or one that may have reached the store although
// it was given up: that one is released later.
func (c *Claims) note(path string, record once.Record, made creation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case made.verdict.Kind == once.KindGranted:
		c.held[path] = holding{record: record, version: made.version}
	case made.verdict.Kind == once.KindRefused && made.sent && len(c.pending) < pendingLimit:
		c.keep(ending{path: path, record: record.Release()})
	}
}

// create writes the record if absent.
func (c *Claims) create(ctx context.Context, path string, record once.Record, r once.Request) (creation, error) {
	raw, err := record.Encode()
	if err != nil {
		return creation{}, err
	}
	write := platform.Write{Key: path, Value: raw}
	granted := once.Verdict{Kind: once.KindGranted, Claim: record.Claim}
	sent := false
	for range claimTries {
		version, err := c.writer.Swap(ctx, write)
		switch {
		case err == nil:
			return creation{verdict: granted, version: version}, nil
		case errors.Is(err, platform.ErrUncertain):
			sent = true
		case !errors.Is(err, platform.ErrConflict):
			return creation{verdict: once.Refused(c.retry), sent: sent}, nil
		}
		if !c.readBack {
			return creation{verdict: granted, sent: sent}, nil
		}
		verdict, version, err := c.look(ctx, path, record, r)
		if err != nil || verdict.Kind != once.KindFree {
			return creation{verdict: verdict, sent: sent}, err
		}
		write.Expect = version
	}
	return creation{verdict: once.Refused(c.retry), sent: sent}, nil
}

// look reads the record back. "Free" comes with the version to replace.
func (c *Claims) look(ctx context.Context, path string, record once.Record, r once.Request) (once.Verdict, platform.Version, error) {
	entry, err := c.store.Get(ctx, path)
	if errors.Is(err, platform.ErrNotFound) {
		return once.Verdict{Kind: once.KindFree}, 0, nil
	}
	if err != nil {
		return once.Refused(c.retry), 0, nil
	}
	stored, err := once.Decode(entry.Value)
	if err != nil {
		return once.Verdict{}, 0, err
	}
	if stored.State == once.StateRunning && stored.Claim != record.Claim {
		stored = c.newer(ctx, path, stored)
	}
	verdict, err := once.Judge(c.now(), record.Claim, r, stored)
	return verdict, entry.Version, err
}

// newer returns the record as its holder knows it. Only an end is news: a claim that
// was given back is free once the store says so.
func (c *Claims) newer(ctx context.Context, path string, stored once.Record) once.Record {
	if record, ok := c.Ended(path, stored.Claim); ok {
		return record
	}
	if c.peers == nil || stored.Holder == "" {
		return stored
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	record, ok := c.peers.Ended(ctx, stored.Holder, path, stored.Claim)
	if !ok || record.Claim != stored.Claim || record.State != once.StateFinished {
		return stored
	}
	return record
}
