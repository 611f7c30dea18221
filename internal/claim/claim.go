// Package claim keeps claims of requests that run at most once in the platform's store.
package claim

import (
	"cmp"
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
	// endLimit is how many ends one commit takes.
	endLimit = 64
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
	double    bool
	guarded   bool
	shards    func() int
	gather    func() time.Duration
	peers     Peers

	// flushing is held while ends are written, so that none is written twice.
	flushing sync.Mutex

	mu      sync.Mutex
	held    map[string]holding
	pending map[string]ending
	size    int       // bytes of the records that wait
	due     time.Time // when they are to be written
	layout  placed
	sweep   progress
}

// placed is the layout as last seen in the store.
type placed struct {
	once.Layout
	version platform.Version
}

// holding is a granted claim with the version that its record got, zero when it came
// out of a commit or was read back.
type holding struct {
	path    string
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

// WithShards sets how many shards the next period gets.
func WithShards(shards func() int) Option {
	return func(c *Claims) { c.shards = shards }
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
		double:    true,
		guarded:   true,
		shards:    func() int { return once.Shards },
		layout:    placed{Layout: once.First()},
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
	made, err := c.create(ctx, key, record, r)
	if err != nil {
		return once.Verdict{}, fmt.Errorf("claim %s: %w", key.Path(), err)
	}
	c.note(key, record, made)
	return made.verdict, nil
}

// creation is what became of writing a new claim.
type creation struct {
	verdict once.Verdict
	path    string
	version platform.Version
	// sent says that a write may still take effect.
	sent bool
}

// note remembers a granted claim, or one that may have reached the store although
// it was given up: that one is released later.
func (c *Claims) note(key once.Key, record once.Record, made creation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case made.verdict.Kind == once.KindGranted:
		c.held[key.Path()] = holding{path: made.path, record: record, version: made.version}
	case made.verdict.Kind == once.KindRefused && made.sent && len(c.pending) < pendingLimit:
		c.keep(ending{path: made.path, record: record.Release()})
	}
}

// place is where a key's record is to be written, as last looked at.
type place struct {
	layout placed
	// version is that of the record to replace in the present part, old that of the one
	// to remove from the part before it; zero when there is none.
	version platform.Version
	old     platform.Version
}

// known is the layout as last seen.
func (c *Claims) known() placed {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.layout
}

// before is the key's path in the part before the present one, empty if there is none.
func (c *Claims) before(l placed, key once.Key) string {
	if !c.double || l.Before.Shards == 0 {
		return ""
	}
	return l.Before.Path(key)
}

// create writes the record if the key is free in both parts of the layout. The write
// counts only while that layout is the one in the store.
func (c *Claims) create(ctx context.Context, key once.Key, record once.Record, r once.Request) (creation, error) {
	raw, err := record.Encode()
	if err != nil {
		return creation{}, err
	}
	granted := once.Verdict{Kind: once.KindGranted, Claim: record.Claim}
	made, at := creation{verdict: granted}, place{layout: c.known()}
	for range claimTries {
		made.path = at.layout.Present.Path(key)
		made.version, err = c.write(ctx, key, at, raw)
		switch {
		case err == nil:
			return made, nil
		case errors.Is(err, platform.ErrUncertain):
			made.sent = true
		case !errors.Is(err, platform.ErrConflict):
			made.verdict = once.Refused(c.retry)
			return made, nil
		}
		if !c.readBack {
			return made, nil
		}
		var found creation
		found, at, err = c.look(ctx, key, record, r)
		if err != nil || found.verdict.Kind != once.KindFree {
			found.sent = made.sent
			found.path = cmp.Or(found.path, made.path)
			return found, err
		}
	}
	made.verdict = once.Refused(c.retry)
	return made, nil
}

// write writes a new record. One that was given back in the part before is removed by
// the same commit.
func (c *Claims) write(ctx context.Context, key once.Key, at place, raw []byte) (platform.Version, error) {
	w := platform.Write{Key: at.layout.Present.Path(key), Value: raw, Expect: at.version}
	if c.guarded {
		w.While = platform.Seen{Key: once.LayoutKey, Version: at.layout.version}
	}
	before := c.before(at.layout, key)
	if at.old != 0 {
		return 0, c.store.Commit(ctx, platform.Write{Key: before, Expect: at.old, Delete: true}, w)
	}
	if before != "" {
		w.Unless = []string{before}
	}
	return c.writer.Swap(ctx, w)
}

// look reads the layout and the key's records back. "Free" comes with the place to write to.
func (c *Claims) look(ctx context.Context, key once.Key, record once.Record, r once.Request) (creation, place, error) {
	refused := creation{verdict: once.Refused(c.retry)}
	layout, err := c.refresh(ctx)
	if err != nil {
		return refused, place{}, err
	}
	if layout == nil {
		return refused, place{}, nil
	}
	at := place{layout: *layout}
	for _, part := range []struct {
		path    string
		version *platform.Version
	}{{layout.Present.Path(key), &at.version}, {c.before(*layout, key), &at.old}} {
		if part.path == "" {
			continue
		}
		verdict, version, err := c.judge(ctx, part.path, record, r)
		if err != nil || verdict.Kind != once.KindFree {
			return creation{verdict: verdict, path: part.path}, at, err
		}
		*part.version = version
	}
	return creation{verdict: once.Verdict{Kind: once.KindFree}}, at, nil
}

// refresh reads the layout. It returns nil when the store can't tell.
func (c *Claims) refresh(ctx context.Context) (*placed, error) {
	layout := placed{Layout: once.First()}
	entry, err := c.store.Get(ctx, once.LayoutKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return nil, nil //nolint:nilerr // the caller is told to come back
	default:
		if layout.Layout, err = once.DecodeLayout(entry.Value); err != nil {
			return nil, err
		}
		layout.version = entry.Version
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = layout
	return &layout, nil
}

// judge reads one record and tells what it means for the claimant.
func (c *Claims) judge(ctx context.Context, path string, record once.Record, r once.Request) (once.Verdict, platform.Version, error) {
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
