package member

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
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

// Whatever changes which instance dispatches to an endpoint changes the view's version.
func TestVersionChangesWithTheDispatchers(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	v := New(peer("i00", "r1", "d1"), WithInterval(300*time.Millisecond))
	now, sequence := start, uint64(0)
	dispatchers := func() string {
		text := ""
		for i := range 40 {
			p, _ := v.Dispatcher(fleet.Endpoint(fmt.Sprint(i)), v.Self().Place)
			text += string(p.Instance) + p.Address + " "
		}
		return text
	}
	before, version := dispatchers(), v.Version()
	changes := 0
	for range 2000 {
		now = now.Add(100 * time.Millisecond)
		sequence++
		p := peer(fmt.Sprintf("i%02d", 1+random.IntN(12)), "r1", "d1")
		p.Sequence, p.Incarnation, p.Leaving = sequence, fmt.Sprint(random.IntN(2)), random.IntN(30) == 0
		switch random.IntN(4) {
		case 0:
			v.Tick(now)
		case 1:
			v.Unreachable(p.Instance)
		default:
			v.Observe(now, p)
		}
		if after := dispatchers(); after != before {
			require.NotEqual(t, version, v.Version())
			before = after
			changes++
		}
		version = v.Version()
	}
	require.Greater(t, changes, 100)
}
