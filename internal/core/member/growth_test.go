package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// The load of hundreds of instances that start together and then change their document:
// what one instance sends and receives must not grow with their number.
func TestMessagesOfAnInstanceDontGrowWithTheFleet(t *testing.T) {
	const (
		maxSent     = broadcastFanout + replyFanout // in any round
		maxSteady   = DefaultFanout                 // in a round without news
		maxReceived = 3 * maxSent                   // in any round
		rounds      = 60
	)
	for _, size := range []int{9, 60, 295, 420} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newGroup(size)
			for round := range rounds {
				if round == 30 {
					c.views[0].SetRevision(7)
				}
				sent, received := c.step()
				assert.LessOrEqual(t, maxOf(sent), maxSent, "round %d", round)
				assert.LessOrEqual(t, maxOf(received), maxReceived, "round %d", round)
				if round > 50 {
					assert.LessOrEqual(t, maxOf(sent), maxSteady, "round %d", round)
				}
			}
			for _, v := range c.views {
				require.Len(t, v.Live("d1"), size, "all instances know each other")
				require.Equal(t, uint64(7), v.Self().Revision, "the document is in force everywhere")
			}
		})
	}
}

// group simulates instances of one group in virtual time. Each adopts the highest revision
// that it receives, as instances do that pull the document.
type group struct {
	views []*View
	index map[string]int
	round int
}

func newGroup(n int) *group {
	c := &group{index: make(map[string]int)}
	var list []Peer
	for i := range n {
		name := fmt.Sprintf("i%03d", i)
		c.index[name] = i
		list = append(list, peer(name, "r1", "d1"))
	}
	for _, p := range list {
		v := New(p, WithInterval(300*time.Millisecond))
		v.ApplyList(start, list)
		c.views = append(c.views, v)
	}
	return c
}

// step runs a round and returns how many heartbeats each instance sent and received.
func (c *group) step() (sent, received []int) {
	c.round++
	now := start.Add(time.Duration(c.round) * 300 * time.Millisecond)
	sent, received = make([]int, len(c.views)), make([]int, len(c.views))
	for i, v := range c.views {
		v.Tick(now)
		heartbeat, suspicions := v.Heartbeat(), v.Suspicions()
		for _, target := range v.Targets(now) {
			to := c.index[string(target.Instance)]
			sent[i]++
			received[to]++
			c.views[to].Observe(now, heartbeat)
			c.views[to].ReceiveSuspicions(suspicions)
			c.views[to].SetRevision(heartbeat.Revision)
		}
	}
	return sent, received
}

func maxOf(counts []int) int {
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return most
}
