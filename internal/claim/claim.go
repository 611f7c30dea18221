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

	claimTries   = 4
	settleTries  = 4
	pendingLimit = 1024
)

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

	mu      sync.Mutex
	held    map[string]once.Record
	pending map[string]once.Record
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
		held:      map[string]once.Record{},
		pending:   map[string]once.Record{},
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
	verdict, sent, err := c.create(ctx, key.Path(), record, r)
	if err != nil {
		return once.Verdict{}, fmt.Errorf("claim %s: %w", key.Path(), err)
	}
	c.note(key.Path(), record, verdict, sent)
	return verdict, nil
}

// note remembers a granted claim, or one that may have reached the store although
// it was given up: that one is released later.
func (c *Claims) note(path string, record once.Record, verdict once.Verdict, sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case verdict.Kind == once.KindGranted:
		c.held[path] = record
	case verdict.Kind == once.KindRefused && sent && len(c.pending) < pendingLimit:
		c.pending[path] = record.Release()
	}
}

// create writes the record if absent. Sent says that a write may still take effect.
func (c *Claims) create(ctx context.Context, path string, record once.Record, r once.Request) (once.Verdict, bool, error) {
	raw, err := record.Encode()
	if err != nil {
		return once.Verdict{}, false, err
	}
	write := platform.Write{Key: path, Value: raw}
	sent := false
	for range claimTries {
		_, err := c.writer.Swap(ctx, write)
		switch {
		case err == nil:
			return once.Verdict{Kind: once.KindGranted, Claim: record.Claim}, true, nil
		case errors.Is(err, platform.ErrUncertain):
			sent = true
		case !errors.Is(err, platform.ErrConflict):
			return once.Refused(c.retry), sent, nil
		}
		if !c.readBack {
			return once.Verdict{Kind: once.KindGranted, Claim: record.Claim}, sent, nil
		}
		verdict, version, err := c.look(ctx, path, record, r)
		if err != nil || verdict.Kind != once.KindFree {
			return verdict, sent, err
		}
		write.Expect = version
	}
	return once.Refused(c.retry), sent, nil
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
	verdict, err := once.Judge(c.now(), record.Claim, r, stored)
	return verdict, entry.Version, err
}

// Finish records the answer of a granted claim. When the store can't take it now,
// it is tried again by Settle, and the error is returned.
func (c *Claims) Finish(ctx context.Context, key once.Key, claim string, a once.Answer) error {
	record, err := c.take(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("finish %s: %w", key.Path(), err)
	}
	return c.end(ctx, key.Path(), record.Finish(a))
}

// Release gives a granted claim back; allowed only before anything was sent to an
// endpoint. The key can then be claimed again.
func (c *Claims) Release(ctx context.Context, key once.Key, claim string) error {
	record, err := c.take(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("release %s: %w", key.Path(), err)
	}
	return c.end(ctx, key.Path(), record.Release())
}

func (c *Claims) take(path, claim string) (once.Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	record, ok := c.held[path]
	if !ok || record.Claim != claim {
		return once.Record{}, ErrNotHeld
	}
	delete(c.held, path)
	return record, nil
}

func (c *Claims) end(ctx context.Context, path string, record once.Record) error {
	err := c.settle(ctx, path, record)
	if err == nil || errors.Is(err, ErrNotHeld) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < pendingLimit {
		c.pending[path] = record
	}
	return err
}

// settle brings the stored record to the wanted state.
func (c *Claims) settle(ctx context.Context, path string, record once.Record) error {
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	last := platform.ErrUncertain
	for range settleTries {
		version, done, err := c.version(ctx, path, record)
		if err != nil || done {
			return err
		}
		_, err = c.writer.Swap(ctx, platform.Write{Key: path, Value: raw, Expect: version})
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrUnavailable) {
			return fmt.Errorf("%s %s: %w", record.State, path, err)
		}
		last = err
	}
	return fmt.Errorf("%s %s: %w", record.State, path, last)
}

// version returns the stored version of the own record, or done when the record is
// already as wanted. An absent record is created, so that a late claim finds it.
func (c *Claims) version(ctx context.Context, path string, record once.Record) (platform.Version, bool, error) {
	entry, err := c.store.Get(ctx, path)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, fmt.Errorf("%s %s: %w", record.State, path, err)
	}
	stored, err := once.Decode(entry.Value)
	if err != nil {
		return 0, false, err
	}
	if stored.Claim != record.Claim {
		return 0, record.State == once.StateReleased, notHeld(path, record)
	}
	return entry.Version, stored.State == record.State, nil
}

func notHeld(path string, record once.Record) error {
	if record.State == once.StateReleased {
		return nil
	}
	return fmt.Errorf("%s %s: %w", record.State, path, ErrNotHeld)
}
