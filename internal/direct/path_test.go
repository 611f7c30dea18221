package direct

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/core/shutdown"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// addPeer makes a state know a live peer.
func addPeer(s *state, name fleet.Instance, region fleet.Region, cutOff bool) {
	s.receiveHeartbeat(&gossip.Heartbeat{
		Peer:  member.Peer{Instance: name, Incarnation: "1", Sequence: 1, Place: fleet.Place{DataCentre: allDataCentres}, Address: string(name)},
		Place: fleet.Place{Region: region}, Ready: true, CutOff: cutOff,
	})
}

// stateWithPaths returns the state of an instance in the region "south" that knows some endpoints there.
func stateWithPaths(w *testClock, endpoints int) *state {
	s := newTestState(w)
	s.regions["b"] = "north"
	for i := range endpoints {
		id := fleet.Endpoint(fmt.Sprint("e", i))
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: int64(2 + i), Entry: roster.Entry{ID: id, Service: "s", DataCentre: "a", Slots: 4, Revision: int64(2 + i)}}}, int64(2+i), false)
	}
	return s
}

// An instance that is cut off from most endpoints doesn't make others avoid them.
func TestFailuresBehindACutAreNotAnnounced(t *testing.T) {
	for _, c := range []struct {
		relayed, announced int
	}{{0, 4}, {1, 4}, {2, 0}, {4, 0}} {
		t.Run(fmt.Sprintf("%d reached through peers", c.relayed), func(t *testing.T) {
			s := stateWithPaths(&testClock{}, 4)
			for i := range 4 {
				s.recordFailure(fleet.Endpoint(fmt.Sprint("e", i)), 0)
			}
			for i := range c.relayed {
				s.pathRelayed(fleet.Endpoint(fmt.Sprint("e", i)), "two")
			}
			_, b := s.heartbeat()
			assert.Len(t, b.Failed, c.announced)
			assert.Equal(t, c.announced == 0, b.CutOff)
		})
	}
}

// Connections go through peers in the region of either end if possible, through none that is cut off
// itself, and are spread over the others.
func TestPeersToConnectThrough(t *testing.T) {
	s := stateWithPaths(&testClock{}, 40)
	addPeer(s, "far-1", "north", false)
	addPeer(s, "cut-1", "south", true)
	for i := range 3 {
		addPeer(s, fleet.Instance(fmt.Sprint("near-", i)), "south", false)
	}
	used := make(map[fleet.Instance]int)
	for i := range 40 {
		relays := s.relays(fleet.Endpoint(fmt.Sprint("e", i)))
		require.Len(t, relays, relayCandidates)
		for _, p := range relays {
			assert.Equal(t, fleet.Region("south"), p.heartbeat.Place.Region)
			assert.False(t, p.heartbeat.CutOff)
		}
		used[relays[0].heartbeat.Peer.Instance]++
	}
	assert.Len(t, used, 3)
	for name, n := range used {
		assert.Less(t, n, 27, "%s carries most of 40", name)
	}
	assert.Empty(t, s.relays("unknown"))
}

// A refused connect shows that nothing listens only if a peer finds the same, or there is none.
func TestRefusedConnectsNeedConfirmation(t *testing.T) {
	tests := []struct {
		name    string
		before  func(s *state)
		refused int // connects that have failed before
		want    bool
	}{
		{name: "no peer", before: func(*state) {}, want: true},
		{name: "a peer that wasn't asked", before: func(s *state) { addPeer(s, "two", "south", false) }},
		{name: "a peer finds the same", before: func(s *state) {
			addPeer(s, "two", "south", false)
			s.relayFailed("e0", fmt.Errorf("peer: %w", gossip.ErrRelayRefused))
		}, want: true},
		{name: "a peer doesn't reach it", before: func(s *state) {
			addPeer(s, "two", "south", false)
			s.relayFailed("e0", gossip.ErrRelayUnreachable)
		}},
		{name: "most endpoints refuse", before: func(*state) {}, refused: 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := stateWithPaths(&testClock{}, 9)
			tt.before(s)
			for i := range tt.refused {
				s.pathFailed(fleet.Endpoint(fmt.Sprint("e", i)))
			}
			assert.Equal(t, tt.want, s.refusalConfirmed("e0"))
			c := &connect{node: &Node{state: s}, id: "e0"}
			err := c.failure(&net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}, errNoRelay)
			assert.Equal(t, tt.want, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
		})
	}
}

// What an instance carries for its peers is bounded, and an endpoint that leaves, wants to be spared
// or has another incarnation isn't connected to.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	n := newTestNode(t, "one", nil)
	n.state.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 1, Entry: roster.Entry{ID: "p", Born: 3, Service: "s", Revision: 1}}}, 1, true)
	far, near := net.Pipe()
	defer func() { _, _ = far.Close(), near.Close() }()
	n.dialDirect = func(context.Context, fleet.Endpoint, int64, string) (net.Conn, error) { return near, nil }
	var open []net.Conn
	for range maxRelayed {
		conn, err := n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
		require.NoError(t, err)
		open = append(open, conn)
	}
	_, err := n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.ErrorIs(t, err, gossip.ErrRelayBusy)
	_ = open[0].Close()
	_ = open[0].Close() // counts once
	_, err = n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.NoError(t, err)
	_, err = n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.ErrorIs(t, err, gossip.ErrRelayBusy)
	for _, refused := range []gossip.Relay{{Endpoint: "p", Born: 2}, {Endpoint: "q", Born: 3}} {
		_, err = n.Relay(t.Context(), &refused)
		require.ErrorIs(t, err, gossip.ErrRelayUnreachable)
	}
	n.state.recordLeft("p", 3)
	_, err = n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.ErrorIs(t, err, gossip.ErrRelayUnreachable, "it leaves")
}

// An instance that leaves connects no more for its peers: it may be gone before their requests have ended.
func TestLeavingInstanceConnectsForNoPeer(t *testing.T) {
	n := newTestNode(t, "one", nil)
	n.state.applyRecords(fromStore, []roster.Record{{ID: "p", Revision: 1, Entry: roster.Entry{ID: "p", Born: 3, Service: "s", Revision: 1}}}, 1, true)
	far, near := net.Pipe()
	defer func() { _, _ = far.Close(), near.Close() }()
	n.dialDirect = func(context.Context, fleet.Endpoint, int64, string) (net.Conn, error) { return near, nil }
	conn, err := n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.NoError(t, err)
	n.state.leave(shutdown.Plan{Closes: n.clock().Add(time.Second)})
	_, err = n.Relay(t.Context(), &gossip.Relay{Endpoint: "p", Born: 3})
	require.ErrorIs(t, err, gossip.ErrRelayBusy)
	assert.EqualValues(t, 1, n.relayed.Load(), "the connection that was open before stays")
	_ = conn.Close()
	assert.Zero(t, n.relayed.Load())
}

// What answers in an endpoint's data centre shows that the path to it is sound; what answers in
// another doesn't.
func TestRefusalsInADataCentreThatAnswers(t *testing.T) {
	for _, c := range []struct {
		name     string
		answered fleet.Endpoint
		want     bool
	}{{"none answers", "", false}, {"one beside it answers", "e8", true}, {"one elsewhere answers", "far", false}} {
		t.Run(c.name, func(t *testing.T) {
			w := &testClock{}
			s := stateWithPaths(w, 9)
			s.applyRecords(fromStore, []roster.Record{{ID: "far", Revision: 20, Entry: roster.Entry{ID: "far", Service: "s", DataCentre: "b", Slots: 4, Revision: 20}}}, 20, false)
			addPeer(s, "two", "south", false)
			for i := range 6 {
				s.pathFailed(fleet.Endpoint(fmt.Sprint("e", i)))
				s.relayFailed(fleet.Endpoint(fmt.Sprint("e", i)), gossip.ErrRelayRefused)
			}
			w.elapsed += time.Millisecond
			s.RecordReport(c.answered, roster.Report{})
			assert.Equal(t, c.want, s.refusalConfirmed("e0"))
			assert.Equal(t, c.want, s.mayConfirmRefusal("e0"))
		})
	}
}
