package timer

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEveryAndAfterInVirtualTime(t *testing.T) {
	clock := NewVirtual(start)
	s := New(clock, WithRandom(func() float64 { return 0.5 }))
	var got []string
	record := func(name string) func(time.Time) {
		return func(now time.Time) { got = append(got, now.Sub(start).String()+" "+name) }
	}
	cancel := s.Every(2*time.Second, 2*time.Second, record("beat"))
	s.After(4*time.Second, record("once"))
	cancelDropped := s.After(5*time.Second, record("dropped"))
	cancelDropped()
	for range 10 {
		clock.Advance(time.Second)
		s.Fire()
	}
	cancel()
	clock.Advance(10 * time.Second)
	s.Fire()
	assert.Equal(t, []string{"3s beat", "4s once", "6s beat", "9s beat"}, got)
}

func TestCancelInsideCall(t *testing.T) {
	clock := NewVirtual(start)
	s := New(clock)
	calls := 0
	var cancel func()
	cancel = s.Every(time.Second, 0, func(time.Time) {
		calls++
		cancel()
	})
	for range 3 {
		clock.Advance(time.Second)
		s.Fire()
	}
	assert.Equal(t, 1, calls)
}

func TestStartOnSystemClock(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, stop := context.WithCancel(context.Background())
	var g errgroup.Group
	s := New(System{})
	s.Start(ctx, &g)
	called := make(chan struct{})
	s.After(time.Millisecond, func(time.Time) { close(called) })
	<-called
	stop()
	require.NoError(t, g.Wait())
}
