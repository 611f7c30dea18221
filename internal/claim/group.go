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
	// groupLimit is how many writes one commit takes.
	groupLimit   = 64
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

// ticket is one write that waits for its turn. It receives either a result or,
// with lead set, the duty to commit the next batch.
type ticket struct {
	write platform.Write
	done  chan result
}

type result struct {
	err  error
	lead bool
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
		// A write that was joined may go out even if its caller stops waiting.
		select {
		case r := <-t.done:
			if !r.lead {
				return g.alone(ctx, w, r.err)
			}
		case <-ctx.Done():
			if s.withdraw(t) {
				return 0, platform.ErrUnavailable
			}
			r := <-t.done
			if errors.Is(r.err, errBatch) {
				return 0, platform.ErrUnavailable
			}
			if !r.lead {
				return 0, r.err
			}
		}
	}
	batch := s.batch(t)
	err := g.commit(ctx, batch)
	s.pass(batch, t, err)
	return g.alone(ctx, w, err)
}

// commit writes a batch; a lone write keeps its caller's context.
func (g *group) commit(ctx context.Context, batch []*ticket) error {
	if len(batch) == 1 {
		_, err := g.store.Swap(ctx, batch[0].write)
		return err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), groupTimeout)
	defer cancel()
	writes := make([]platform.Write, 0, len(batch))
	for _, t := range batch {
		writes = append(writes, t.write)
	}
	err := g.store.Commit(ctx, writes...)
	if errors.Is(err, platform.ErrConflict) {
		return errBatch
	}
	return err
}

// errBatch: some write of a batch had a conflict, so none was written.
var errBatch = errors.New("batch conflict")

// alone repeats a write by itself when its batch had a conflict.
func (g *group) alone(ctx context.Context, w platform.Write, err error) (platform.Version, error) {
	if !errors.Is(err, errBatch) {
		return 0, err
	}
	return g.store.Swap(ctx, w)
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

// pass hands the result to a batch and the lead to the next in line.
func (s *shard) pass(batch []*ticket, lead *ticket, err error) {
	for _, t := range batch {
		if t != lead {
			t.done <- result{err: err}
		}
	}
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
