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

// fakeStore answers each watch with what it holds then, and never waits.
type fakeStore struct {
	index   uint64
	rows    map[string][]platform.Member
	queries []platform.MemberQuery
	down    bool
}

func (f *fakeStore) Watch(_ context.Context, q platform.MemberQuery) (platform.MemberList, error) {
	f.queries = append(f.queries, q)
	if f.down {
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

func runner(name, dc, incarnation string, state platform.MemberState) platform.Member {
	return platform.Member{Name: name, Service: "runners", Address: "10.0.0.1:9000", DataCentre: dc, Incarnation: incarnation, State: state}
}

func newStore() *fakeStore {
	return &fakeStore{index: 100, rows: map[string][]platform.Member{
		"instances": {{Name: "i1", DataCentre: "d1"}, {Name: "i2", DataCentre: "d2"}},
		"runners":   {runner("r1", "d1", "1", platform.MemberLive), runner("r2", "d2", "1", platform.MemberLive)},
	}}
}

func (f *fakeStore) set(index uint64, rows ...platform.Member) {
	f.index, f.rows["runners"] = index, rows
}

func listOf(dc fleet.DataCentre, store Store) *List {
	return New("instances", []string{"runners"}, "d"+dc, store)
}

// watch reads every service once and reports whether any part changed.
func watch(t require.TestingT, l *List, now time.Time) bool {
	changed := false
	for _, service := range l.Watched() {
		one, err := l.Watch(context.Background(), service, func() time.Time { return now })
		require.NoError(t, err)
		changed = changed || one
	}
	return changed
}

// rows writes the endpoints that a list shows, by name, a leaving one with a mark.
func rows(l *List, now time.Time, known ...directory.Entry) map[string]bool {
	shown := make(map[string]bool)
	for _, r := range l.Endpoints(now, known) {
		shown[string(r.Endpoint)+"/"+r.Incarnation] = r.Leaving
	}
	return shown
}

func TestOnlyTheOwnDataCentreIsKept(t *testing.T) {
	l, store := listOf("1", nil), newStore()
	l.store = store
	require.Zero(t, l.Current())
	require.True(t, watch(t, l, start))
	require.Equal(t, map[string]bool{"r1/1": false}, rows(l, start))
	require.Len(t, l.Peers(), 2)
	require.Empty(t, store.queries[0].DataCentre)
	require.Equal(t, "d1", store.queries[1].DataCentre)
	store.set(101, store.rows["runners"][0], runner("r2", "d2", "2", platform.MemberLive))
	before := l.Current()
	require.False(t, watch(t, l, start))
	require.Equal(t, before, l.Current(), "a change elsewhere is none here")
}

// The next query carries the last index; one that fell starts anew.
func TestIndexFollowsTheProtocol(t *testing.T) {
	store := newStore()
	l := listOf("1", store)
	watch(t, l, start)
	watch(t, l, start)
	require.Zero(t, store.queries[1].After)
	require.EqualValues(t, 100, store.queries[3].After)
	require.Equal(t, Wait, store.queries[3].Wait)
	store.set(40, runner("r9", "d1", "1", platform.MemberLive))
	require.False(t, watch(t, l, start), "it may be a reader that lags")
	require.Equal(t, map[string]bool{"r1/1": false}, rows(l, start))
	watch(t, l, start.Add(Pause))
	require.Zero(t, store.queries[7].After)
	require.True(t, watch(t, l, start.Add(behindLimit)), "it was restored")
	require.Equal(t, map[string]bool{"r9/1": false}, rows(l, start))
	store.set(41, runner("r9", "d1", "2", platform.MemberLive))
	require.True(t, watch(t, l, start.Add(behindLimit)))
	require.EqualValues(t, 40, store.queries[len(store.queries)-1].After)
	require.Equal(t, map[string]bool{"r9/2": false}, rows(l, start))
}

// Of two restored watchers neither keeps the other's older list.
func TestRestoredListReachesPeers(t *testing.T) {
	store := newStore()
	a, b := listOf("1", store), listOf("1", store)
	watch(t, a, start)
	b.Adopt(a.Reply(b.Request()))
	store.set(10, runner("r3", "d1", "1", platform.MemberLive))
	watch(t, a, start)
	watch(t, a, start.Add(behindLimit))
	require.Greater(t, a.Current(), b.Current())
	require.True(t, b.Adopt(a.Reply(b.Request())))
	require.Equal(t, rows(a, start), rows(b, start))
}

func TestDifferences(t *testing.T) {
	store := newStore()
	a, b := listOf("1", store), listOf("1", nil)
	watch(t, a, start)
	whole := a.Reply(b.Request())
	require.True(t, b.Adopt(whole))
	require.False(t, b.Adopt(whole), "nothing newer")
	require.Empty(t, a.Reply(b.Request()).Parts)
	store.set(101, runner("r1", "d1", "1", platform.MemberLeaving), runner("r4", "d1", "1", platform.MemberLive))
	watch(t, a, start)
	store.set(102, runner("r4", "d1", "1", platform.MemberLive))
	watch(t, a, start)
	reply := a.Reply(b.Request())
	require.Len(t, reply.Parts, 1)
	require.EqualValues(t, 100, reply.Parts[0].Base)
	require.Equal(t, []string{"r1"}, reply.Parts[0].Gone)
	require.Len(t, reply.Parts[0].Rows, 1)
	require.True(t, b.Adopt(reply))
	require.Equal(t, a.Current(), b.Current())
	require.Equal(t, rows(a, start), rows(b, start))
	foreign := &peerpb.ListRequest{Datacentre: "d1", Bases: []*peerpb.ListBase{{Service: "runners", Serial: 77}}}
	for _, p := range a.Reply(foreign).Parts {
		require.Zero(t, p.Base, "an unknown base gets the whole")
	}
}

// A difference that gives other rows than the sender's is not taken; the next pull asks
// for the whole.
func TestDifferenceThatDoesNotFit(t *testing.T) {
	store := newStore()
	a, b := listOf("1", store), listOf("1", nil)
	watch(t, a, start)
	b.Adopt(a.Reply(b.Request()))
	b.parts["runners"].rows["ghost"] = &peerpb.Listed{Name: "ghost", Datacentre: "d1"}
	store.set(101, runner("r1", "d1", "2", platform.MemberLive))
	watch(t, a, start)
	require.False(t, b.Adopt(a.Reply(b.Request())))
	require.True(t, b.Adopt(a.Reply(b.Request())))
	require.Equal(t, map[string]bool{"r1/2": false}, rows(b, start))
}

func TestOtherDataCentresTellInstancesOnly(t *testing.T) {
	a, b := listOf("1", newStore()), listOf("2", nil)
	watch(t, a, start)
	require.True(t, b.Adopt(a.Reply(b.Request())))
	require.Len(t, b.Peers(), 2)
	require.Zero(t, b.Current())
	require.Empty(t, rows(b, start))
}

// A list that lags never brings back the incarnation that left, also when the row was
// missing in between.
func TestLaggingListRevivesNobody(t *testing.T) {
	tests := []struct {
		name  string
		known []directory.Entry // what the directory knew before the row went
		left  platform.MemberState
		back  string
		want  bool
	}{
		{name: "listed as leaving", left: platform.MemberLeaving, back: "1", want: true},
		{name: "said so itself", left: platform.MemberLive, back: "1", want: true, known: []directory.Entry{
			{Registration: directory.Registration{Endpoint: "r1", Service: "runners", Incarnation: "1", Leaving: true}},
		}},
		{name: "a new incarnation", left: platform.MemberLeaving, back: "2"},
		{name: "never left", left: platform.MemberLive, back: "1"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			store := newStore()
			l := listOf("1", store)
			store.set(100, runner("r1", "d1", "1", tt.left))
			watch(t, l, start)
			rows(l, start, tt.known...)
			store.set(101)
			watch(t, l, start)
			require.Empty(t, rows(l, start))
			store.set(102, runner("r1", "d1", tt.back, platform.MemberLive))
			watch(t, l, start)
			require.Equal(t, map[string]bool{"r1/" + tt.back: tt.want}, rows(l, start.Add(time.Minute)))
		})
	}
}

// Whatever watchers read, lose and are told, all instances end with the store's list,
// and never go back to an older one meanwhile.
func TestListsAgreeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, now := newStore(), start
		var lists []*List
		for range 4 {
			lists = append(lists, listOf("1", store))
		}
		newest := make([]uint64, len(lists))
		for range 60 {
			now = now.Add(Pause)
			i, j := rapid.IntRange(0, 3).Draw(t, "list"), rapid.IntRange(0, 3).Draw(t, "other")
			switch rapid.SampledFrom([]string{"change", "change", "watch", "lost", "pull", "pull", "pull"}).Draw(t, "event") {
			case "change":
				store.set(store.index+1, store.change(t)...)
			case "watch":
				if i < 2 {
					watch(t, lists[i], now)
				}
			case "lost":
				store.down = true
				_, err := lists[i].Watch(context.Background(), "runners", func() time.Time { return now })
				require.Error(t, err)
				store.down = false
			case "pull":
				pull(lists[i], lists[j])
			}
			for k, l := range lists {
				require.GreaterOrEqual(t, l.Current(), newest[k])
				newest[k] = l.Current()
			}
		}
		watch(t, lists[0], now)
		for _, l := range lists[1:] {
			pull(lists[0], l)
			pull(l, lists[0])
			require.Equal(t, rows(lists[0], now), rows(l, now))
		}
	})
}

// pull lets an instance that heard of another list take what it lacks of it.
func pull(to, from *List) {
	if from.Mark() != to.Mark() {
		to.Adopt(from.Reply(to.Request()))
	}
}

// Two instances may each be ahead in another part, by the same sum: each takes what it
// lacks.
func TestEachMayBeAheadInAnotherPart(t *testing.T) {
	store := newStore()
	a, b := listOf("1", store), listOf("1", store)
	watch(t, a, start)
	store.set(110)
	watch(t, b, start)
	store.set(120, runner("r4", "d1", "1", platform.MemberLive))
	watch(t, a, start)
	require.Equal(t, a.Current(), b.Current(), "100 and 120, 110 and 110")
	pull(a, b)
	pull(b, a)
	require.Equal(t, rows(a, start), rows(b, start))
	require.Equal(t, map[string]bool{"r4/1": false}, rows(b, start))
}

func (f *fakeStore) change(t *rapid.T) []platform.Member {
	var list []platform.Member
	for n := range 5 {
		if rapid.Bool().Draw(t, "listed") {
			state := rapid.SampledFrom([]platform.MemberState{platform.MemberLive, platform.MemberLeaving}).Draw(t, "state")
			list = append(list, runner(fmt.Sprint("r", n), "d1", "1", state))
		}
	}
	return list
}

// A peer's reading between two of the own is not taken, and the peers hear that it is
// superseded.
func TestSupersededReadingIsNotTaken(t *testing.T) {
	store := newStore()
	a, b := listOf("1", store), listOf("1", store)
	watch(t, a, start)
	first := store.rows["runners"]
	store.set(101)
	watch(t, b, start)
	store.set(102, first...)
	require.False(t, watch(t, a, start), "as it was")
	require.False(t, a.Adopt(b.Reply(a.Request())))
	require.Equal(t, map[string]bool{"r1/1": false}, rows(a, start))
	require.Greater(t, a.Current(), b.Current())
	require.True(t, b.Adopt(a.Reply(b.Request())))
	require.Equal(t, rows(a, start), rows(b, start))
}
