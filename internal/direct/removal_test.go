package direct

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc/test/bufconn"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// drainBound is how soon a removed endpoint gets no request any more (drainMs of the small sites).
const drainBound = 2500 * time.Millisecond

// testFleet is a fleet of instances with the store, each with ways of its own to the store and its peers.
type testFleet struct {
	t     *testing.T
	store *standin.Store
	nodes []*fleetNode
	full  *linkQueue // between its regions, if it has several
	stop  func()
	group *errgroup.Group
}

type fleetNode struct {
	*Node
	mu       sync.Mutex
	cut      bool // from the store
	conns    []net.Conn
	isolated atomic.Bool // from the peers
	// crosses returns the queue of the link to a peer, or to storePeer, nil if there is none.
	crosses func(peer int) *linkQueue
	fetches atomic.Int64 // calls for the configuration
}

// storePeer stands for the store among the peers.
const storePeer = -1

type fleetOption func(i int, n *fleetNode)

func (n *fleetNode) setPlace(p fleet.Place) {
	n.state.place, n.state.links = p, link.NewTracker(p.Region)
	n.state.regions = map[fleet.DataCentre]fleet.Region{"a": storeRegion, "b": otherRegion}
}

// connectPeer connects to a peer. The connection ends once either is isolated.
func (n *fleetNode) connectPeer(ctx context.Context, peer int, to *fleetNode, l *bufconn.Listener) (net.Conn, error) {
	conn, err := n.connect(ctx, peer, l)
	if err != nil {
		return nil, err
	}
	return &peerConn{Conn: conn, ends: []*fleetNode{n, to}}, nil
}

// peerConn is a connection that carries nothing while one of its ends is isolated.
type peerConn struct {
	net.Conn
	ends []*fleetNode
}

// Write implements net.Conn.
func (c *peerConn) Write(p []byte) (int, error) {
	for _, n := range c.ends {
		if n.isolated.Load() {
			_ = c.Close()
			return 0, net.ErrClosed
		}
	}
	return c.Conn.Write(p)
}

func (n *fleetNode) connect(ctx context.Context, peer int, l *bufconn.Listener) (net.Conn, error) {
	if q := n.crosses(peer); q != nil {
		return q.dial(ctx, l.DialContext)
	}
	return l.DialContext(ctx)
}

func newTestFleet(t *testing.T, instances int, options ...fleetOption) *testFleet {
	t.Helper()
	listener := bufconn.Listen(1 << 16)
	ctx, stop := context.WithCancel(t.Context())
	f := &testFleet{t: t, store: standin.NewStore(500, standin.WithListener(listener)), group: new(errgroup.Group), stop: stop}
	peers := make(map[string]*bufconn.Listener)
	index, started := make(map[string]int), time.Now()
	for i := range instances {
		name := fmt.Sprintf("front-%d", i)
		index[name+":1"], peers[name+":1"] = i, bufconn.Listen(1<<16)
		n := &fleetNode{Node: newTestNode(t, name, nil), crosses: func(int) *linkQueue { return nil }}
		n.gossip = n.newGossip(gossip.WithDialer(func(ctx context.Context, _, address string) (net.Conn, error) {
			to := f.nodes[index[address]]
			if n.isolated.Load() || to.isolated.Load() {
				return nil, net.ErrClosed
			}
			return n.connectPeer(ctx, index[address], to, peers[address])
		}))
		n.timers.Start(ctx, f.group)
		n.store = n.newStore(platform.WithStoreDialer(func(ctx context.Context, _, _ string) (net.Conn, error) { return n.dialStore(ctx, listener) }))
		n.state.uptime = func() time.Duration { return time.Since(started) }
		n.streamRecords.store, n.streamRecords.state = n.store, n.state
		f.nodes = append(f.nodes, n)
		server := gossip.NewServer(countingHandler{n.Node, n})
		own := peers[name+":1"]
		f.group.Go(func() error { _ = server.Serve(own); return nil })
		f.group.Go(func() error { <-ctx.Done(); server.Stop(); n.gossip.Close(); return nil })
		for _, o := range options {
			o(i, n)
		}
	}
	for _, n := range f.nodes {
		every := func(name string, interval time.Duration, task func(context.Context)) {
			n.tasks.Every(name, interval, func(ctx context.Context, _ time.Time) { task(ctx) })
		}
		every("beat", n.config.Peer.Beat, n.sendHeartbeats)
		every("tidy", cleanUpInterval, n.cleanUp)
		every("held", holdInterval, n.endHolds)
		every("list", instanceListInterval, n.refreshInstances)
		f.group.Go(func() error { return n.watchCatalog(ctx) })
		every("history", historyInterval, n.streamRecords.updateHistory)
		f.group.Go(func() error { return n.streamRecords.run(ctx) })
		f.group.Go(func() error { return n.watchRoster(ctx) })
	}
	return f
}

func (f *testFleet) close() {
	f.stop()
	f.store.Close()
	require.NoError(f.t, f.group.Wait())
}

func (n *fleetNode) dialStore(ctx context.Context, l *bufconn.Listener) (net.Conn, error) {
	conn, err := n.connect(ctx, storePeer, l)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	n.conns = append(n.conns, conn)
	return conn, nil
}

// setCut cuts the instance off from the store, or ends that.
func (n *fleetNode) setCut(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for _, c := range n.conns {
		_ = c.Close()
	}
	n.conns = nil
}

// cutFrom returns the instances that are cut off, those that watch the store first.
func (f *testFleet) cutFrom(watchers, others int) []*fleetNode {
	var cut []*fleetNode
	for _, n := range f.nodes {
		n.state.mu.Lock()
		watching := n.state.shouldWatchStore()
		n.state.mu.Unlock()
		switch {
		case watching && watchers > 0:
			watchers--
			cut = append(cut, n)
		case !watching && others > 0:
			others--
			cut = append(cut, n)
		}
	}
	return cut
}

// resetCase is a reset of the connections of some instances to the store while an endpoint is removed.
type resetCase struct {
	watchers, others int           // that are cut off
	cutFor           time.Duration // from the store
	removedAfter     time.Duration // from the beginning of the cut
}

func (c resetCase) String() string {
	return fmt.Sprintf("%d watchers and %d others for %s, removed after %s", c.watchers, c.others, c.cutFor, c.removedAfter)
}

// Requests reach an endpoint that was removed, since the connections of some instances to the store had
// just been reset while it answered the others.
func TestRemovalIsHeldBackAfterAResetConnection(t *testing.T) {
	for _, c := range []resetCase{
		{1, 0, time.Second, 1300 * time.Millisecond},
		{1, 0, 50 * time.Millisecond, 0},
		{2, 1, time.Second, 1300 * time.Millisecond},
		{2, 1, 2 * time.Second, time.Second},
		{3, 0, time.Second, 1300 * time.Millisecond},
		{3, 5, 50 * time.Millisecond, 1300 * time.Millisecond},
		{1, 6, 3 * time.Second, 2 * time.Second},
	} {
		t.Run(c.String(), c.test)
	}
}

// The same while the store answers almost nobody for a second.
func TestRemovalIsHeldBackAfterMostConnectionsAreReset(t *testing.T) {
	c := resetCase{3, 5, time.Second, 500 * time.Millisecond}
	t.Run(c.String(), c.test)
}

func (c resetCase) test(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9)
		defer f.close()
		for _, id := range []string{"stays", "leaves"} {
			f.store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a"))
		}
		time.Sleep(8 * time.Second)
		began := time.Now()
		cut := f.cutFrom(c.watchers, c.others)
		require.Len(t, cut, c.watchers+c.others)
		for _, n := range cut {
			n.setCut(true)
		}
		f.group.Go(func() error {
			time.Sleep(c.cutFor)
			for _, n := range cut {
				n.setCut(false)
			}
			return nil
		})
		time.Sleep(c.removedAfter)
		removed := time.Now()
		f.store.Remove(platform.EntryPrefix + "leaves")
		var last time.Duration
		for time.Since(removed) < 2*drainBound || time.Since(began) < 2*c.cutFor {
			time.Sleep(20 * time.Millisecond)
			for _, n := range f.nodes {
				if n.state.usable("leaves") {
					last = time.Since(removed)
				}
				assert.True(t, n.state.usable("stays"), n.config.Instance.Name)
			}
		}
		t.Logf("in force everywhere after %s", last)
		assert.Less(t, last, drainBound)
	})
}

// Endpoints whose entries lapse while the store is away are given up before they can register again, where
// some instances have lost it longer than others or were not calling it.
func TestEndpointsGivenUpByAFleetAfterAStoreOutage(t *testing.T) {
	for _, outage := range []time.Duration{1500 * time.Millisecond, 2500 * time.Millisecond, 3300 * time.Millisecond, 8 * time.Second} {
		for _, cut := range []int{0, 1, 4} { // off from the store beside, a second longer
			for phase := range 3 {
				t.Run(fmt.Sprintf("%s, %d cut off, phase %d", outage, cut, phase), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(t, 9)
						defer f.close()
						write := func(id string) { f.store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a")) }
						for _, id := range []string{"stays", "returns", "crashed"} {
							write(id)
						}
						time.Sleep(8*time.Second + time.Duration(phase)*700*time.Millisecond)
						longer := f.cutFrom(min(cut, 2), max(0, cut-2))
						for _, n := range longer {
							n.setCut(true)
						}
						f.store.SetFault(standin.FaultDown)
						time.Sleep(outage)
						f.store.Remove(platform.EntryPrefix + "returns")
						f.store.Remove(platform.EntryPrefix + "crashed")
						f.store.SetFault(standin.FaultNone)
						usable := func(id fleet.Endpoint) (all bool) {
							all = true
							for _, n := range f.nodes {
								all = all && n.state.usable(id)
							}
							return all
						}
						for since := time.Duration(0); since < 12*time.Second; since += 100 * time.Millisecond {
							switch since {
							case time.Second:
								for _, n := range longer {
									n.setCut(false)
								}
							case 1900 * time.Millisecond:
								write("returns")
							}
							time.Sleep(100 * time.Millisecond)
							assert.True(t, usable("stays"))
							assert.True(t, usable("returns"), "%s after the store's return", since)
						}
						for _, n := range f.nodes {
							assert.False(t, n.state.usable("crashed"), n.config.Instance.Name)
						}
					})
				})
			}
		}
	}
}
