package roster_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
)

// The load of a large fleet at rest: hundreds of endpoints rewrite their entries every
// second. Only what changes where requests go may be passed from instance to instance.
func TestRewrittenEntriesAreNoChange(t *testing.T) {
	changes := []struct {
		name    string
		change  func(e *roster.Entry)
		changed bool
	}{
		{name: "same contents", change: func(*roster.Entry) {}},
		{name: "adapter loaded", change: func(e *roster.Entry) { e.Seq, e.Models[0].Adapters = 9, []fleet.Adapter{"a1"} }},
		{name: "model loaded", change: func(e *roster.Entry) { e.Models = append(e.Models, roster.Holding{Model: "n"}) }, changed: true},
		{name: "leaving", change: func(e *roster.Entry) { e.Leaving = true }, changed: true},
		{name: "moved", change: func(e *roster.Entry) { e.Address = "10.0.0.2:80" }, changed: true},
		{name: "restarted", change: func(e *roster.Entry) { e.Born = 2 }, changed: true},
	}
	for _, tt := range changes {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			first := entry("a", 1, 10, false)
			first.Entry.Models = []roster.Holding{{Model: "m"}}
			r.Replace(at(0), []roster.Record{first}, 10)
			second := entry("a", 1, 20, false)
			second.Entry.Models = []roster.Holding{{Model: "m"}}
			tt.change(&second.Entry)
			r.Apply(at(1), []roster.Record{second}, 25)
			changed, removed, ok := r.ChangesSince(10)
			require.True(t, ok)
			assert.Empty(t, removed)
			assert.Equal(t, tt.changed, len(changed) == 1)
			assert.Equal(t, tt.changed, r.ChangedAt() > 10)
		})
	}
}

// An endpoint's own report that it leaves may arrive before its entry says so. The entry is a
// change all the same: most instances of a large fleet don't get the report.
func TestLeavingIsAChangeAfterAReport(t *testing.T) {
	tests := []struct {
		name  string
		learn func(r *roster.Roster)
	}{
		{name: "entry only", learn: func(*roster.Roster) {}},
		{name: "after its report", learn: func(r *roster.Roster) {
			r.RecordReport("a", roster.Report{Born: 1, Taken: at(5), Leaving: true})
		}},
		{name: "after a peer's word", learn: func(r *roster.Roster) { r.MarkLeaving("a", 1) }},
		{name: "after its report and a rewrite", learn: func(r *roster.Roster) {
			r.RecordReport("a", roster.Report{Born: 1, Taken: at(5), Leaving: true})
			r.Apply(at(6), []roster.Record{entry("a", 1, 15, false)}, 15)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := roster.New()
			r.Replace(at(0), []roster.Record{entry("a", 1, 10, false)}, 10)
			tt.learn(r)
			r.Apply(at(10), []roster.Record{entry("a", 1, 20, true)}, 20)
			changed, _, ok := r.ChangesSince(15)
			require.True(t, ok)
			assert.Len(t, changed, 1)
			assert.Equal(t, int64(20), r.ChangedAt())
			r.Apply(at(11), []roster.Record{entry("a", 1, 30, true)}, 30)
			assert.Equal(t, int64(20), r.ChangedAt(), "rewritten with the same contents")
		})
	}
}

// An instance that is cut from the store, and hears from peers that an endpoint was removed,
// keeps the endpoint for a while. Others that follow it must still learn of the removal from
// an instance that trusts it, and of later changes meanwhile.
func TestHeldRemovalDoesNotHideItFromOthers(t *testing.T) {
	list := []roster.Record{entry("a", 1, 10, false), entry("b", 1, 11, false)}
	cut, sound, relay, follower := roster.New(), roster.New(), roster.New(), roster.New()
	for _, r := range []*roster.Roster{cut, sound, relay, follower} {
		r.Replace(at(0), list, 11)
	}
	cut.RecordStoreFailure(at(1))
	changes := []roster.Record{removed("a", 20), entry("b", 1, 25, true)}
	cut.Apply(at(2), changes, 25)
	sound.Apply(at(2), changes, 25)
	assert.NotNil(t, cut.Get("a"))
	fetch := func(follower, from *roster.Roster) {
		changed, gone, ok := from.ChangesSince(follower.Revision())
		require.True(t, ok)
		var records []roster.Record
		for _, e := range changed {
			records = append(records, roster.Record{ID: e.ID, Entry: e.Entry, Revision: e.Revision})
		}
		for id, revision := range gone {
			records = append(records, removed(id, revision))
		}
		follower.Apply(at(3), records, from.CompleteTo())
	}
	fetch(relay, cut)
	fetch(follower, relay)
	assert.NotNil(t, follower.Get("a"))
	assert.True(t, follower.Get("b").Leaving, "later changes are passed on")
	assert.Greater(t, sound.ChangedAt(), follower.Revision())
	fetch(follower, sound)
	assert.Nil(t, follower.Get("a"))
	assert.Equal(t, int64(25), follower.Revision())

	cut.RecordStoreSuccess(at(4000))
	cut.RemoveMissing(at(9000))
	assert.Nil(t, cut.Get("a"))
	assert.Equal(t, int64(25), cut.CompleteTo())
	follower = roster.New()
	follower.Replace(at(9000), list, 11)
	fetch(follower, cut)
	assert.Nil(t, follower.Get("a"), "the removal keeps its revision")
}

// An instance that follows another by its changes has the same endpoints as the other,
// however far apart it asks.
func TestFollowingByChanges(t *testing.T) {
	for seed := range uint64(50) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			source, follower := roster.New(), roster.New()
			revision := int64(1)
			source.Replace(at(0), nil, revision)
			for step := range 400 {
				revision++
				id := fleet.Endpoint(fmt.Sprintf("e%d", random.IntN(30)))
				change := entry(id, int64(1+step/20), revision, random.IntN(5) == 0)
				if random.IntN(4) == 0 {
					change = removed(id, revision)
				}
				source.Apply(at(step), []roster.Record{change}, revision)
				if random.IntN(1+int(seed)) == 0 {
					follow(t, source, follower, step)
				}
			}
			follow(t, source, follower, 400)
		})
	}
}

func follow(t *testing.T, source, follower *roster.Roster, step int) {
	t.Helper()
	changed, gone, ok := source.ChangesSince(follower.Revision())
	if !ok {
		changed = source.All()
	}
	var records []roster.Record
	for _, e := range changed {
		records = append(records, roster.Record{ID: e.ID, Entry: e.Entry, Revision: e.Revision})
	}
	for id, revision := range gone {
		records = append(records, removed(id, revision))
	}
	if ok {
		follower.Apply(at(step), records, source.CompleteTo())
	} else {
		follower.Replace(at(step), records, source.CompleteTo())
	}
	require.Equal(t, summary(source), summary(follower))
}

func summary(r *roster.Roster) []string {
	all := make(map[string]bool)
	for _, e := range r.All() {
		all[fmt.Sprint(e.ID, e.Born, e.Leaving)] = true
	}
	return slices.Sorted(maps.Keys(all))
}
