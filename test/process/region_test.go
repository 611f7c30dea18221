package process

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/internal/standin/link"
)

// The properties of the link between regions, as in the requirements.
const (
	linkLatency = 20   // one way, milliseconds
	linkRate    = 30e6 // bits per second
)

// links are the connections between two regions: to the instance of each region, and from
// the north to the platform, which runs in the south.
type links []*link.Server

func (li links) set(cut bool) {
	for _, l := range li {
		l.Set(link.Settings{Latency: linkLatency, Rate: linkRate, Cut: cut})
	}
}

// newTwoLinkedRegions starts two regions whose instances reach each other over links only.
func newTwoLinkedRegions(t *testing.T) (dp *deployment, south, north *instance, regionLinks links) {
	t.Helper()
	dp = newDeployment(t, "matcher", "order")
	dp.addEngine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	dp.addEngine("m2", "matcher", "north", "north-1", engine.WithModels("matcher-a"))
	dp.orders = dp.addService("order", "south", "south-1")
	addLink := func(to string) *link.Server {
		l := link.New(to, link.Settings{Latency: linkLatency, Rate: linkRate})
		require.NoError(t, l.Start(t.Context(), "127.0.0.1:0", ""))
		t.Cleanup(func() { _ = l.Close() })
		regionLinks = append(regionLinks, l)
		return l
	}
	south, north = dp.newInstance("south", "south", "south-1"), dp.newInstance("north", "north", "north-1")
	south.advertise, north.advertise = addLink(south.peer).Address(), addLink(north.peer).Address()
	north.platform = "http://" + addLink(dp.address[len("http://"):]).Address()
	dp.join(south)
	dp.join(north)
	dp.applyDocument(south, 0, oneModelDocument+orderServiceSection)
	dp.waitReady()
	return dp, south, north, regionLinks
}

// Guards against unsafe work during a partition between regions: each region must go on
// serving with its own endpoints. Orders that need the other region can't be reported as run,
// and those reported as not run must not have run. After the partition the document must
// propagate and the orders must run once.
func TestDisconnectedRegions(t *testing.T) {
	b, south, north, regionLinks := newTwoLinkedRegions(t)
	require.Equal(t, "ran", b.sendOrder(north, "before").outcome)
	regionLinks.set(true)
	for i := range 5 {
		b.requireChat(t, south.caller, "chat", "matcher-a", fmt.Sprint("south ", i), true)
		b.requireChat(t, north.caller, "chat", "matcher-a", fmt.Sprint("north ", i), true)
	}
	require.Equal(t, "ran", b.sendOrder(south, "at home").outcome)
	for i := range 3 {
		key := fmt.Sprint("across ", i)
		r := b.sendOrder(north, key)
		require.NotEqual(t, "ran", r.outcome)
		if r.outcome == "not-run" {
			require.Zero(t, b.orders.Counts().Keys[key])
		}
	}
	result, err := b.operatorClient(south).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: documentWithComment("apart")})
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Revision)
	require.EqualValues(t, 1, b.revision(north))

	regionLinks.set(false)
	reconnected := time.Now()
	b.eventually("the change is in force in the north", func() bool { return b.revision(north) == 2 })
	require.Less(t, time.Since(reconnected), propagationTimeout)
	for i := range 3 {
		key := fmt.Sprint("across ", i)
		b.eventually(key, func() bool { return b.sendOrder(north, key).outcome == "ran" })
		require.Equal(t, 1, b.orders.Counts().Keys[key])
	}
}
