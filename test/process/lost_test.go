package process

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/platform"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

// Guards against stale state after the loss of a data centre: its instances and its engine
// are killed at the same time. The other data centre must go on serving, claiming orders and
// applying documents. After the restart the newest document must be in force, orders that
// ran must not run again, and no engine may get load orders beyond its memory.
func TestDataCentreLossAndRecovery(t *testing.T) {
	b := newDeployment(t, "matcher", "order")
	survivingEngine := b.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	lostEngine := b.addEngine("m2", "matcher", "south", "south-2", engine.WithModels("matcher-a"))
	b.orders = b.addService("order", "south", "south-1")
	survivor := b.addInstance("s1a", "south", "south-1")
	b.addInstance("s1b", "south", "south-1")
	lostInstances := []*instance{b.addInstance("s2a", "south", "south-2"), b.addInstance("s2b", "south", "south-2")}
	b.applyDocument(survivor, 0, oneModelDocument+orderServiceSection)
	b.waitReady()
	require.Equal(t, "ran", b.sendOrder(lostInstances[0], "before").outcome)

	for _, n := range lostInstances {
		require.NoError(t, n.process.Process.Kill())
		<-n.exited
	}
	require.NoError(t, lostEngine.Close())
	for i := range 3 {
		b.requireChat(t, survivor.caller, "chat", "matcher-a", fmt.Sprint("alone ", i), true)
	}
	require.Equal(t, "ran", b.sendOrder(survivor, "meanwhile").outcome)
	_, err := b.operatorClient(survivor).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: documentWithComment("meanwhile")})
	require.NoError(t, err)

	restartedEngine := engine.New(engine.WithName("m2"), engine.WithModels("matcher-a"))
	require.NoError(t, restartedEngine.Start(t.Context(), "127.0.0.1:0"))
	t.Cleanup(func() { _ = restartedEngine.Close() })
	b.setMember("matcher", "m2", restartedEngine.Address(), "south", "south-2", platform.MemberLive)
	for _, n := range lostInstances {
		b.start(n)
	}
	for _, n := range lostInstances {
		b.eventually(n.name+" has the newest document", func() bool {
			revision := b.revision(n)
			require.NotEqualValues(t, 1, revision, "an older document is in force at %s", n.name)
			return revision == 2
		})
	}
	b.waitReady()
	b.requireChat(t, lostInstances[1].caller, "chat", "matcher-a", "back", true)
	for _, key := range []string{"before", "meanwhile"} {
		require.Equal(t, "ran", b.sendOrder(lostInstances[0], key).outcome, key)
		require.Equal(t, 1, b.orders.Counts().Keys[key], key)
	}
	for _, e := range []*engine.Server{survivingEngine, lostEngine, restartedEngine} {
		require.Zero(t, e.Counts().Overcommits)
	}
}
