package path_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/path"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// event is the outcome of a connect to an endpoint at a time in milliseconds.
type event struct {
	at       int
	endpoint fleet.Endpoint
	outcome  string
}

func tableAfter(events []event) *path.Table {
	t := path.NewTable()
	for _, e := range events {
		switch e.outcome {
		case "failed":
			t.Failed(at(e.at), e.endpoint)
		case "worked":
			t.Worked(at(e.at), e.endpoint)
		case "answered":
			t.Answered(at(e.at), e.endpoint)
		case "relayed":
			t.Relayed(at(e.at), e.endpoint)
		case "refused there":
			t.RefusedThere(at(e.at), e.endpoint)
		case "unreached there":
			t.UnreachedThere(at(e.at), e.endpoint)
		default:
			panic(e.outcome)
		}
	}
	return t
}

func TestWay(t *testing.T) {
	tests := []struct {
		name   string
		events []event
		want   path.Way
		cutOff bool
	}{
		{name: "nothing known", want: path.Direct},
		{name: "works", events: []event{{0, "a", "worked"}}, want: path.Direct},
		{name: "a connect failed", events: []event{{0, "a", "failed"}}, want: path.Both},
		{name: "it failed long ago", events: []event{{-3000, "a", "failed"}}, want: path.Direct},
		{name: "a peer connects", events: []event{{0, "a", "failed"}, {1, "a", "relayed"}}, want: path.Relay},
		{name: "a peer connected long ago", events: []event{{-9000, "a", "relayed"}}, want: path.Relay},
		{name: "it works again", events: []event{{0, "a", "relayed"}, {1, "a", "worked"}}, want: path.Direct},
		{name: "it has ended", events: []event{{0, "a", "failed"}, {1, "a", "refused there"}}, want: path.Alone},
		{name: "it ended while it was cut", events: []event{{0, "a", "relayed"}, {1, "a", "refused there"}}, want: path.Alone},
		{name: "no peer reaches it", events: []event{{0, "a", "failed"}, {1, "a", "unreached there"}}, want: path.Alone},
		{name: "peers are asked again", events: []event{{-1500, "a", "unreached there"}}, want: path.Direct},
		{name: "others are cut", events: []event{{0, "b", "relayed"}, {0, "c", "relayed"}}, want: path.Both, cutOff: true},
		{name: "one other is cut", events: []event{{0, "b", "relayed"}}, want: path.Direct},
		{name: "others are cut, more work", events: []event{{0, "b", "relayed"}, {0, "c", "relayed"}, {0, "d", "worked"}, {0, "e", "worked"}}, want: path.Direct},
		{name: "others worked before", events: []event{{-3000, "d", "worked"}, {-3000, "e", "worked"}, {0, "b", "relayed"}, {0, "c", "relayed"}}, want: path.Both, cutOff: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := tableAfter(tt.events)
			assert.Equal(t, tt.want, table.Way(at(10), "a"))
			assert.Equal(t, tt.cutOff, table.CutOff(at(10)))
		})
	}
}

// A refused connect is taken for the end of an endpoint only if a peer finds the same, and not while
// connects to half of the endpoints fail.
func TestRefusalsAreDoubted(t *testing.T) {
	var events []event
	for i := range 10 {
		id := fleet.Endpoint(fmt.Sprint("e", i))
		events = append(events, event{i, id, "failed"}, event{i, id, "refused there"})
		table := tableAfter(events)
		assert.True(t, table.ConfirmedRefused(at(20), id))
		assert.False(t, table.ConfirmedRefused(at(20), "other"))
		assert.False(t, table.ConfirmedRefused(at(3000), id), "long ago")
		assert.Equal(t, i+1 >= 5, table.Doubtful(at(20), 10, anyPath), "%d of 10", i+1)
		assert.False(t, table.Doubtful(at(20), 100, anyPath))
		assert.False(t, table.Doubtful(at(3000), 10, anyPath), "long ago")
	}
	assert.False(t, tableAfter(events[:6]).Doubtful(at(20), 3, anyPath), "three may end at once")
}

func anyPath(fleet.Endpoint) bool { return true }

// Requests that crash one endpoint after another end most of them within seconds, while others answer.
// Their refusals are believed. Once no answer comes any more they are doubted, whatever answered before.
func TestRefusalsAmongAnswersAreBelieved(t *testing.T) {
	const crashes, listed, interval = 12, 20, 150
	var crashing []event
	for i := range crashes {
		id := fleet.Endpoint(fmt.Sprint("e", i))
		for asked := i * interval; asked < crashes*interval; asked += 400 {
			crashing = append(crashing, event{asked, id, "failed"})
		}
		crashing = append(crashing, event{i*interval + 1, "sound", "answered"}, event{i*interval + 1, id, "refused there"})
	}
	slices.SortStableFunc(crashing, func(a, b event) int { return a.at - b.at })
	for i := range crashing {
		table := tableAfter(crashing[:i+1])
		assert.False(t, table.Doubtful(at(crashing[i].at+1), listed, anyPath), "after %v", crashing[i])
	}
	elsewhere := func(id fleet.Endpoint) bool { return id != "sound" }
	assert.True(t, tableAfter(crashing).Doubtful(at(crashes*interval), listed, elsewhere), "nothing behind their path answers")
	cut := slices.Clone(crashing)
	for i := range listed {
		cut = append(cut, event{2000, fleet.Endpoint(fmt.Sprint("e", i)), "failed"})
	}
	assert.True(t, tableAfter(cut).Doubtful(at(2001), listed, anyPath), "all failed after the last answer")
	relayed := append(slices.Clone(cut), event{2001, "e0", "relayed"}, event{2002, "e0", "answered"})
	assert.True(t, tableAfter(relayed).Doubtful(at(2003), listed, anyPath), "an answer through a peer")
	healed := append(slices.Clone(cut), event{2001, "e0", "worked"})
	assert.False(t, tableAfter(healed).Doubtful(at(2003), listed, anyPath), "connected")
}

// An endpoint counts as lost until a way leads to it again.
func TestLost(t *testing.T) {
	for _, c := range []struct {
		then event
		want bool
	}{
		{event{1, "a", "failed"}, true}, {event{1, "a", "worked"}, false}, {event{1, "a", "relayed"}, false}, {event{1, "b", "worked"}, true},
	} {
		table := tableAfter([]event{{0, "a", "unreached there"}, c.then})
		assert.Equal(t, c.want, table.Lost(at(2000), "a"), c.then.outcome)
		assert.False(t, table.Lost(at(11_000), "a"), "long ago")
		assert.False(t, table.Lost(at(2000), "b"))
	}
}

// Paths that are cut are tried again, a bounded number at once and each after a while, and forgotten
// with their endpoints.
func TestCutPathsAreChecked(t *testing.T) {
	table := path.NewTable()
	live := make(map[fleet.Endpoint]int64)
	for i := range 100 {
		id := fleet.Endpoint(fmt.Sprint("e", i))
		live[id] = 1
		table.Relayed(at(0), id)
	}
	assert.Empty(t, table.Checks(at(500)))
	checked := make(map[fleet.Endpoint]int)
	for round := range 4 {
		due := table.Checks(at(1000 + round))
		assert.LessOrEqual(t, len(due), 32)
		for _, id := range due {
			checked[id]++
		}
	}
	assert.Len(t, checked, 100)
	assert.Empty(t, table.Checks(at(1500)))
	assert.Equal(t, 100, table.Cut())
	assert.True(t, table.Worked(at(1600), "e1"))
	assert.False(t, table.Worked(at(1601), "e1"), "as before")
	delete(live, "e2")
	table.Keep(at(1700), live)
	assert.Equal(t, 98, table.Cut())
}
