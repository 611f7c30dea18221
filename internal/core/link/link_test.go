package link_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/link"
)

func TestFull(t *testing.T) {
	const beat = 100 * time.Millisecond
	start := time.Unix(1_000_000, 0)
	// delays returns the delay in milliseconds of the heartbeat of a round.
	constant := func(ms int) func(int) int { return func(int) int { return ms } }
	tests := []struct {
		name      string
		own, far  func(round int) int
		rounds    int
		later     time.Duration // after the last heartbeat
		want      bool
		wantDelay time.Duration
	}{
		{name: "sound", own: constant(1), far: constant(20), rounds: 30},
		{name: "full", own: constant(1), far: constant(600), rounds: 30, want: true, wantDelay: 599 * time.Millisecond},
		{name: "most senders are slow", own: constant(1), far: func(i int) int { return 600 * min(1, i%5) }, rounds: 30},
		{name: "this instance was frozen", own: constant(700), far: constant(710), rounds: 30},
		{name: "clears", own: constant(1), far: func(i int) int { return 600 - 20*i }, rounds: 30},
		{name: "full long ago", own: constant(1), far: constant(600), rounds: 30, later: 3 * time.Second},
		{name: "nothing from the own region", far: constant(600), rounds: 30, want: true, wantDelay: 600 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tracker, now := link.NewTracker("south"), start
			for i := range tt.rounds {
				now = now.Add(beat)
				if tt.own != nil {
					tracker.Observe(now, "south", time.Duration(tt.own(i))*time.Millisecond)
				}
				tracker.Observe(now, "north", time.Duration(tt.far(i))*time.Millisecond)
			}
			want := map[fleet.Region]time.Duration{}
			if tt.want {
				want["north"] = tt.wantDelay
			}
			assert.Equal(t, want, tracker.Full(now.Add(tt.later)))
		})
	}
	assert.Empty(t, link.NewTracker("south").Full(start))
}

// A queue on a link counts long before the link is full.
func TestQueues(t *testing.T) {
	tracker, now := link.NewTracker("south"), time.Unix(1_000_000, 0)
	for region, delay := range map[fleet.Region]time.Duration{"south": time.Millisecond, "north": 90 * time.Millisecond, "west": 5 * time.Millisecond} {
		tracker.Observe(now, region, delay)
	}
	assert.Equal(t, map[fleet.Region]time.Duration{"north": 89 * time.Millisecond}, tracker.Queues(now))
	assert.Empty(t, tracker.Full(now))
	assert.Empty(t, tracker.Queues(now.Add(time.Minute)), "nothing recent")
}
