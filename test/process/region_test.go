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

// crossing is the one-way time between regions, milliseconds, and the rate of
// the line between them, bits a second, as in the brief.
const (
	crossing = 20
	lineRate = 30e6
)

// lines are the ways between two regions: to each region's instance, and from
// the north to the platform, which stands in the south.
type ways []*link.Server

func (w ways) set(cut bool) {
	for _, l := range w {
		l.Set(link.Settings{Latency: crossing, Rate: lineRate, Cut: cut})
	}
}

// apart is a deployment of two regions whose instances meet over lines only.
func apart(t *testing.T) (b *bench, south, north *instance, between ways) {
	t.Helper()
	b = newBench(t, "matcher", "order")
	b.engine("m1", "matcher", "south", "south-1", engine.WithModels("matcher-a"))
	b.engine("m2", "matcher", "north", "north-1", engine.WithModels("matcher-a"))
	b.orders = b.service("order", "south", "south-1")
	line := func(to string) *link.Server {
		l := link.New(to, link.Settings{Latency: crossing, Rate: lineRate})
		require.NoError(t, l.Start(t.Context(), "127.0.0.1:0", ""))
		t.Cleanup(func() { _ = l.Close() })
		between = append(between, l)
		return l
	}
	south, north = b.plan("south", "south", "south-1"), b.plan("north", "north", "north-1")
	south.advertise, north.advertise = line(south.peer).Address(), line(north.peer).Address()
	north.platform = "http://" + line(b.address[len("http://"):]).Address()
	b.enter(south)
	b.enter(north)
	b.apply(south, 0, oneModel+orderService)
	b.ready()
	return b, south, north, between
}

// While regions are apart each goes on with what it has; what can't be done
// safely is refused as not run; afterwards all meets again.
func TestRegionsApart(t *testing.T) {
	b, south, north, between := apart(t)
	require.Equal(t, "ran", b.kit(north, "before").outcome)
	between.set(true)
	for i := range 5 {
		b.requireChat(t, south.caller, "chat", "matcher-a", fmt.Sprint("south ", i), true)
		b.requireChat(t, north.caller, "chat", "matcher-a", fmt.Sprint("north ", i), true)
	}
	require.Equal(t, "ran", b.kit(south, "at home").outcome)
	for i := range 3 {
		key := fmt.Sprint("across ", i)
		r := b.kit(north, key)
		require.NotEqual(t, "ran", r.outcome)
		if r.outcome == "not-run" {
			require.Zero(t, b.orders.Counts().Keys[key])
		}
	}
	result, err := b.operators(south).Apply(t.Context(), operator.Edit{Expect: 1, Author: "a", Text: edited("apart")})
	require.NoError(t, err)
	require.EqualValues(t, 2, result.Revision)
	require.EqualValues(t, 1, b.revision(north))

	between.set(false)
	healed := time.Now()
	b.eventually("the change arrives in the north", func() bool { return b.revision(north) == 2 })
	require.Less(t, time.Since(healed), inForce)
	for i := range 3 {
		key := fmt.Sprint("across ", i)
		b.eventually(key, func() bool { return b.kit(north, key).outcome == "ran" })
		require.Equal(t, 1, b.orders.Counts().Keys[key])
	}
}
