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

// affinityRequests is how many requests share one start.
const affinityRequests = 24

// Requests that share a long start land on one engine while it is not busier.
func TestAffinityOfSharedPrefixes(t *testing.T) {
	for _, p := range proofs(switches.Affinity) {
		t.Run(p.name(), func(t *testing.T) {
			b := southern(t, p.off)
			shared := strings.Repeat("the catalogue of gloves and kits ", 400)
			for i := range affinityRequests {
				b.requireChat(t, b.nodes[0].caller, "chat", "matcher-a", fmt.Sprint(shared, "question ", i), true)
			}
			first, second := len(b.engines[0].Counts().Requests), len(b.engines[1].Counts().Requests)
			t.Logf("requests by engine: %d and %d", first, second)
			require.Equal(t, affinityRequests, first+second)
			require.Equal(t, p.holds, min(first, second) == 0)
		})
	}
}

// adapterDocument gives the model an adapter.
const adapterDocument = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = matcher-*

[model "matcher-a"]
bytes = 4GiB
service = matcher
adapters = glove
`

// A request that names an adapter is answered by it, wherever it entered.
func TestAffinityOfAdapters(t *testing.T) {
	b := newBench(t, "matcher")
	for _, name := range []string{"m1", "m2"} {
		b.engine(name, "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	}
	for _, name := range []string{"s1a", "s1b", "s1c"} {
		b.add(name, "south", "south-1")
	}
	loadAdapter(t, b.engines[1], "matcher-a", "glove")
	b.apply(b.nodes[0], 0, adapterDocument)
	b.ready()
	time.Sleep(noticed)
	for i := range 12 {
		body := chatBody("matcher-a/glove", fmt.Sprint("size ", i), true, 20)
		r, err := send(t.Context(), b.nodes[i%3].caller, "/v1/chat/completions", body, "Chiveramp-Profile", "chat")
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, r.status, b.explain(r))
		answer, whole := text(t, r.body)
		require.True(t, whole)
		require.Equal(t, engine.AnswerTo("matcher-a:glove", fmt.Sprint("size ", i), 20), answer)
	}
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
