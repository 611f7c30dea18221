package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/presence"
)

// departingDispatcher has the caller leave during an attempt, which is lost.
type departingDispatcher struct {
	Dispatcher
	leave func()
	calls int
}

func (d *departingDispatcher) Serve(context.Context, peer.Request, peer.Sink) *peerpb.End {
	d.calls++
	d.leave()
	return dispatch.Fail(dispatch.CodeLost, "answer", "")
}

// An instance that stood still finds a request together with the end of its connection.
func TestCallersThatLeftReachNoDispatcher(t *testing.T) {
	tests := []struct {
		name    string
		left    bool // before the first attempt
		calls   int
		outcome fleet.Outcome
	}{
		{name: "before the first attempt", left: true, outcome: fleet.OutcomeNotRun},
		{name: "before a retry", calls: 1, outcome: fleet.OutcomeUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			left := tt.left
			dispatcher := &departingDispatcher{leave: func() { left = true }}
			g := newGateway(&clock{time.Now()}, directory.Report{Endpoint: "e1"}, directory.Report{Endpoint: "e2"})
			g.dispatcher, g.documents = dispatcher, staticDocument{retryDocument}
			g.budget = retry.New(retry.Burst(9), retry.Share(1), retry.Backoff(0))
			request := peer.Request{Submit: &peerpb.Submit{Profile: "p", Model: "a"}, Body: strings.NewReader(`{"model":"a","messages":[]}`)}
			end := g.Serve(presence.With(t.Context(), presence.Func(func() bool { return left })), request, &recordingSink{})
			require.Equal(t, string(tt.outcome), end.Outcome)
			require.Equal(t, tt.calls, dispatcher.calls)
		})
	}
}
