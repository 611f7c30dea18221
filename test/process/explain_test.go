package process

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// twoModelsDocument is a document with two models, each in its own service.
const twoModelsDocument = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = *

[model "matcher-a"]
bytes = 4GiB
service = matcher

[model "board-b"]
bytes = 4GiB
service = board
`

// Guards against partial operator views: every instance must return the complete decision
// log of a request across all instances and data centres, and the request counts of all.
func TestEveryInstanceReportsTheSameToOperators(t *testing.T) {
	b := newDeployment(t, "matcher", "board")
	b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.addEngine("b1", "board", "north", "north-1", engine.WithModels("board-b"))
	for _, name := range []string{"s1a", "s1b"} {
		b.addInstance(name, "south", "south-1")
	}
	for _, name := range []string{"n1a", "n1b"} {
		b.addInstance(name, "north", "north-1")
	}
	b.applyDocument(b.instances[0], 0, twoModelsDocument)
	b.waitReady()
	instances := make(map[string]bool)
	for i := range 8 {
		r := b.requireChat(t, b.instances[0].caller, "chat", "board-b", fmt.Sprint("glove ", i), false)
		request := r.header.Get("Chiveramp-Request")
		var first []operator.Step
		for _, n := range b.instances {
			decisions, err := b.operatorClient(n).Explain(t.Context(), request)
			require.NoError(t, err)
			require.Equal(t, "ran", decisions.Outcome)
			if first == nil {
				first = decisions.Steps
			}
			require.ElementsMatch(t, first, decisions.Steps, "asked at %s", n.name)
		}
		for _, s := range first {
			instances[s.Instance] = true
		}
	}
	require.Contains(t, instances, "s1a", "the entry")
	require.Contains(t, instances, "n1a", "the instance that the entry forwarded to")
	require.Contains(t, instances, "n1b", "another instance of that data centre")
	b.requireChat(t, b.instances[3].caller, "chat", "board-b", "glove", false)
	for _, n := range b.instances {
		reports, err := b.operatorClient(n).Profiles(t.Context())
		require.NoError(t, err)
		require.Len(t, reports, 1)
		require.EqualValues(t, 9, reports[0].Requests, "asked at %s", n.name)
		require.EqualValues(t, 9, reports[0].Met, "asked at %s", n.name)
		require.Positive(t, reports[0].TimeToFirstToken, "asked at %s", n.name)
	}
}
