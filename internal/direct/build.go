package direct

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

const (
	// buildRounds is the number of heartbeats of which the first one names the sender's build.
	buildRounds = 7
	// unnamedBuild stands for the build of an instance that has not named it.
	unnamedBuild = "unnamed"
	buildGauge   = "instances;build="
)

// buildNews returns what a heartbeat names as this instance's build, empty in most.
func (s *state) buildNews(sequence uint64) string {
	if sequence%buildRounds != 1 {
		return ""
	}
	return s.build
}

// knownBuild returns the build of a peer, as of a heartbeat from it and the one before.
func knownBuild(previous *peer, b *gossip.Heartbeat) string {
	if b.Build == "" && previous != nil && previous.heartbeat.Peer.Incarnation == b.Peer.Incarnation {
		return previous.build
	}
	return b.Build
}

// buildOf returns the build of a peer.
func (s *state) buildOf(name fleet.Instance) string {
	if p := s.peers[name]; p != nil && p.build != "" {
		return p.build
	}
	return unnamedBuild
}

// liveBuilds returns how many instances run each build, as far as this one has received.
func (s *state) liveBuilds() map[string]int64 {
	counts := map[string]int64{s.build: 1}
	for _, other := range s.view.All() {
		if state, _ := s.view.State(other.Instance); state == member.StateLive && other.Instance != s.view.Self().Instance {
			counts[s.buildOf(other.Instance)]++
		}
	}
	return counts
}

// builds describes the live instances by build, for the log.
func (s *state) builds() string {
	counts := s.liveBuilds()
	var all []string
	for _, build := range slices.Sorted(maps.Keys(counts)) {
		all = append(all, fmt.Sprintf("%s:%d", build, counts[build]))
	}
	return strings.Join(all, ",")
}

// countBuilds updates the gauges of live instances by build.
func (n *Node) countBuilds() {
	n.state.mu.Lock()
	counts := n.state.liveBuilds()
	n.state.mu.Unlock()
	n.registry.Each(func(name string, m any) {
		build, ok := strings.CutPrefix(name, buildGauge)
		if g, isGauge := m.(metrics.Gauge); ok && isGauge {
			g.Update(counts[build])
		}
	})
	for build, count := range counts {
		metrics.GetOrRegisterGauge(buildGauge+build, n.registry).Update(count)
	}
}
