package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
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
			p := New(timers, WithHeap(func() uint64 { return tt.live }, func(percent int) { got = percent }, func(func()) {}))
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
	p := New(timers, WithHeap(func() uint64 { return live }, func(percent int) { sets = append(sets, percent) }, func(func()) {}))
	for _, live = range []uint64{2 * mib, 32 * mib, 31 * mib, 200 * mib} {
		p.Request()
		clock.Advance(checkInterval)
		timers.Fire()
	}
	require.Equal(t, []int{maxPercent, 200, minPercent}, sets, "small changes are skipped")
}

// A live heap that grows between two checks must not be multiplied by the percentage of a small one.
func TestGarbageIsBoundedWhileTheLiveHeapGrows(t *testing.T) {
	const live, piece = 64 * mib, 64 << 10
	defer debug.SetGCPercent(debug.SetGCPercent(100))
	timers := timer.New(timer.NewVirtual(time.Unix(1_000_000, 0)))
	runtime.GC()
	New(timers).Request()
	var kept [][]byte
	for range live / piece {
		kept = append(kept, make([]byte, piece))
	}
	require.Eventually(t, func() bool {
		runtime.GC()
		sample := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
		metrics.Read(sample)
		return sample[0].Value.Uint64() < live+2*targetGarbage
	}, time.Second, 10*time.Millisecond, "goal of the next collection")
	runtime.KeepAlive(kept)
}

// A live heap that has grown must not be multiplied by the percentage of a small one before that is adjusted.
func TestMemoryLimitBoundsGarbage(t *testing.T) {
	const live, piece, limit = 64 * mib, 64 << 10, 160 * mib
	defer debug.SetGCPercent(debug.SetGCPercent(maxPercent))
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	SetMemoryLimit(limit)
	var kept [][]byte
	for range live / piece {
		kept = append(kept, make([]byte, piece))
	}
	runtime.GC()
	sample := []metrics.Sample{{Name: "/gc/heap/goal:bytes"}}
	metrics.Read(sample)
	require.LessOrEqual(t, sample[0].Value.Uint64(), uint64(limit), "goal of the next collection")
	runtime.KeepAlive(kept)
}

// The percentage follows collections while requests arrive, and not once the process is idle.
func TestPercentFollowsCollections(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	timers := timer.New(clock)
	live, got := uint64(2*mib), 0
	var observers []func()
	collect := func() {
		called := observers
		observers = nil
		for _, fn := range called {
			fn()
		}
	}
	p := New(timers, WithHeap(func() uint64 { return live }, func(percent int) { got = percent }, func(fn func()) { observers = append(observers, fn) }))
	for range 2 { // a second time after the process was idle
		live = 2 * mib
		p.Request()
		require.Equal(t, maxPercent, got)
		live = 64 * mib
		collect()
		require.Equal(t, 100, got, "without a check")
		require.Len(t, observers, 1)
		clock.Advance(idleTimeout + time.Second)
		timers.Fire()
		live = 2 * mib
		collect()
		require.Equal(t, minPercent, got, "idle")
		require.Empty(t, observers)
	}
}

func TestReadLiveBytes(t *testing.T) {
	require.NotPanics(t, func() { readLiveBytes() })
}
