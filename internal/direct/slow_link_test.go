package direct

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/transfer"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/internal/reload"
	"github.com/chiveramp/chiveramp/internal/timer"
	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

const (
	// manyRoutes is the size of a configuration after the operator has added routes three times.
	manyRoutes = 4250
	// configBound is how soon a confirmed configuration is in force at every instance (configMs
	// of the sites of 60 machines).
	configBound = 4 * time.Second
	// linkRate is half of the slowest instance's link: the rest carries callers' requests.
	linkRate = 10_000_000 / 8 / 2
	// linkBuffer is how many bytes the link takes at once.
	linkBuffer = 4 << 10
)

// slowLink is the link of an instance: all that arrives there shares its rate.
type slowLink struct{ limiter *rate.Limiter }

func newSlowLink(bytesPerSecond float64) *slowLink {
	return &slowLink{rate.NewLimiter(rate.Limit(bytesPerSecond), linkBuffer)}
}

// slowListener passes what its connections write through a link.
type slowListener struct {
	*bufconn.Listener
	link *slowLink
}

func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &slowConn{conn, l.link}, nil
}

type slowConn struct {
	net.Conn
	link *slowLink
}

func (c *slowConn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		part := p[written:min(len(p), written+linkBuffer)]
		if err := c.link.limiter.WaitN(context.Background(), len(part)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(part)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func newTestNode(t *testing.T, name string, dial gossip.Dialer) *Node {
	t.Helper()
	settings, err := reload.New(nil, func() (config.Gateway, error) {
		c := config.DefaultGateway()
		c.Instance.Name, c.Listen.Peer, c.Store.Address = name, name+":1", "store"
		return c, nil
	})
	require.NoError(t, err)
	group := new(errgroup.Group)
	n := New(settings, log.NewNopLogger(), group)
	n.tasks = timer.NewTasks(t.Context(), n.timers, group)
	n.gossip = gossip.NewClient(gossip.WithDialer(dial))
	return n
}

// newTestPair returns an instance that serves others, and one that reaches it over a link with a
// rate in bytes a second.
func newTestPair(t *testing.T, bytesPerSecond float64) (ahead, behind *Node) {
	t.Helper()
	listener := &slowListener{bufconn.Listen(1 << 10), newSlowLink(bytesPerSecond)}
	ahead = newTestNode(t, "ahead", nil)
	server := gossip.NewServer(ahead)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	behind = newTestNode(t, "behind", func(ctx context.Context, _, _ string) (net.Conn, error) { return listener.DialContext(ctx) })
	t.Cleanup(behind.gossip.Close)
	return ahead, behind
}

func (n *Node) catalogVersion() int64 {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	if n.state.catalog == nil {
		return 0
	}
	return n.state.catalog.Version
}

func (n *Node) listed() bool {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	return n.state.listed
}

func applyTestCatalog(t *testing.T, n *Node, text []byte) {
	t.Helper()
	c, err := platform.DecodeCatalog(text)
	require.NoError(t, err)
	n.state.applyCatalog(c)
}

// An instance whose link is busy must get a large configuration from its peers in time: an
// answer that comes slowly is not asked for anew from its first byte.
func TestLargeConfigurationArrivesOverASlowLink(t *testing.T) {
	for _, c := range []struct {
		name  string
		first int // routes of the version that it has
	}{
		{"after a start", 0},
		{"one more route", manyRoutes - 1},
		{"many more routes", manyRoutes - 1400},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ahead, behind := newTestPair(t, linkRate)
				if c.first > 0 {
					old := standin.Configuration(1, c.first)
					applyTestCatalog(t, behind, old)
					applyTestCatalog(t, ahead, old)
				}
				applyTestCatalog(t, ahead, standin.Configuration(2, manyRoutes))
				started := time.Now()
				for sequence := uint64(1); behind.catalogVersion() < 2 && time.Since(started) < configBound; sequence++ {
					behind.state.receiveHeartbeat(&gossip.Heartbeat{
						Peer:    member.Peer{Instance: "ahead", Incarnation: "1", Sequence: sequence, Place: fleet.Place{DataCentre: allDataCentres}, Address: "ahead:1"},
						Catalog: 2, Ready: true,
					})
					behind.sendHeartbeats(t.Context())
					time.Sleep(behind.config.Peer.Beat)
				}
				assert.Equal(t, int64(2), behind.catalogVersion(), "in force after %s", time.Since(started))
				t.Logf("in force after %s", time.Since(started))
			})
		})
	}
}

// An instance whose link is busy must read a large configuration from the store in time: as it
// begins to watch, and when it changes while it watches.
func TestLargeConfigurationIsReadFromTheStoreOverASlowLink(t *testing.T) {
	for _, c := range []struct {
		name     string
		watching bool
		rate     float64 // bytes a second
	}{
		{"listed", false, linkRate},
		{"watched", true, linkRate / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener := &slowListener{bufconn.Listen(1 << 10), newSlowLink(c.rate)}
				store := standin.NewStore(500, standin.WithListener(listener))
				defer store.Close()
				ctx, stop := context.WithCancel(t.Context())
				n := newTestNode(t, "one", nil)
				group := new(errgroup.Group)
				n.timers.Start(ctx, group)
				n.store = platform.NewStore("store", platform.WithStallTimeout(n.timers, n.config.Store.Timeout), platform.WithStoreDialer(func(ctx context.Context, _, _ string) (net.Conn, error) {
					return listener.DialContext(ctx)
				}))
				if c.watching {
					store.Set(platform.CatalogKey, standin.Configuration(1, 1))
				} else {
					store.Set(platform.CatalogKey, standin.Configuration(2, manyRoutes))
				}
				group.Go(func() error { return n.watchCatalog(ctx) })
				if c.watching {
					time.Sleep(2 * watchStartDelay)
					store.Set(platform.CatalogKey, standin.Configuration(2, manyRoutes))
				}
				time.Sleep(configBound)
				assert.Equal(t, int64(2), n.catalogVersion())
				stop()
				require.NoError(t, group.Wait())
			})
		})
	}
}

// An instance that starts must get the list of a fleet of the target's size from a peer over a
// busy link before callers count on it.
func TestEndpointListArrivesOverASlowLink(t *testing.T) {
	const (
		endpoints    = 6600
		recoverBound = 12 * time.Second // recoverS of the small sites
	)
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := newTestPair(t, linkRate)
		var items []platform.Item
		for i := range endpoints {
			id := fmt.Sprintf("i-%010x", i)
			items = append(items, platform.Item{Key: platform.EntryPrefix + id, Value: standin.EntryText(id, "matcher", "a", "model-1", "model-2", "model-3"), Revision: int64(i + 1)})
		}
		ahead.state.applyRecords(fromStore, platform.Records(items), endpoints, true)
		started := time.Now()
		for sequence := uint64(1); time.Since(started) < recoverBound && !behind.listed(); sequence++ {
			behind.state.receiveHeartbeat(&gossip.Heartbeat{
				Peer:   member.Peer{Instance: "ahead", Incarnation: "1", Sequence: sequence, Place: fleet.Place{DataCentre: allDataCentres}, Address: "ahead:1"},
				Roster: endpoints, Ready: true,
			})
			behind.sendHeartbeats(t.Context())
			time.Sleep(behind.config.Peer.Beat)
		}
		assert.Len(t, behind.state.roster.All(), endpoints, "after %s", time.Since(started))
		t.Logf("after %s", time.Since(started))
	})
}

// A complete list whose pages come from peers that are not equally far is one as of the older
// of them, so that what follows is fetched as changes.
func TestCompleteListInPagesOfSeveralPeers(t *testing.T) {
	const endpoints = 2*entriesPerPage + 10
	list := func(n *Node, last int, revision int64) {
		var items []platform.Item
		for i := range last {
			id := fmt.Sprintf("i-%06d", i)
			items = append(items, platform.Item{Key: platform.EntryPrefix + id, Value: standin.EntryText(id, "board", "a"), Revision: int64(i + 1)})
		}
		n.state.applyRecords(fromStore, platform.Records(items), revision, true)
	}
	older, newer := newTestNode(t, "older", nil), newTestNode(t, "newer", nil)
	list(older, endpoints-5, endpoints-5)
	list(newer, endpoints, endpoints)
	var arrived incomingList
	for _, c := range []struct {
		sender *Node
		more   bool
	}{{newer, true}, {older, true}, {newer, false}} {
		reply, err := c.sender.Fetch(t.Context(), &gossip.Fetch{Deltas: true, Pages: true, After: arrived.after()})
		require.NoError(t, err)
		require.False(t, reply.Delta)
		arrived.add(reply)
		assert.Equal(t, c.more, reply.More)
	}
	assert.Len(t, arrived.items, endpoints)
	assert.Equal(t, int64(endpoints-5), arrived.revision)
}

// An instance that has no list isn't ready because a peer has none either.
func TestEmptyAnswerIsNoList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, n := newTestPair(t, linkRate)
		n.state.receiveHeartbeat(&gossip.Heartbeat{
			Peer:   member.Peer{Instance: "ahead", Incarnation: "1", Sequence: 1, Place: fleet.Place{DataCentre: allDataCentres}, Address: "ahead:1"},
			Roster: 7, Ready: true,
		})
		n.followPeers(t.Context())
		assert.False(t, n.listed())
	})
}

// While the operator changes a large configuration more often than it can be sent, instances
// still get newer ones: what has been begun stays available.
func TestQuickSuccessionOfConfigurationsReachesASlowInstance(t *testing.T) {
	const (
		pause    = 500 * time.Millisecond
		versions = 20
		slowRate = 100_000 // bytes a second: less than a new configuration within the pause
		// maxBehind is how many versions an instance may be behind: those of configBound.
		maxBehind = int64(configBound / pause)
	)
	synctest.Test(t, func(t *testing.T) {
		ahead, behind := newTestPair(t, slowRate)
		for version := int64(1); version <= versions; version++ {
			applyTestCatalog(t, ahead, standin.Configuration(version, manyRoutes-versions+int(version)))
			behind.state.receiveHeartbeat(&gossip.Heartbeat{
				Peer:    member.Peer{Instance: "ahead", Incarnation: "1", Sequence: uint64(version), Place: fleet.Place{DataCentre: allDataCentres}, Address: "ahead:1"},
				Catalog: version, Ready: true,
			})
			behind.sendHeartbeats(t.Context())
			time.Sleep(pause)
			assert.GreaterOrEqual(t, behind.catalogVersion(), version-maxBehind, "version in force when %d is the newest", version)
		}
	})
}

// The rest of a configuration whose sender fails comes from another peer.
func TestFetchGoesOnAtAnotherPeer(t *testing.T) {
	text := standin.Configuration(2, manyRoutes)
	one, two := newTestNode(t, "one", nil), newTestNode(t, "two", nil)
	for _, n := range []*Node{one, two} {
		applyTestCatalog(t, n, text)
	}
	var assembly transfer.Assembly
	for _, sender := range []*Node{one, two} {
		id, offset := assembly.Next()
		reply, err := sender.FetchCatalog(t.Context(), &gossip.FetchCatalog{Text: id, Offset: offset})
		require.NoError(t, err)
		require.Equal(t, offset, reply.Part.Offset)
		_, err = assembly.Add(reply.Part)
		require.NoError(t, err)
	}
	_, received := assembly.Next()
	assert.Greater(t, received, transfer.PartBytes)
}
