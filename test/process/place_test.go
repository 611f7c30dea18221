package process

import (
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

const threeModelsDocument = `
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

// Guards against models that no endpoint loads: the engines start without models, and once a
// document defines three, the placer must load each of them within the engines' memory.
func TestPlacerMakesEveryModelReachable(t *testing.T) {
	b := newDeployment(t, "matcher")
	for _, name := range []string{"e1", "e2"} {
		b.addEngine(name, "matcher", "south", "south-1", engine.WithMemory(24<<30), engine.WithKVCache(1<<30), engine.WithLoadTime(100*time.Millisecond))
	}
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, threeModelsDocument)
	b.waitReady()
	for _, model := range []string{"m-a", "m-b", "m-c"} {
		b.requireChat(t, b.instances[0].caller, "chat", model, "cold "+model, true)
	}
	for _, e := range b.engines {
		require.Zero(t, e.Counts().Overcommits)
		require.LessOrEqual(t, e.Counts().PeakBytes, int64(24<<30))
	}
}

// leaseHolder returns the instance that holds the order lease, nil if none does.
func (dp *deployment) leaseHolder(via *instance) *instance {
	status, err := dp.operatorClient(via).Status(dp.t.Context())
	if err != nil {
		return nil
	}
	for _, p := range status.Placers {
		for _, n := range dp.instances {
			if n.name == p.Instance {
				return n
			}
		}
	}
	return nil
}

// Guards against two placers filling the same memory: the lease holder is frozen with orders
// in flight until its lease has expired and its successor has given orders, then resumes.
// The engines ignore fencing tokens, accept late orders and count overcommits.
func TestFrozenPlacerDoesNotOvercommit(t *testing.T) {
	b := newDeployment(t, "matcher")
	for _, name := range []string{"e1", "e2"} {
		b.addEngine(name, "matcher", "south", "south-1", engine.WithMemory(24<<30), engine.WithKVCache(1<<30),
			engine.WithLoadTime(100*time.Millisecond),
			engine.WithFaults(engine.Faults{Overcommit: true, IgnoreFences: true, OrderDelayMillis: 1500}))
	}
	b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	b.applyDocument(b.instances[0], 0, threeModelsDocument)
	var first *instance
	b.eventually("a lease is held", func() bool { first = b.leaseHolder(b.instances[0]); return first != nil })
	b.eventually("orders are in flight", func() bool {
		return b.engines[0].Counts().Orders+b.engines[1].Counts().Orders > 0
	})
	first.signal(t, syscall.SIGSTOP)
	other := b.instances[0]
	if other == first {
		other = b.instances[1]
	}
	b.eventually("the lease has moved", func() bool { return b.leaseHolder(other) == other })
	time.Sleep(2 * time.Second)
	first.signal(t, syscall.SIGCONT)
	b.eventually("every model is reachable", func() bool {
		status, err := b.operatorClient(other).Status(t.Context())
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
