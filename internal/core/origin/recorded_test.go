package origin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/origin"
)

// A stream that was found in the store and goes on here is named to its keepers: they must have it once
// its record has ended or the store is away.
func TestStreamsFoundInTheStoreAreNamed(t *testing.T) {
	table := origin.NewTable()
	table.ReadHistory(at(0), 0, nil)
	table.Listed(at(0), "s", "1")
	table.Listed(at(0), "s", "2")
	table.KeepStored(at(40), stream("a", "1"))
	table.Began(at(40), stream("a", "1"))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnnamed())
}

// The writes of one call name each key once: a store that refuses the call otherwise would refuse it for
// ever, and all records behind it.
func TestStreamsAreRecordedOnceInACall(t *testing.T) {
	table := origin.NewTable()
	table.Listed(at(0), "s", "1")
	table.Began(at(0), stream("a", "1"))
	table.Listed(at(1), "s", "2")
	table.Began(at(2), stream("a", "1")) // its caller has taken it up
	table.ForgetHistory(at(2))
	assert.Equal(t, []origin.Stream{stream("a", "1")}, table.TakeUnstored(32))
}

// While another version is on record a restarted instance takes it for one that may have begun a
// stream, so streams are recorded until it has been removed there.
func TestStreamsAreRecordedWhileAnotherVersionIsOnRecord(t *testing.T) {
	table := origin.NewTable()
	both := origin.Serving{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 5}
	table.ReadHistory(at(0), 0, []origin.Serving{both})
	for seconds := range 70 {
		table.Listed(at(seconds), "s", "2")
	}
	removal := table.Unrecorded(at(70))
	assert.Len(t, removal, 1, "not written yet")
	assert.True(t, table.Began(at(70), stream("a", "2")))

	restarted := origin.NewTable()
	restarted.ReadHistory(at(71), 0, []origin.Serving{both})
	restarted.Listed(at(71), "s", "2")
	assert.Len(t, restarted.Versions(at(71), "s"), 2, "it refuses a stream without a record")
}

// An instance that was cut off while a version was listed again removes it from the record, which was not
// written meanwhile. Those that see the version listed must have it on record all the same.
func TestVersionsListedAgainStayOnRecord(t *testing.T) {
	stored := origin.Serving{Service: "s", Versions: []fleet.Software{"1", "2"}, Revision: 8}
	cutOff, other := origin.NewTable(), origin.NewTable()
	step := func(now time.Time, table *origin.Table) {
		for range 2 { // the second time after a conflict
			for _, s := range table.Unrecorded(now) {
				if s.Revision == stored.Revision {
					s.Revision++
					stored = s
				}
				table.ReadServing(now, stored)
			}
		}
	}
	for _, table := range []*origin.Table{cutOff, other} {
		table.ReadHistory(at(0), 0, []origin.Serving{stored})
	}
	for seconds := range 70 {
		cutOff.Listed(at(seconds), "s", "2")
		other.Listed(at(seconds), "s", "2")
		if seconds >= 30 {
			other.Listed(at(seconds), "s", "1")
		}
		step(at(seconds), other)
	}
	step(at(70), cutOff)
	other.Listed(at(71), "s", "1")
	step(at(71), other)
	assert.Equal(t, []fleet.Software{"1", "2"}, stored.Versions)
}
