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
	// DefaultBatchDelay is how long ends wait for the next batch.
	DefaultBatchDelay = 10 * time.Second

	claimAttempts  = 4
	settleAttempts = 4
	maxPending     = 1024
	// maxPendingBytes is how much of records waits while the store is down.
	maxPendingBytes = 4 << 20
	// peerTimeout is how long a holder may take to tell of an end.
	peerTimeout = 500 * time.Millisecond
	// maxBatchRecords is how many ends one commit takes.
	maxBatchRecords = 64
	// maxBatchBytes is how much of records waits for the next batch, and how much one
	// commit takes: half of what Consul accepts, since values are sent in base64.
	maxBatchBytes = 256 << 10
)

// Peers asks other instances about claims that they hold.
type Peers interface {
	// Ended returns the record of a claim that has ended at its holder and that the
	// store may not have yet.
	Ended(ctx context.Context, holder, path, claim string) (once.Record, bool)
}

// Claims makes, finishes and sweeps claims. It is safe for concurrent use.
type Claims struct {
	store         Store
	writer        recordWriter
	now           func() time.Time
	newID         func() string
	window        time.Duration
	retention     time.Duration
	retry         time.Duration
	readBack      bool
	checkPrevious bool
	checkLayout   bool
	shards        func() int
	batchDelay    func() time.Duration
	peers         Peers

	// flushing is held while ends are written, so that none is written twice.
	flushing sync.Mutex

	mu          sync.Mutex
	granted     map[string]grantedClaim
	pending     map[string]pendingRecord
	pendingSize int       // bytes of the records that wait
	flushDue    time.Time // when they are to be written
	layout      storedLayout
	sweep       sweepProgress
}

// grantedClaim is a granted claim with the version that its record got, zero when it came
// out of a commit or was read back.
type grantedClaim struct {
	path    string
	record  once.Record
	version platform.Version
}

// recordWriter writes one record.
type recordWriter interface {
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
}

// New returns claims over a store.
func New(store Store, opts ...Option) *Claims {
	c := &Claims{
		store:         store,
		writer:        store,
		now:           time.Now,
		newID:         uuid.NewString,
		window:        once.DefaultResendWindow,
		retention:     once.DefaultRetention,
		retry:         DefaultRetry,
		readBack:      true,
		batchDelay:    func() time.Duration { return 0 },
		checkPrevious: true,
		checkLayout:   true,
		shards:        func() int { return once.MinShards },
		layout:        storedLayout{Layout: once.InitialLayout()},
		granted:       map[string]grantedClaim{},
		pending:       map[string]pendingRecord{},
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
	record := once.New(c.newID(), c.now(), r)
	attempt, err := c.create(ctx, key, record, r)
	if err != nil {
		return once.Result{}, fmt.Errorf("claim %s: %w", key.Path(), err)
	}
	c.recordOutcome(key, record, attempt)
	return attempt.result, nil
}

// claimAttempt is what became of writing a new claim.
type claimAttempt struct {
	result  once.Result
	path    string
	version platform.Version
	// mayBeStored says that a write may still take effect.
	mayBeStored bool
}

// recordOutcome remembers a granted claim, or one that may have reached the store although
// it was given up: that one is released later.
func (c *Claims) recordOutcome(key once.Key, record once.Record, attempt claimAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case attempt.result.Kind == once.KindGranted:
		c.granted[key.Path()] = grantedClaim{path: attempt.path, record: record, version: attempt.version}
	case attempt.result.Kind == once.KindRefused && attempt.mayBeStored && len(c.pending) < maxPending:
		c.addPending(pendingRecord{path: attempt.path, record: record.Release()})
	}
}

// create writes the record if the key is free in both parts of the layout. The write
// counts only while that layout is the one in the store.
func (c *Claims) create(ctx context.Context, key once.Key, record once.Record, r once.Request) (claimAttempt, error) {
	raw, err := record.Encode()
	if err != nil {
		return claimAttempt{}, err
	}
	granted := once.Result{Kind: once.KindGranted, Claim: record.Claim}
	attempt, target := claimAttempt{result: granted}, writeTarget{layout: c.cachedLayout()}
	for range claimAttempts {
		attempt.path = target.layout.Current.Path(key)
		attempt.version, err = c.writeClaim(ctx, key, target, raw)
		switch {
		case err == nil:
			return attempt, nil
		case errors.Is(err, platform.ErrUncertain):
			attempt.mayBeStored = true
		case !errors.Is(err, platform.ErrConflict):
			attempt.result = once.Refused(c.retry)
			return attempt, nil
		}
		if !c.readBack {
			return attempt, nil
		}
		var found claimAttempt
		found, target, err = c.lookup(ctx, key, record, r)
		if err != nil || found.result.Kind != once.KindFree {
			found.mayBeStored = attempt.mayBeStored
			found.path = cmp.Or(found.path, attempt.path)
			return found, err
		}
	}
	attempt.result = once.Refused(c.retry)
	return attempt, nil
}
