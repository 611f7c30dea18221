package claim

import (
	"context"
	"errors"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// placed is the layout as last seen in the store.
type placed struct {
	once.Layout
	version platform.Version
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
	if !c.double || l.Previous.Shards == 0 {
		return ""
	}
	return l.Previous.Path(key)
}

// write writes a new record. One that was given back in the part before is removed by
// the same commit.
func (c *Claims) write(ctx context.Context, key once.Key, at place, raw []byte) (platform.Version, error) {
	w := platform.Write{Key: at.layout.Current.Path(key), Value: raw, Expect: at.version}
	if c.guarded {
		w.IfUnchanged = platform.KeyVersion{Key: once.LayoutKey, Version: at.layout.version}
	}
	before := c.before(at.layout, key)
	if at.old != 0 {
		return 0, c.store.Commit(ctx, platform.Write{Key: before, Expect: at.old, Delete: true}, w)
	}
	if before != "" {
		w.IfAbsent = []string{before}
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
	}{{layout.Current.Path(key), &at.version}, {c.before(*layout, key), &at.old}} {
		if part.path == "" {
			continue
		}
		verdict, version, err := c.judge(ctx, part.path, record, r)
		if err != nil || verdict.Kind != once.KindFree {
			return creation{verdict: verdict, path: part.path}, at, err
		}
		*part.version = version
	}
	return creation{verdict: once.Result{Kind: once.KindFree}}, at, nil
}

// refresh reads the layout. It returns nil when the store can't tell.
func (c *Claims) refresh(ctx context.Context) (*placed, error) {
	layout := placed{Layout: once.InitialLayout()}
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
func (c *Claims) judge(ctx context.Context, path string, record once.Record, r once.Request) (once.Result, platform.Version, error) {
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
		stored = c.newer(ctx, path, stored)
	}
	verdict, err := once.Evaluate(c.now(), record.Claim, r, stored)
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
