package direct

import (
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
)

// Few heartbeats name the build; it holds until the peer starts again.
func TestBuildsOfLiveInstances(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	s.build = "bbbbbbb"
	named := 0
	for range 2 * buildRounds {
		if _, b := s.heartbeat(); b.Build != "" {
			named++
		}
	}
	assert.Equal(t, 2, named)
	first := startOf("7")
	first.Build = "aaaaaaa"
	s.receiveHeartbeat(first)
	next := startOf("7")
	next.Peer.Sequence = 2
	s.receiveHeartbeat(next)
	assert.Equal(t, "aaaaaaa:1,bbbbbbb:1", s.builds())
	n := &Node{state: s, registry: metrics.NewRegistry()}
	n.countBuilds()
	s.receiveHeartbeat(startOf("8"))
	assert.Equal(t, "bbbbbbb:1,unnamed:1", s.builds(), "an earlier build doesn't name itself")
	n.countBuilds()
	counts := make(map[string]int64)
	n.registry.Each(func(name string, m any) {
		if g, ok := m.(metrics.Gauge); ok {
			counts[name] = g.Value()
		}
	})
	assert.Equal(t, map[string]int64{buildGauge + "aaaaaaa": 0, buildGauge + "bbbbbbb": 1, buildGauge + "unnamed": 1}, counts)
}
