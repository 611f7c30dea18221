package document

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/revision"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/platform/platformtest"
)

// racingStore is a store in which another operator's edit is applied right after the first read.
type racingStore struct {
	Store
	afterFirstGet func()
}

// Get reads the entry, and on the first call then applies the other edit.
func (r *racingStore) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry, err := r.Store.Get(ctx, key)
	if r.afterFirstGet != nil {
		after := r.afterFirstGet
		r.afterFirstGet = nil
		after()
	}
	return entry, err
}

// Another operator's edit is applied between the read and the write of an edit, and a peer
// announces its revision meanwhile: the slower edit must fail with ErrStale, not ErrBehind.
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
