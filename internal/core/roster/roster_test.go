package roster_test

import (
	"cmp"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/chiveramp/chiveramp/internal/core/contact"
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

func TestLeavingTakesEffectImmediatelyAndPermanently(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Apply(at(1), []roster.Record{entry("a", 1, 2, true)}, 2)
	assert.True(t, r.Get("a").Leaving)
	r.Apply(at(2), []roster.Record{entry("a", 1, 3, false)}, 3)
	assert.True(t, r.Get("a").Leaving, "a late entry without the flag is ignored")
	r.Apply(at(3), []roster.Record{entry("a", 2, 4, false)}, 4)
	assert.False(t, r.Get("a").Leaving, "a new incarnation is not leaving")
	r.MarkLeaving("a", 1)
	assert.False(t, r.Get("a").Leaving, "update about the previous incarnation")
	r.MarkLeaving("a", 2)
	assert.True(t, r.Get("a").Leaving)
}

func TestRemovedIncarnationDoesNotReturn(t *testing.T) {
	tests := []struct {
		name     string
		leaving  bool // before its removal at revision 9
		then     roster.Record
		returned bool
	}{
		{name: "late update", then: entry("a", 5, 8, false)},
		{name: "the entry of its removal", then: entry("a", 5, 9, false)},
		{name: "older incarnation", then: entry("a", 4, 12, false)},
		{name: "had said that it leaves", leaving: true, then: entry("a", 5, 12, false)},
		{name: "registered again, leaving", then: entry("a", 5, 12, true)},
		{name: "registered again", then: entry("a", 5, 12, false), returned: true},
		{name: "next incarnation", leaving: true, then: entry("a", 6, 12, false), returned: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Apply(at(0), []roster.Record{entry("a", 5, 1, tt.leaving), removed("a", 9)}, 9)
			assert.Nil(t, r.Get("a"))
			r.Apply(at(1), []roster.Record{tt.then}, 12)
			e := r.Get("a")
			assert.Equal(t, tt.returned, e != nil && !e.Leaving)
			r.Apply(at(2), []roster.Record{entry("a", 3, 20, false)}, 20)
			assert.Equal(t, e, r.Get("a"), "an older incarnation")
		})
	}
}

func TestInvalidEntriesAreIgnored(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.Apply(at(1), []roster.Record{{ID: "a", Revision: 2, Invalid: true}, {ID: "b", Revision: 3, Invalid: true}}, 3)
	assert.NotNil(t, r.Get("a"))
	assert.Nil(t, r.Get("b"))
}

func TestEntriesThatExpireDuringStoreOutage(t *testing.T) {
	tests := []struct {
		name        string
		storeOutage bool // the store failed at 0
		recoveredAt int  // when it answers again, 0 for 1000
		missingAt   int  // when the entry is found missing
		backAt      int  // when it reappears, 0 for never
		kept        []int
		removed     []int
	}{
		{name: "no store outage", missingAt: 100, removed: []int{101}},
		{name: "reappears in time", storeOutage: true, missingAt: 1000, backAt: 2000, kept: []int{1500, 2500, 9000}},
		{name: "never reappears", storeOutage: true, missingAt: 1000, kept: []int{1500, 3000}, removed: []int{3300}},
		{name: "first answer long after the last failed call", storeOutage: true, recoveredAt: 6000, missingAt: 6000, backAt: 7900, kept: []int{6500, 7900, 8100, 15000}},
		{name: "never reappears after a late answer", storeOutage: true, recoveredAt: 6000, missingAt: 6000, kept: []int{6001, 8100}, removed: []int{8300}},
		{name: "removed long after", storeOutage: true, missingAt: 9000, removed: []int{9001}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Replace(at(0), []roster.Record{entry("a", 1, 1, false), entry("b", 1, 1, false)}, 1)
			if tt.storeOutage {
				r.RecordStoreFailure(at(0))
				r.RecordStoreSuccess(at(cmp.Or(tt.recoveredAt, 1000)))
			}
			r.Replace(at(tt.missingAt), []roster.Record{entry("b", 1, 1, false)}, 5)
			for _, ms := range tt.kept {
				if tt.backAt > 0 && ms > tt.backAt {
					r.Apply(at(tt.backAt), []roster.Record{entry("a", 1, 7, false)}, 7)
				}
				r.RemoveMissing(at(ms))
				assert.NotNil(t, r.Get("a"), "at %d", ms)
			}
			for _, ms := range tt.removed {
				r.RemoveMissing(at(ms))
				assert.Nil(t, r.Get("a"), "at %d", ms)
			}
		})
	}
}

// vouchCase is a removal after calls to the store.
type vouchCase struct {
	name       string
	calls      []int // answered ones of this instance, the last of which shows the removal
	failedAt   int   // a call without an answer, 0 for none
	peer       contact.Span
	fromPeer   bool // the removal comes from a peer that has it in force
	wantInTime bool
}

func (c vouchCase) test(t *testing.T) {
	r := roster.New()
	r.Replace(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	last := c.calls[len(c.calls)-1]
	for _, ms := range c.calls {
		if c.failedAt > 0 && ms > c.failedAt {
			r.RecordStoreFailure(at(c.failedAt))
		}
		r.RecordStoreAnswer(at(ms), at(ms), 0)
	}
	if !c.peer.Until.IsZero() {
		r.RecordContact(c.peer)
	}
	gone := removed("a", 5)
	gone.InForce = c.fromPeer
	r.Apply(at(last), []roster.Record{gone}, 5)
	assert.Equal(t, c.wantInTime, r.Get("a") == nil)
	assert.Equal(t, !c.wantInTime, r.HoldsRemovals())
	r.RemoveMissing(at(last + 2300))
	assert.Nil(t, r.Get("a"))
}

// Whose word ends the doubt whether the store was away before a removal.
func TestRemovalsThatSomebodyVouchesFor(t *testing.T) {
	for _, c := range []vouchCase{
		{name: "answered all the while", calls: []int{0, 500, 1000, 1500}, wantInTime: true},
		{name: "silent, a peer was answered", calls: []int{0, 500, 3500}, peer: contact.Span{Since: at(0), Until: at(3200)}, wantInTime: true},
		{name: "a call failed", calls: []int{0, 500, 1900}, failedAt: 900},
		{name: "a call failed, a peer was answered", calls: []int{0, 500, 1900}, failedAt: 900, peer: contact.Span{Since: at(-500), Until: at(1700)}, wantInTime: true},
		{name: "a call failed, a peer was answered before", calls: []int{0, 500, 1900}, failedAt: 900, peer: contact.Span{Since: at(-500), Until: at(900)}},
		{name: "a call failed, a peer has it in force", calls: []int{0, 500, 1900}, failedAt: 900, fromPeer: true, wantInTime: true},
	} {
		t.Run(c.name, c.test)
	}
}

// An instance that made no call for a while trusts the first removal that it sees, though an outage of the
// store fits in between.
func TestRemovalAfterASilenceIsDoubted(t *testing.T) {
	for _, c := range []vouchCase{
		{name: "silent for a while", calls: []int{0, 500, 3500}},
		{name: "silent, a peer was answered after an outage", calls: []int{0, 500, 3500}, peer: contact.Span{Since: at(3000), Until: at(3400)}},
		{name: "too short for an entry to lapse, as at a start", calls: []int{0, 1500}, wantInTime: true},
	} {
		t.Run(c.name, c.test)
	}
}

// A removal that is held back stays so when a peer repeats what was listed before it. A list from after it
// shows that the endpoint is there.
func TestHeldRemovalOutlastsEntriesFromBeforeIt(t *testing.T) {
	tests := []struct {
		name string
		then func(r *roster.Roster)
		kept bool
	}{
		{name: "the same entry", then: func(r *roster.Roster) { r.Apply(at(1200), []roster.Record{entry("a", 1, 1, false)}, 6) }},
		{name: "a later one", then: func(r *roster.Roster) { r.Apply(at(1200), []roster.Record{entry("a", 1, 4, false)}, 6) }},
		{name: "registered again", kept: true, then: func(r *roster.Roster) { r.Apply(at(1200), []roster.Record{entry("a", 1, 6, false)}, 6) }},
		{name: "in a list", kept: true, then: func(r *roster.Roster) { r.Replace(at(1200), []roster.Record{entry("a", 1, 1, false)}, 6) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
			r.RecordStoreFailure(at(0))
			r.RecordStoreSuccess(at(1000))
			r.Apply(at(1100), []roster.Record{removed("a", 5)}, 5)
			tt.then(r)
			assert.Equal(t, !tt.kept, r.HoldsRemovals())
			r.RemoveMissing(at(3300))
			assert.Equal(t, tt.kept, r.Get("a") != nil)
		})
	}
}

func TestLeavingEndpointsAreRemovedDuringStoreOutage(t *testing.T) {
	r := roster.New()
	r.Replace(at(0), []roster.Record{entry("a", 1, 1, true)}, 1)
	r.RecordStoreFailure(at(0))
	r.Apply(at(10), []roster.Record{removed("a", 2)}, 2)
	assert.Nil(t, r.Get("a"))
}

func TestReportsOfAnotherIncarnationOrOlderAreDropped(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.RecordReport("a", roster.Report{Born: 1, Running: 3, Taken: at(100)})
	r.RecordReport("a", roster.Report{Born: 1, Running: 4, Taken: at(50)})
	r.RecordReport("a", roster.Report{Born: 2, Running: 5, Taken: at(200)})
	assert.Equal(t, 3, r.Get("a").Report.Running)
	r.RecordReport("a", roster.Report{Born: 1, Leaving: true, Taken: at(300)})
	assert.True(t, r.Get("a").Leaving)
}

func TestSuspicionBackoffGrowsAndResets(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.RecordFailure(at(0), "a", 1)
	assert.True(t, r.Get("a").Suspect(at(299)))
	assert.False(t, r.Get("a").Suspect(at(301)))
	r.RecordFailure(at(400), "a", 1)
	assert.True(t, r.Get("a").Suspect(at(900)))
	r.RecordFailure(at(400), "a", 7)
	r.RecordSuccess("a")
	assert.False(t, r.Get("a").Suspect(at(500)))
}

func TestOrderResultsOverrideDelayedReports(t *testing.T) {
	r := roster.New()
	r.Apply(at(0), []roster.Record{entry("a", 1, 1, false)}, 1)
	r.RecordReport("a", roster.Report{Born: 1, Taken: at(0), Models: []roster.Holding{{Model: "m", Adapters: []fleet.Adapter{"x"}}}})
	e := r.Get("a")
	assert.True(t, e.Serves(at(1), "m", "x"))
	assert.False(t, e.Serves(at(1), "m", "y"))
	r.RecordPresence(at(10), "a", roster.Adapter{Model: "m", Adapter: "y"}, true)
	assert.True(t, e.Serves(at(20), "m", "y"))
	report := func(ms int) {
		r.RecordReport("a", roster.Report{Born: 1, Taken: at(ms), Models: []roster.Holding{{Model: "m", Adapters: []fleet.Adapter{"x"}}}})
	}
	assert.True(t, e.Serves(at(2000), "m", "y"), "no report has been taken since")
	report(700)
	assert.True(t, e.Serves(at(2000), "m", "y"), "the report may not show it yet")
	report(900)
	assert.False(t, e.Serves(at(2000), "m", "y"), "reports are current again")
	r.MarkUnloading(at(3000), "a", "m")
	assert.False(t, e.Serves(at(3001), "m", "x"))
	assert.False(t, e.Serves(at(5900), "m", "x"), "no report has been taken since")
	assert.True(t, e.Serves(at(6100), "m", "x"), "a wrong absence ends without a report")
	r.RecordPresence(at(7000), "a", roster.Adapter{Model: "m", Adapter: "z"}, true)
	assert.True(t, e.Serves(at(10900), "m", "z"))
	assert.False(t, e.Serves(at(11100), "m", "z"), "so does a presence, later")
}

// In a fleet of hundreds of instances an endpoint's report may be seconds old. Its load no
// longer counts then, and its entry may show newer orders.
func TestOldReportsCountForModelsOnly(t *testing.T) {
	r := roster.New()
	record := entry("a", 1, 1, false)
	r.Apply(at(0), []roster.Record{record}, 1)
	r.RecordReport("a", roster.Report{Born: 1, Taken: at(0), Seq: 3, Busy: true, Used: 90, Total: 100, Models: []roster.Holding{{Model: "m"}}})
	e := r.Get("a")
	assert.True(t, e.Busy(at(1900)))
	assert.True(t, e.Occupied(at(1900), 20))
	assert.False(t, e.Occupied(at(1900), 10))
	assert.False(t, e.Busy(at(2100)))
	assert.False(t, e.Occupied(at(2100), 20))
	assert.True(t, e.Serves(at(9000), "m", ""))
	record.Entry.Seq, record.Entry.Models, record.Entry.Revision, record.Revision = 4, []roster.Holding{{Model: "n"}}, 2, 2
	r.Apply(at(9000), []roster.Record{record}, 2)
	assert.True(t, e.Serves(at(9001), "n", ""))
	assert.False(t, e.Serves(at(9001), "m", ""), "the entry shows a later order")
}
