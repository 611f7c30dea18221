package origin_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

// A version stays on record for as long as a stream that it began is taken up, whichever instances
// start meanwhile, and two that differ in what they have observed don't undo each other's record.
func TestVersionsStayOnRecord(t *testing.T) {
	before, after := origin.NewTable(), origin.NewTable()
	before.Listed(at(0), "s", "1")
	assert.Empty(t, before.Unrecorded(at(0)), "nothing is written before what is on record was read")
	before.ReadHistory(at(0), 0, nil)
	first := before.Unrecorded(at(0))
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1"}}}, first)
	first[0].Revision = 5
	before.ReadServing(at(0), first[0])
	assert.Empty(t, before.Unrecorded(at(1)))
	before.Listed(at(100), "s", "1")
	before.Listed(at(100), "s", "2")
	both := before.Unrecorded(at(100))
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5}}, both)
	both[0].Revision = 8
	before.ReadServing(at(100), both[0])

	// Version 1 leaves at 100 s; an instance that starts at 120 s has never seen it listed.
	after.ReadHistory(at(120), 0, both)
	after.Listed(at(120), "s", "2")
	assert.Equal(t, []fleet.Software{"1", "2"}, after.Versions(at(120), "s"))
	assert.True(t, after.Settled(at(120), "s"), "the record is complete")
	assert.False(t, after.Observed(at(179)))
	assert.True(t, after.Observed(at(180)))
	for seconds := 100; seconds <= 160; seconds++ {
		before.Listed(at(seconds), "s", "2")
		after.Listed(at(seconds+20), "s", "2")
		assert.Empty(t, before.Unrecorded(at(seconds)))
	}
	rest := before.Unrecorded(at(161))
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"2"}, Revision: 8}}, rest)
	rest[0].Revision = 9
	after.ReadServing(at(162), rest[0])
	assert.Empty(t, after.Unrecorded(at(162)))
}

// After the store has come back from an older copy, versions are read and streams are recorded again.
func TestStreamsAreRecordedAgainAfterALossOfRecords(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), 0, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1"}, Revision: 1}})
	table.Listed(at(0), "s", "1")
	table.Listed(at(0), "s", "2")
	assert.True(t, table.Began(at(1), stream("a", "1")))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnstored(32))
	table.MarkStored("a")
	assert.True(t, table.Stored("a"))
	assert.False(t, table.Began(at(2), stream("a", "1")), "taken up, and on record")
	table.ForgetHistory(at(2))
	assert.True(t, table.HistoryDue())
	assert.False(t, table.Stored("a"))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnstored(32))
	table.ReturnUnstored([]origin.Stream{stream("a", "1")})
	assert.True(t, table.HasUnstored())
	table.ReadHistory(at(3), 0, nil)
	assert.False(t, table.HistoryDue())
	assert.True(t, table.Settled(at(3), "s"), "it has observed the services since before")
}

// After the store has come back from an older copy, its record of versions is complete only once it is
// written by an instance that has observed the service since before, or for as long as streams are taken up.
func TestVersionsOnRecordAreIncompleteInANewEra(t *testing.T) {
	older := origin.Serving{Service: "s", Versions: []fleet.Software{"1"}, Revision: 5, Era: 1}
	for _, tt := range []struct {
		name    string
		before  bool // the instance has run since before the return
		seconds int  // since it read the record in the new era
		era     int64
	}{
		{name: "just started", era: 1},
		{name: "started a minute ago", seconds: 60, era: 2},
		{name: "started before the return", before: true, era: 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := origin.NewTable()
			if tt.before {
				table.ReadHistory(at(0), 1, []origin.Serving{older})
				table.ForgetHistory(at(2))
			}
			table.ReadHistory(at(1), 2, []origin.Serving{older})
			now := at(1 + tt.seconds)
			table.Listed(now, "s", "1")
			table.Listed(now, "s", "2")
			assert.Equal(t, tt.era == 2, table.Settled(now, "s"))
			assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5, Era: tt.era}}, table.Unrecorded(now))
		})
	}
}

// A deployment that starts for the first time has a complete record at once, one whose store has come
// back and lost the record does not.
func TestFirstRecordOfVersions(t *testing.T) {
	for _, era := range []int64{0, 1, 2} {
		table := origin.NewTable()
		table.ReadHistory(at(0), era, nil)
		table.Listed(at(0), "s", "1")
		assert.False(t, table.Settled(at(0), "s"))
		written := table.Unrecorded(at(0))[0]
		written.Revision = 1
		table.ReadServing(at(0), written)
		assert.Equal(t, era < 2, table.Settled(at(0), "s"), "era %d", era)
	}
}

// The streams of a version that serves alone are recorded one by one until the version is on record: if
// all instances are lost before, and its endpoints leave, only these records distinguish its streams from those of
// the next version.
func TestStreamsOfAVersionThatIsNotOnRecordAreRecorded(t *testing.T) {
	table := origin.NewTable()
	table.Listed(at(0), "s", "1")
	assert.True(t, table.Began(at(0), stream("a", "1")), "not read")
	table.ReadHistory(at(1), 0, nil)
	assert.True(t, table.Began(at(1), stream("b", "1")), "not written")
	assert.True(t, table.Behind(at(1)))
	assert.Equal(t, []origin.Stream{stream("b", "1"), stream("a", "1")}, table.TakeUnstored(32))
	assert.False(t, table.HasUnnamed(), "keepers are for several versions")
	table.ReadServing(at(2), origin.Serving{Service: "s", Versions: []fleet.Software{"1"}})
	assert.False(t, table.Behind(at(2)))
	assert.False(t, table.Began(at(2), stream("c", "1")))
	table.ForgetHistory(at(2))
	assert.True(t, table.Began(at(3), stream("d", "1")), "the store may have lost it")
}

// A version that has left is on record again after the store has come back from a copy without it, for as
// long as streams that it began are taken up.
func TestVersionsThatTheStoreHasLostAreRecordedAgain(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), 0, nil)
	table.Listed(at(0), "s", "1")
	table.Listed(at(1), "s", "2")
	table.ReadServing(at(1), origin.Serving{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 7})
	table.ForgetHistory(at(2))
	table.ReadHistory(at(2), 0, []origin.Serving{{Service: "s", Versions: []fleet.Software{"2"}, Revision: 5}})
	both := []origin.Serving{{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5}}
	assert.Equal(t, both, table.Unrecorded(at(3)))
	table.Listed(at(62), "s", "2")
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"2"}, Revision: 5}}, table.Unrecorded(at(62)), "written again unchanged")
}

// An instance that has read an incomplete record is not settled by another return of the store.
func TestSecondReturnOfTheStoreSettlesNothing(t *testing.T) {
	table := origin.NewTable()
	older := origin.Serving{Service: "s", Versions: []fleet.Software{"1"}, Revision: 5, Era: 1}
	table.ReadHistory(at(0), 2, []origin.Serving{older})
	table.Listed(at(0), "s", "1")
	table.ForgetHistory(at(1))
	table.ReadHistory(at(1), 3, []origin.Serving{older})
	assert.False(t, table.Settled(at(1), "s"))
	for _, s := range table.Unrecorded(at(1)) {
		assert.Equal(t, int64(1), s.Era)
	}
}

// A record that was acknowledged before the store lost it doesn't count.
func TestRecordsWrittenBeforeALossDoNotCount(t *testing.T) {
	table := origin.NewTable()
	before := table.Losses()
	table.ForgetStored()
	assert.NotEqual(t, before, table.Losses())
}
