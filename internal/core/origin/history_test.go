package origin_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/catalog"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

type listing = map[catalog.Service][]fleet.Software

// A version stays on record for as long as a stream that it began is taken up, whichever instances
// start meanwhile, and two that differ in what they have observed don't undo each other's record.
func TestVersionsStayOnRecord(t *testing.T) {
	before, after := origin.NewTable(), origin.NewTable()
	assert.Empty(t, before.Unrecorded(at(0), listing{"s": {"1"}}), "nothing is written before what is on record was read")
	before.ReadHistory(at(0), nil)
	before.Listed(at(0), "s", "1")
	first := before.Unrecorded(at(0), listing{"s": {"1", "1"}})
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1"}}}, first)
	first[0].Revision = 5
	before.ReadServing(at(0), first[0])
	assert.Empty(t, before.Unrecorded(at(1), listing{"s": {"1"}}))
	before.Listed(at(100), "s", "1")
	before.Listed(at(100), "s", "2")
	both := before.Unrecorded(at(100), listing{"s": {"2", "1"}})
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5}}, both)
	both[0].Revision = 8
	before.ReadServing(at(100), both[0])

	// Version 1 leaves at 100 s; an instance that starts at 120 s has never seen it listed.
	after.ReadHistory(at(120), both)
	after.Listed(at(120), "s", "2")
	assert.Equal(t, []fleet.Software{"1", "2"}, after.Versions(at(120), "s"))
	assert.False(t, after.Settled(at(179)))
	assert.True(t, after.Settled(at(180)))
	for seconds := 100; seconds <= 160; seconds++ {
		before.Listed(at(seconds), "s", "2")
		after.Listed(at(seconds+20), "s", "2")
		assert.Empty(t, before.Unrecorded(at(seconds), listing{"s": {"2"}}))
	}
	rest := before.Unrecorded(at(161), listing{"s": {"2"}})
	assert.Equal(t, []origin.Serving{{Service: "s", Versions: []fleet.Software{"2"}, Revision: 8}}, rest)
	rest[0].Revision = 9
	after.ReadServing(at(162), rest[0])
	assert.Empty(t, after.Unrecorded(at(162), listing{"s": {"2"}}))
}

// After the store has come back from an older copy, versions are read and streams are recorded again.
func TestStreamsAreRecordedAgainAfterALossOfRecords(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), nil)
	table.Listed(at(0), "s", "1")
	table.Listed(at(0), "s", "2")
	assert.True(t, table.Began(at(1), stream("a", "1")))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnstored(32))
	table.MarkStored("a")
	assert.True(t, table.Stored("a"))
	assert.False(t, table.Began(at(2), stream("a", "1")), "taken up, and on record")
	table.ForgetHistory()
	assert.True(t, table.HistoryDue())
	assert.False(t, table.Stored("a"))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnstored(32))
	table.ReturnUnstored([]origin.Stream{stream("a", "1")})
	assert.True(t, table.HasUnstored())
	table.ReadHistory(at(3), nil)
	assert.False(t, table.HistoryDue())
	assert.True(t, table.Settled(at(0).Add(origin.Retention)), "it has observed the services all the while")
}

// The streams of a version that serves alone are recorded one by one until the version is on record: if
// all instances are lost before, and it leaves, nothing else tells them from those of the next version.
func TestStreamsOfAVersionThatIsNotOnRecordAreRecorded(t *testing.T) {
	table := origin.NewTable()
	table.Listed(at(0), "s", "1")
	assert.True(t, table.Began(at(0), stream("a", "1")), "not read")
	table.ReadHistory(at(1), nil)
	assert.True(t, table.Began(at(1), stream("b", "1")), "not written")
	assert.False(t, table.OnRecord("s"))
	assert.True(t, table.Behind(at(1)))
	assert.Equal(t, []origin.Stream{stream("b", "1"), stream("a", "1")}, table.TakeUnstored(32))
	assert.False(t, table.HasUnnamed(), "keepers are for several versions")
	table.ReadServing(at(2), origin.Serving{Service: "s", Versions: []fleet.Software{"1"}})
	assert.True(t, table.OnRecord("s"))
	assert.False(t, table.Behind(at(2)))
	assert.False(t, table.Began(at(2), stream("c", "1")))
	table.ForgetHistory()
	assert.True(t, table.Began(at(3), stream("d", "1")), "the store may have lost it")
}

// A version that has left is on record again after the store has come back from a copy without it, for as
// long as streams that it began are taken up.
func TestVersionsThatTheStoreHasLostAreRecordedAgain(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), nil)
	table.Listed(at(0), "s", "1")
	table.Listed(at(1), "s", "2")
	table.ReadServing(at(1), origin.Serving{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 7})
	table.ForgetHistory()
	table.ReadHistory(at(2), []origin.Serving{{Service: "s", Versions: []fleet.Software{"2"}, Revision: 5}})
	both := []origin.Serving{{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5}}
	assert.Equal(t, both, table.Unrecorded(at(3), listing{"s": {"2"}}))
	assert.Empty(t, table.Unrecorded(at(61), listing{"s": {"2"}}))
}
