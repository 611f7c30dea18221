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

// recordBytes is what a record takes without its answer's body.
const recordBytes = 512

// Settle writes the ends of claims that wait, once they have waited long enough, and
// those that the store could not take before. It returns how many are left.
func (c *Claims) Settle(ctx context.Context) (int, error) {
	c.mu.Lock()
	early := c.now().Before(c.due)
	c.mu.Unlock()
	if early {
		return c.Pending(), nil
	}
	err := c.Flush(ctx)
	return c.Pending(), err
}

// Flush writes all ends that wait, as many in one call as it takes. It stops at the
// first failure, to spare a store that is down.
func (c *Claims) Flush(ctx context.Context) error {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	return c.flush(ctx)
}

func (c *Claims) flush(ctx context.Context) error {
	for _, batch := range batches(c.unsettled()) {
		if c.together(ctx, batch) {
			continue
		}
		for _, e := range batch {
			err := c.settle(ctx, e.path, e.record, 0)
			if err != nil && !errors.Is(err, ErrNotHeld) {
				return fmt.Errorf("settle claims: %w", err)
			}
			c.settled(e)
		}
	}
	return nil
}

// together writes a batch of ends in one call and reports whether the store took it.
// An end whose version is not known is read first.
func (c *Claims) together(ctx context.Context, batch []ending) bool {
	var writes []platform.Write
	for _, e := range batch {
		raw, err := e.record.Encode()
		if err == nil && e.version == 0 {
			e.version, _, err = c.version(ctx, e.path, e.record)
		}
		if err != nil || e.version == 0 {
			return false
		}
		writes = append(writes, platform.Write{Key: e.path, Value: raw, Expect: e.version})
	}
	if len(writes) < 2 || c.store.Commit(ctx, writes...) != nil {
		return false
	}
	for _, e := range batch {
		c.settled(e)
	}
	return true
}

// batches splits ends so that each part fits into one commit.
func batches(ends []ending) [][]ending {
	var list [][]ending
	size := 0
	for _, e := range ends {
		last := len(list) - 1
		if last < 0 || len(list[last]) == groupLimit || size+e.size() > gatherBytes {
			list, size = append(list, nil), 0
			last++
		}
		list[last] = append(list[last], e)
		size += e.size()
	}
	return list
}

// Pending returns how many ends of claims wait for the store.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// ending is a record in the state that the store is to hold.
type ending struct {
	path    string
	record  once.Record
	version platform.Version // of the record that it replaces, zero when not known
}

// size is about how many bytes the record takes.
func (e ending) size() int {
	if e.path == "" {
		return 0
	}
	size := recordBytes + len(e.path)
	if e.record.Answer != nil {
		size += len(e.record.Answer.Body)
	}
	return size
}

// unsettled returns the ends that wait, by path.
func (c *Claims) unsettled() []ending {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]ending, 0, len(c.pending))
	for _, e := range c.pending {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b ending) int { return strings.Compare(a.path, b.path) })
	return list
}

func (c *Claims) settled(e ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[e.path].record.Claim == e.record.Claim {
		c.drop(e.path)
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
