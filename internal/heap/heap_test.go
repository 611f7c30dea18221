package heap

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/timer"
)

const mib = 1 << 20

func TestPercentByLiveHeap(t *testing.T) {
	tests := []struct {
		name string
		live uint64
		want int
	}{
		{name: "unknown live heap", want: maxPercent},
		{name: "small live heap", live: 2 * mib, want: maxPercent},
		{name: "medium live heap", live: 32 * mib, want: 200},
		{name: "large live heap", live: 500 * mib, want: minPercent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(1_000_000, 0))
			timers := timer.New(clock)
			got := minPercent
			p := New(timers, WithHeap(func() uint64 { return tt.live }, func(percent int) { got = percent }))
			for range 2 { // a second time after the process was idle
				p.Request()
				require.Equal(t, tt.want, got)
				clock.Advance(idleTimeout - time.Second)
				timers.Fire()
				require.Equal(t, tt.want, got, "not idle before idleTimeout")
				clock.Advance(2 * time.Second)
				timers.Fire()
				require.Equal(t, minPercent, got, "idle")
			}
		})
	}
}

func TestPercentFollowsLiveHeap(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	timers := timer.New(clock)
	live, sets := uint64(2*mib), []int{}
	p := New(timers, WithHeap(func() uint64 { return live }, func(percent int) { sets = append(sets, percent) }))
	for _, live = range []uint64{2 * mib, 32 * mib, 31 * mib, 200 * mib} {
		p.Request()
		clock.Advance(checkInterval)
		timers.Fire()
	}
	require.Equal(t, []int{maxPercent, 200, minPercent}, sets, "small changes are skipped")
}

func TestReadLiveBytes(t *testing.T) {
	require.NotPanics(t, func() { readLiveBytes() })
}
