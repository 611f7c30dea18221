// Package claim stores claims in the platform's key-value store, so that a request with an
// idempotency key runs at most once in the whole fleet.
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

// ErrNotHeld is returned if the claim is not held here or the stored record belongs to
// another claim.
var ErrNotHeld = errors.New("claim not held")

// Store is the subset of platform.Store that claims use.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	List(ctx context.Context, prefix string) ([]platform.Entry, error)
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Commit(ctx context.Context, writes ...platform.Write) error
}

// Defaults and limits.
const (
	// DefaultRetryAfter is the delay after which a refused caller may try again.
	DefaultRetryAfter = 2 * time.Second
	// DefaultBatchDelay is how long final records wait for the next batch.
	DefaultBatchDelay = 10 * time.Second

	claimAttempts  = 4
	settleAttempts = 4
	maxPending     = 1024
	// maxPendingBytes bounds the pending records while the store is down; beyond it, records
	// are kept without the bodies of their answers.
	maxPendingBytes = 4 << 20
	// peerTimeout bounds the request that asks a holder whether its claim has finished.
	peerTimeout = 500 * time.Millisecond
	// maxBatchRecords is the largest number of final records in one commit.
	maxBatchRecords = 64
	// maxBatchBytes bounds the records of one commit and those that wait for it. It is half
	// of what Consul accepts, since values are sent in base64.
	maxBatchBytes = 256 << 10
)

// Peers asks other instances about the claims they hold.
type Peers interface {
	// Ended returns the record of a claim that its holder has finished but may not have
	// written to the store yet.
	Ended(ctx context.Context, holder, path, claim string) (once.Record, bool)
}

// Claims creates, finishes and garbage-collects claims. It is safe for concurrent use.
type Claims struct {
	store         Store
	writer        recordWriter
	now           func() time.Time
	newID         func() string
	window        time.Duration
	retention     time.Duration
	retryAfter    time.Duration
	readBack      bool
	checkPrevious bool
	checkLayout   bool
	shards        func() int
	batchDelay    func() time.Duration
	peers         Peers

	// flushing is held while final records are written, so that none is written twice.
	flushing sync.Mutex

	mu          sync.Mutex
	granted     map[string]grantedClaim
	pending     map[string]pendingRecord
	pendingSize int       // bytes of the pending records
	flushDue    time.Time // when the pending records are to be written
	layout      storedLayout
	sweep       sweepProgress
}

// grantedClaim is a claim that was granted here. The version of its record is zero if the
// record was written in a multi-key commit or confirmed by a read.
type grantedClaim struct {
	path    string
	record  once.Record
	version platform.Version
}

// recordWriter writes one record.
type recordWriter interface {
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
}

// New returns a Claims that keeps its records in a store.
func New(store Store, opts ...Option) *Claims {
	c := &Claims{
		store:         store,
		writer:        store,
		now:           time.Now,
		newID:         uuid.NewString,
		window:        once.DefaultResendWindow,
		retention:     once.DefaultRetention,
		retryAfter:    DefaultRetryAfter,
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

// Claim tries to claim the key of a request that may run only once. A granted claim must be
// ended by Finish, or by Release if nothing was sent to an endpoint; else the key stays
// claimed and the request never runs again.
//
// An error means that the key can't be used (once.ErrReused, once.ErrKey). If the store is
// down, the result is once.KindRefused: the request was not run.
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

// claimAttempt is the result of an attempt to write a new claim.
type claimAttempt struct {
	result  once.Result
	path    string
	version platform.Version
	// mayBeStored is set if a write without a reply may still take effect.
	mayBeStored bool
}

// recordOutcome keeps a granted claim until it ends. A refused claim that may have reached
// the store is queued for release.
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

// create writes the record if the key is free in both the current and the previous
// partition. The store rejects the write if the layout has changed meanwhile.
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
			attempt.result = once.Refused(c.retryAfter)
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
	attempt.result = once.Refused(c.retryAfter)
	return attempt, nil
}
