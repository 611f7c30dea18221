package claim

import (
	"context"
	"errors"
	"fmt"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Finish records the answer of a granted claim. When the store can't take it now,
// it is tried again by Settle, and the error is returned.
func (c *Claims) Finish(ctx context.Context, key once.Key, claim string, a once.Answer) error {
	held, err := c.take(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("finish %s: %w", key.Path(), err)
	}
	return c.end(ctx, key.Path(), held.record.Finish(a), held.version)
}

// Release gives a granted claim back; allowed only before anything was sent to an
// endpoint. The key can then be claimed again.
func (c *Claims) Release(ctx context.Context, key once.Key, claim string) error {
	held, err := c.take(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("release %s: %w", key.Path(), err)
	}
	return c.end(ctx, key.Path(), held.record.Release(), held.version)
}

func (c *Claims) take(path, claim string) (holding, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.held[path]
	if !ok || held.record.Claim != claim {
		return holding{}, ErrNotHeld
	}
	delete(c.held, path)
	return held, nil
}

func (c *Claims) end(ctx context.Context, path string, record once.Record, version platform.Version) error {
	err := c.settle(ctx, path, record, version)
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

// settle brings the stored record to the wanted state. A version that is known spares
// the read before the first write.
func (c *Claims) settle(ctx context.Context, path string, record once.Record, known platform.Version) error {
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	last := platform.ErrUncertain
	for range settleTries {
		version, done, err := known, false, error(nil)
		if version == 0 {
			version, done, err = c.version(ctx, path, record)
		}
		if err != nil || done {
			return err
		}
		known = 0
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
