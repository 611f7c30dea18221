package roster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func entry(id fleet.Endpoint, born, revision int64, leaving bool) roster.Record {
	return roster.Record{ID: id, Revision: revision, Entry: roster.Entry{
		ID: id, Service: "s", Address: "10.0.0.1:80", Slots: 4, Born: born, Revision: revision, Leaving: leaving,
	}}
}

func removed(id fleet.Endpoint, revision int64) roster.Record {
	return roster.Record{ID: id, Revision: revision, Removed: true}
}

func TestLeavingIsBelievedAtOnceAndForGood(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Apply(at(1), []roster.Record{entry("a", 1, 2, true)}, 2)
	assert.True(t, r.Get("a").Leaving)
	r.Apply(at(2), []roster.Record{entry("a", 1, 3, false)}, 3)
	assert.True(t, r.Get("a").Leaving, "a late word of readiness doesn't count")
	r.Apply(at(3), []roster.Record{entry("a", 2, 4, false)}, 4)
	assert.False(t, r.Get("a").Leaving, "a new start does")
	r.Left("a", 1)
	assert.False(t, r.Get("a").Leaving, "news of the start before")
	r.Left("a", 2)
	assert.True(t, r.Get("a").Leaving)
}

func TestWhatHasGoneStaysGone(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 5, 1, false), removed("a", 2)}, 2)
	assert.Nil(t, r.Get("a"))
	r.Apply(at(1), []roster.Record{entry("a", 5, 3, false)}, 3)
	assert.Nil(t, r.Get("a"), "the same start")
	r.Apply(at(2), []roster.Record{entry("a", 6, 4, false)}, 4)
	assert.NotNil(t, r.Get("a"))
	r.Apply(at(3), []roster.Record{entry("a", 5, 9, false)}, 9)
	assert.Equal(t, int64(6), r.Get("a").Born, "an older start")
}

func TestForgedEntriesChangeNothing(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Apply(at(1), []roster.Record{{ID: "a", Revision: 2, Forged: true}, {ID: "b", Revision: 3, Forged: true}}, 3)
	assert.NotNil(t, r.Get("a"))
	assert.Nil(t, r.Get("b"))
}

func TestEntriesThatLapseWhileTheStoreIsAway(t *testing.T) {
	tests := []struct {
		name    string
		trouble bool // the store failed at 0 and was back at 1000
		at      int  // when the entry is seen to be missing
		back    int  // when it is seen again, 0 for never
		kept    []int
		gone    []int
	}{
		{name: "store was well", at: 100, gone: []int{101}},
		{name: "back in time", trouble: true, at: 1000, back: 2000, kept: []int{1500, 2500, 9000}},
		{name: "never back", trouble: true, at: 1000, kept: []int{1500, 3000}, gone: []int{3300}},
		{name: "removed long after", trouble: true, at: 9000, gone: []int{9001}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Replace(at(0), []roster.Record{entry("a", 1, 1, false), entry("b", 1, 1, false)}, 1)
			if tt.trouble {
				r.Troubled(at(0))
				r.Answered(at(1000))
			}
			r.Replace(at(tt.at), []roster.Record{entry("b", 1, 1, false)}, 5)
			for _, ms := range tt.kept {
				if tt.back > 0 && ms > tt.back {
					r.Apply(at(tt.back), []roster.Record{entry("a", 1, 7, false)}, 7)
				}
				r.Settle(at(ms))
				assert.NotNil(t, r.Get("a"), "at %d", ms)
			}
			for _, ms := range tt.gone {
				r.Settle(at(ms))
				assert.Nil(t, r.Get("a"), "at %d", ms)
			}
		})
	}
}

func TestLeavingEndpointsAreNeverDoubted(t *testing.T) {
	r := roster.New()
	r.Replace(at(0), []roster.Record{entry("a", 1, 1, true)}, 1)
	r.Troubled(at(0))
	r.Apply(at(10), []roster.Record{removed("a", 2)}, 2)
	assert.Nil(t, r.Get("a"))
}

func TestReportsOfAnotherStartOrTimeAreDropped(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Reported("a", roster.Report{Born: 1, Running: 3, Taken: at(100)})
	r.Reported("a", roster.Report{Born: 1, Running: 4, Taken: at(50)})
	r.Reported("a", roster.Report{Born: 2, Running: 5, Taken: at(200)})
	assert.Equal(t, 3, r.Get("a").Report.Running)
	r.Reported("a", roster.Report{Born: 1, Leaving: true, Taken: at(300)})
	assert.True(t, r.Get("a").Leaving)
}

func TestSuspicionGrowsAndEnds(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Failed(at(0), "a", 1)
	assert.True(t, r.Get("a").Suspect(at(299)))
	assert.False(t, r.Get("a").Suspect(at(301)))
	r.Failed(at(400), "a", 1)
	assert.True(t, r.Get("a").Suspect(at(900)))
	r.Failed(at(400), "a", 7)
	r.Served("a")
	assert.False(t, r.Get("a").Suspect(at(500)))
}

func TestWhatOrdersShowGoesBeforeLateReports(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Reported("a", roster.Report{Born: 1, Taken: at(0), Models: []roster.Holding{{Model: "m", Adapters: []fleet.Adapter{"x"}}}})
	e := r.Get("a")
	assert.True(t, e.Serves(at(1), "m", "x"))
	assert.False(t, e.Serves(at(1), "m", "y"))
	r.Learned(at(10), "a", roster.Adapter{Model: "m", Adapter: "y"}, true)
	assert.True(t, e.Serves(at(20), "m", "y"))
	assert.False(t, e.Serves(at(2000), "m", "y"), "the reports have caught up")
	r.Retiring(at(3000), "a", "m")
	assert.False(t, e.Serves(at(3001), "m", "x"))
}
