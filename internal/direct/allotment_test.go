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

	"github.com/chiveramp/chiveramp/internal/core/allotment"
	"github.com/chiveramp/chiveramp/internal/core/catalog"
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
		s.receivePortions(c, owner.answerPortions(c.question))
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
