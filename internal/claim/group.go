package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveramp/chiveramp/internal/platform"
)

const (
	// maxGroupWrites is the largest number of claims in one commit: one write and one check
	// for each, plus the check of the layout, are 63 of the 64 operations that Consul allows.
	maxGroupWrites = 31
	groupTimeout   = 5 * time.Second
)

// groupStore writes one record, or several atomically.
type groupStore interface {
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Commit(ctx context.Context, writes ...platform.Write) error
}

// groupWriter implements group commit: writes that arrive during a commit are combined into
// the next one. It adds no delay of its own: a single write is sent immediately.
type groupWriter struct {
	store  groupStore
	shards []*shard
}

type shard struct {
	mu    sync.Mutex
	busy  bool
	queue []*queuedWrite
}

// queuedWrite is a write that waits for a commit. Its channel receives the result, and maybe
// before that the lead, which obliges the caller to commit the next batch.
type queuedWrite struct {
	write platform.Write
	done  chan writeResult
}

type writeResult struct {
	version platform.Version
	err     error
	lead    bool
}

func newGroupWriter(store groupStore, shards int) *groupWriter {
	g := &groupWriter{store: store}
	for range max(1, shards) {
		g.shards = append(g.shards, &shard{})
	}
	return g
}

// Swap writes one record, together with others if there are any. The returned version is
// zero if the record was written in a multi-key commit.
func (g *groupWriter) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	s := g.shards[xxhash.Sum64String(w.Key)%uint64(len(g.shards))]
	t := &queuedWrite{write: w, done: make(chan writeResult, 1)}
	if !s.enqueueOrLead(t) {
		r, waiting := s.await(ctx, t)
		if !waiting {
			return 0, platform.ErrUnavailable
		}
		if !r.lead {
			return r.version, r.err
		}
	}
	batch := s.nextBatch(t)
	g.commit(ctx, batch)
	s.passLead()
	r := <-t.done
	return r.version, r.err
}

// commit writes a batch and sends each write its result. A single write uses the context of
// its caller. If a batch has a conflict, nothing of it is written, and its halves are
// committed separately.
func (g *groupWriter) commit(ctx context.Context, batch []*queuedWrite) {
	if len(batch) == 1 {
		version, err := g.store.Swap(ctx, batch[0].write)
		batch[0].done <- writeResult{version: version, err: err}
		return
	}
	err := g.commitAll(ctx, batch)
	if errors.Is(err, platform.ErrConflict) {
		ctx = context.WithoutCancel(ctx)
		g.commit(ctx, batch[:len(batch)/2])
		g.commit(ctx, batch[len(batch)/2:])
		return
	}
	for _, t := range batch {
		t.done <- writeResult{err: err}
	}
}

func (g *groupWriter) commitAll(ctx context.Context, batch []*queuedWrite) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), groupTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(batch))
	for _, t := range batch {
		writes = append(writes, t.write)
	}
	return g.store.Commit(ctx, writes...)
}

// await waits for the result or the lead. It returns false if the caller cancelled before
// the write became part of a batch, so that nothing was written.
func (s *shard) await(ctx context.Context, t *queuedWrite) (writeResult, bool) {
	select {
	case r := <-t.done:
		return r, true
	case <-ctx.Done():
	}
	if s.withdraw(t) {
		return writeResult{}, false
	}
	return <-t.done, true
}

// enqueueOrLead returns true if no commit is in progress and the write leads the next one;
// else it queues the write.
func (s *shard) enqueueOrLead(t *queuedWrite) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy {
		s.busy = true
		return true
	}
	s.queue = append(s.queue, t)
	return false
}

// withdraw removes a write from the queue. It returns false if a batch already has it.
func (s *shard) withdraw(t *queuedWrite) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.queue {
		if w == t {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return true
		}
	}
	return false
}

// nextBatch takes the leader's write and queued ones off the queue, each key only once.
func (s *shard) nextBatch(lead *queuedWrite) []*queuedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := []*queuedWrite{lead}
	keys := map[string]bool{lead.write.Key: true}
	var rest []*queuedWrite
	for _, t := range s.queue {
		if len(batch) == maxGroupWrites || keys[t.write.Key] {
			rest = append(rest, t)
			continue
		}
		keys[t.write.Key] = true
		batch = append(batch, t)
	}
	s.queue = rest
	return batch
}

// passLead makes the next queued write the leader.
func (s *shard) passLead() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.busy = false
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next.done <- writeResult{lead: true}
}
