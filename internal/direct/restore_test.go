package direct

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// When the store comes back from an older copy, an instance keeps the newest configuration and
// what it knows of endpoints that left, waits for entries that are written again, and follows
// changes whose revisions were given out before.
func TestStoreComesBackOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener := bufconn.Listen(1 << 16)
		store := standin.NewStore(500, standin.WithListener(listener))
		defer store.Close()
		ctx, stop := context.WithCancel(t.Context())
		n := newTestNode(t, "one", nil)
		group := new(errgroup.Group)
		n.timers.Start(ctx, group)
		n.store = platform.NewStore("store", platform.WithNewEra(n.newEra), platform.WithStallTimeout(n.timers, n.config.Store.Timeout),
			platform.WithStoreDialer(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
		n.orderLease.store = n.store
		write := func(id string) { store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a")) }
		listed := func(id fleet.Endpoint) bool {
			n.state.mu.Lock()
			defer n.state.mu.Unlock()
			e := n.state.roster.Get(id)
			return e != nil && !e.Leaving
		}
		group.Go(func() error { return n.watchCatalog(ctx) })
		group.Go(func() error { return n.watchRoster(ctx) })
		n.tasks.Every("tidy", cleanUpInterval, func(ctx context.Context, _ time.Time) { n.cleanUp(ctx) })

		store.Set(platform.CatalogKey, standin.Configuration(2, 2))
		write("stays")
		write("leaves")
		time.Sleep(2 * watchStartDelay)
		older := store.Copy()
		store.Set(platform.CatalogKey, standin.Configuration(3, 3))
		store.Remove(platform.EntryPrefix + "leaves")
		write("returns")
		write("lost")
		time.Sleep(2 * time.Second)
		require.True(t, listed("returns") && listed("lost") && !listed("leaves"))
		require.Equal(t, int64(3), n.catalogVersion())

		store.SetFault(standin.FaultDown)
		time.Sleep(time.Second)
		store.Restore(older)
		store.SetFault(standin.FaultNone)
		time.Sleep(time.Second)
		assert.Equal(t, int64(3), n.catalogVersion(), "a confirmed configuration is not undone")
		assert.True(t, listed("returns"), "its entry may be written again")
		assert.False(t, listed("leaves"), "it had left, whatever the copy has")
		write("returns")
		write("starts")
		store.Set(platform.CatalogKey, standin.Configuration(4, 4))
		time.Sleep(4 * time.Second)
		assert.Equal(t, int64(4), n.catalogVersion())
		for id, want := range map[fleet.Endpoint]bool{"stays": true, "returns": true, "starts": true, "lost": false, "leaves": false} {
			assert.Equal(t, want, listed(id), id)
		}
		stop()
		require.NoError(t, group.Wait())
	})
}
