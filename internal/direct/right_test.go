package direct

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/tenure"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// newTestRight is the right of an instance, which has claimed it, at a stand-in's store.
func newTestRight(ctx context.Context, store *standin.Store, name string, apart time.Duration) *right {
	c := config.Gateway{}
	c.Instance.Name, c.Listen.Peer = name, name+":1"
	c.Orders.Lease, c.Store.Timeout = time.Minute, time.Second
	r := newRight(platform.NewStore(store.Address()), tenure.New(time.Minute, time.Second, apart), c, log.NewNopLogger())
	r.acquire(ctx)
	return r
}

// The first holder ever follows nobody, and one that was the last holder itself follows
// nobody either; any other waits until the one before can't have ordered.
func TestOnlyAFormerHolderIsWaitedFor(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	claims := func(name string) (*right, bool) {
		r := newTestRight(ctx, store, name, time.Minute)
		fence, may := r.Orders()
		require.NotZero(t, fence, name)
		return r, may
	}
	first, may := claims("one")
	assert.True(t, may, "nobody has ever ordered")
	first.release(ctx)
	again, may := claims("one")
	assert.True(t, may, "the same machine")
	again.release(ctx)
	_, may = claims("two")
	assert.False(t, may, "another machine has ordered before")
}

// A machine that claimed the right after another, and started again before it had waited
// for that one, waits once more; after its wait it is the last holder on record.
func TestAClaimIsNoRecordOfAHolder(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	newTestRight(ctx, store, "one", time.Minute).release(ctx)
	newTestRight(ctx, store, "two", time.Minute)
	again := newTestRight(ctx, store, "two", time.Nanosecond)
	require.NotZero(t, again.record, "it has not waited for the first")
	again.keep(ctx, nil)
	require.Zero(t, again.record)
	_, may := newTestRight(ctx, store, "two", time.Minute).Orders()
	assert.True(t, may, "it is the last holder")
}
