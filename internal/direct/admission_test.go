package direct

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/core/roster"
	"github.com/chiveramp/chiveramp/internal/gossip"
)

// One instance admits the requests of an endpoint for all, each start of the endpoint by
// itself. An instance that doesn't answer is not asked for a while.
func TestOneInstanceAdmitsAnEndpointsRequests(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	question := func(born int64) *gossip.Admit {
		return &gossip.Admit{Endpoint: "p", Born: born, Work: 40 * time.Millisecond, Limit: 50 * time.Millisecond}
	}
	assert.Equal(t, &gossip.AdmitReply{}, s.reserve(question(1)))
	assert.Equal(t, &gossip.AdmitReply{Wait: 40 * time.Millisecond}, s.reserve(question(1)))
	assert.Equal(t, &gossip.AdmitReply{Wait: 80 * time.Millisecond, Refused: true}, s.reserve(question(1)))
	assert.Equal(t, &gossip.AdmitReply{}, s.reserve(question(2)))
	w.elapsed = time.Second
	s.cleanUp()
	assert.Empty(t, s.schedules)

	address, ok := s.admitter("p")
	assert.True(t, ok)
	assert.Empty(t, address, "this instance is the only one")
	s.receiveHeartbeat(heartbeatFrom(1, time.Second))
	var remote fleet.Endpoint
	for _, id := range []fleet.Endpoint{"p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"} {
		s.applyRecords(fromStore, []roster.Record{{ID: id, Revision: 2, Entry: roster.Entry{ID: id, Service: "s", Revision: 2}}}, 2, false)
		if address, _ := s.admitter(id); address == "b:1" {
			remote = id
		}
	}
	require.NotEmpty(t, remote, "the endpoints are divided over the instances")
	s.admitterFailed(remote)
	_, ok = s.admitter(remote)
	assert.False(t, ok)
	w.elapsed += admitterBackoff
	_, ok = s.admitter(remote)
	assert.True(t, ok)
}

// The load of more requests than an endpoint has slots, sent by many instances: it admits no
// more than can start within their limit, by its newest report and what was admitted since.
func TestAdmissionCountsSlots(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	question := &gossip.Admit{Endpoint: "p", Run: time.Second, Limit: 300 * time.Millisecond}
	s.RecordReport("p", roster.Report{Running: 3, Taken: w.now()})
	assert.False(t, s.reserve(question).Refused, "one of four slots is free")
	assert.False(t, s.reserve(question).Refused, "the next one is free in a quarter of a second")
	assert.Equal(t, &gossip.AdmitReply{Wait: 500 * time.Millisecond, Refused: true}, s.reserve(question))
	w.elapsed = 500 * time.Millisecond
	s.RecordReport("p", roster.Report{Running: 2, Taken: w.now()})
	assert.False(t, s.reserve(question).Refused, "the report shows that they ended")
	w.elapsed = 3 * time.Second
	for range 20 {
		assert.False(t, s.reserve(question).Refused, "an old report shows nothing")
	}
}

// An instance that is behind gets what changed since, not the complete list.
func TestFetchedListHasOnlyChanges(t *testing.T) {
	w := &testClock{}
	s := newTestState(w)
	change := func(id fleet.Endpoint, revision int64, removed bool) {
		record := roster.Record{ID: id, Revision: revision, Removed: removed}
		if !removed {
			record.Entry = roster.Entry{ID: id, Service: "s", Born: 1, Revision: revision, Raw: []byte(id)}
		}
		s.applyRecords(fromStore, []roster.Record{record}, revision, false)
	}
	change("q", 5, false)
	change("r", 6, false)
	change("r", 7, true)
	change("q", 9, false) // rewritten with the same contents
	reply := s.answerFetch(&gossip.Fetch{Roster: 1, Deltas: true})
	assert.Equal(t, &gossip.FetchReply{
		Roster: 7, Delta: true, Entries: []gossip.Entry{{ID: "q", Revision: 9, Text: []byte("q")}}, Removed: []gossip.Entry{{ID: "r", Revision: 7}},
	}, reply)
	assert.Empty(t, s.answerFetch(&gossip.Fetch{Roster: 7, Deltas: true}))
	complete := s.answerFetch(&gossip.Fetch{Roster: 1})
	assert.False(t, complete.Delta)
	assert.Len(t, complete.Entries, 2, "an instance that can't apply changes gets the complete list")
}
