package dispatch

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/admit"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// gatedEngine reports each started request, and answers it after a receive from release.
type gatedEngine struct {
	echoEngine
	started chan string
	release chan struct{}
}

func (g gatedEngine) Forward(ctx context.Context, addr string, call endpoint.ForwardCall) (*http.Response, error) {
	g.started <- call.Path
	<-g.release
	return g.echoEngine.Forward(ctx, addr, call)
}

// singleSlotPool is a pool whose endpoint runs one request at a time, along with the
// requests sent to it.
type singleSlotPool struct {
	*Pool
	gatedEngine
	callers errgroup.Group
	runs    errgroup.Group
	ends    map[string]chan *peerpb.End
}

func newSingleSlotPool(t *testing.T) *singleSlotPool {
	t.Helper()
	s := &singleSlotPool{
		gatedEngine: gatedEngine{started: make(chan string, 8), release: make(chan struct{})},
		ends:        make(map[string]chan *peerpb.End),
	}
	oneSlot := func(string) []admit.Option {
		return []admit.Option{admit.Slots(1), admit.Floors(admit.Shares{}), admit.Reserve(0), admit.ProfileCap(1)}
	}
	s.Pool = New("s-1", &s.runs, newFakeTimers(), s.gatedEngine, oneEndpoint{}, WithAdmission(oneSlot))
	t.Cleanup(func() {
		require.NoError(t, s.callers.Wait())
		require.NoError(t, s.runs.Wait())
		s.Close()
	})
	return s
}

func (s *singleSlotPool) send(ctx context.Context, id string, rank fleet.Rank) {
	end := make(chan *peerpb.End, 1)
	s.ends[id] = end
	request := serviceRequest(id, "e-1")
	request.Rank, request.Path = string(rank), id
	s.callers.Go(func() error {
		end <- s.Serve(ctx, request, &recorder{})
		return nil
	})
}

func (s *singleSlotPool) waitQueued(t *testing.T, n int) {
	t.Helper()
	waitFor(t, func() bool {
		l, err := s.QueueLoad(t.Context(), "e-1")
		return err == nil && l.Queued == n
	})
}

func TestQueueOrderFollowsRank(t *testing.T) {
	s := newSingleSlotPool(t)
	s.send(t.Context(), "first", fleet.RankBulk)
	require.Equal(t, "first", <-s.started)
	for i, rank := range []fleet.Rank{fleet.RankBulk, fleet.RankStandard, fleet.RankUrgent} {
		s.send(t.Context(), string(rank), rank)
		s.waitQueued(t, i+1)
	}
	for _, rank := range []fleet.Rank{fleet.RankUrgent, fleet.RankStandard, fleet.RankBulk} {
		s.release <- struct{}{}
		require.Equal(t, string(rank), <-s.started)
	}
	s.release <- struct{}{}
	for id, end := range s.ends {
		require.Empty(t, (<-end).Code, id)
	}
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	s := newSingleSlotPool(t)
	s.send(t.Context(), "first", fleet.RankStandard)
	require.Equal(t, "first", <-s.started)
	ctx, cancel := context.WithCancel(t.Context())
	s.send(ctx, "cancelled in queue", fleet.RankUrgent)
	s.waitQueued(t, 1)
	s.send(t.Context(), "last", fleet.RankStandard)
	s.waitQueued(t, 2)
	cancel()
	end := <-s.ends["cancelled in queue"]
	require.Equal(t, CodeCancelled, end.Code)
	require.Equal(t, string(fleet.OutcomeNotRun), end.Outcome)
	s.waitQueued(t, 1)
	s.release <- struct{}{}
	require.Equal(t, "last", <-s.started, "a cancelled request never starts")
	s.release <- struct{}{}
	require.Empty(t, (<-s.ends["last"]).Code)
}

func TestResumeByOffset(t *testing.T) {
	k := newFakeTimers()
	var group errgroup.Group
	p := New("s-1", &group, k, echoEngine{}, oneEndpoint{})
	defer p.Close()
	require.Empty(t, p.Serve(t.Context(), serviceRequest("a-1", "e-1"), &recorder{}).Code)
	require.NoError(t, group.Wait())
	tests := []struct {
		name   string
		resume *peerpb.Resume
		pieces []string
		code   string
	}{
		{name: "from the beginning", resume: &peerpb.Resume{Attempt: "a-1", Endpoint: "e-1"}, pieces: []string{"hello"}},
		{name: "after the last piece", resume: &peerpb.Resume{Attempt: "a-1", Endpoint: "e-1", Offset: 1}},
		{name: "beyond the end", resume: &peerpb.Resume{Attempt: "a-1", Endpoint: "e-1", Offset: 2}, code: CodeGone},
		{name: "unknown attempt, endpoint not in the directory", resume: &peerpb.Resume{Attempt: "a-2", Endpoint: "e-2"}, code: CodeLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sink := &recorder{}
			require.Equal(t, tt.code, p.Resume(t.Context(), tt.resume, sink).Code)
			require.Equal(t, tt.pieces, sink.pieces)
		})
	}
}

var _ peer.Sink = (*recorder)(nil)
