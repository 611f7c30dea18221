package listing

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chiveramp/chiveramp/internal/core/directory"
	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/peer/peerpb"
	"github.com/chiveramp/chiveramp/internal/platform"
)

var start = time.Date(2026, 6, 1, 9, 0, 0, 0, time.UTC)

// fakeStore answers each watch at once with its current rows.
type fakeStore struct {
	index       uint64
	rows        map[string][]platform.Member
	queries     []platform.MemberQuery
	unavailable bool
}

func (f *fakeStore) Watch(_ context.Context, q platform.MemberQuery) (platform.MemberList, error) {
	f.queries = append(f.queries, q)
	if f.unavailable {
		return platform.MemberList{}, errors.New("down")
	}
	list := platform.MemberList{Index: f.index}
	for _, m := range f.rows[q.Service] {
		if q.DataCentre == "" || q.DataCentre == m.DataCentre {
			list.Members = append(list.Members, m)
		}
	}
	return list, nil
}

func runnerMember(name, dc, incarnation string, state platform.MemberState) platform.Member {
	return platform.Member{Name: name, Service: "runners", Address: "10.0.0.1:9000", DataCentre: dc, Incarnation: incarnation, State: state}
}

func newStore() *fakeStore {
	return &fakeStore{index: 100, rows: map[string][]platform.Member{
		"instances": {{Name: "i1", DataCentre: "d1"}, {Name: "i2", DataCentre: "d2"}},
		"runners":   {runnerMember("r1", "d1", "1", platform.MemberLive), runnerMember("r2", "d2", "1", platform.MemberLive)},
	}}
}

func (f *fakeStore) set(index uint64, rows ...platform.Member) {
	f.index, f.rows["runners"] = index, rows
}

func newList(dc fleet.DataCentre, store Store) *List {
	return New("instances", []string{"runners"}, "d"+dc, store)
}

// watchAll reads every service once and reports whether the list of any changed.
func watchAll(t require.TestingT, l *List, now time.Time) bool {
	changed := false
	for _, service := range l.Services() {
		serviceChanged, err := l.Watch(context.Background(), service, func() time.Time { return now })
		require.NoError(t, err)
		changed = changed || serviceChanged
	}
	return changed
}

// endpointStates returns whether each listed endpoint is leaving, by name and incarnation.
func endpointStates(l *List, now time.Time, recorded ...directory.Entry) map[string]bool {
	leaving := make(map[string]bool)
	for _, r := range l.Endpoints(now, recorded) {
		leaving[string(r.Endpoint)+"/"+r.Incarnation] = r.Leaving
	}
	return leaving
}

func TestWatchKeepsOnlyOwnDataCentre(t *testing.T) {
	l, store := newList("1", nil), newStore()
	l.store = store
	require.Zero(t, l.Version())
	require.True(t, watchAll(t, l, start))
	require.Equal(t, map[string]bool{"r1/1": false}, endpointStates(l, start))
	require.Len(t, l.Peers(), 2)
	require.Empty(t, store.queries[0].DataCentre)
	require.Equal(t, "d1", store.queries[1].DataCentre)
	store.set(101, store.rows["runners"][0], runnerMember("r2", "d2", "2", platform.MemberLive))
	before := l.Version()
	require.False(t, watchAll(t, l, start))
	require.Equal(t, before, l.Version(), "a change in another data centre must not change the list")
}

// A watch continues from the last index, and restarts from zero if the index fell.
func TestWatchIndexRestartsWhenItFalls(t *testing.T) {
	store := newStore()
	l := newList("1", store)
	watchAll(t, l, start)
	watchAll(t, l, start)
	require.Zero(t, store.queries[1].After)
	require.EqualValues(t, 100, store.queries[3].After)
	require.Equal(t, WatchTimeout, store.queries[3].Wait)
	store.set(40, runnerMember("r9", "d1", "1", platform.MemberLive))
	require.False(t, watchAll(t, l, start), "an older list may come from a lagging replica")
	require.Equal(t, map[string]bool{"r1/1": false}, endpointStates(l, start))
	watchAll(t, l, start.Add(MinReadInterval))
	require.Zero(t, store.queries[7].After)
	require.True(t, watchAll(t, l, start.Add(restoreTimeout)), "after restoreTimeout, the store is treated as restored")
	require.Equal(t, map[string]bool{"r9/1": false}, endpointStates(l, start))
	store.set(41, runnerMember("r9", "d1", "2", platform.MemberLive))
	require.True(t, watchAll(t, l, start.Add(restoreTimeout)))
	require.EqualValues(t, 40, store.queries[len(store.queries)-1].After)
	require.Equal(t, map[string]bool{"r9/2": false}, endpointStates(l, start))
}

// After a store is restored at a lower index, a peer that still has the list from before the
// restore must accept the restored one.
func TestListFromRestoredStoreReachesPeers(t *testing.T) {
	store := newStore()
	a, b := newList("1", store), newList("1", store)
	watchAll(t, a, start)
	b.ApplyReply(a.Reply(b.Request()))
	store.set(10, runnerMember("r3", "d1", "1", platform.MemberLive))
	watchAll(t, a, start)
	watchAll(t, a, start.Add(restoreTimeout))
	require.Greater(t, a.Version(), b.Version())
	require.True(t, b.ApplyReply(a.Reply(b.Request())))
	require.Equal(t, endpointStates(a, start), endpointStates(b, start))
}

func TestReplyCarriesDelta(t *testing.T) {
	store := newStore()
	a, b := newList("1", store), newList("1", nil)
	watchAll(t, a, start)
	snapshot := a.Reply(b.Request())
	require.True(t, b.ApplyReply(snapshot))
	require.False(t, b.ApplyReply(snapshot), "the reply has nothing newer")
	require.Empty(t, a.Reply(b.Request()).Parts)
	store.set(101, runnerMember("r1", "d1", "1", platform.MemberLeaving), runnerMember("r4", "d1", "1", platform.MemberLive))
	watchAll(t, a, start)
	store.set(102, runnerMember("r4", "d1", "1", platform.MemberLive))
	watchAll(t, a, start)
	reply := a.Reply(b.Request())
	require.Len(t, reply.Parts, 1)
	require.EqualValues(t, 100, reply.Parts[0].Base)
	require.Equal(t, []string{"r1"}, reply.Parts[0].Gone)
	require.Len(t, reply.Parts[0].Rows, 1)
	require.True(t, b.ApplyReply(reply))
	require.Equal(t, a.Version(), b.Version())
	require.Equal(t, endpointStates(a, start), endpointStates(b, start))
	unknownBase := &peerpb.ListRequest{Datacentre: "d1", Bases: []*peerpb.ListBase{{Service: "runners", Serial: 77}}}
	for _, p := range a.Reply(unknownBase).Parts {
		require.Zero(t, p.Base, "an unknown base gets a snapshot")
	}
}

// A delta whose result has a different digest than the sender's list is rejected, and the
// next pull requests a snapshot.
func TestDeltaWithWrongDigestIsRejected(t *testing.T) {
	store := newStore()
	a, b := newList("1", store), newList("1", nil)
	watchAll(t, a, start)
	b.ApplyReply(a.Reply(b.Request()))
	b.byService["runners"].rows["ghost"] = &peerpb.Listed{Name: "ghost", Datacentre: "d1"}
	store.set(101, runnerMember("r1", "d1", "2", platform.MemberLive))
	watchAll(t, a, start)
	require.False(t, b.ApplyReply(a.Reply(b.Request())))
	require.True(t, b.ApplyReply(a.Reply(b.Request())))
	require.Equal(t, map[string]bool{"r1/2": false}, endpointStates(b, start))
}

func TestReplyToOtherDataCentreHasInstancesOnly(t *testing.T) {
	a, b := newList("1", newStore()), newList("2", nil)
	watchAll(t, a, start)
	require.True(t, b.ApplyReply(a.Reply(b.Request())))
	require.Len(t, b.Peers(), 2)
	require.Zero(t, b.Version())
	require.Empty(t, endpointStates(b, start))
}

// A stale list must not show a leaving incarnation as live again, even if its row was missing
// from the list in between.
func TestStaleListKeepsEndpointLeaving(t *testing.T) {
	tests := []struct {
		name        string
		recorded    []directory.Entry // directory entries before the row was removed
		lastState   platform.MemberState
		relisted    string
		wantLeaving bool
	}{
		{name: "listed as leaving", lastState: platform.MemberLeaving, relisted: "1", wantLeaving: true},
		{name: "reported itself as leaving", lastState: platform.MemberLive, relisted: "1", wantLeaving: true, recorded: []directory.Entry{
			{Registration: directory.Registration{Endpoint: "r1", Service: "runners", Incarnation: "1", Leaving: true}},
		}},
		{name: "a new incarnation", lastState: platform.MemberLeaving, relisted: "2"},
		{name: "never left", lastState: platform.MemberLive, relisted: "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := newStore()
			l := newList("1", store)
			store.set(100, runnerMember("r1", "d1", "1", tt.lastState))
			watchAll(t, l, start)
			endpointStates(l, start, tt.recorded...)
			store.set(101)
			watchAll(t, l, start)
			require.Empty(t, endpointStates(l, start))
			store.set(102, runnerMember("r1", "d1", tt.relisted, platform.MemberLive))
			watchAll(t, l, start)
			require.Equal(t, map[string]bool{"r1/" + tt.relisted: tt.wantLeaving}, endpointStates(l, start.Add(time.Minute)))
		})
	}
}

// Under random changes, failed reads and pulls, all instances converge to the store's list,
// and no instance ever returns to an older version.
func TestListsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newStore(), start
		var lists []*List
		for range 4 {
			lists = append(lists, newList("1", store))
		}
		newest := make([]uint64, len(lists))
		for range 60 {
			now = now.Add(MinReadInterval)
			i, j := rapid.IntRange(0, 3).Draw(t, "list"), rapid.IntRange(0, 3).Draw(t, "other")
			switch rapid.SampledFrom([]string{"change", "change", "watch", "lost", "pull", "pull", "pull"}).Draw(t, "event") {
			case "change":
				store.set(store.index+1, store.randomMembers(t)...)
			case "watch":
				if i < 2 {
					watchAll(t, lists[i], now)
				}
			case "lost":
				store.unavailable = true
				_, err := lists[i].Watch(context.Background(), "runners", func() time.Time { return now })
				require.Error(t, err)
				store.unavailable = false
			case "pull":
				pull(lists[i], lists[j])
			}
			for k, l := range lists {
				require.GreaterOrEqual(t, l.Version(), newest[k])
				newest[k] = l.Version()
			}
		}
		watchAll(t, lists[0], now)
		for _, l := range lists[1:] {
			pull(lists[0], l)
			pull(l, lists[0])
			require.Equal(t, endpointStates(lists[0], now), endpointStates(l, now))
		}
	})
}

// pull applies what one instance lacks from another if their state hashes differ.
func pull(to, from *List) {
	if from.StateHash() != to.StateHash() {
		to.ApplyReply(from.Reply(to.Request()))
	}
}

// Two instances can have equal versions although each is ahead in a different service. Pulling
// in both directions must still merge both.
func TestPullMergesServicesAheadOnEitherSide(t *testing.T) {
	store := newStore()
	a, b := newList("1", store), newList("1", store)
	watchAll(t, a, start)
	store.set(110)
	watchAll(t, b, start)
	store.set(120, runnerMember("r4", "d1", "1", platform.MemberLive))
	watchAll(t, a, start)
	require.Equal(t, a.Version(), b.Version(), "the serials are 100 and 120, 110 and 110")
	pull(a, b)
	pull(b, a)
	require.Equal(t, endpointStates(a, start), endpointStates(b, start))
	require.Equal(t, map[string]bool{"r4/1": false}, endpointStates(b, start))
}

func (f *fakeStore) randomMembers(t *rapid.T) []platform.Member {
	var list []platform.Member
	for n := range 5 {
		if rapid.Bool().Draw(t, "listed") {
			state := rapid.SampledFrom([]platform.MemberState{platform.MemberLive, platform.MemberLeaving}).Draw(t, "state")
			list = append(list, runnerMember(fmt.Sprint("r", n), "d1", "1", state))
		}
	}
	return list
}

// A peer's read from between two of this instance's own reads is superseded: it is rejected,
// and the peer receives the newer state.
func TestSupersededReadIsRejected(t *testing.T) {
	store := newStore()
	a, b := newList("1", store), newList("1", store)
	watchAll(t, a, start)
	first := store.rows["runners"]
	store.set(101)
	watchAll(t, b, start)
	store.set(102, first...)
	require.False(t, watchAll(t, a, start), "the rows are as before")
	require.False(t, a.ApplyReply(b.Reply(a.Request())))
	require.Equal(t, map[string]bool{"r1/1": false}, endpointStates(a, start))
	require.Greater(t, a.Version(), b.Version())
	require.True(t, b.ApplyReply(a.Reply(b.Request())))
	require.Equal(t, endpointStates(a, start), endpointStates(b, start))
}
