package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/once"
	"github.com/chiveramp/chiveramp/internal/endpoint"
)

// recordingClaims grants every claim and records how each of them ended.
type recordingClaims struct{ ends []string }

func (*recordingClaims) Claim(context.Context, once.Key, once.Request) (once.Result, error) {
	return once.Result{Kind: once.KindGranted, Claim: "c"}, nil
}

func (r *recordingClaims) Finish(context.Context, once.Key, string, once.Answer) error {
	r.ends = append(r.ends, "finished")
	return nil
}

func (r *recordingClaims) Release(context.Context, once.Key, string) error {
	r.ends = append(r.ends, "released")
	return nil
}

func (r *recordingClaims) Abandon(once.Key, string) { r.ends = append(r.ends, "abandoned") }

// failingEngine fails forwarded requests with err if it is set.
type failingEngine struct {
	echoEngine
	err error
}

func (f failingEngine) Forward(ctx context.Context, at string, call endpoint.ForwardCall) (*http.Response, error) {
	if f.err != nil {
		return nil, f.err
	}
	return f.echoEngine.Forward(ctx, at, call)
}

// Guards against claims that stay open: each granted claim must be finished, released or
// abandoned, as the outcome of its request requires.
func TestEveryClaimIsFinishedReleasedOrAbandoned(t *testing.T) {
	tests := []struct {
		name    string
		err     error
		outcome fleet.Outcome
		want    string
	}{
		{name: "complete answer", outcome: fleet.OutcomeRan, want: "finished"},
		{name: "nothing sent", err: endpoint.ErrNotSent, outcome: fleet.OutcomeNotRun, want: "released"},
		{name: "no answer", err: io.ErrUnexpectedEOF, outcome: fleet.OutcomeUnknown, want: "abandoned"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			claims, group := &recordingClaims{}, &errgroup.Group{}
			pool := New("i1", group, newFakeTimers(), failingEngine{err: tt.err}, oneEndpoint{}, WithClaims(claims))
			defer pool.Close()
			request := serviceRequest("a1", "e-1")
			request.Key = "k"
			end := pool.Serve(t.Context(), request, &recorder{})
			require.NoError(t, group.Wait())
			require.Equal(t, string(tt.outcome), end.Outcome)
			require.Equal(t, []string{tt.want}, claims.ends)
		})
	}
}
