package node

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/caller"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// slowGateway answers after a time of a clock that it advances itself.
type slowGateway struct {
	now   time.Time
	takes time.Duration
}

func (g *slowGateway) Serve(context.Context, peer.Request, peer.Sink) *peerpb.End {
	g.now = g.now.Add(g.takes)
	return dispatch.Complete(1)
}

func (g *slowGateway) Resume(context.Context, *peerpb.Resume, peer.Sink) *peerpb.End { return nil }

// A stopping instance refuses the requests that it would cut, and no others.
func TestShutdownGuard(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name     string
		leaving  bool
		left     time.Duration // until the instance closes connections
		deadline time.Duration // from now, 0 for none
		model    string
		tokens   uint32
		later    time.Duration // from when it leaves to the request
		refused  bool
	}{
		{name: "serving", model: "m", tokens: 100},
		{name: "in time", leaving: true, left: 5 * s, model: "m", tokens: 100},
		{name: "too long", leaving: true, left: s, model: "m", tokens: 100, refused: true},
		{name: "larger than those before", leaving: true, left: 5 * s, model: "m", tokens: 1000, refused: true},
		{name: "its deadline is sooner", leaving: true, left: s, deadline: s / 2, model: "m", tokens: 100},
		{name: "its deadline is later", leaving: true, left: s, deadline: 5 * s, model: "m", tokens: 100, refused: true},
		{name: "nothing is known of it", leaving: true, left: s, model: "n", tokens: 100},
		{name: "nothing is known of it, late", leaving: true, left: 5 * s, later: 3 * s, model: "n", tokens: 100, refused: true},
		{name: "only its deadline is known", leaving: true, left: s, deadline: 5 * s, model: "n", tokens: 100, refused: true},
		{name: "closed", leaving: true, left: -s, model: "n", refused: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &slowGateway{now: time.Unix(1000, 0), takes: 2 * s}
			guard := newShutdownGuard(g, func() time.Time { return g.now })
			serve := func(submit *peerpb.Submit) *peerpb.End {
				return guard.Serve(t.Context(), peer.Request{Submit: submit}, nil)
			}
			require.Empty(t, serve(&peerpb.Submit{Model: "m", Tokens: 100}).Code)
			if tt.leaving {
				guard.leave(g.now.Add(tt.left))
				g.now = g.now.Add(tt.later)
			}
			submit := &peerpb.Submit{Model: tt.model, Tokens: tt.tokens}
			if tt.deadline > 0 {
				submit.Deadline = g.now.Add(tt.deadline).UnixMilli()
			}
			end := serve(submit)
			if !tt.refused {
				require.Empty(t, end.Code)
				return
			}
			require.Equal(t, dispatch.CodeLeaving, end.Code)
			require.Positive(t, end.Retry)
		})
	}
}

// A request that has run for longer than all before shows how long others like it may take.
func TestShutdownGuardCountsRunningRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	guard := newShutdownGuard(nil, func() time.Time { return now })
	request := peer.Request{Submit: &peerpb.Submit{Model: "m", Tokens: 100}}
	require.NotNil(t, guard.begin(request, nil, nil))
	now = now.Add(4 * time.Second)
	guard.leave(now.Add(3 * time.Second))
	require.Nil(t, guard.begin(request, nil, nil))
}

// waitingGateway passes on the head of an answer if it is told to, then waits until the request is cancelled.
type waitingGateway struct {
	caller.Gateway
	begins  bool
	outcome fleet.Outcome
	started chan struct{}
}

func (g *waitingGateway) Serve(ctx context.Context, _ peer.Request, sink peer.Sink) *peerpb.End {
	if g.begins {
		_ = sink.Head(&peerpb.Head{})
	}
	close(g.started)
	<-ctx.Done()
	return &peerpb.End{Outcome: string(g.outcome), Code: dispatch.CodeCancelled}
}

// headSink is a caller's sink.
type headSink struct{ begun atomic.Bool }

func (s *headSink) Head(*peerpb.Head) error { s.begun.Store(true); return nil }
func (s *headSink) Data(*peerpb.Data) error { return nil }
func (s *headSink) Begun() bool             { return s.begun.Load() }

// As callers' connections are about to be closed, requests without a part of an answer are answered by what
// is known of them, and no more are taken.
func TestShutdownGuardEndsUnanswered(t *testing.T) {
	tests := []struct {
		name    string
		begins  bool
		outcome fleet.Outcome
		want    *peerpb.End
	}{
		{name: "not run", outcome: fleet.OutcomeNotRun, want: dispatch.RefuseForShutdown()},
		{name: "not known", outcome: fleet.OutcomeUnknown, want: dispatch.FailForShutdown()},
		{name: "answering", begins: true, outcome: fleet.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := &waitingGateway{begins: tt.begins, outcome: tt.outcome, started: make(chan struct{})}
			guard := newShutdownGuard(g, time.Now)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			ends := make(chan *peerpb.End, 1)
			var group errgroup.Group
			group.Go(func() error {
				ends <- guard.Serve(ctx, peer.Request{Submit: &peerpb.Submit{Model: "m"}}, &headSink{})
				return nil
			})
			<-g.started
			guard.endCallers()
			require.True(t, dispatch.HandedBack(guard.Serve(ctx, peer.Request{Submit: &peerpb.Submit{Model: "m"}}, &headSink{})))
			if tt.begins {
				require.Len(t, guard.active(), 1)
				require.Empty(t, ends)
				guard.endStreams()
				tt.want = dispatch.FailForShutdown()
			}
			require.NoError(t, group.Wait())
			require.Equal(t, tt.want, <-ends)
			require.Empty(t, guard.active())
		})
	}
}
