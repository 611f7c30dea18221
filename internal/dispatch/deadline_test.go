package dispatch

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/timer"
)

// silentEngine never answers. A request reaches it some time after it was sent, and starts later.
type silentEngine struct {
	Engine
	transit, queued time.Duration
	lost            bool // requests don't arrive
	sentAt          time.Time
}

func (e *silentEngine) Start(ctx context.Context, _ string, _ endpoint.Call) (*endpoint.Stream, error) {
	e.sentAt = time.Now()
	<-ctx.Done()
	return nil, errors.Join(endpoint.ErrInterrupted, ctx.Err())
}

func (e *silentEngine) Resume(context.Context, string, string, uint64) (*endpoint.Stream, error) {
	return nil, endpoint.ErrGone
}

func (e *silentEngine) Cancel(context.Context, string, string) (bool, error) {
	since := time.Since(e.sentAt)
	if e.lost || since < e.transit {
		return false, endpoint.ErrGone
	}
	return since >= e.transit+e.queued, nil
}

// systemTimers are timers on the clock of the test, without sweeps.
type systemTimers struct{ timer.System }

func (systemTimers) Every(time.Duration, time.Duration, func(time.Time)) func() { return func() {} }

// A request whose deadline passes at an endpoint is reported as not run if it had not started there,
// also if it was still on its way when it was cancelled, or was not sent for want of time.
func TestRequestThatHasNotStartedByItsDeadline(t *testing.T) {
	const left = 100 * time.Millisecond
	tests := []struct {
		name    string
		engine  silentEngine
		left    time.Duration
		outcome fleet.Outcome
		sent    bool
	}{
		{name: "started", engine: silentEngine{}, left: left, outcome: fleet.OutcomeUnknown, sent: true},
		{name: "queued at the endpoint", engine: silentEngine{queued: time.Second}, left: left, outcome: fleet.OutcomeNotRun, sent: true},
		{name: "on its way", engine: silentEngine{transit: left + cancelDelay, queued: time.Second}, left: left, outcome: fleet.OutcomeNotRun, sent: true},
		{name: "on its way, started when it arrives", engine: silentEngine{transit: left + cancelDelay}, left: left, outcome: fleet.OutcomeUnknown, sent: true},
		{name: "lost", engine: silentEngine{lost: true}, left: left, outcome: fleet.OutcomeUnknown, sent: true},
		{name: "no time left", engine: silentEngine{transit: time.Second, queued: time.Second}, left: minTimeLeft - time.Millisecond, outcome: fleet.OutcomeNotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group errgroup.Group
				pool := New("i1", &group, systemTimers{}, &tt.engine, oneEndpoint{})
				defer pool.Close()
				begin := time.Now()
				end := pool.Serve(t.Context(), peer.Request{Submit: &peerpb.Submit{
					Request: "r-1", Attempt: "a-1", Endpoint: "e-1", Model: "m", Deadline: begin.Add(tt.left).UnixMilli(),
				}, Body: strings.NewReader("{}")}, &recorder{})
				require.NoError(t, group.Wait())
				require.Equal(t, CodeDeadline, end.Code)
				require.Equal(t, string(tt.outcome), end.Outcome)
				require.Equal(t, tt.sent, !tt.engine.sentAt.IsZero())
				require.Less(t, time.Since(begin), tt.left+maxCancelTries*cancelDelay)
			})
		})
	}
}
