package dispatch

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/presence"
)

// departingCaller leaves once its request has a slot.
type departingCaller struct{ leave func() }

func (d departingCaller) Draining(fleet.Endpoint, fleet.Model) bool {
	d.leave()
	return false
}

// The turn of a request may come together with the news that its caller has left.
func TestRequestWhoseCallerLeavesAsItsTurnComesIsNotSent(t *testing.T) {
	for _, by := range []string{"context", "connection"} {
		t.Run(by, func(t *testing.T) {
			var group errgroup.Group
			left := false
			ctx, cancel := context.WithCancel(presence.With(t.Context(), presence.Func(func() bool { return left })))
			defer cancel()
			leave := func() { left = true }
			if by == "context" {
				leave = cancel
			}
			engine := new(countingEngine)
			pool := New("i1", &group, newFakeTimers(), engine, oneEndpoint{}, WithDraining(departingCaller{leave}))
			defer pool.Close()
			end := pool.Serve(ctx, serviceRequest("a-1", "e-1"), &recorder{})
			require.NoError(t, group.Wait())
			require.Equal(t, CodeCancelled, end.Code)
			require.Equal(t, string(fleet.OutcomeNotRun), end.Outcome)
			require.Zero(t, engine.sent)
			load, err := pool.QueueLoad(t.Context(), "e-1")
			require.NoError(t, err)
			require.Zero(t, load.Running, "it keeps no slot")
		})
	}
}
