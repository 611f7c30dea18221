package claim

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
)

// slowStore delays each write, as a store over a network does. It can fail every nth write
// or lose its reply.
type slowStore struct {
	*platformtest.Fake
	delay      time.Duration
	held       chan struct{} // writes wait until it is closed, unless it is nil
	faultEvery int64
	fault      error
	writes     atomic.Int64
}

// fails delays a write and reports whether it is one that fails.
func (s *slowStore) fails() bool {
	time.Sleep(s.delay)
	if s.held != nil {
		<-s.held
	}
	return s.faultEvery > 0 && s.writes.Add(1)%s.faultEvery == 0
}

func (s *slowStore) Swap(ctx context.Context, w platform.Write) (platform.Version, error) {
	fails := s.fails()
	if fails && s.fault != platform.ErrUncertain { //nolint:errorlint // the value itself
		return 0, s.fault
	}
	version, err := s.Fake.Swap(ctx, w)
	if fails {
		return 0, s.fault
	}
	return version, err
}

func (s *slowStore) Commit(ctx context.Context, writes ...platform.Write) error {
	fails := s.fails()
	if fails && s.fault != platform.ErrUncertain { //nolint:errorlint // the value itself
		return s.fault
	}
	err := s.Fake.Commit(ctx, writes...)
	if fails {
		return s.fault
	}
	return err
}

// Under concurrent claims each key is granted at most once, whatever faults the store has,
// and group commit needs fewer writes. Claims of the same key conflict, so that their batches
// are split.
func TestGroupCommit(t *testing.T) {
	const keys = 200
	tests := []struct {
		name         string
		opts         []Option
		claimsPerKey int
		faultEvery   int64
		fault        error
		maxWrites    uint64 // upper bound of store writes for all claims
	}{
		{name: "single", claimsPerKey: 1, maxWrites: keys},
		{name: "group", opts: []Option{WithGroupCommit(1)}, claimsPerKey: 1, maxWrites: keys / 10},
		{name: "group, duplicate keys", opts: []Option{WithGroupCommit(1)}, claimsPerKey: 3, maxWrites: 2 * 3 * keys},
		{name: "group, replies lost", opts: []Option{WithGroupCommit(1)}, claimsPerKey: 3, faultEvery: 3, fault: platform.ErrUncertain, maxWrites: 4 * 3 * keys},
		{name: "group, store refusing", opts: []Option{WithGroupCommit(2)}, claimsPerKey: 3, faultEvery: 5, fault: platform.ErrUnavailable, maxWrites: 2 * 3 * keys},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := &slowStore{Fake: platformtest.New(), delay: time.Millisecond, faultEvery: tt.faultEvery, fault: tt.fault}
			runs := claimAll(t, New(store, tt.opts...), keys, tt.claimsPerKey)
			for key, n := range runs {
				require.LessOrEqual(t, n, 1, key)
			}
			if tt.fault == nil {
				require.Len(t, runs, keys)
			}
			calls := store.Server().Calls()
			require.LessOrEqual(t, calls.Writes(), tt.maxWrites)
			t.Logf("%d claims of %d keys: %d granted, %d store writes, %d reads",
				keys*tt.claimsPerKey, keys, len(runs), calls.Writes(), calls.Reads())
		})
	}
}

// claimAll claims each key several times concurrently and returns the grants by key.
func claimAll(t *testing.T, claims *Claims, keys, claimsPerKey int) map[string]int {
	t.Helper()
	var mu sync.Mutex
	runs := map[string]int{}
	var group errgroup.Group
	for i := range keys * claimsPerKey {
		group.Go(func() error {
			key := once.Key{Profile: "shop", Text: fmt.Sprint("k", i%keys)}
			result, err := claims.Claim(context.Background(), key, once.Request{ID: fmt.Sprint(i), Fingerprint: 7, Deadline: time.Now().Add(time.Minute)})
			if result.Kind == once.KindGranted {
				mu.Lock()
				defer mu.Unlock()
				runs[key.Text]++
			}
			return err
		})
	}
	require.NoError(t, group.Wait())
	return runs
}

// A write that is cancelled before it is part of a commit is never stored.
func TestGroupWithdrawsCancelledWrites(t *testing.T) {
	store := &slowStore{Fake: platformtest.New(), held: make(chan struct{})}
	release := sync.OnceFunc(func() { close(store.held) })
	defer time.AfterFunc(10*time.Second, release).Stop() // for a write that waits though it is cancelled
	g := newGroupWriter(store, 1)
	var group errgroup.Group
	group.Go(func() error {
		_, err := g.Swap(context.Background(), platform.Write{Key: "a"})
		return err
	})
	require.Eventually(t, func() bool {
		g.shards[0].mu.Lock()
		defer g.shards[0].mu.Unlock()
		return g.shards[0].busy
	}, time.Second, time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
	defer cancel()
	_, err := g.Swap(ctx, platform.Write{Key: "b"})
	release()
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NoError(t, group.Wait())
	_, err = store.Get(context.Background(), "b")
	require.ErrorIs(t, err, platform.ErrNotFound)
}
