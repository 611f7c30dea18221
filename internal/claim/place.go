package claim

import (
	"context"
	"errors"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// storedLayout is the layout as last seen in the store.
type storedLayout struct {
	once.Layout
	version platform.Version
}

// writeTarget is where a key's record is to be written, as last looked at.
type writeTarget struct {
	layout storedLayout
	// version is that of the record to replace in the present part, old that of the one
	// to remove from the part before it; zero when there is none.
	version         platform.Version
	previousVersion platform.Version
}

// cachedLayout is the layout as last seen.
func (c *Claims) cachedLayout() storedLayout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.layout
}

// previousPath is the key's path in the part before the present one, empty if there is none.
func (c *Claims) previousPath(l storedLayout, key once.Key) string {
	if !c.checkPrevious || l.Previous.Shards == 0 {
		return ""
	}
	return l.Previous.Path(key)
}

// writeClaim writes a new record. One that was given back in the part before is removed by
// the same commit.
func (c *Claims) writeClaim(ctx context.Context, key once.Key, target writeTarget, raw []byte) (platform.Version, error) {
	w := platform.Write{Key: target.layout.Current.Path(key), Value: raw, Expect: target.version}
	if c.checkLayout {
		w.While = platform.Seen{Key: once.LayoutKey, Version: target.layout.version}
	}
	previous := c.previousPath(target.layout, key)
	if target.previousVersion != 0 {
		return 0, c.store.Commit(ctx, platform.Write{Key: previous, Expect: target.previousVersion, Delete: true}, w)
	}
	if previous != "" {
		w.Unless = []string{previous}
	}
	return c.writer.Swap(ctx, w)
}

// lookup reads the layout and the key's records back. "Free" comes with the place to write to.
func (c *Claims) lookup(ctx context.Context, key once.Key, record once.Record, r once.Request) (claimAttempt, writeTarget, error) {
	refused := claimAttempt{result: once.Refused(c.retry)}
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

// refreshLayout reads the layout. It returns nil when the store can't tell.
func (c *Claims) refreshLayout(ctx context.Context) (*storedLayout, error) {
	layout := storedLayout{Layout: once.InitialLayout()}
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

// evaluateStored reads one record and tells what it means for the claimant.
func (c *Claims) evaluateStored(ctx context.Context, path string, record once.Record, r once.Request) (once.Result, platform.Version, error) {
	entry, err := c.store.Get(ctx, path)
	if errors.Is(err, platform.ErrNotFound) {
		return once.Result{Kind: once.KindFree}, 0, nil
	}
	if err != nil {
		return once.Refused(c.retry), 0, nil
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

// askHolder returns the record as its holder knows it. Only an end is news: a claim that
// was given back is free once the store says so.
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
