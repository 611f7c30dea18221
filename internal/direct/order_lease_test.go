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

// newTestOrderLease returns the order lease of an instance that has tried to acquire it in a
// fake store.
func newTestOrderLease(ctx context.Context, store *standin.Store, name string, separation time.Duration) *orderLease {
	c := config.Gateway{}
	c.Instance.Name, c.Listen.Peer = name, name+":1"
	c.Orders.Lease, c.Store.Timeout = time.Minute, time.Second
	r := newOrderLease(platform.NewStore(store.Address()), tenure.New(time.Minute, time.Second, separation), c, log.NewNopLogger())
	r.acquire(ctx)
	return r
}

// The first holder ever, and one that was itself the last holder, may give orders at once. Any
// other holder waits until the previous one can no longer have sent orders.
func TestNewHolderWaitsForPreviousHolder(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	acquire := func(name string) (*orderLease, bool) {
		r := newTestOrderLease(ctx, store, name, time.Minute)
		fence, mayOrder := r.MayOrder()
		require.NotZero(t, fence, name)
		return r, mayOrder
	}
	first, mayOrder := acquire("one")
	assert.True(t, mayOrder, "no machine has given orders before")
	first.release(ctx)
	again, mayOrder := acquire("one")
	assert.True(t, mayOrder, "the same machine")
	again.release(ctx)
	_, mayOrder = acquire("two")
	assert.False(t, mayOrder, "another machine has given orders before")
}

// A machine that claims the lease after another and restarts before its wait for that one is
// over has to wait again. Only after its wait is it recorded as the last holder.
func TestClaimDoesNotRecordHolderBeforeWait(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	newTestOrderLease(ctx, store, "one", time.Minute).release(ctx)
	newTestOrderLease(ctx, store, "two", time.Minute)
	again := newTestOrderLease(ctx, store, "two", time.Nanosecond)
	require.NotZero(t, again.lastHolderRevision, "it has not waited for the first machine yet")
	again.maintain(ctx, nil)
	require.Zero(t, again.lastHolderRevision)
	_, mayOrder := newTestOrderLease(ctx, store, "two", time.Minute).MayOrder()
	assert.True(t, mayOrder, "it is recorded as the last holder")
}
