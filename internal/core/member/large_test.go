package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func withoutSharedSuspicions(s *settings) { s.shareSuspicions = false }

// dataCentre simulates a large data centre in virtual time, one heartbeat round per step.
type dataCentre struct {
	views   []*View
	stopped map[int]bool
	dropped func(from, to, round int) bool
	round   int
}

func newDataCentre(n int, opts ...Option) *dataCentre {
	c := &dataCentre{stopped: map[int]bool{}, dropped: func(int, int, int) bool { return false }}
	var seeds []Peer
	for i := range n {
		seeds = append(seeds, peer(fmt.Sprintf("i%02d", i), "r1", "d1"))
	}
	for _, p := range seeds {
		v := New(p, append([]Option{WithInterval(time.Second)}, opts...)...)
		v.ApplyList(start, seeds)
		c.views = append(c.views, v)
	}
	return c
}

func (c *dataCentre) now() time.Time { return start.Add(time.Duration(c.round) * time.Second) }

// step runs a round and returns how many heartbeats were sent.
func (c *dataCentre) step() int {
	c.round++
	sent := 0
	for i, v := range c.views {
		if c.stopped[i] {
			continue
		}
		v.Tick(c.now())
		heartbeat, suspicions := v.Heartbeat(), v.Suspicions()
		for _, target := range v.Targets(c.now()) {
			var to int
			_, _ = fmt.Sscanf(string(target.Instance), "i%d", &to)
			sent++
			if !c.stopped[to] && !c.dropped(i, to, c.round) {
				c.views[to].Observe(c.now(), heartbeat)
				c.views[to].ReceiveSuspicions(suspicions)
			}
		}
	}
	return sent
}

// countLive counts the other running instances whose views record an instance as live.
func (c *dataCentre) countLive(i int) int {
	count := 0
	name := c.views[i].Self().Instance
	for j, v := range c.views {
		if state, _ := v.State(name); !c.stopped[j] && j != i && state == StateLive {
			count++
		}
	}
	return count
}

func TestStoppedInstanceIsSuspectedInTime(t *testing.T) {
	tests := []struct {
		name       string
		size       int
		opts       []Option
		stopped    []int
		want       int // rounds until no view records the stopped instance as live
		heartbeats int // heartbeats per instance and round
	}{
		{name: "small", size: 9, stopped: []int{4}, want: 3, heartbeats: 8},
		{name: "10 of 110 instances", size: 10, stopped: []int{4}, want: 3, heartbeats: 9},
		{name: "38 of 420 instances", size: 38, stopped: []int{4}, want: 3, heartbeats: DefaultFanout},
		{name: "without shared suspicions", size: 38, opts: []Option{withoutSharedSuspicions}, stopped: []int{4}, want: 6, heartbeats: DefaultFanout},
		{name: "with all its successors", size: 38, stopped: []int{4, 5, 6, 7}, want: 6, heartbeats: DefaultFanout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newDataCentre(tt.size, tt.opts...)
			sent := 0
			for range 20 {
				sent = c.step()
			}
			require.Equal(t, tt.size*tt.heartbeats, sent)
			for _, i := range tt.stopped {
				c.stopped[i] = true
			}
			rounds := 0
			for c.countLive(tt.stopped[0]) > 0 {
				c.step()
				rounds++
				require.Less(t, rounds, 30)
			}
			require.Equal(t, tt.want, rounds)
			for range 30 {
				c.step()
				require.Zero(t, c.countLive(tt.stopped[0]))
			}
		})
	}
}

// With few messages lost, a reachable instance must be suspected by few views at any time.
// A false suspicion arises when its successors miss heartbeats; the next one received ends it.
func TestMessageLossCausesFewFalseSuspicions(t *testing.T) {
	const size, victim = 38, 4
	tests := []struct {
		name          string
		dropped       func(from, to, round int) bool
		maxSuspecting int // views that suspect the victim in any round
	}{
		{name: "nothing lost", dropped: func(int, int, int) bool { return false }},
		{name: "one message in 20 lost", dropped: func(from, to, round int) bool { return (from*7919+to*104729+round*1299709)%20 == 0 }, maxSuspecting: 1},
		{name: "one successor unreachable", dropped: func(from, to, _ int) bool { return from == victim && to == victim+1 }, maxSuspecting: 1},
		{name: "two successors unreachable", dropped: func(from, to, _ int) bool { return from == victim && (to == victim+1 || to == victim+2) }, maxSuspecting: size / 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newDataCentre(size)
			for range 20 {
				c.step()
			}
			c.dropped = tt.dropped
			worst := 0
			for range 100 {
				c.step()
				worst = max(worst, size-1-c.countLive(victim))
			}
			require.LessOrEqual(t, worst, tt.maxSuspecting)
		})
	}
}

// An instance that resumes after a pause must keep its peers live, and they must record it
// as live again.
func TestPausedInstanceRejoinsLargeDataCentre(t *testing.T) {
	c := newDataCentre(38)
	for range 20 {
		c.step()
	}
	c.stopped[4] = true
	for range 20 {
		c.step()
	}
	require.Zero(t, c.countLive(4))
	c.stopped[4] = false
	for range 10 {
		c.step()
		for i := range c.views {
			state, _ := c.views[4].State(c.views[i].Self().Instance)
			require.Equal(t, StateLive, state)
		}
	}
	require.Equal(t, 37, c.countLive(4))
}

// A started instance must get a heartbeat from all peers at once. Waiting for its turn in
// their rotations would leave it without live peers for several rounds.
func TestStartedInstanceLearnsAllPeers(t *testing.T) {
	c := newDataCentre(38)
	for range 20 {
		c.step()
	}
	restarted := c.views[4].Self()
	restarted.Incarnation, restarted.Sequence = "fresh", 0
	seeds := c.views[4].All()
	c.views[4] = New(restarted, WithInterval(time.Second))
	c.views[4].ApplyList(c.now(), seeds)
	c.stopped[4] = true // it starts after its peers have noticed that it stopped
	for range 10 {
		c.step()
	}
	c.stopped[4] = false
	c.step()
	c.step()
	require.Len(t, c.views[4].Live("d1"), 38)
	require.Equal(t, 37, c.countLive(4))
}
