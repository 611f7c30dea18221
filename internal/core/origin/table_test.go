package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

var start = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func stream(id string, software fleet.Software) origin.Stream {
	return origin.Stream{Service: "s", ID: id, Software: software}
}

// Streams are named to keepers while several versions serve, and those that began before the second
// version was listed once it is.
func TestStreamsAreNamedWhileSeveralVersionsServe(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), 0, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1"}}})
	table.Listed(at(0), "s", "1")
	assert.False(t, table.Began(at(1), stream("a", "1")))
	table.Keep(at(1), stream("other", "1"))
	table.Listed(at(2), "s", "2")
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnnamed())
	assert.True(t, table.Began(at(3), stream("b", "2")))
	assert.Equal(t, []origin.Stream{stream("b", "2")}, table.TakeUnnamed())
	assert.False(t, table.HasUnnamed())
	table.ReadServing(at(4), origin.Serving{Service: "s", Versions: []fleet.Software{"1", "2"}})
	table.Listed(at(70), "s", "2")
	assert.Equal(t, []fleet.Software{"2"}, table.Versions(at(70), "s"), "no stream of version 1 is left")
	assert.True(t, table.Began(at(70), stream("c", "2")), "version 1 is still on record")
	assert.False(t, table.HasUnnamed(), "and streams of version 2 need no keepers")
	table.ReadServing(at(71), origin.Serving{Service: "s", Versions: []fleet.Software{"2"}, Revision: 2})
	assert.False(t, table.Began(at(71), stream("d", "2")))
}

func TestOriginsAreBounded(t *testing.T) {
	table := origin.NewTable()
	table.Began(at(0), stream("a", "1"))
	software, ok := table.Find(at(60), "s", "a")
	assert.True(t, ok)
	assert.Equal(t, fleet.Software("1"), software)
	_, ok = table.Find(at(0), "another", "a")
	assert.False(t, ok)
	_, ok = table.Find(at(61), "s", "a")
	assert.False(t, ok)
	for i := range 40_000 {
		table.Began(at(100), stream(fmt.Sprint(i), "1"))
	}
	_, ok = table.Find(at(100), "s", "39999")
	assert.True(t, ok)
	_, ok = table.Find(at(100), "s", "20000")
	assert.False(t, ok, "the oldest make room")
	table.Expire(at(161))
	_, ok = table.Find(at(100), "s", "39999")
	assert.False(t, ok)
}

// A stream is found after the loss of any two instances, its first one among them, by an instance
// whose view of the fleet still has them and by one whose view doesn't.
func TestKeepersOutliveLosses(t *testing.T) {
	var all []fleet.Instance
	for i := range 9 {
		all = append(all, fleet.Instance(fmt.Sprint("front-", i)))
	}
	without := func(lost ...fleet.Instance) (rest []fleet.Instance) {
		for _, i := range all {
			if i != lost[0] && i != lost[len(lost)-1] {
				rest = append(rest, i)
			}
		}
		return rest
	}
	missed := 0
	for n := range 100 {
		id := fmt.Sprint("stream", n)
		for _, self := range all {
			for _, other := range all {
				known := make(map[fleet.Instance]bool)
				for _, k := range origin.NamedTo(id, self, all) {
					known[k] = k != other
				}
				for _, view := range [][]fleet.Instance{all, without(self), without(self, other)} {
					found := false
					for _, k := range origin.KeepersOf(id, view) {
						found = found || known[k]
					}
					if !found {
						missed++
					}
				}
			}
		}
	}
	assert.Zero(t, missed)
}
