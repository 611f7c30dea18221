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
