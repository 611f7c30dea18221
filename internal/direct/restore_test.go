package direct

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

func (n *Node) useTestStore(ctx context.Context, group *errgroup.Group, listener *bufconn.Listener) {
	n.timers.Start(ctx, group)
	n.store = platform.NewStore("store", platform.WithNewEra(n.newEra), platform.WithStallTimeout(n.timers, n.config.Store.Timeout),
		platform.WithStoreDialer(func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.DialContext(ctx) }))
	n.orderLease.store = n.store
	n.tasks.Every("tidy", cleanUpInterval, func(ctx context.Context, _ time.Time) { n.cleanUp(ctx) })
}

func (s *state) usable(id fleet.Endpoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.roster.Get(id)
	return e != nil && !e.Leaving
}

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
		n.useTestStore(ctx, group, listener)
		write := func(id string) { store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a")) }
		listed := n.state.usable
		group.Go(func() error { return n.watchCatalog(ctx) })
		group.Go(func() error { return n.watchRoster(ctx) })

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

// Endpoints whose entries lapsed during an outage of the store are given up although they register again
// within two seconds of its return.
func TestEndpointsGivenUpAfterAStoreOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 2500 * time.Millisecond, 4600 * time.Millisecond, 8 * time.Second, 30 * time.Second} {
		for i := range 6 { // whether an instance watches the store depends on its name
			name := fmt.Sprintf("instance-%d", i)
			t.Run(fmt.Sprint(outage, "/", name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testStoreOutage(t, name, outage) })
			})
		}
	}
}

func testStoreOutage(t *testing.T, name string, outage time.Duration) {
	t.Helper()
	listener := bufconn.Listen(1 << 16)
	store := standin.NewStore(500, standin.WithListener(listener))
	defer store.Close()
	ctx, stop := context.WithCancel(t.Context())
	n := newTestNode(t, name, func(context.Context, string, string) (net.Conn, error) { return nil, net.ErrClosed })
	defer n.gossip.Close()
	group := new(errgroup.Group)
	n.useTestStore(ctx, group, listener)
	write := func(id string) { store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a")) }
	for _, id := range []string{"stays", "soon", "late", "crashed"} {
		write(id)
	}
	var down atomic.Bool
	sequence := uint64(0)
	n.tasks.Every("peers", 300*time.Millisecond, func(context.Context, time.Time) {
		sequence++
		for i := range 8 {
			b := heartbeatFrom(sequence, n.state.uptime())
			b.Peer.Instance, b.Features, b.StoreReachable = fleet.Instance(fmt.Sprint("peer-", i)), n.state.loadFeatures.announced, !down.Load()
			n.state.receiveHeartbeat(b)
		}
	})
	n.tasks.Every("list", instanceListInterval, func(ctx context.Context, _ time.Time) { n.refreshInstances(ctx) })
	group.Go(func() error { return n.watchRoster(ctx) })
	time.Sleep(5 * time.Second)

	store.SetFault(standin.FaultDown)
	down.Store(true)
	time.Sleep(outage)
	for _, id := range []string{"soon", "late", "crashed"} {
		store.Remove(platform.EntryPrefix + id)
	}
	store.SetFault(standin.FaultNone)
	down.Store(false)
	assertUsable := func(want bool, ids ...fleet.Endpoint) {
		t.Helper()
		for _, id := range ids {
			assert.Equal(t, want, n.state.usable(id), id)
		}
	}
	changes := func() { // as the instances that watch the store pass them on
		items, revision, err := n.store.List(ctx, platform.EntryPrefix, false)
		require.NoError(t, err)
		n.state.applyRecords(fromStore, platform.Records(items), revision, true)
	}
	time.Sleep(1300 * time.Millisecond)
	assertUsable(true, "stays", "soon", "late")
	write("soon")
	time.Sleep(700 * time.Millisecond)
	write("late")
	time.Sleep(600 * time.Millisecond)
	changes()
	assertUsable(true, "stays", "soon", "late")
	time.Sleep(10 * time.Second)
	assertUsable(true, "stays", "soon", "late")
	assertUsable(false, "crashed")
	stop()
	require.NoError(t, group.Wait())
}

// A peer that gave endpoints up too soon doesn't have an instance avoid them permanently.
func TestPeerThatGaveUpEndpointsTooSoon(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	entry := func(id fleet.Endpoint, revision int64) roster.Record {
		return roster.Record{ID: id, Revision: revision, Entry: roster.Entry{ID: id, Service: "s", Slots: 4, Born: 5, Revision: revision}}
	}
	s.applyRecords(fromStore, []roster.Record{entry("a", 2), entry("b", 3), entry("c", 4)}, 4, false)
	sequence := uint64(0)
	step := func(d time.Duration) {
		for range d / (200 * time.Millisecond) {
			w.elapsed += 200 * time.Millisecond
			sequence++
			b := heartbeatFrom(sequence, w.uptime())
			b.Leaving = []gossip.Incarnation{{Endpoint: "a", Born: 5}, {Endpoint: "b", Born: 5}, {Endpoint: "c", Born: 5}}
			s.receiveHeartbeat(b)
			s.cleanUp()
		}
	}
	s.storeFailed()
	step(time.Second)
	s.storeAnswered()
	s.applyRecords(fromStore, []roster.Record{{ID: "a", Revision: 5, Removed: true}, {ID: "b", Revision: 6, Removed: true}}, 6, false)
	step(time.Second)
	s.applyRecords(fromStore, []roster.Record{entry("a", 7)}, 7, false)
	step(200 * time.Millisecond)
	assert.True(t, s.usable("a"), "registered again")
	step(6 * time.Second)
	assert.True(t, s.usable("a"))
	assert.False(t, s.usable("b"), "never back")
	assert.True(t, s.usable("c"), "the store has its entry all the while")
}
