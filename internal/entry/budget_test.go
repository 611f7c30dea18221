package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/member"
	"github.com/chiveramp/chiveramp/internal/core/retry"
	"github.com/chiveramp/chiveramp/internal/dispatch"
	"github.com/chiveramp/chiveramp/internal/peer"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// Dispatcher makes the only instance the dispatcher of every endpoint.
func (singleInstance) Dispatcher(fleet.Endpoint, fleet.Place) (member.Peer, bool) {
	return singleInstance{}.Self(), true
}

// lossyDispatcher is a dispatcher whose endpoints fail during the next requests.
type lossyDispatcher struct {
	Dispatcher
	lose int
}

func (l *lossyDispatcher) Serve(context.Context, peer.Request, peer.Sink) *peerpb.End {
	if l.lose > 0 {
		l.lose--
		return dispatch.Fail(dispatch.CodeLost, "answer", "")
	}
	return &peerpb.End{Outcome: string(fleet.OutcomeRan)}
}

// staticDocument provides a fixed profile document.
type staticDocument struct{ text string }

func (s staticDocument) Profiles() (profile.Document, bool) {
	d, err := profile.Parse("document", []byte(s.text))
	return d, err == nil
}

const retryDocument = `
[profile "p"]
class = chat
rank = urgent
models = a
retries = 1

[model "a"]
bytes = 1GiB
service = s
`

// A profile that has used up its retry budget earns new retries with its requests. Until then
// its failed requests are not retried.
func TestRequestsEarnRetries(t *testing.T) {
	c := &clock{time.Now()} // context deadlines use the real time
	dispatcher := &lossyDispatcher{}
	g := newGateway(c, directory.Report{Endpoint: "e1"}, directory.Report{Endpoint: "e2"})
	g.dispatcher, g.documents = dispatcher, staticDocument{retryDocument}
	g.budget = retry.New(retry.Burst(2), retry.Share(0.25), retry.Backoff(0))
	send := func(lose int) string {
		dispatcher.lose = lose
		submit := &peerpb.Submit{Profile: "p", Model: "a"}
		body := strings.NewReader(`{"model":"a","messages":[]}`)
		return g.Serve(context.Background(), peer.Request{Submit: submit, Body: body}, &recordingSink{}).Code
	}
	for range 2 {
		require.Empty(t, send(1))
	}
	require.Equal(t, dispatch.CodeLost, send(1), "the retry budget is used up")
	for range 3 {
		require.Empty(t, send(0))
	}
	require.Empty(t, send(1), "the requests since then earned one retry")
	require.Equal(t, dispatch.CodeLost, send(1), "that retry is used up")
}

// scriptedDispatcher answers with one end after another, the last one again and again.
type scriptedDispatcher struct {
	Dispatcher
	ends []*peerpb.End
}

func (s *scriptedDispatcher) Serve(context.Context, peer.Request, peer.Sink) *peerpb.End {
	end := s.ends[0]
	if len(s.ends) > 1 {
		s.ends = s.ends[1:]
	}
	return end
}

// A request is reported as not run only if none of its attempts may have run.
func TestRefusedRetryDoesNotHideAnEarlierRun(t *testing.T) {
	lost, refused := dispatch.Fail(dispatch.CodeLost, "answer", ""), dispatch.Refuse(dispatch.CodeOverload, "queue", "", time.Second)
	tests := []struct {
		name      string
		endpoints []directory.Report
		ends      []*peerpb.End
		want      *peerpb.End
	}{
		{name: "refused after a loss", endpoints: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2"}}, ends: []*peerpb.End{lost, refused}, want: lost},
		{name: "no other endpoint after a loss", endpoints: []directory.Report{{Endpoint: "e1"}}, ends: []*peerpb.End{lost}, want: lost},
		{name: "refused", endpoints: []directory.Report{{Endpoint: "e1"}, {Endpoint: "e2"}}, ends: []*peerpb.End{refused}, want: refused},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := newGateway(&clock{time.Now()}, tt.endpoints...)
			g.dispatcher, g.documents = &scriptedDispatcher{ends: tt.ends}, staticDocument{retryDocument}
			g.budget = retry.New(retry.Burst(9), retry.Share(1), retry.Backoff(0))
			request := peer.Request{Submit: &peerpb.Submit{Profile: "p", Model: "a"}, Body: strings.NewReader(`{"model":"a","messages":[]}`)}
			require.Equal(t, tt.want, g.Serve(t.Context(), request, &recordingSink{}))
		})
	}
}
