package process

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

const threeModels = `
[profile "chat"]
class = chat
rank = urgent
deadline = 60s
models = *

[model "m-a"]
bytes = 10GiB
service = matcher

[model "m-b"]
bytes = 10GiB
service = matcher

[model "m-c"]
bytes = 10GiB
service = matcher
`

// Cold engines get every model, and a new version of the document brings a new
// model up without anybody placing it by hand.
func TestPlacerMakesEveryModelReachable(t *testing.T) {
	b := newBench(t, "matcher")
	for _, name := range []string{"e1", "e2"} {
		b.engine(name, "matcher", "south", "south-1", engine.WithMemory(24<<30), engine.WithKV(1<<30), engine.WithLoadTime(100*time.Millisecond))
	}
	b.add("s1a", "south", "south-1")
	b.add("s1b", "south", "south-1")
	b.apply(b.nodes[0], 0, threeModels)
	b.ready()
	for _, model := range []string{"m-a", "m-b", "m-c"} {
		b.requireChat(t, b.nodes[0].caller, "chat", model, "cold "+model, true)
	}
	for _, e := range b.engines {
		require.Zero(t, e.Counts().Overcommits)
		require.LessOrEqual(t, e.Counts().Peak, int64(24<<30))
	}
}
