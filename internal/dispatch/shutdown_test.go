package dispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
)

// A request that waits as its instance leaves may be sent until it can't end in time any more.
func TestRequestThatCannotEndInTimeIsLate(t *testing.T) {
	const drain, s = 10 * time.Second, time.Second
	tests := []struct {
		name     string
		takes    time.Duration // known duration of its kind, 0 for none
		deadline time.Duration // from the signal, 0 for none
		until    time.Duration // it waits at least so long
	}{
		{name: "its kind takes long", takes: 4 * s, until: drain - 5*s},
		{name: "its kind is short", takes: s, until: drain - 3*s/2},
		{name: "nothing is known", until: drain / unknownDivisor},
		{name: "nothing is known, it has a late deadline", deadline: time.Minute, until: drain / unknownDivisor},
		{name: "its deadline is before", takes: 4 * s, deadline: drain - s, until: drain},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timers := newFakeTimers()
			p := New("s-1", &errgroup.Group{}, timers, echoEngine{}, oneEndpoint{})
			defer p.Close()
			if tt.takes > 0 {
				request := serviceRequest("known", "e-1")
				p.shutdown.recordDuration(p.timers.Now(), &run{request: request, admitted: p.timers.Now().Add(-tt.takes)})
			}
			request := serviceRequest("queued", "e-1")
			if tt.deadline > 0 {
				request.Deadline = p.timers.Now().Add(tt.deadline).UnixMilli()
			}
			require.Nil(t, p.shutdown.check(p.timers.Now(), &run{request: request}), "it doesn't leave")
			p.Leave(p.timers.Now().Add(drain))
			late := func() bool { return p.shutdown.check(p.timers.Now(), &run{request: request}) != nil }
			timers.Advance(tt.until - 500*time.Millisecond)
			require.False(t, late())
			timers.Advance(s)
			require.Equal(t, tt.until < drain, late())
		})
	}
}

// Once deadlines are required, how long others took doesn't decide, except for what may have run.
func TestRequireDeadlines(t *testing.T) {
	const drain, s = 10 * time.Second, time.Second
	tests := []struct {
		name     string
		deadline time.Duration // 0 for none
		rerun    bool
		refused  bool
	}{
		{name: "no deadline", refused: true},
		{name: "it ends in time", deadline: drain - s},
		{name: "it ends late", deadline: drain + s, refused: true},
		{name: "rerun", rerun: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			timers := newFakeTimers()
			p := New("s-1", &errgroup.Group{}, timers, echoEngine{}, oneEndpoint{})
			defer p.Close()
			now := timers.Now()
			request := serviceRequest("r", "e-1")
			p.shutdown.recordDuration(now, &run{request: request, admitted: now.Add(-s)})
			if request.Rerun = tt.rerun; tt.deadline > 0 {
				request.Deadline = now.Add(tt.deadline).UnixMilli()
			}
			p.Leave(now.Add(drain))
			require.Nil(t, p.shutdown.check(now, &run{request: request}))
			p.RequireDeadlines()
			require.Equal(t, tt.refused, p.shutdown.check(now, &run{request: request}) != nil)
		})
	}
}

// A request is withdrawn while it waits, not once its endpoint has it.
func TestWithdraw(t *testing.T) {
	p := newSingleSlotPool(t)
	p.send(t.Context(), "first", fleet.RankStandard)
	require.Equal(t, "first", <-p.started)
	p.send(t.Context(), "queued", fleet.RankStandard)
	p.waitQueued(t, 1)
	p.Withdraw("first")
	p.Withdraw("queued")
	require.True(t, HandedBack(<-p.ends["queued"]))
	p.release <- struct{}{}
	require.Empty(t, (<-p.ends["first"]).Code)
	require.Empty(t, p.started)
}

// EndUnanswered refuses what waits, and nothing is sent from then on.
func TestEndUnansweredRefusesWhatWaits(t *testing.T) {
	p := newSingleSlotPool(t)
	p.send(t.Context(), "first", fleet.RankStandard)
	require.Equal(t, "first", <-p.started)
	p.send(t.Context(), "queued", fleet.RankStandard)
	p.waitQueued(t, 1)
	p.Leave(p.timers.Now().Add(time.Second))
	p.timers.(*fakeTimers).fire(2 * time.Second)
	require.True(t, HandedBack(<-p.ends["queued"]), "too late by the next sweep")
	p.EndUnanswered()
	p.send(t.Context(), "after", fleet.RankStandard)
	end := <-p.ends["after"]
	require.True(t, HandedBack(end))
	require.Equal(t, string(fleet.OutcomeNotRun), end.Outcome)
	require.Positive(t, end.Retry)
	p.release <- struct{}{}
	require.Empty(t, p.started)
}

// What an endpoint has received is reported as not run only if the endpoint says so.
func TestEndUnansweredAsksTheEndpoint(t *testing.T) {
	tests := []struct {
		name   string
		engine silentEngine
		want   *peerpb.End
	}{
		{name: "started", want: FailForShutdown()},
		{name: "queued at the endpoint", engine: silentEngine{queued: time.Minute}, want: RefuseForShutdown()},
		{name: "lost", engine: silentEngine{lost: true}, want: FailForShutdown()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var group errgroup.Group
				pool := New("i1", &group, systemTimers{}, &tt.engine, oneEndpoint{})
				defer pool.Close()
				time.AfterFunc(time.Second, pool.EndUnanswered)
				end := pool.Serve(t.Context(), peer.Request{Submit: &peerpb.Submit{
					Request: "r-1", Attempt: "a-1", Endpoint: "e-1", Model: "m",
				}, Body: strings.NewReader("{}")}, &recorder{})
				require.NoError(t, group.Wait())
				require.Equal(t, tt.want, end)
			})
		})
	}
}

// endingClaims has the pool end its requests while one of them is being claimed.
type endingClaims struct {
	recordingClaims
	pool *Pool
}

func (c *endingClaims) Claim(context.Context, once.Key, once.Request) (once.Result, error) {
	c.pool.EndUnanswered()
	return once.Result{Kind: once.KindGranted, Claim: "c"}, nil
}

// A request that is claimed as the instance shuts down is not sent, and its claim is released.
func TestRequestClaimedAtTheEndIsNotSent(t *testing.T) {
	var group errgroup.Group
	claims, engine := &endingClaims{}, &countingEngine{}
	pool := New("i1", &group, newFakeTimers(), engine, oneEndpoint{}, WithClaims(claims))
	defer pool.Close()
	claims.pool = pool
	request := serviceRequest("a1", "e-1")
	request.Key = "k"
	end := pool.Serve(t.Context(), request, &recorder{})
	require.NoError(t, group.Wait())
	require.True(t, HandedBack(end))
	require.Equal(t, []string{"released"}, claims.ends)
	require.Zero(t, engine.sent)
}

// countingEngine counts what is sent to it.
type countingEngine struct {
	echoEngine
	sent int
}

func (e *countingEngine) Forward(ctx context.Context, addr string, call endpoint.ForwardCall) (*http.Response, error) {
	e.sent++
	return e.echoEngine.Forward(ctx, addr, call)
}
