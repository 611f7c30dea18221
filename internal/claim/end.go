package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// Finish records the answer of a granted claim, immediately or with the next batch. If the
// store does not accept it now, the error is returned and Settle tries again.
func (c *Claims) Finish(ctx context.Context, key once.Key, claim string, a once.Answer) error {
	granted, err := c.takeGranted(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("finish %s: %w", key.Path(), err)
	}
	final := pendingRecord{path: granted.path, record: granted.record.Finish(a), version: granted.version}
	delay := c.batchDelay()
	if delay <= 0 {
		return c.writeFinal(ctx, final)
	}
	if c.addToBatch(final, delay) || !c.flushing.TryLock() {
		return nil
	}
	defer c.flushing.Unlock()
	return c.flush(ctx)
}

// Ended returns the record of a claim that was finished here and is not stored yet.
func (c *Claims) Ended(path, claim string) (once.Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.pending[path]
	return e.record, ok && e.record.Claim == claim && e.record.State == once.StateFinished
}

// addToBatch queues a final record for the next batch. It returns false if the batch is full.
func (c *Claims) addToBatch(e pendingRecord, delay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.flushDue = c.now().Add(delay)
	}
	if len(c.pending) < maxPending {
		c.addPending(e)
	}
	return len(c.pending) < maxBatchRecords && c.pendingSize < maxBatchBytes
}

// addPending queues a final record that is not stored yet, without the body of its answer if
// the queue exceeds maxPendingBytes.
func (c *Claims) addPending(e pendingRecord) {
	if c.pendingSize+e.size() > maxPendingBytes && e.record.Answer != nil {
		answer := *e.record.Answer
		answer.Body, answer.BodyDropped = nil, true
		e.record.Answer = &answer
	}
	c.pendingSize += e.size() - c.pending[e.path].size()
	c.pending[e.path] = e
}

// removePending removes a record that is stored now.
func (c *Claims) removePending(path string) {
	c.pendingSize -= c.pending[path].size()
	delete(c.pending, path)
}

// Release withdraws a granted claim, so that the key can be claimed again. It may be called
// only if nothing was sent to an endpoint.
func (c *Claims) Release(ctx context.Context, key once.Key, claim string) error {
	granted, err := c.takeGranted(key.Path(), claim)
	if err != nil {
		return fmt.Errorf("release %s: %w", key.Path(), err)
	}
	return c.writeFinal(ctx, pendingRecord{path: granted.path, record: granted.record.Release(), version: granted.version})
}

// Abandon drops a granted claim whose outcome is unknown. The stored record stays, so that
// the request never runs again.
func (c *Claims) Abandon(key once.Key, claim string) {
	_, _ = c.takeGranted(key.Path(), claim)
}

func (c *Claims) takeGranted(path, claim string) (grantedClaim, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	granted, ok := c.granted[path]
	if !ok || granted.record.Claim != claim {
		return grantedClaim{}, ErrNotHeld
	}
	delete(c.granted, path)
	return granted, nil
}

func (c *Claims) writeFinal(ctx context.Context, e pendingRecord) error {
	err := c.settle(ctx, e.path, e.record, e.version)
	if err == nil || errors.Is(err, ErrNotHeld) {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) < maxPending {
		e.version = 0
		c.addPending(e)
	}
	return err
}

// settle writes the record with its final state. If the version of the stored record is
// known, the read before the first write is skipped.
func (c *Claims) settle(ctx context.Context, path string, record once.Record, known platform.Version) error {
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	last := platform.ErrUncertain
	for range settleAttempts {
		version, done, err := known, false, error(nil)
		if version == 0 {
			version, done, err = c.storedVersion(ctx, path, record)
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

// storedVersion returns the version of the stored record, and true if the record already has
// the wanted state. A missing record gives version zero: settle then creates it, so that the
// original claim conflicts if its write arrives late.
func (c *Claims) storedVersion(ctx context.Context, path string, record once.Record) (platform.Version, bool, error) {
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
		return 0, record.State == once.StateReleased, notHeldError(path, record)
	}
	return entry.Version, stored.State == record.State, nil
}

func notHeldError(path string, record once.Record) error {
	if record.State == once.StateReleased {
		return nil
	}
	return fmt.Errorf("%s %s: %w", record.State, path, ErrNotHeld)
}
