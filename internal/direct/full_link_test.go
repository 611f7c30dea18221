package direct

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/platform"
	"github.com/chiveramp/chiveramp/platform/standin"
)

// drainBoundOfRegions is how soon an endpoint that leaves gets no request any more (drainMs of the sites of
// 60 machines).
const drainBoundOfRegions = 4 * time.Second

// linkQueue is how long what is sent over the link between two regions waits.
type linkQueue struct {
	mu   sync.Mutex
	wait time.Duration
}

func (q *linkQueue) set(wait time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.wait = wait
}

func (q *linkQueue) get() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wait
}

// dial connects through the queue.
func (q *linkQueue) dial(ctx context.Context, dial func(context.Context) (net.Conn, error)) (net.Conn, error) {
	sleep(ctx, 2*q.get())
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	conn, err := dial(ctx)
	if err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	go q.copy(conn, far)
	go q.copy(far, conn)
	return near, nil
}

type packet struct {
	data []byte
	due  time.Time
}

// copy passes on what arrives after its time in the queue, in order, until either end closes.
func (q *linkQueue) copy(to, from net.Conn) {
	packets := make(chan packet, 4096)
	go func() {
		defer close(packets)
		for {
			buffer := make([]byte, linkBuffer)
			n, err := from.Read(buffer)
			if n > 0 {
				packets <- packet{buffer[:n], time.Now().Add(q.get())}
			}
			if err != nil {
				return
			}
		}
	}()
	defer func() { _, _ = to.Close(), from.Close() }()
	for p := range packets {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_ = from.Close()
	for range packets { // its reader ends
	}
}

// newFullLinkFleet returns a fleet of which every other instance stands behind a link on which all that is
// sent waits.
func newFullLinkFleet(t *testing.T, wait time.Duration) (f *testFleet, end func()) {
	t.Helper()
	full := new(linkQueue)
	const instances = 12
	f = newTestFleet(t, instances, withRegions(full, func(i int) bool { return i%2 == 1 }))
	f.full = full
	f.store.Set(platform.CatalogKey, standin.Configuration(1, 3))
	for _, id := range []string{"stays", "removed", "leaving"} {
		f.store.Set(platform.EntryPrefix+id, standin.EntryText(id, "board", "a"))
	}
	time.Sleep(8 * time.Second)
	for ms := time.Duration(0); ms < wait; ms += 100 * time.Millisecond {
		full.set(ms)
		time.Sleep(200 * time.Millisecond)
	}
	full.set(wait)
	time.Sleep(2 * time.Second)
	return f, func() {
		full.set(0)
		f.close()
		time.Sleep(link.MaxAllowance + 4*wait) // what is on the link arrives
	}
}

var linkWaits = []time.Duration{300 * time.Millisecond, time.Second, 1700 * time.Millisecond}

// A configuration reaches a region late while the link to it is full, since calls end, and close their
// connections, before their answers have passed the link.
func TestConfigurationIsLateOverAFullLink(t *testing.T) {
	for _, wait := range linkWaits {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, end := newFullLinkFleet(t, wait)
				defer end()
				calls := f.catalogCalls()
				var worst time.Duration
				for version := int64(2); version < 6; version++ {
					f.store.Set(platform.CatalogKey, standin.Configuration(version, 3))
					worst = max(worst, f.inForceAfter(func(n *fleetNode) bool { return n.catalogVersion() >= version }))
				}
				t.Logf("in force everywhere after %s, %d calls for it", worst, f.catalogCalls()-calls)
				assert.Less(t, worst, configBound)
			})
		})
	}
}

// The same of endpoints that leave or are removed.
func TestDepartureIsLateOverAFullLink(t *testing.T) {
	for _, wait := range linkWaits {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, end := newFullLinkFleet(t, wait)
				defer end()
				f.store.Remove(platform.EntryPrefix + "removed")
				removed := f.inForceAfter(func(n *fleetNode) bool { return !n.state.usable("removed") })
				text := strings.Replace(string(standin.EntryText("leaving", "board", "a")), `"ready"`, `"draining"`, 1)
				f.store.Set(platform.EntryPrefix+"leaving", []byte(text))
				leaving := f.inForceAfter(func(n *fleetNode) bool { return !n.state.usable("leaving") })
				t.Logf("removed after %s, leaving after %s", removed, leaving)
				assert.Less(t, max(removed, leaving), drainBoundOfRegions)
				for _, n := range f.nodes {
					assert.True(t, n.state.usable("stays"))
				}
			})
		})
	}
}

// A link fills within a moment, so that heartbeats wait before any has shown a queue, and so do the answers
// to those that are sent: the connections must outlast it.
func TestDepartureIsLateOverALinkThatFillsAtOnce(t *testing.T) {
	for _, wait := range []time.Duration{1500 * time.Millisecond, 1900 * time.Millisecond} {
		for _, phase := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4 * time.Second} {
			t.Run(fmt.Sprintf("%s, after %s", wait, phase), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f, end := newFullLinkFleet(t, 0)
					defer end()
					f.full.set(wait)
					time.Sleep(phase)
					f.store.Remove(platform.EntryPrefix + "removed")
					removed := f.inForceAfter(func(n *fleetNode) bool { return !n.state.usable("removed") })
					resets := f.resets()
					f.full.set(0)
					time.Sleep(link.MaxAllowance) // what is on the link arrives
					t.Logf("removed after %s, %d connections to peers closed", removed, resets)
					assert.Less(t, removed, drainBoundOfRegions)
					assert.Zero(t, resets)
				})
			})
		}
	}
}

// Connections to peers are lost while the link is full: new ones take as long as its queue.
func TestPeersConnectOverAFullLink(t *testing.T) {
	for _, wait := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, time.Second} {
		t.Run(wait.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, end := newFullLinkFleet(t, wait)
				defer end()
				for _, n := range f.nodes {
					for _, peer := range f.nodes {
						n.gossip.Reset(peer.config.Listen.Peer)
					}
				}
				f.store.Remove(platform.EntryPrefix + "removed")
				removed := f.inForceAfter(func(n *fleetNode) bool { return !n.state.usable("removed") })
				t.Logf("removed after %s", removed)
				assert.Less(t, removed, drainBoundOfRegions)
				time.Sleep(4 * time.Second)
				for _, n := range f.nodes {
					assert.Len(t, n.livePeers(), len(f.nodes)-1, n.config.Instance.Name)
				}
			})
		})
	}
}

func (n *fleetNode) livePeers() []*peer {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	return n.state.livePeers()
}

// resets counts the connections to peers that were closed as a heartbeat had no answer in time.
func (f *testFleet) resets() (all int64) {
	for _, n := range f.nodes {
		all += metrics.GetOrRegisterCounter("peer_resets", n.registry).Count()
	}
	return all
}

// inForceAfter returns how long it takes until something holds at all instances.
func (f *testFleet) inForceAfter(holds func(*fleetNode) bool) (worst time.Duration) {
	const step = 20 * time.Millisecond
	for since := step; since <= configBound+time.Second; since += step {
		time.Sleep(step)
		for _, n := range f.nodes {
			if !holds(n) {
				worst = since
			}
		}
	}
	return worst
}

// catalogCalls counts the calls for configurations.
func (f *testFleet) catalogCalls() int {
	calls := 0
	for _, n := range f.nodes {
		calls += int(n.fetches.Load())
	}
	return calls
}

// withRegions has the instances of which far tells stand in another region than the store, behind a link.
func withRegions(full *linkQueue, far func(i int) bool) fleetOption {
	return func(i int, n *fleetNode) {
		place := fleet.Place{Region: storeRegion, DataCentre: "a"}
		if far(i) {
			place = fleet.Place{Region: otherRegion, DataCentre: "b"}
		}
		n.setPlace(place)
		n.crosses = func(peer int) *linkQueue {
			if peer == storePeer && far(i) || peer != storePeer && far(peer) != far(i) {
				return full
			}
			return nil
		}
	}
}

// countingHandler counts the calls for configurations.
type countingHandler struct {
	gossip.Handler
	node *fleetNode
}

// FetchCatalog implements gossip.Handler.
func (h countingHandler) FetchCatalog(ctx context.Context, f *gossip.FetchCatalog) (*gossip.CatalogPart, error) {
	h.node.fetches.Add(1)
	return h.Handler.FetchCatalog(ctx, f)
}
