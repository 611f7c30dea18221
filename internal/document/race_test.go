package document

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
)

// racingStore is a store in which another operator's edit lands right after the first read.
type racingStore struct {
	Store
	afterFirstGet func()
}

// Get reads, then lets the other edit happen once.
func (o *racingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := o.Store.Get(ctx, key)
	if o.afterFirstGet != nil {
		after := o.afterFirstGet
		o.afterFirstGet = nil
		after()
	}
	return entry, err
}

// An edit that is overtaken between its read and its write, and hears of the
// winner from a peer meanwhile, is told that it lost, not that it is behind.
func TestOvertakenEditReturnsErrStale(t *testing.T) {
	store := platformtest.New()
	winner := New(store)
	_, err := winner.Apply(t.Context(), 0, []byte("one"))
	require.NoError(t, err)
	slow := &racingStore{Store: store}
	loser := New(slow)
	slow.afterFirstGet = func() {
		_, err := winner.Apply(t.Context(), 1, []byte("two"))
		require.NoError(t, err)
		loser.ObserveRevision("other", 2)
	}
	_, err = loser.Apply(t.Context(), 1, []byte("mine"))
	require.ErrorIs(t, err, revision.ErrStale)
}
