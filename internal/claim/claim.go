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

// New returns claims over a store.
func New(store Store, opts ...Option) *Claims {
	c := &Claims{
		store:     store,
		writer:    store,
		now:       time.Now,
		id:        uuid.NewString,
		window:    once.DefaultResendWindow,
		retention: once.DefaultRetention,
		retry:     DefaultRetry,
		readBack:  true,
		gather:    func() time.Duration { return 0 },
		double:    true,
		guarded:   true,
		shards:    func() int { return once.MinShards },
		layout:    placed{Layout: once.InitialLayout()},
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
func (c *Claims) Claim(ctx context.Context, key once.Key, r once.Request) (once.Result, error) {
	if err := key.Validate(); err != nil {
		return once.Result{}, fmt.Errorf("claim: %w", err)
	}
	if key.Expired(c.now(), c.window) {
		return once.Result{Kind: once.KindUnknown}, nil
	}
	record := once.New(c.id(), c.now(), r)
	made, err := c.create(ctx, key, record, r)
	if err != nil {
		return once.Result{}, fmt.Errorf("claim %s: %w", key.Path(), err)
	}
	c.note(key, record, made)
	return made.verdict, nil
}

// creation is what became of writing a new claim.
type creation struct {
	verdict once.Result
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

// create writes the record if the key is free in both parts of the layout. The write
// counts only while that layout is the one in the store.
func (c *Claims) create(ctx context.Context, key once.Key, record once.Record, r once.Request) (creation, error) {
	raw, err := record.Encode()
	if err != nil {
		return creation{}, err
	}
	granted := once.Result{Kind: once.KindGranted, Claim: record.Claim}
	made, at := creation{verdict: granted}, place{layout: c.known()}
	for range claimTries {
		made.path = at.layout.Current.Path(key)
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
