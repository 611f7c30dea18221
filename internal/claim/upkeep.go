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

// sweepCalls is how many sweeps remove a whole part.
const sweepCalls = 360

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
		if last < 0 || len(list[last]) == endLimit || size+e.size() > gatherBytes {
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

// progress is how far the sweep of a past part has come.
type progress struct {
	part once.Partition
	next int // the shard swept next
}

// Sweep begins a new period once the present one is over, and removes the next shards
// of the part that is looked at no more, each by one call that names only its prefix.
// It returns how many shards it removed. sweepCalls calls remove a whole part, and a
// period doesn't end before. One instance at a time should sweep; two do no harm.
func (c *Claims) Sweep(ctx context.Context) (int, error) {
	layout, err := c.refresh(ctx)
	if err != nil || layout == nil {
		return 0, cmp.Or(err, fmt.Errorf("sweep claims: layout: %w", platform.ErrUnavailable))
	}
	first, last := c.portion(layout.Expired)
	for shard := first; shard < last; shard++ {
		write := platform.Write{Key: layout.Expired.ShardPrefix(shard), DeleteTree: true, IfUnchanged: layout.seen()}
		if err := c.store.Commit(ctx, write); err != nil {
			return shard - first, fmt.Errorf("sweep claims: shard %d: %w", shard, err)
		}
		c.swept(shard + 1)
	}
	if last >= layout.Expired.Shards && layout.PeriodEnded(c.now(), c.retention) {
		err = c.advance(ctx, *layout)
	}
	return last - first, err
}

func (p placed) seen() platform.KeyVersion {
	return platform.KeyVersion{Key: once.LayoutKey, Version: p.version}
}

// portion returns which shards the next sweep removes.
func (c *Claims) portion(past once.Partition) (first, last int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sweep.part != past {
		c.sweep = progress{part: past}
	}
	each := (past.Shards + sweepCalls - 1) / sweepCalls
	return c.sweep.next, min(c.sweep.next+each, past.Shards)
}

func (c *Claims) swept(next int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep.next = next
}

// advance begins the next period, with as many shards as the fleet needs now. Claims
// that go by the old layout are refused by the store from then on, and look again.
func (c *Claims) advance(ctx context.Context, l placed) error {
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
	c.layout = placed{Layout: next, version: version}
	return nil
}
