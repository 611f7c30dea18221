package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/feature"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
	"github.com/chiveramp/chiveramp/pkg/config"
)

func TestServicesFrom(t *testing.T) {
	endpoints := map[catalog.Service]int{"large": 90, "small": 6}
	assert.Equal(t, map[catalog.Service]bool{"large": true}, servicesFrom(endpoints, 80, true))
	assert.Empty(t, servicesFrom(endpoints, 0, true), "switched off")
	assert.Empty(t, servicesFrom(endpoints, 80, false), "an instance of an earlier build is live")
}

// A service has what its size calls for as of the last heartbeat.
func TestLoadFeatures(t *testing.T) {
	var s state
	assert.False(t, s.evens("large"), "before the first heartbeat")
	assert.False(t, s.queues("large"), "before the first heartbeat")
	s.loadFeatures.even = map[catalog.Service]bool{"large": true}
	assert.True(t, s.evens("large"))
	assert.False(t, s.evens("small"))
	assert.False(t, s.queues("large"))
}

// upgradedState returns the state of an instance that has just started and announces a feature.
func upgradedState(w *testClock) *state {
	s := newTestState(w)
	s.loadFeatures.announced = []feature.Feature{feature.Queue}
	s.loadFeatures.settings = config.GatewayLoad{Queue: 1}
	return s
}

// startOf returns the first heartbeat of a start of the peer.
func startOf(incarnation string, features ...feature.Feature) *gossip.Heartbeat {
	b := heartbeatFrom(1, 0)
	b.Peer.Incarnation, b.Features = incarnation, features
	return b
}

// Builds run side by side during a rolling upgrade and on the way back.
func TestFeatureNeedsAllInstances(t *testing.T) {
	w := &testClock{}
	s := upgradedState(w)
	s.heartbeat()
	assert.False(t, s.queues("s"), "started, no list yet")
	s.receiveHeartbeat(startOf("7", feature.Queue))
	assert.False(t, s.queues("s"), "the list may name others")
	listed := func(name fleet.Instance) member.Peer {
		return member.Peer{Instance: name, Place: fleet.Place{DataCentre: allDataCentres}}
	}
	s.applyInstances([]member.Peer{listed("two"), listed("three")})
	s.heartbeat()
	assert.False(t, s.queues("s"), "no heartbeat of a listed instance yet")
	third := startOf("3", feature.Queue)
	third.Peer.Instance = "three"
	s.receiveHeartbeat(third)
	s.heartbeat()
	assert.True(t, s.queues("s"), "all announce it")

	s.receiveHeartbeat(startOf("8"))
	assert.False(t, s.queues("s"), "an earlier build is back")
	s.receiveHeartbeat(startOf("7", feature.Queue))
	assert.False(t, s.queues("s"), "a late heartbeat of the start before")
	s.receiveHeartbeat(startOf("9", feature.Queue))
	assert.True(t, s.queues("s"), "upgraded again")

	s.receiveHeartbeat(startOf("10"))
	leaving := startOf("10")
	leaving.Peer.Sequence, leaving.Peer.Leaving = 2, true
	s.receiveHeartbeat(leaving)
	assert.False(t, s.queues("s"), "it still has requests in flight")
	for range 10 {
		w.elapsed += 300 * time.Millisecond
		third.Peer.Sequence++
		s.receiveHeartbeat(third)
		s.heartbeat()
	}
	assert.True(t, s.queues("s"), "it is gone")
}

// A listed instance that never answers doesn't keep a feature away for longer than it takes to
// be considered dead.
func TestFeatureWithoutAListedInstance(t *testing.T) {
	w := &testClock{}
	s := upgradedState(w)
	s.applyInstances([]member.Peer{{Instance: "two", Place: fleet.Place{DataCentre: allDataCentres}}})
	s.heartbeat()
	assert.False(t, s.queues("s"))
	for range 8 {
		w.elapsed += 300 * time.Millisecond
		s.heartbeat()
	}
	assert.True(t, s.queues("s"))
	s.receiveHeartbeat(startOf("7"))
	assert.False(t, s.queues("s"), "it was only cut off")
}
