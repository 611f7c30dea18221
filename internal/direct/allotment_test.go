package direct

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gateway"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	allottedRate  = 200.0 // requests a second
	allottedBurst = 50.0
	allottedTime  = 8 * time.Second // over which the sum is bounded
)

// allottedFleet is instances of two regions that share one clock and call each other at once.
type allottedFleet struct {
	clock  *testClock
	states map[fleet.Instance]*state
	names  []fleet.Instance
	spent  []time.Duration
}

func newAllottedFleet(instances int, listed bool) *allottedFleet {
	f := &allottedFleet{clock: &testClock{}, states: make(map[fleet.Instance]*state)}
	for i := range instances {
		f.names = append(f.names, fleet.Instance(fmt.Sprint("i", i)))
	}
	for _, name := range f.names {
		f.start(name, listed)
	}
	return f
}

func regionOf(name fleet.Instance) fleet.Region {
	return []fleet.Region{"north", "south"}[int(name[len(name)-1])%2]
}

// start gives an instance the state of a new process that knows the others.
func (f *allottedFleet) start(name fleet.Instance, listed bool) {
	w := f.clock
	peer := func(n fleet.Instance) member.Peer {
		return member.Peer{Instance: n, Incarnation: fmt.Sprint(n, w.elapsed), Sequence: 1, Place: fleet.Place{Region: regionOf(n), DataCentre: allDataCentres}, Address: string(n)}
	}
	s := newTestState(w)
	s.place.Region = regionOf(name)
	s.regions = map[fleet.DataCentre]fleet.Region{"n": "north", "s": "south"}
	s.view = member.New(peer(name))
	s.allotments = newAllotments(w.uptime(), peer(name))
	if listed {
		s.view.ApplyList(w.now(), nil)
	}
	for _, other := range f.names {
		s.view.Observe(w.now(), peer(other))
	}
	f.states[name] = s
	f.configure(s, 1, allottedRate, allottedBurst)
}

func (f *allottedFleet) configure(s *state, version int64, rate, burst float64) {
	s.applyCatalog(&catalog.Catalog{Version: version, Workspaces: []catalog.Workspace{{Name: "w", Unit: catalog.UnitRequests, Rate: rate, Burst: burst}, {Name: "free"}}})
}

// call makes a call of an instance.
func (f *allottedFleet) call(s *state, c *portionsCall) {
	if owner := f.states[c.owner]; owner != nil {
		if next, again := s.receivePortions(c, owner.answerPortions(c.question)); again {
			f.call(s, &next)
		}
	}
}

// request charges one request at an instance, in the way of gatewayFleet.Charge.
func (f *allottedFleet) request(s *state) bool {
	w := &s.catalog.Workspaces[0]
	_, ok := s.charge(w, 1, true)
	for i := 0; !ok && i < allotmentParts; i++ {
		if c, mayAsk := s.urgentCall(w, 1, (s.firstPart()+i)%allotmentParts, allotmentParts-1-i); mayAsk {
			f.call(s, &c)
		}
		_, ok = s.charge(w, 1, false)
	}
	if ok {
		f.spent = append(f.spent, f.clock.elapsed)
	}
	return ok
}

// run sends requests to all instances for a while.
func (f *allottedFleet) run(d time.Duration, perSecond float64, random *rand.Rand) {
	for end := f.clock.elapsed + d; f.clock.elapsed < end; {
		f.clock.elapsed += 10 * time.Millisecond
		for i, name := range f.names {
			if s := f.states[name]; s != nil && (int(f.clock.elapsed/(10*time.Millisecond))+i)%int(allotment.AskInterval/(10*time.Millisecond)) == 0 {
				for _, c := range s.plannedCalls() {
					f.call(s, &c)
				}
			}
		}
		for n := perSecond / 100; random.Float64() < n; n-- {
			if s := f.states[f.names[random.IntN(len(f.names))]]; s != nil {
				f.request(s)
			}
		}
	}
}

// most returns the most requests that were admitted in any allottedTime, and how many after from.
func (f *allottedFleet) most(from time.Duration) (most, after int) {
	for i, first := range f.spent {
		n := 0
		for _, at := range f.spent[i:] {
			if at-first <= allottedTime {
				n++
			}
		}
		if most = max(most, n); first >= from {
			after++
		}
	}
	return most, after
}

// Requests of a workspace that come to all instances stay within its allotment together and get
// most of it, though the owners restart at once.
func TestInstancesShareAnAllotment(t *testing.T) {
	f := newAllottedFleet(20, true)
	random := rand.New(rand.NewPCG(1, 2))
	f.run(12*time.Second, 3*allottedRate, random)
	most, _ := f.most(0)
	bound := int(allottedRate*(allottedTime+allotment.PortionTime).Seconds() + allottedBurst)
	assert.LessOrEqual(t, most, bound)
	_, served := f.most(4 * time.Second)
	assert.Greater(t, float64(served), 0.9*allottedRate*8)
	for part := range allotmentParts {
		f.start(f.states["i0"].allotmentOwner(part), true)
	}
	f.run(12*time.Second, 3*allottedRate, random)
	most, _ = f.most(0)
	assert.LessOrEqual(t, most, bound)
	_, served = f.most(16 * time.Second)
	assert.Greater(t, float64(served), 0.9*allottedRate*8)
}

// An instance that doesn't know how many others there are must not take the whole for its share.
func TestUnlistedInstanceLendsNothing(t *testing.T) {
	f := newAllottedFleet(1, false)
	f.run(10*time.Second, 3*allottedRate, rand.New(rand.NewPCG(1, 2)))
	assert.Empty(t, f.spent)
	f.states["i0"].applyInstances(nil)
	f.run(10*time.Second, 3*allottedRate, rand.New(rand.NewPCG(1, 2)))
	assert.NotEmpty(t, f.spent)
}

// A lower limit binds as soon as it is in force; a limit that ends binds nobody.
func TestChangedAllotment(t *testing.T) {
	f := newAllottedFleet(6, true)
	random := rand.New(rand.NewPCG(1, 2))
	f.run(8*time.Second, 3*allottedRate, random)
	for _, s := range f.states {
		f.configure(s, 2, allottedRate/10, allottedBurst/10)
	}
	changed := f.clock.elapsed
	f.run(8*time.Second, 3*allottedRate, random)
	_, after := f.most(changed)
	assert.LessOrEqual(t, float64(after), allottedRate/10*(allottedTime+allotment.PortionTime).Seconds()+allottedBurst/10+allottedRate*allotment.PortionTime.Seconds(), "portions of the higher limit end soon")
	for _, s := range f.states {
		f.configure(s, 3, 0, 0)
		_, ok := s.charge(&catalog.Workspace{Name: "w", Rate: allottedRate}, 1, true)
		assert.True(t, ok, "the limit is gone")
	}
	assert.Empty(t, f.states["i0"].plannedCalls(), "nothing is kept without limits")
}

// What another start of the owner granted is not taken back: the new one never had it.
func TestReturnsToAnotherStartCountNothing(t *testing.T) {
	f := newAllottedFleet(1, true)
	s := f.states["i0"]
	f.run(6*time.Second, allottedRate, rand.New(rand.NewPCG(1, 2)))
	var returns []allotment.Return
	for id := range uint64(100_000) {
		returns = append(returns, allotment.Return{ID: id, Amount: 1e6})
	}
	before := s.allotments.accounts[0].Credit(s.uptime(), "w")
	reply := s.answerPortions(&gossip.Portions{
		Offer: allotment.Offer{Lender: "i0", Stamp: allotment.Stamp{Incarnation: "another"}},
		Wants: []allotment.Want{{Workspace: "w", Returns: returns}},
	})
	require.Len(t, reply.Grants, 1)
	assert.LessOrEqual(t, s.allotments.accounts[0].Credit(s.uptime(), "w"), before)
	assert.Empty(t, s.answerPortions(&gossip.Portions{Part: allotmentParts}).Grants)
}

// A leaving owner hands over its parts, so that requests of others find the credit at the successor. Beside
// an earlier build it goes on.
func TestLeavingOwnerHandsOver(t *testing.T) {
	tests := []struct {
		name     string
		features []feature.Feature // of the others
		earlier  bool              // the successor has no such call
	}{
		{name: "one build", features: feature.Announced()},
		{name: "beside an earlier build", features: []feature.Feature{feature.Backlog}},
		{name: "successor of an earlier build", features: feature.Announced(), earlier: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newAllottedFleet(4, true)
			f.run(6*time.Second, allottedRate/2, rand.New(rand.NewPCG(1, 2)))
			owner := f.states["i0"].allotmentOwner(0)
			leaving := f.states[owner]
			leaving.view.Leave()
			left := leaving.view.Self()
			for _, s := range f.states {
				s.view.Observe(f.clock.now(), left)
			}
			successor := leaving.allotmentOwner(0)
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			server := gossip.NewServer(&Node{state: f.states[successor]})
			if tt.earlier {
				server = grpc.NewServer()
			}
			var group errgroup.Group
			group.Go(func() error { return server.Serve(l) })
			t.Cleanup(func() {
				server.Stop()
				assert.NoError(t, group.Wait())
			})
			p, _ := leaving.view.Get(successor)
			p.Sequence, p.Address = 2, l.Addr().String()
			leaving.view.Observe(f.clock.now(), p)
			leaving.loadFeatures.othersKnown = true
			for _, other := range leaving.view.All() {
				leaving.peers[other.Instance] = &peer{heartbeat: gossip.Heartbeat{Peer: other, Features: tt.features}}
			}
			n := &Node{state: leaving, logger: log.NewNopLogger(), gossip: gossip.NewClient()}
			t.Cleanup(n.gossip.Close)
			before := leaving.allotments.accounts[0].Credit(leaving.uptime(), "w")
			require.Positive(t, before)
			n.handOverAllotments(t.Context())
			at := owner
			if tt.name == tests[0].name {
				at = successor
			}
			assert.InDelta(t, before, f.states[at].allotments.accounts[0].Credit(leaving.uptime(), "w"), 1e-6)
			asker := f.states[f.names[0]]
			for i := 0; asker == leaving || asker == f.states[successor]; i++ {
				asker = f.states[f.names[i]]
			}
			c, ok := asker.portionsCall(asker.uptime(), 0, []allotment.Want{{Workspace: "w", Amount: 5, Min: 5, Urgent: true}})
			require.True(t, ok)
			held := asker.allotments.credit("w").Credit(asker.uptime())
			f.call(asker, &c)
			assert.InDelta(t, held+5, asker.allotments.credit("w").Credit(asker.uptime()), 1e-6)
			assert.InDelta(t, before-5, f.states[at].allotments.accounts[0].Credit(leaving.uptime(), "w"), 1e-6)
		})
	}
}

// While an owner is silent, requests that lack credit don't wait for it one after the other.
func TestSilentOwnersAreNotAskedByEachRequest(t *testing.T) {
	f := newAllottedFleet(2, true)
	s, logged := f.states["i0"], &lockedBuffer{}
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() }) // accepts no connection
	for i := range 60 {
		s.view.Observe(f.clock.now(), member.Peer{Instance: fleet.Instance(fmt.Sprint("silent", i)), Incarnation: "1", Sequence: 1, Place: fleet.Place{Region: regionOf(fleet.Instance(fmt.Sprint(i))), DataCentre: allDataCentres}, Address: l.Addr().String()})
	}
	n := &Node{state: s, logger: log.NewLogfmtLogger(logged), gossip: gossip.NewClient()}
	t.Cleanup(n.gossip.Close)
	g, w := gatewayFleet{s, n}, &s.catalog.Workspaces[0]
	for part := range allotmentParts {
		require.Contains(t, s.allotmentOwner(part), "silent")
	}
	charge := func(times int) int {
		before := strings.Count(logged.String(), "step=portions")
		for range times {
			_, wait, err := g.Charge(t.Context(), w, 1)
			require.ErrorIs(t, err, gateway.ErrNoAllotment)
			assert.Positive(t, wait)
		}
		return strings.Count(logged.String(), "step=portions") - before
	}
	assert.Equal(t, allotmentParts, charge(20))
	f.clock.elapsed += ownerBackoff
	assert.Equal(t, allotmentParts, charge(20), "asked again after a while")
}
