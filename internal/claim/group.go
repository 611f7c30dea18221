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
	// groupLimit is how many claims one commit takes: with a check of each and one of
	// the layout they are 63 operations of the 64 that Consul takes.
	groupLimit   = 31
	groupTimeout = 5 * time.Second
)

// committer writes one record or many at once.
type committer interface {
	Swap(ctx context.Context, w platform.Write) (platform.Version, error)
	Commit(ctx context.Context, writes ...platform.Write) error
}

// group joins writes that come while a commit is under way into the next commit.
// It adds no wait of its own: a lone write goes out at once.
type group struct {
	store  committer
	shards []*shard
}

type shard struct {
	mu      sync.Mutex
	busy    bool
	waiting []*ticket
}

// ticket is one write that waits for its turn. It receives a result, before it perhaps
// the lead: the duty to commit the next batch.
type ticket struct {
	write platform.Write
	done  chan result
}

type result struct {
	version platform.Version
	err     error
	lead    bool
}

func newGroup(store committer, shards int) *group {
	g := &group{store: store}
	for range max(1, shards) {
		g.shards = append(g.shards, &shard{})
	}
	return g
}

// Swap writes one record together with others. The returned version is zero when
// the write went out in a commit.
func (g *group) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	s := g.shards[xxhash.Sum64String(w.Key)%uint64(len(g.shards))]
	t := &ticket{write: w, done: make(chan result, 1)}
	if !s.join(t) {
		r, waiting := s.await(ctx, t)
		if !waiting {
			return 0, platform.ErrUnavailable
		}
		if !r.lead {
			return r.version, r.err
		}
	}
	batch := s.batch(t)
	g.commit(ctx, batch)
	s.pass()
	r := <-t.done
	return r.version, r.err
}

// commit writes a batch and tells each ticket its result. A lone write keeps its
// caller's context. A batch with a conflict is not written; its halves are.
func (g *group) commit(ctx context.Context, batch []*ticket) {
	if len(batch) == 1 {
		version, err := g.store.Swap(ctx, batch[0].write)
		batch[0].done <- result{version: version, err: err}
		return
	}
	err := g.together(ctx, batch)
	if errors.Is(err, platform.ErrConflict) {
		ctx = context.WithoutCancel(ctx)
		g.commit(ctx, batch[:len(batch)/2])
		g.commit(ctx, batch[len(batch)/2:])
		return
	}
	for _, t := range batch {
		t.done <- result{err: err}
	}
}

func (g *group) together(ctx context.Context, batch []*ticket) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), groupTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(batch))
	for _, t := range batch {
		writes = append(writes, t.write)
	}
	return g.store.Commit(ctx, writes...)
}

// await waits for the result or the lead. It returns false when the caller stopped
// waiting before any batch took the ticket, so that nothing was written.
func (s *shard) await(ctx context.Context, t *ticket) (result, bool) {
	select {
	case r := <-t.done:
		return r, true
	case <-ctx.Done():
	}
	if s.withdraw(t) {
		return result{}, false
	}
	return <-t.done, true
}

// join returns true when the ticket leads at once.
func (s *shard) join(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.busy {
		s.busy = true
		return true
	}
	s.waiting = append(s.waiting, t)
	return false
}

// withdraw takes back a ticket that no batch has taken yet.
func (s *shard) withdraw(t *ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == t {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// batch returns the leader's ticket with those that wait, each key once.
func (s *shard) batch(lead *ticket) []*ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := []*ticket{lead}
	keys := map[string]bool{lead.write.Key: true}
	var rest []*ticket
	for _, t := range s.waiting {
		if len(batch) == groupLimit || keys[t.write.Key] {
			rest = append(rest, t)
			continue
		}
		keys[t.write.Key] = true
		batch = append(batch, t)
	}
	s.waiting = rest
	return batch
}

// pass hands the lead to the next in line.
func (s *shard) pass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.busy = false
		return
	}
	next := s.waiting[0]
	s.waiting = s.waiting[1:]
	next.done <- result{lead: true}
}
