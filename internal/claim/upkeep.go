package claim

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
)

// sweepsPerPartition is the number of sweeps that delete a whole partition.
const sweepsPerPartition = 360

// recordOverheadBytes is the estimated size of a record without the body of its answer.
const recordOverheadBytes = 512

// Settle writes the pending records once their delay is over, including those that the store
// did not accept before. It returns how many are left.
func (c *Claims) Settle(ctx context.Context) (int, error) {
	c.mu.Lock()
	early := c.now().Before(c.flushDue)
	c.mu.Unlock()
	if early {
		return c.Pending(), nil
	}
	err := c.Flush(ctx)
	return c.Pending(), err
}

// Flush writes all pending records, as many in one commit as the store allows. It stops at
// the first failure, to spare a store that is down.
func (c *Claims) Flush(ctx context.Context) error {
	c.flushing.Lock()
	defer c.flushing.Unlock()
	return c.flush(ctx)
}

func (c *Claims) flush(ctx context.Context) error {
	for _, batch := range splitBatches(c.pendingRecords()) {
		if c.commitBatch(ctx, batch) {
			continue
		}
		for _, e := range batch {
			err := c.settle(ctx, e.path, e.record, 0)
			if err != nil && !errors.Is(err, ErrNotHeld) {
				return fmt.Errorf("settle claims: %w", err)
			}
			c.markSettled(e)
		}
	}
	return nil
}

// commitBatch writes a batch of records in one commit and reports whether it succeeded. If
// the version of a stored record is not known, it is read first.
func (c *Claims) commitBatch(ctx context.Context, batch []pendingRecord) bool {
	var writes []platform.Write
	for _, e := range batch {
		raw, err := e.record.Encode()
		if err == nil && e.version == 0 {
			e.version, _, err = c.storedVersion(ctx, e.path, e.record)
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
		c.markSettled(e)
	}
	return true
}

// splitBatches splits records into batches that fit into one commit each.
func splitBatches(records []pendingRecord) [][]pendingRecord {
	var list [][]pendingRecord
	size := 0
	for _, e := range records {
		last := len(list) - 1
		if last < 0 || len(list[last]) == maxBatchRecords || size+e.size() > maxBatchBytes {
			list, size = append(list, nil), 0
			last++
		}
		list[last] = append(list[last], e)
		size += e.size()
	}
	return list
}

// Pending returns how many final records are not stored yet.
func (c *Claims) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.pending)
}

// pendingRecord is a record with its final state that is to be written to the store.
type pendingRecord struct {
	path    string
	record  once.Record
	version platform.Version // of the record that it replaces, zero if not known
}

// size returns the approximate size of the record in bytes.
func (p pendingRecord) size() int {
	if p.path == "" {
		return 0
	}
	size := recordOverheadBytes + len(p.path)
	if p.record.Answer != nil {
		size += len(p.record.Answer.Body)
	}
	return size
}

// pendingRecords returns the pending records, sorted by path.
func (c *Claims) pendingRecords() []pendingRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]pendingRecord, 0, len(c.pending))
	for _, e := range c.pending {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b pendingRecord) int { return strings.Compare(a.path, b.path) })
	return list
}

func (c *Claims) markSettled(e pendingRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[e.path].record.Claim == e.record.Claim {
		c.removePending(e.path)
	}
}

// sweepProgress is the progress of deleting an expired partition.
type sweepProgress struct {
	partition once.Partition
	nextShard int
}

// Sweep deletes the next shards of the expired partition, each by one delete of its key
// prefix, and starts a new period once the current one is over. It returns how many shards it
// deleted. A partition takes sweepsPerPartition calls, and the period doesn't end before all
// its shards are deleted. One instance at a time should sweep, but concurrent sweeps are safe.
func (c *Claims) Sweep(ctx context.Context) (int, error) {
	layout, err := c.refreshLayout(ctx)
	if err != nil || layout == nil {
		return 0, cmp.Or(err, fmt.Errorf("sweep claims: layout: %w", platform.ErrUnavailable))
	}
	first, last := c.shardsToSweep(layout.Expired)
	for shard := first; shard < last; shard++ {
		write := platform.Write{Key: layout.Expired.ShardPrefix(shard), DeleteTree: true, IfUnchanged: layout.seen()}
		if err := c.store.Commit(ctx, write); err != nil {
			return shard - first, fmt.Errorf("sweep claims: shard %d: %w", shard, err)
		}
		c.recordSwept(shard + 1)
	}
	if last >= layout.Expired.Shards && layout.PeriodEnded(c.now(), c.retention) {
		err = c.beginPeriod(ctx, *layout)
	}
	return last - first, err
}

func (s storedLayout) seen() platform.KeyVersion {
	return platform.KeyVersion{Key: once.LayoutKey, Version: s.version}
}

// shardsToSweep returns the range of shards that the next sweep deletes.
func (c *Claims) shardsToSweep(expired once.Partition) (first, last int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sweep.partition != expired {
		c.sweep = sweepProgress{partition: expired}
	}
	perSweep := (expired.Shards + sweepsPerPartition - 1) / sweepsPerPartition
	return c.sweep.nextShard, min(c.sweep.nextShard+perSweep, expired.Shards)
}

func (c *Claims) recordSwept(next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep.nextShard = next
}

// beginPeriod starts the next period, with the number of shards that the fleet needs now.
// From then on the store rejects claims written with the old layout, and their instances
// read the layout again.
func (c *Claims) beginPeriod(ctx context.Context, l storedLayout) error {
	next := l.Next(c.now(), c.shards())
	raw, err := next.Encode()
	if err != nil {
		return err
	}
	version, err := c.store.Swap(ctx, platform.Write{Key: once.LayoutKey, Value: raw, Expect: l.version})
	if err != nil {
		return fmt.Errorf("begin period %d of claims: %w", next.Current.Period, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.layout = storedLayout{Layout: next, version: version}
	return nil
}
