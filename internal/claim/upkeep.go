package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// SweepBatch is how many records one commit of a sweep removes.
const SweepBatch = 64

// Settle tries again the ends of claims that the store could not take before, and
// returns how many are left. It stops at the first failure, to spare a store that is down.
func (c *Claims) Settle(ctx context.Context) (int, error) {
	for _, e := range c.unsettled() {
		err := c.settle(ctx, e.path, e.record, 0)
		if err != nil && !errors.Is(err, ErrNotHeld) {
			return c.Pending(), fmt.Errorf("settle claims: %w", err)
		}
		c.settled(e)
	}
	return c.Pending(), nil
}

// Pending returns how many ends of claims wait for the store.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// ending is a record in the state that the store is to hold.
type ending struct {
	path   string
	record once.Record
}

// unsettled returns the ends that wait, by path.
func (c *Claims) unsettled() []ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]ending, 0, len(c.pending))
	for path, record := range c.pending {
		list = append(list, ending{path: path, record: record})
	}
	slices.SortFunc(list, func(a, b ending) int { return strings.Compare(a.path, b.path) })
	return list
}

func (c *Claims) settled(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[e.path].Claim == e.record.Claim {
		delete(c.pending, e.path)
	}
}

// Sweep removes the records of the next shard that have outlived their retention, a
// batch a commit, and returns how many it removed. After once.Shards calls all were
// looked at. One instance at a time should sweep; two do no harm.
func (c *Claims) Sweep(ctx context.Context) (int, error) {
	entries, err := c.store.List(ctx, once.ShardPrefix(c.nextShard()))
	if err != nil {
		return 0, fmt.Errorf("sweep claims: list: %w", err)
	}
	var writes []platform.Write
	for _, e := range entries {
		if c.expired(e) {
			writes = append(writes, platform.Write{Key: e.Key, Expect: e.Version, Delete: true})
		}
	}
	removed := 0
	for batch := range slices.Chunk(writes, SweepBatch) {
		if err := c.store.Commit(ctx, batch...); err != nil {
			return removed, fmt.Errorf("sweep claims: commit: %w", err)
		}
		removed += len(batch)
	}
	return removed, nil
}

func (c *Claims) nextShard() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	shard := c.shard
	c.shard = (c.shard + 1) % once.Shards
	return shard
}

// expired keeps a record that can't be read: it may guard a key.
func (c *Claims) expired(e platform.Entry) bool {
	record, err := once.Decode(e.Value)
	return err == nil && record.Sweepable(c.now(), c.retention)
}
