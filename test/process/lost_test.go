package process

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// A whole data centre is lost at once, instances and engine. The other one goes on: it
// serves, claims and takes a new document. When the lost one is back, nothing of its past
// is in force again: the document is the newest, what ran once stays run, no memory is
// asked for twice.
func TestDataCentreLostAndBack(t *testing.T) {
	b := newBench(t, "matcher", "order")
	kept := b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	lost := b.engine("m2", "matcher", "south", "south-2", engine.WithModels("matcher-a"))
	b.orders = b.service("order", "south", "south-1")
	home := b.add("s1a", "south", "south-1")
	b.add("s1b", "south", "south-1")
	gone := []*instance{b.add("s2a", "south", "south-2"), b.add("s2b", "south", "south-2")}
	b.apply(home, 0, oneModel+orderService)
	b.ready()
	require.Equal(t, "ran", b.kit(gone[0], "before").outcome)

	for _, n := range gone {
		require.NoError(t, n.process.Process.Kill())
		<-n.ended
	}
	require.NoError(t, lost.Close())
	for i := range 3 {
		b.requireChat(t, home.caller, "chat", "matcher-a", fmt.Sprint("alone ", i), true)
	}
	require.Equal(t, "ran", b.kit(home, "meanwhile").outcome)
	_, err := b.operators(home).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: edited("meanwhile")})
	require.NoError(t, err)

	back := engine.New(engine.WithName("m2"), engine.WithModels("matcher-a"))
	require.NoError(t, back.Start(t.Context(), "127.0.0.1:0"))
	t.Cleanup(func() { _ = back.Close() })
	b.list("matcher", "m2", back.Address(), "south", "south-2", platform.MemberLive)
	for _, n := range gone {
		b.start(n)
	}
	for _, n := range gone {
		b.eventually(n.name+" has the newest document", func() bool {
			revision := b.revision(n)
			require.NotEqualValues(t, 1, revision, "an older document is in force at %s", n.name)
			return revision == 2
		})
	}
	b.ready()
	b.requireChat(t, gone[1].caller, "chat", "matcher-a", "back", true)
	for _, key := range []string{"before", "meanwhile"} {
		require.Equal(t, "ran", b.kit(gone[0], key).outcome, key)
		require.Equal(t, 1, b.orders.Counts().Keys[key], key)
	}
	for _, e := range []*engine.Server{kept, lost, back} {
		require.Zero(t, e.Counts().Overcommits)
	}
}
