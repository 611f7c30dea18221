package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withoutRumours(s *settings) { s.rumours = false }

// centre is a large data centre in virtual time. A message takes a round.
type centre struct {
	views []*View
	gone  map[int]bool
	lost  func(from, to, round int) bool
	round int
}

func newCentre(n int, opts ...Option) *centre {
	c := &centre{gone: map[int]bool{}, lost: func(int, int, int) bool { return false }}
	var seeds []Peer
	for i := range n {
		seeds = append(seeds, peer(fmt.Sprintf("i%02d", i), "r1", "d1"))
	}
	for _, p := range seeds {
		v := New(p, append([]Option{WithInterval(time.Second)}, opts...)...)
		v.Listed(start, seeds)
		c.views = append(c.views, v)
	}
	return c
}

func (c *centre) now() time.Time { return start.Add(time.Duration(c.round) * time.Second) }

// step runs a round and returns how many heartbeats were sent.
func (c *centre) step() int {
	c.round++
	sent := 0
	for i, v := range c.views {
		if c.gone[i] {
			continue
		}
		v.Tick(c.now())
		beat, rumours := v.Beat(), v.Rumours()
		for _, target := range v.Targets(c.now()) {
			var to int
			_, _ = fmt.Sscanf(string(target.Instance), "i%d", &to)
			sent++
			if !c.gone[to] && !c.lost(i, to, c.round) {
				c.views[to].Observe(c.now(), beat)
				c.views[to].HearRumours(rumours)
			}
		}
	}
	return sent
}

// believed counts the views that take an instance for live.
func (c *centre) believed(i int) int {
	count := 0
	name := c.views[i].Self().Instance
	for j, v := range c.views {
		if state, _ := v.State(name); !c.gone[j] && j != i && state == StateLive {
			count++
		}
	}
	return count
}

func TestLostInstanceIsSuspectedInTime(t *testing.T) {
	tests := []struct {
		name string
		size int
		opts []Option
		gone []int
		want int // rounds until nobody takes the lost for live
		beat int // heartbeats of an instance a round
	}{
		{name: "small", size: 9, gone: []int{4}, want: 3, beat: 8},
		{name: "110 instances", size: 10, gone: []int{4}, want: 3, beat: 9},
		{name: "420 instances", size: 38, gone: []int{4}, want: 3, beat: DefaultFanout},
		{name: "without rumours", size: 38, opts: []Option{withoutRumours}, gone: []int{4}, want: 6, beat: DefaultFanout},
		{name: "with all its followers", size: 38, gone: []int{4, 5, 6, 7}, want: 6, beat: DefaultFanout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCentre(tt.size, tt.opts...)
			sent := 0
			for range 20 {
				sent = c.step()
			}
			require.Equal(t, tt.size*tt.beat, sent)
			for _, i := range tt.gone {
				c.gone[i] = true
			}
			rounds := 0
			for c.believed(tt.gone[0]) > 0 {
				c.step()
				rounds++
				require.Less(t, rounds, 30)
			}
			require.Equal(t, tt.want, rounds)
			for range 30 {
				c.step()
				require.Zero(t, c.believed(tt.gone[0]))
			}
		})
	}
}

// The share of messages lost is bounded so that no suspicion holds: whoever is
// suspected falsely is heard again at once.
func TestNobodyWhoIsHeardStaysSuspected(t *testing.T) {
	const size, victim = 38, 4
	tests := []struct {
		name string
		lost func(from, to, round int) bool
		most int // views that suspect the victim in any round
	}{
		{name: "nothing lost", lost: func(int, int, int) bool { return false }},
		{name: "one message in 20 lost", lost: func(from, to, round int) bool { return (from*7919+to*104729+round*1299709)%20 == 0 }, most: 1},
		{name: "not heard by one follower", lost: func(from, to, _ int) bool { return from == victim && to == victim+1 }, most: 1},
		{name: "not heard by two followers", lost: func(from, to, _ int) bool { return from == victim && (to == victim+1 || to == victim+2) }, most: size / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newCentre(size)
			for range 20 {
				c.step()
			}
			c.lost = tt.lost
			worst := 0
			for range 100 {
				c.step()
				worst = max(worst, size-1-c.believed(victim))
			}
			require.LessOrEqual(t, worst, tt.most)
		})
	}
}

// A paused instance forgives the others, and is heard again by them.
func TestPausedInstanceOfALargeDataCentre(t *testing.T) {
	c := newCentre(38)
	for range 20 {
		c.step()
	}
	c.gone[4] = true
	for range 20 {
		c.step()
	}
	require.Zero(t, c.believed(4))
	c.gone[4] = false
	for range 10 {
		c.step()
		for i := range c.views {
			state, _ := c.views[4].State(c.views[i].Self().Instance)
			require.Equal(t, StateLive, state)
		}
	}
	require.Equal(t, 37, c.believed(4))
}

// An instance that starts is answered at once by all, not only when its turn comes.
func TestStartedInstanceKnowsTheOthers(t *testing.T) {
	c := newCentre(38)
	for range 20 {
		c.step()
	}
	fresh := c.views[4].Self()
	fresh.Incarnation, fresh.Sequence = "fresh", 0
	seeds := c.views[4].All()
	c.views[4] = New(fresh, WithInterval(time.Second))
	c.views[4].Listed(c.now(), seeds)
	c.gone[4] = true // it starts after the others have noticed
	for range 10 {
		c.step()
	}
	c.gone[4] = false
	c.step()
	c.step()
	require.Len(t, c.views[4].Live("d1"), 38)
	require.Equal(t, 37, c.believed(4))
}
