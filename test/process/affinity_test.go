package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/endpoint"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/switches"
)

// affinityRequests is the number of requests that share a prompt prefix.
const affinityRequests = 24

// Guards against losing prefix cache hits: requests that share a long prompt prefix go
// to the same engine as long as it isn't busier than the other.
func TestAffinityOfSharedPrefixes(t *testing.T) {
	for _, p := range withAndWithout(switches.Affinity) {
		t.Run(p.name(), func(t *testing.T) {
			b := newSouthDeployment(t, p.disabled)
			shared := strings.Repeat("the catalogue of gloves and kits ", 400)
			for i := range affinityRequests {
				b.requireChat(t, b.instances[0].caller, "chat", "matcher-a", fmt.Sprint(shared, "question ", i), true)
			}
			first, second := len(b.engines[0].Counts().Requests), len(b.engines[1].Counts().Requests)
			t.Logf("requests by engine: %d and %d", first, second)
			require.Equal(t, affinityRequests, first+second)
			require.Equal(t, p.holds, min(first, second) == 0)
		})
	}
}

// adapterDocument defines one model with one adapter.
const adapterDocument = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = matcher-*

[model "matcher-a"]
bytes = 8GiB
adapter = 256MiB
service = matcher
adapters = glove
`

// fullMemory is the memory of an engine that one model and its KV cache fill, so that the
// adapter can't be loaded there.
const fullMemory = 12 << 30

// Guards against sending a request for an adapter to an engine that hasn't loaded it:
// whichever instance receives the request, it is dispatched without a retry.
func TestAffinityOfAdapters(t *testing.T) {
	for _, p := range withAndWithout(switches.Adapters) {
		t.Run(p.name(), func(t *testing.T) {
			b := newDeployment(t, "matcher")
			b.disabled = p.disabled
			b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"), engine.WithMemory(fullMemory))
			b.addEngine("m2", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
			for _, name := range []string{"s1a", "s1b", "s1c"} {
				b.addInstance(name, "south", "south-1")
			}
			loadAdapter(t, b.engines[1], "matcher-a", "glove")
			b.applyDocument(b.instances[0], 0, adapterDocument)
			b.waitReady()
			time.Sleep(noticeTimeout)
			retries := 0
			for i := range affinityRequests {
				retries += b.sendAdapterRequest(b.instances[i%3], fmt.Sprint("size ", i))
			}
			t.Logf("retries of %d requests: %d", affinityRequests, retries)
			require.Equal(t, p.holds, retries == 0)
		})
	}
}

// sendAdapterRequest sends a request for the adapter and returns the number of retries
// before it was answered.
func (dp *deployment) sendAdapterRequest(n *instance, prompt string) int {
	dp.t.Helper()
	r, err := sendRequest(dp.t.Context(), n.caller, "/v1/chat/completions", chatBody("matcher-a/glove", prompt, true, 20), "Chiveramp-Profile", "chat")
	require.NoError(dp.t, err)
	require.Equal(dp.t, http.StatusOK, r.status, dp.describe(r))
	answer, complete := answerText(dp.t, r.body)
	require.True(dp.t, complete)
	require.Equal(dp.t, engine.AnswerTo("matcher-a:glove", prompt, 20), answer)
	decisions, err := dp.operatorClient(n).Explain(dp.t.Context(), r.header.Get("Chiveramp-Request"))
	require.NoError(dp.t, err)
	retries := 0
	for _, s := range decisions.Steps {
		if s.Step == "retry" {
			retries++
		}
	}
	return retries
}

func loadAdapter(t *testing.T, e *engine.Server, model fleet.Model, adapter fleet.Adapter) {
	t.Helper()
	body, err := json.Marshal(endpoint.Order{ID: "test", Kind: endpoint.OrderLoadAdapter, Model: model, Adapter: adapter})
	require.NoError(t, err)
	response, err := http.Post("http://"+e.Address()+endpoint.PathOrders, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Less(t, response.StatusCode, http.StatusBadRequest)
}
