package direct

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
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
	return newTestOrderLeaseAt(ctx, store.Address(), name, separation)
}

func newTestOrderLeaseAt(ctx context.Context, address, name string, separation time.Duration) *orderLease {
	c := config.Gateway{}
	c.Instance.Name, c.Listen.Peer = name, name+":1"
	c.Orders.Lease, c.Store.Timeout = time.Minute, time.Second
	var r *orderLease
	client := platform.NewStore(address, platform.WithNewEra(func(_ int64, returned bool) { r.newEra(returned) }))
	r = newOrderLease(client, tenure.New(time.Minute, time.Second, separation), c, log.NewNopLogger())
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

// When the store comes back from a copy that is older than the lease, its holder goes on giving
// orders, under a higher fence, as no other machine gives any before the lost lease has ended by
// its holder's clock, whatever the copy's record says.
func TestOrderLeaseAfterTheStoreComesBack(t *testing.T) {
	for _, c := range []struct {
		name   string
		before []string // holders before the copy was made
	}{
		{"copy without a holder", nil},
		{"copy with the other as the last holder", []string{"two"}},
		{"copy with the same holder", []string{"one"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := standin.NewStore(10)
			t.Cleanup(store.Close)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			for _, name := range c.before {
				newTestOrderLease(ctx, store, name, time.Nanosecond).release(ctx)
			}
			older := store.Copy()
			one := newTestOrderLease(ctx, store, "one", time.Nanosecond)
			two := newTestOrderLease(ctx, store, "two", time.Nanosecond)
			before, mayOrder := one.MayOrder()
			require.True(t, mayOrder)
			for range 10 { // revisions are given out that are lost
				store.Set(platform.CatalogKey, []byte("x"))
			}
			store.Restore(older)
			two.acquire(ctx) // sees the return first, and finds no holder
			_, mayOrder = two.MayOrder()
			require.False(t, mayOrder)
			assert.GreaterOrEqual(t, two.tenure.MayOrderFrom(), one.tenure.EarliestExpiry())
			one.maintain(ctx, nil)
			_, mayOrder = one.MayOrder()
			require.True(t, mayOrder, "its lease holds by its own clock")
			two.release(ctx)
			one.maintain(ctx, nil)
			after, mayOrder := one.MayOrder()
			assert.True(t, mayOrder, "it has the lease again")
			assert.Greater(t, after, before)
			one.release(ctx)
			started := newTestOrderLease(ctx, store, "two", time.Nanosecond)
			fence, _ := started.MayOrder()
			assert.Greater(t, fence, after, "the next holder's fence is higher")
		})
	}
}

// A machine that starts while the store is away, and sees it only after its return from an older
// copy, waits from then on: its start says nothing of when the lost lease ends.
func TestOrderLeaseOfAMachineThatStartsDuringAReturn(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	newTestOrderLease(ctx, store, "two", time.Nanosecond).release(ctx)
	older := store.Copy()
	holder := newTestOrderLease(ctx, store, "one", time.Nanosecond)
	store.SetFault(standin.FaultDown)
	two := newTestOrderLease(ctx, store, "two", time.Nanosecond)
	time.Sleep(10 * time.Millisecond)
	holder.renew(ctx, holder.lease, true) // fails; the time of the last renewal stays
	store.Restore(older)
	store.SetFault(standin.FaultNone)
	seen := uptime()
	two.acquire(ctx)
	_, mayOrder := two.MayOrder()
	assert.False(t, mayOrder)
	assert.GreaterOrEqual(t, two.tenure.MayOrderFrom(), seen+two.ttl)
}

// A holder that still waits for the one before it goes on waiting when the store comes back
// without its lease.
func TestReturnOfTheStoreDoesNotEndTheWait(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	newTestOrderLease(ctx, store, "one", time.Minute).release(ctx)
	older := store.Copy()
	two := newTestOrderLease(ctx, store, "two", 30*time.Second)
	from := two.tenure.MayOrderFrom()
	store.Restore(older)
	two.maintain(ctx, nil)
	two.maintain(ctx, nil)
	require.False(t, two.lease.IsZero(), "it has the lease again")
	assert.Equal(t, from, two.tenure.MayOrderFrom())
}

// A claim that reaches the store only after its return from an older copy has no effect, though the
// number of its lease has been given out again: else the holder's key would stay for as long as
// another machine renews that lease, and nobody could give orders.
func TestClaimThatReachesTheStoreAfterItsReturn(t *testing.T) {
	store := standin.NewStore(10)
	t.Cleanup(store.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	older, other := store.Copy(), platform.NewStore(store.Address())
	forward := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store.Address()})
	delayed := false
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		assert.NoError(t, err)
		if !delayed && bytes.Contains(body, []byte(holderKey)) {
			delayed = true
			store.Restore(older)
			for range 5 { // give out the lost numbers again
				_, _, err := other.Grant(ctx, time.Hour)
				assert.NoError(t, err)
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		forward.ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.Close)
	one := newTestOrderLeaseAt(ctx, strings.TrimPrefix(proxy.URL, "http://"), "one", time.Nanosecond)
	require.True(t, delayed)
	_, mayOrder := one.MayOrder()
	require.False(t, mayOrder, "its claim failed")
	fence, _ := newTestOrderLease(ctx, store, "two", time.Nanosecond).MayOrder()
	assert.NotZero(t, fence, "another machine has the lease")
}
