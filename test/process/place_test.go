package process

import (
	"syscall"
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
		b.engine(name, "matcher", "south", "south-1", engine.WithMemory(24<<30), engine.WithKVCache(1<<30), engine.WithLoadTime(100*time.Millisecond))
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
		require.LessOrEqual(t, e.Counts().PeakBytes, int64(24<<30))
	}
}

// holder returns the instance that may give orders, nil while none may.
func (b *bench) holder(ask *instance) *instance {
	status, err := b.operators(ask).Status(b.t.Context())
	if err != nil {
		return nil
	}
	for _, p := range status.Placers {
		for _, n := range b.nodes {
			if n.name == p.Instance {
				return n
			}
		}
	}
	return nil
}

// The holder of the lease is frozen with its orders on their way, longer than
// the lease lasts; its successor orders too; then the first goes on. The engines
// take any order, late ones as well, and count what they were asked beyond their memory.
func TestFrozenPlacerOvercommitsNothing(t *testing.T) {
	b := newBench(t, "matcher")
	for _, name := range []string{"e1", "e2"} {
		b.engine(name, "matcher", "south", "south-1", engine.WithMemory(24<<30), engine.WithKVCache(1<<30),
			engine.WithLoadTime(100*time.Millisecond),
			engine.WithFaults(engine.Faults{Overcommit: true, IgnoreFences: true, OrderDelayMillis: 1500}))
	}
	b.add("s1a", "south", "south-1")
	b.add("s1b", "south", "south-1")
	b.apply(b.nodes[0], 0, threeModels)
	var first *instance
	b.eventually("a lease is held", func() bool { first = b.holder(b.nodes[0]); return first != nil })
	b.eventually("orders are on their way", func() bool {
		return b.engines[0].Counts().Orders+b.engines[1].Counts().Orders > 0
	})
	first.signal(t, syscall.SIGSTOP)
	other := b.nodes[0]
	if other == first {
		other = b.nodes[1]
	}
	b.eventually("the lease has moved", func() bool { return b.holder(other) == other })
	time.Sleep(2 * time.Second)
	first.signal(t, syscall.SIGCONT)
	b.eventually("every model is reachable", func() bool {
		status, err := b.operators(other).Status(t.Context())
		if err != nil {
			return false
		}
		for _, m := range status.Models {
			if len(m.Endpoints) == 0 {
				return false
			}
		}
		return true
	})
	for _, e := range b.engines {
		require.Zero(t, e.Counts().Overcommits)
		require.LessOrEqual(t, e.Counts().PeakBytes, int64(24<<30))
	}
}
