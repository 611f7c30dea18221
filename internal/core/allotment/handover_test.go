package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/allotment"
)

// An owner that stops as planned has its successor go on with the credit and the shares, so that callers of
// another instance that use nearly the whole allotment are served until the shares of the stopped one end.
func TestStopOfOwnerRefusesNothing(t *testing.T) {
	limit := allotment.Limit{Rate: 60, Burst: 20}
	for seed := range uint64(20) {
		s := newSim(seed, 6, parts, map[string]allotment.Limit{"w": limit})
		refused := 0
		s.refused = func(*node, float64, time.Duration) { refused++ }
		owners := []*node{s.nodes[s.candidate(s.nodes[0], 0)], s.nodes[s.candidate(s.nodes[0], 1)]}
		sound := s.nodes[0]
		for sound == owners[0] || sound == owners[1] {
			sound = s.nodes[sound.id+1]
		}
		for i, n := range owners {
			s.at(8*time.Second+time.Duration(i)*600*ms, func() { s.leave(n, 750*ms) })
		}
		for at := 6 * time.Second; at < 14*time.Second; at += 25 * ms {
			s.at(at, func() { s.request(sound, "w", 1, 0) })
		}
		s.run(15 * time.Second)
		assert.Zero(t, refused, "seed %d", seed)
	}
}

// Instances lend their shares as soon as they may after their start.
func TestSharesAreLentSoonAfterTheStart(t *testing.T) {
	const from = allotment.LeaseTime + allotment.PortionTime + allotment.AskInterval + 50*ms
	for seed := range uint64(20) {
		s := newSim(seed, 3, parts, map[string]allotment.Limit{"w": {Rate: 60, Burst: 20}})
		s.run(from)
		for part := range parts {
			owner := s.nodes[s.candidate(s.nodes[0], part)]
			assert.InDelta(t, 1, owner.accounts[part].Usable(s.now), 1e-9, "seed %d, part %d", seed, part)
		}
	}
}
