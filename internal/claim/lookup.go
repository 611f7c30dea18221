package claim

import (
	"context"
	"errors"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// storedLayout is the layout last read from the store, with its version.
type storedLayout struct {
	once.Layout
	version platform.Version
}

// writeTarget is where the record of a key is to be written, as of the last read.
type writeTarget struct {
	layout storedLayout
	// version is that of the record to replace in the current partition, previousVersion
	// that of the record to delete from the previous one; zero if there is none.
	version         platform.Version
	previousVersion platform.Version
}

// cachedLayout returns the layout last read.
func (c *Claims) cachedLayout() storedLayout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.layout
}

// previousPath returns the path of the key in the previous partition, empty if there is no
// such partition.
func (c *Claims) previousPath(l storedLayout, key once.Key) string {
	if !c.checkPrevious || l.Previous.Shards == 0 {
		return ""
	}
	return l.Previous.Path(key)
}

// writeClaim writes a new record. A released record of the same key in the previous partition
// is deleted in the same commit.
func (c *Claims) writeClaim(ctx context.Context, key once.Key, target writeTarget, raw []byte) (platform.Version, error) {
	w := platform.Write{Key: target.layout.Current.Path(key), Value: raw, Expect: target.version}
	if c.checkLayout {
		w.IfUnchanged = platform.KeyVersion{Key: once.LayoutKey, Version: target.layout.version}
	}
	previous := c.previousPath(target.layout, key)
	if target.previousVersion != 0 {
		return 0, c.store.Commit(ctx, platform.Write{Key: previous, Expect: target.previousVersion, Delete: true}, w)
	}
	if previous != "" {
		w.IfAbsent = []string{previous}
	}
	return c.writer.Swap(ctx, w)
}

// lookup reads the layout and the records of the key. If the result is once.KindFree, the
// returned target is where to write the claim.
func (c *Claims) lookup(ctx context.Context, key once.Key, record once.Record, r once.Request) (claimAttempt, writeTarget, error) {
	refused := claimAttempt{result: once.Refused(c.retryAfter)}
	layout, err := c.refreshLayout(ctx)
	if err != nil {
		return refused, writeTarget{}, err
	}
	if layout == nil {
		return refused, writeTarget{}, nil
	}
	target := writeTarget{layout: *layout}
	for _, location := range []struct {
		path    string
		version *platform.Version
	}{{layout.Current.Path(key), &target.version}, {c.previousPath(*layout, key), &target.previousVersion}} {
		if location.path == "" {
			continue
		}
		result, version, err := c.evaluateStored(ctx, location.path, record, r)
		if err != nil || result.Kind != once.KindFree {
			return claimAttempt{result: result, path: location.path}, target, err
		}
		*location.version = version
	}
	return claimAttempt{result: once.Result{Kind: once.KindFree}}, target, nil
}

// refreshLayout reads the layout. It returns nil if the store is not available.
func (c *Claims) refreshLayout(ctx context.Context) (*storedLayout, error) {
	layout := storedLayout{Layout: once.InitialLayout()}
	entry, err := c.store.Get(ctx, once.LayoutKey)
	switch {
	case errors.Is(err, platform.ErrNotFound):
	case err != nil:
		return nil, nil //nolint:nilerr // the claim is refused with a retry delay
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

// evaluateStored reads one record and returns what it means for the new claim.
func (c *Claims) evaluateStored(ctx context.Context, path string, record once.Record, r once.Request) (once.Result, platform.Version, error) {
	entry, err := c.store.Get(ctx, path)
	if errors.Is(err, platform.ErrNotFound) {
		return once.Result{Kind: once.KindFree}, 0, nil
	}
	if err != nil {
		return once.Refused(c.retryAfter), 0, nil
	}
	stored, err := once.Decode(entry.Value)
	if err != nil {
		return once.Result{}, 0, err
	}
	if stored.State == once.StateRunning && stored.Claim != record.Claim {
		stored = c.askHolder(ctx, path, stored)
	}
	result, err := once.Evaluate(c.now(), record.Claim, r, stored)
	return result, entry.Version, err
}

// askHolder returns the record as its holder has it, if the claim has finished there. A
// release counts only once the store has it.
func (c *Claims) askHolder(ctx context.Context, path string, stored once.Record) once.Record {
	if record, ok := c.Ended(path, stored.Claim); ok {
		return record
	}
	if c.peers == nil || stored.Holder == "" {
		return stored
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	record, ok := c.peers.Ended(ctx, stored.Holder, path, stored.Claim)
	if !ok || record.Claim != stored.Claim || record.State != once.StateFinished {
		return stored
	}
	return record
}
